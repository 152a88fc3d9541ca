package spread

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"
	"golang.org/x/sys/unix"

	"bergamotstall/internal/keys"
	"bergamotstall/internal/metrics"
	"bergamotstall/internal/table"
	"bergamotstall/internal/wire"
)

// measured skips a test that prints figures instead of judging. docs/DISTRIBUTION.md
// has the command for each table.
func measured(t *testing.T) {
	t.Helper()
	if os.Getenv("BERGAMOTSTALL_MEASURE") == "" {
		t.Skip("set BERGAMOTSTALL_MEASURE=1 to print figures")
	}
}

func packed(t *testing.T, u *update) (raw, wire int) {
	t.Helper()
	e := newEncoded(u)
	e.encode()
	if e.err != nil {
		t.Fatal(e.err)
	}
	b, err := bodyOf(u).MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	return len(b), e.size
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

// TestMeasureTableBytes prints what a whole table takes, as rows and as columns.
func TestMeasureTableBytes(t *testing.T) {
	measured(t)
	t.Log("hosts | rows | rows deflated | columns | columns deflated | balancer's whole table | agent's whole table | at 5 KB/s | at 20 KB/s")
	for _, hosts := range []int{120, 1200, 12000} {
		full := largeTable(5, hosts)
		rows, rowsSmall := deflated(t, full)
		h := newHistory()
		h.advance(full)
		columns, size := packed(t, h.since(view{role: RoleBalancer}, 0))
		_, small := deflated(t, bodyOf(h.since(view{role: RoleBalancer}, 0)))
		_, agent := packed(t, h.since(view{role: RoleAgent, service: "service-1"}, 0))
		t.Logf("%d | %d | %d | %d | %d | %d | %d | %.1f s | %.1f s", hosts, rows, rowsSmall, columns, small, size, agent,
			float64(size)/DefaultBytesPerSecond, float64(size)/(snapshotFactor*DefaultBytesPerSecond))
	}
}

// TestMeasureChangeBytes prints what one change takes for each role.
func TestMeasureChangeBytes(t *testing.T) {
	measured(t)
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
			{"preset switched, weights in 7 classes", func(n *table.Table) { *n = *switched(full, "peak") }},
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
			_, balancer := packed(t, h.since(view{role: RoleBalancer}, 5))
			_, own := packed(t, h.since(view{role: RoleAgent, service: full.Services[0].Name}, 5))
			_, other := packed(t, h.since(view{role: RoleAgent, service: full.Services[len(full.Services)-1].Name}, 5))
			t.Logf("%d | %s | %d | %d | %d", hosts, c.name, balancer, own, other)
		}
	}
}

// TestMeasureWork prints the processor time of each step and the memory of a
// table.
func TestMeasureWork(t *testing.T) {
	measured(t)
	t.Log("hosts | advance, one change | encode whole | decode and apply whole | apply one change | write state file | heap of a table")
	for _, hosts := range []int{120, 1200, 12000} {
		full := largeTable(5, hosts)
		h := newHistory()
		h.advance(full)
		whole := h.since(view{role: RoleBalancer}, 0)
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
		delta := h.since(view{role: RoleBalancer}, 5)
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

// TestMeasureInForce prints the time from a change at control to its being
// applied by every subscriber, each link at 5 KB/s.
func TestMeasureInForce(t *testing.T) {
	measured(t)
	t.Log("hosts | change | subscribers | p50 | p99 | max | time for all p50 | max | bytes a change a subscriber")
	for _, hosts := range []int{10, 1200, 12000} {
		for _, subscribers := range []int{3, 30, 300} {
			if hosts == 12000 && subscribers == 300 {
				continue // three hundred tables of that size would take too much memory
			}
			measureInForce(t, hosts, subscribers, "one weight", 20, 500*time.Millisecond, func(x *table.Table) *table.Table { return withWeight(x, 0, uint32(x.Revision)) })
			measureInForce(t, hosts, subscribers, "preset switched", 4, 4*time.Second, func(x *table.Table) *table.Table { return switched(x, "peak") })
		}
	}
}

func measureInForce(t *testing.T, hosts, subscribers int, name string, changes int, pause time.Duration, change func(*table.Table) *table.Table) {
	t.Helper()
	control := newFakeControl(largeTable(5, hosts))
	server := serveControl(t, control, func(c *ServerConfig) { c.Beat, c.SnapshotBytesPerSecond = DefaultBeat, 1<<20 })
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
		ms(each[len(each)/2]), ms(each[len(each)*99/100]), ms(each[len(each)-1]), ms(whole[len(whole)/2]), ms(whole[len(whole)-1]), perChange)
}

func ms(d time.Duration) string { return fmt.Sprintf("%.1f ms", float64(d.Microseconds())/1000) }

// timedClient tells when it applied a table, and keeps none.
type timedClient struct {
	metrics *metrics.Set
	stop    func()
}

func newTimedClient(t *testing.T, name, address string, arrived chan<- time.Time) *timedClient {
	f := follow1(t, name, func(c *ClientConfig) { c.Beat = DefaultBeat }, address)
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

// TestMeasureAtRest prints what an idle stream costs: bytes a second, and the
// server's memory and processor time with a peer that only beats.
func TestMeasureAtRest(t *testing.T) {
	measured(t)
	const watch = 20 * time.Second
	t.Log("TLS | streams | bytes/s to subscriber | bytes/s to server | heap and stacks a stream | processor time a stream a second")
	for _, secured := range []bool{false, true} {
		for _, streams := range []int{100, 300, 900} {
			measureAtRest(t, secured, streams, watch)
		}
	}
}

func measureAtRest(t *testing.T, secured bool, streams int, watch time.Duration) {
	t.Helper()
	control := newFakeControl(smallTable(5))
	folder := t.TempDir()
	if err := keys.Init(folder); err != nil {
		t.Fatal(err)
	}
	server := serveControl(t, control, func(c *ServerConfig) {
		c.Beat = DefaultBeat
		if secured {
			c.TLS = measureStore(t, folder, keys.Control, "control-1").Server(keys.Agent)
		}
	})
	defer server.Close()
	before := heap()
	var all []*follower
	for i := range streams {
		name := fmt.Sprintf("agent-%d", i)
		all = append(all, follow1(t, name, func(c *ClientConfig) {
			asAgent("cartoons")(c)
			c.Beat = DefaultBeat
			if secured {
				c.TLS = measureStore(t, folder, keys.Agent, name).Client(keys.Control)
			}
		}, server.address))
	}
	for _, f := range all {
		eventually(t, "attached", func() bool { return f.AgentNumber() != 0 && f.latest().Revision == 5 })
	}
	time.Sleep(2 * time.Second)
	perStream := (heap() - before) / int64(streams)
	in, out, busy := total(all, "control_bytes_in"), total(all, "control_bytes_out"), processorTime()
	time.Sleep(watch)
	seconds := watch.Seconds() * float64(streams)
	t.Logf("%v | %d | %.0f | %.0f | %d KB (both ends) | %v (both ends)", secured, streams,
		float64(total(all, "control_bytes_in")-in)/seconds, float64(total(all, "control_bytes_out")-out)/seconds,
		perStream>>10, time.Duration(float64(processorTime()-busy)/seconds))
	for _, f := range all {
		f.stop()
	}
}

// TestMeasureServerAtRest prints the server's share: its peers are connections
// on which one goroutine writes all heartbeats and nobody reads, which costs them
// a socket, a TLS state where there is TLS, and one write a second.
func TestMeasureServerAtRest(t *testing.T) {
	measured(t)
	t.Log("TLS | streams | heap and stacks a stream | processor time a stream a second")
	for _, secured := range []bool{false, true} {
		for _, streams := range []int{300, 900, 1500} {
			measureServerAtRest(t, secured, streams, 10*time.Second)
		}
	}
}

func measureServerAtRest(t *testing.T, secured bool, streams int, watch time.Duration) {
	t.Helper()
	folder := t.TempDir()
	if err := keys.Init(folder); err != nil {
		t.Fatal(err)
	}
	server := serveControl(t, newFakeControl(smallTable(5)), func(c *ServerConfig) {
		c.Beat = DefaultBeat
		if secured {
			c.TLS = measureStore(t, folder, keys.Control, "control-1").Server(keys.Agent)
		}
	})
	defer server.Close()
	before := heap()
	var all []*wire.Conn
	for i := range streams {
		name := fmt.Sprintf("agent-%d", i)
		raw, err := net.Dial("tcp", server.address)
		if err != nil {
			t.Fatal(err)
		}
		defer raw.Close()
		if secured {
			if raw, err = keys.Client(t.Context(), raw, measureStore(t, folder, keys.Agent, name).Client(keys.Control), "127.0.0.1"); err != nil {
				t.Fatal(err)
			}
		}
		c := wire.NewConn(raw, frameLimit, 0)
		opening := hello{Role: RoleAgent, Have: 5, Announcement: Announcement{Name: name, Incarnation: 1, Service: "none"}}
		if _, err := c.Write(kindHello, &opening); err != nil {
			t.Fatal(err)
		}
		all = append(all, c)
	}
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		beatAll(all, done)
	}()
	eventually(t, "attached", func() bool { return len(server.Subscribers()) == streams })
	time.Sleep(2 * time.Second)
	memory, busy := heap()-before, processorTime()
	time.Sleep(watch)
	each := time.Duration(float64(processorTime()-busy) / (watch.Seconds() * float64(streams)))
	if n := len(server.Subscribers()); n != streams {
		t.Errorf("%d of %d streams left", n, streams)
	}
	t.Logf("%v | %d | %.1f KB | %v", secured, streams, float64(memory)/float64(streams)/1024, each)
	close(done)
	<-ended
}

// beatAll writes a heartbeat on each connection once a second, evenly.
func beatAll(all []*wire.Conn, done <-chan struct{}) {
	pause := time.NewTicker(20 * time.Millisecond)
	defer pause.Stop()
	for next := 0; ; {
		select {
		case <-done:
			return
		case <-pause.C:
		}
		for range 1 + len(all)/50 {
			_, _ = all[next%len(all)].Write(kindBeat, &beat{Revision: 5, InForce: 5})
			next++
		}
	}
}

// TestMeasureReconnect prints how long the subscribers of a VM that stops take
// to be attached elsewhere, and the processor time of both ends for each.
func TestMeasureReconnect(t *testing.T) {
	measured(t)
	t.Log("TLS | subscribers | first back | all back | processor time a subscriber (both ends)")
	for _, secured := range []bool{false, true} {
		for _, streams := range []int{100, 300, 900} {
			measureReconnect(t, secured, streams)
		}
	}
}

func measureReconnect(t *testing.T, secured bool, streams int) {
	t.Helper()
	control := newFakeControl(smallTable(5))
	folder := t.TempDir()
	if err := keys.Init(folder); err != nil {
		t.Fatal(err)
	}
	tlsFor := func(c *ServerConfig) {
		c.Beat = DefaultBeat
		if secured {
			c.TLS = measureStore(t, folder, keys.Control, "control-1").Server(keys.Agent)
		}
	}
	a, b := serveControl(t, control, tlsFor), serveControl(t, control, tlsFor)
	defer b.Close()
	var all []*follower
	for i := range streams {
		name := fmt.Sprintf("agent-%d", i)
		all = append(all, follow1(t, name, func(c *ClientConfig) {
			asAgent("cartoons")(c)
			c.Beat, c.Seed = DefaultBeat, uint64(i+1)
			if secured {
				c.TLS = measureStore(t, folder, keys.Agent, name).Client(keys.Control)
			}
		}, a.address, b.address))
	}
	eventually(t, "attached", func() bool { return len(a.Subscribers())+len(b.Subscribers()) == streams })
	time.Sleep(time.Second)
	moving, there := len(a.Subscribers()), len(b.Subscribers())
	busy, start := processorTime(), time.Now()
	a.Close()
	var first time.Duration
	for len(b.Subscribers()) < streams {
		if first == 0 && len(b.Subscribers()) > there {
			first = time.Since(start)
		}
		time.Sleep(time.Millisecond)
	}
	t.Logf("%v | %d | %v | %v | %v", secured, moving, ms(first), ms(time.Since(start)), (processorTime()-busy)/time.Duration(moving))
	for _, f := range all {
		f.stop()
	}
}

func measureStore(t *testing.T, folder string, role keys.Role, name string) *keys.Store {
	t.Helper()
	files, err := keys.Issue(folder, role, name, loopback)
	if err != nil {
		t.Fatal(err)
	}
	s, err := keys.Load(files, quiet(), metrics.New())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func total(all []*follower, name string) int64 {
	var n int64
	for _, f := range all {
		n += f.metrics.Value(name)
	}
	return n
}
