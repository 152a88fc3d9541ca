package distribution

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"
	"golang.org/x/sys/unix"

	"bergamotstall/internal/metrics"
	"bergamotstall/internal/table"
)

// requireMeasure skips a test that only prints figures, unless BERGAMOTSTALL_MEASURE is set.
// docs/DISTRIBUTION.md has the command for each table.
func requireMeasure(t *testing.T) {
	t.Helper()
	if os.Getenv("BERGAMOTSTALL_MEASURE") == "" {
		t.Skip("set BERGAMOTSTALL_MEASURE=1 to print figures")
	}
}

func encodedSizes(t *testing.T, u *update) (raw, wire int) {
	t.Helper()
	e := newEncoded(u)
	e.encode()
	if e.err != nil {
		t.Fatal(e.err)
	}
	b, err := columnarUpdateOf(u).MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	return len(b), e.frameBytes
}

func deflated(t *testing.T, m msgp.Marshaler) (raw, small int) {
	t.Helper()
	b, err := m.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	z, err := deflate(b)
	if err != nil {
		t.Fatal(err)
	}
	return len(b), len(z)
}

// TestMeasureTableBytes prints the encoded size of a whole table as rows and as columns.
func TestMeasureTableBytes(t *testing.T) {
	requireMeasure(t)
	t.Log("hosts | rows | rows deflated | columns | columns deflated | balancer's whole table | agent's whole table | at 5 KB/s | at 20 KB/s")
	for _, hosts := range []int{120, 1200, 12000} {
		full := largeTable(5, hosts)
		rows, rowsSmall := deflated(t, full)
		h := newHistory()
		h.advance(full)
		columns, size := encodedSizes(t, h.updateSince(view{role: RoleBalancer}, 0))
		_, small := deflated(t, columnarUpdateOf(h.updateSince(view{role: RoleBalancer}, 0)))
		_, agent := encodedSizes(t, h.updateSince(view{role: RoleAgent, service: "service-1"}, 0))
		t.Logf("%d | %d | %d | %d | %d | %d | %d | %.1f s | %.1f s", hosts, rows, rowsSmall, columns, small, size, agent,
			float64(size)/DefaultBytesPerSecond, float64(size)/(snapshotRateFactor*DefaultBytesPerSecond))
	}
}

// TestMeasureChangeBytes prints the encoded size of single changes for each role.
func TestMeasureChangeBytes(t *testing.T) {
	requireMeasure(t)
	random := rand.New(rand.NewPCG(1, 2))
	t.Log("hosts | change | balancer | agent of the service | agent of another")
	for _, hosts := range []int{120, 1200, 12000} {
		full := largeTable(5, hosts)
		for _, c := range []struct {
			name   string
			change func(*table.Table)
		}{
			{"one weight", func(n *table.Table) { n.Targets[0].Weight++ }},
			{"one target restarted (old retired, new joined)", func(n *table.Table) {
				x := n.Targets[0]
				n.Targets[0].State, n.Targets[0].Weight = table.Retired, 0
				x.Agent = n.Targets[len(n.Targets)-1].Agent + 1
				n.Targets = append(n.Targets, x)
			}},
			{"one balancer joined", func(n *table.Table) {
				n.Balancers = append(n.Balancers, table.Balancer{Name: "balancer-new", DataCentre: "region-0-dc-00", Tunnel: "10.0.0.1:7000"})
			}},
			{"preset switched, weights in 7 classes", func(n *table.Table) { *n = *withPreset(full, "peak") }},
			{"preset switched, every weight its own", func(n *table.Table) {
				for i := range n.Targets {
					n.Targets[i].PreviousWeight, n.Targets[i].Weight = n.Targets[i].Weight, uint32(random.IntN(1000))
					n.Targets[i].ChangedAtMS = 1_796_000_000_000
				}
			}},
		} {
			next := *full
			next.Targets, next.Balancers = slices.Clone(full.Targets), slices.Clone(full.Balancers)
			c.change(&next)
			next.Revision = 6
			h := newHistory()
			h.advance(full)
			h.advance(&next)
			_, balancer := encodedSizes(t, h.updateSince(view{role: RoleBalancer}, 5))
			_, own := encodedSizes(t, h.updateSince(view{role: RoleAgent, service: full.Services[0].Name}, 5))
			_, other := encodedSizes(t, h.updateSince(view{role: RoleAgent, service: full.Services[len(full.Services)-1].Name}, 5))
			t.Logf("%d | %s | %d | %d | %d", hosts, c.name, balancer, own, other)
		}
	}
}

// TestMeasureWork prints the time of each step of an update and the memory of a table.
func TestMeasureWork(t *testing.T) {
	requireMeasure(t)
	t.Log("hosts | advance, one change | encode whole | decode and apply whole | apply one change | write state file | heap of a table")
	for _, hosts := range []int{120, 1200, 12000} {
		full := largeTable(5, hosts)
		h := newHistory()
		h.advance(full)
		whole := h.updateSince(view{role: RoleBalancer}, 0)
		next := withWeight(full, 0, 7)
		advance := timed(func() { h.advance(next) })
		var data []byte
		encode := timed(func() { data, _, _ = encodeUpdate(whole) })
		var held *table.Table
		before := heap()
		decode := timed(func() {
			u, err := decodeUpdate(0, 5, data, true)
			if err != nil {
				t.Fatal(err)
			}
			held, err = applyUpdate(&table.Table{}, u)
			if err != nil {
				t.Fatal(err)
			}
		})
		size := heap() - before
		delta := h.updateSince(view{role: RoleBalancer}, 5)
		apply := timed(func() {
			if _, err := applyUpdate(held, delta); err != nil {
				t.Fatal(err)
			}
		})
		path := filepath.Join(t.TempDir(), "table")
		save := timed(func() {
			if err := saveState(path, view{role: RoleBalancer}, held); err != nil {
				t.Fatal(err)
			}
		})
		runtime.KeepAlive(held)
		t.Logf("%d | %v | %v | %v | %v | %v | %d KB", hosts, advance, encode, decode, apply, save, size>>10)
	}
}

// BenchmarkEveryView makes the updates for the agents of each of 2,100 services and for the
// balancers after a change that is in every view. One VM of nine has about two thirds of
// these views among its subscribers.
func BenchmarkEveryView(b *testing.B) {
	full := largeTable(5, 12000)
	for _, c := range []struct {
		name   string
		change func(*table.Table) *table.Table
	}{
		{"balancer joined", func(t *table.Table) *table.Table {
			n := *t
			n.Revision++
			n.Balancers = append(slices.Clone(t.Balancers), table.Balancer{Name: "balancer-new", DataCentre: "region-0-dc-00", Tunnel: "10.0.0.1:7000"})
			return &n
		}},
		{"preset switched", func(t *table.Table) *table.Table { return withPreset(t, "peak") }},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				p := newPublisher()
				p.advance(full)
				p.advance(c.change(full))
				for _, s := range full.Services {
					if _, err := p.update(view{role: RoleAgent, service: s.Name}, 5, 5); err != nil {
						b.Fatal(err)
					}
				}
				if _, err := p.update(view{role: RoleBalancer}, 5, 5); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func timed(f func()) time.Duration {
	start := time.Now()
	f()
	return time.Since(start).Round(time.Microsecond)
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func processorTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// TestMeasureInForce prints the time from a change at control until every subscriber has
// applied it, with 5 KB/s per link.
func TestMeasureInForce(t *testing.T) {
	requireMeasure(t)
	t.Log("hosts | change | subscribers | p50 | p99 | max | time for all p50 | max | bytes per change and subscriber")
	for _, hosts := range []int{10, 1200, 12000} {
		for _, subscribers := range []int{3, 30, 300} {
			t.Run(fmt.Sprintf("%d/%d", hosts, subscribers), func(t *testing.T) {
				measureInForce(t, hosts, subscribers, "one weight", 20, 500*time.Millisecond, func(x *table.Table) *table.Table { return withWeight(x, 0, uint32(x.Revision)) })
				measureInForce(t, hosts, subscribers, "preset switched", 4, 4*time.Second, func(x *table.Table) *table.Table { return withPreset(x, "peak") })
			})
		}
	}
}

func measureInForce(t *testing.T, hosts, subscribers int, name string, changes int, pause time.Duration, change func(*table.Table) *table.Table) {
	t.Helper()
	control := newFakeControl(largeTable(5, hosts))
	server := serveControl(t, control, func(c *ServerConfig) { c.HeartbeatInterval, c.SnapshotBytesPerSecond = DefaultHeartbeatInterval, 1<<20 })
	defer server.Close()
	arrived := make(chan time.Time, subscribers)
	var all []*timedClient
	for i := range subscribers {
		all = append(all, newTimedClient(t, fmt.Sprintf("balancer-%d", i), server.address, arrived))
	}
	for range all {
		<-arrived
	}
	time.Sleep(3 * time.Second)
	var each, whole []time.Duration
	before := bytesIn(all)
	for range changes {
		next := change(control.Table())
		start := time.Now()
		control.set(next)
		for range all {
			each = append(each, (<-arrived).Sub(start))
		}
		whole = append(whole, each[len(each)-1])
		time.Sleep(max(0, pause-time.Since(start)))
	}
	perChange := float64(bytesIn(all)-before) / float64(changes*subscribers)
	for _, c := range all {
		c.stop()
	}
	slices.Sort(each)
	slices.Sort(whole)
	t.Logf("%d | %s | %d | %v | %v | %v | %v | %v | %.0f", hosts, name, subscribers,
		millis(each[len(each)/2]), millis(each[len(each)*99/100]), millis(each[len(each)-1]), millis(whole[len(whole)/2]), millis(whole[len(whole)-1]), perChange)
}

func millis(d time.Duration) string { return fmt.Sprintf("%.1f ms", float64(d.Microseconds())/1000) }

// timedClient reports when it applied a table, and keeps no tables.
type timedClient struct {
	metrics *metrics.Set
	stop    func()
}

func newTimedClient(t *testing.T, name, address string, arrived chan<- time.Time) *timedClient {
	f := startClient(t, name, func(c *ClientConfig) { c.HeartbeatInterval = DefaultHeartbeatInterval }, address)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onApply = func(*table.Table) error { arrived <- time.Now(); return nil }
	return &timedClient{metrics: f.metrics, stop: f.stop}
}

func bytesIn(all []*timedClient) int64 {
	var n int64
	for _, c := range all {
		n += c.metrics.Value("control_bytes_in")
	}
	return n
}
