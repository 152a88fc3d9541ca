package distribution

import (
	"fmt"
	"net"
	"os"
	"runtime/pprof"
	"sync"
	"testing"
	"time"

	"bergamotstall/internal/framing"
	"bergamotstall/internal/keys"
	"bergamotstall/internal/metrics"
)

// TestMeasureAtRest prints the cost of an idle stream: bytes per second, and the memory and
// CPU time of both ends.
func TestMeasureAtRest(t *testing.T) {
	requireMeasure(t)
	const watch = 20 * time.Second
	t.Log("TLS | streams | bytes/s to subscriber | bytes/s to server | heap and stacks per stream | CPU time per stream and second")
	for _, secured := range []bool{false, true} {
		for _, streams := range []int{100, 300, 900} {
			measureIdleStreams(t, secured, streams, watch)
		}
	}
}

func measureIdleStreams(t *testing.T, secured bool, streams int, watch time.Duration) {
	t.Helper()
	l := newTestLab(t, secured)
	server := l.server(newFakeControl(smallTable(5)))
	defer server.Close()
	before := heap()
	all := l.agents(streams, server.address)
	for _, f := range all {
		eventually(t, "attached", func() bool { return f.AgentNumber() != 0 && f.latest().Revision == 5 })
	}
	time.Sleep(2 * time.Second)
	perStream := (heap() - before) / int64(streams)
	in, out, busy := sumMetric(all, "control_bytes_in"), sumMetric(all, "control_bytes_out"), processorTime()
	time.Sleep(watch)
	seconds := watch.Seconds() * float64(streams)
	t.Logf("%v | %d | %.0f | %.0f | %d KB (both ends) | %v (both ends)", secured, streams,
		float64(sumMetric(all, "control_bytes_in")-in)/seconds, float64(sumMetric(all, "control_bytes_out")-out)/seconds,
		perStream>>10, time.Duration(float64(processorTime()-busy)/seconds))
	for _, f := range all {
		f.stop()
	}
}

// TestMeasureServerAtRest prints the server's part of the cost of idle streams. Its peers
// are connections that only send heartbeats, many from one goroutine, and never read. Each peer costs a
// socket, a TLS state if there is TLS, and one write per second.
func TestMeasureServerAtRest(t *testing.T) {
	requireMeasure(t)
	t.Log("TLS | streams | heap and stacks per stream | CPU time per stream and second")
	for _, secured := range []bool{false, true} {
		for _, streams := range []int{300, 900, 1500} {
			measureIdleServer(t, secured, streams, 10*time.Second)
		}
	}
}

func measureIdleServer(t *testing.T, secured bool, streams int, watch time.Duration) {
	t.Helper()
	l := newTestLab(t, secured)
	server := l.server(newFakeControl(smallTable(5)))
	defer server.Close()
	var peers []*keys.Store
	for i := range streams {
		if secured {
			peers = append(peers, l.store(keys.Agent, fmt.Sprintf("agent-%d", i)))
		}
	}
	var beating sync.WaitGroup
	done := make(chan struct{})
	before := heap()
	var all []*framing.Conn
	for i := range streams {
		name := fmt.Sprintf("agent-%d", i)
		raw, err := net.Dial("tcp", server.address)
		if err != nil {
			t.Fatal(err)
		}
		defer raw.Close()
		if secured {
			if raw, err = keys.Client(t.Context(), raw, peers[i].Client(keys.Control), "127.0.0.1"); err != nil {
				t.Fatal(err)
			}
		}
		c := framing.NewConn(raw, frameLimitBytes, 0)
		opening := hello{Role: RoleAgent, Held: 5, Announcement: Announcement{Name: name, Incarnation: 1, Service: "none"}}
		if _, err := c.Write(kindHello, &opening); err != nil {
			t.Fatal(err)
		}
		all = append(all, c)
		if len(all)%heartbeatGroupSize == 0 {
			group := all[len(all)-heartbeatGroupSize:]
			beating.Go(func() { sendGroupHeartbeats(group, done) })
		}
	}
	eventually(t, "attached", func() bool { return len(server.Subscribers()) == streams })
	time.Sleep(2 * time.Second)
	memory, busy := heap()-before, processorTime()
	writeHeapProfile(t)
	time.Sleep(watch)
	each := time.Duration(float64(processorTime()-busy) / (watch.Seconds() * float64(streams)))
	if n := len(server.Subscribers()); n != streams {
		t.Errorf("%d of %d streams are still attached", n, streams)
	}
	t.Logf("%v | %d | %.1f KB | %v", secured, streams, float64(memory)/float64(streams)/1024, each)
	close(done)
	beating.Wait()
}

// writeHeapProfile writes a heap profile, which tells the memory of both ends apart, to the
// file in BERGAMOTSTALL_MEASURE_PROFILE, if set.
func writeHeapProfile(t *testing.T) {
	t.Helper()
	path := os.Getenv("BERGAMOTSTALL_MEASURE_PROFILE")
	if path == "" {
		return
	}
	f, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if err := pprof.WriteHeapProfile(f); err != nil {
		t.Fatal(err)
	}
}

// heartbeatGroupSize is how many connections one goroutine sends heartbeats on.
const heartbeatGroupSize = 100

// sendGroupHeartbeats sends a heartbeat on each connection once a second, evenly spaced.
func sendGroupHeartbeats(group []*framing.Conn, done <-chan struct{}) {
	pause := time.NewTicker(time.Second / heartbeatGroupSize)
	defer pause.Stop()
	for next := 0; ; next++ {
		select {
		case <-done:
			return
		case <-pause.C:
			_, _ = group[next%heartbeatGroupSize].Write(kindHeartbeat, &heartbeat{Revision: 5, InForce: 5})
		}
	}
}

// TestMeasureReconnect prints how long the subscribers of a stopping VM take to attach to the
// other VM, and the CPU time of both ends per subscriber.
func TestMeasureReconnect(t *testing.T) {
	requireMeasure(t)
	t.Log("TLS | subscribers | first back | all back | CPU time per subscriber (both ends)")
	for _, secured := range []bool{false, true} {
		for _, streams := range []int{100, 300, 900} {
			measureReconnect(t, secured, streams)
		}
	}
}

func measureReconnect(t *testing.T, secured bool, streams int) {
	t.Helper()
	l, control := newTestLab(t, secured), newFakeControl(smallTable(5))
	a, b := l.server(control), l.server(control)
	defer b.Close()
	all := l.agents(streams, a.address, b.address)
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
	t.Logf("%v | %d | %v | %v | %v", secured, moving, millis(first), millis(time.Since(start)), (processorTime()-busy)/time.Duration(moving))
	for _, f := range all {
		f.stop()
	}
}

// testLab starts servers and agents with or without TLS.
type testLab struct {
	t       *testing.T
	secured bool
	folder  string
}

func newTestLab(t *testing.T, secured bool) testLab {
	t.Helper()
	l := testLab{t: t, secured: secured, folder: t.TempDir()}
	if err := keys.Init(l.folder); err != nil {
		t.Fatal(err)
	}
	return l
}

func (l testLab) server(control *fakeControl) *testServer {
	return serveControl(l.t, control, func(c *ServerConfig) {
		c.HeartbeatInterval = DefaultHeartbeatInterval
		if l.secured {
			c.TLS = l.store(keys.Control, "control-1").Server(keys.Agent)
		}
	})
}

func (l testLab) agents(count int, controls ...string) []*testClient {
	var all []*testClient
	for i := range count {
		name := fmt.Sprintf("agent-%d", i)
		all = append(all, startClient(l.t, name, func(c *ClientConfig) {
			asAgent("cartoons")(c)
			c.HeartbeatInterval, c.Seed = DefaultHeartbeatInterval, uint64(i+1)
			if l.secured {
				c.TLS = l.store(keys.Agent, name).Client(keys.Control)
			}
		}, controls...))
	}
	return all
}

func (l testLab) store(role keys.Role, name string) *keys.Store {
	l.t.Helper()
	files, err := keys.Issue(l.folder, role, name, loopback)
	if err != nil {
		l.t.Fatal(err)
	}
	s, err := keys.Load(files, discardLog(), metrics.New())
	if err != nil {
		l.t.Fatal(err)
	}
	return s
}

func sumMetric(all []*testClient, name string) int64 {
	var n int64
	for _, f := range all {
		n += f.metrics.Value(name)
	}
	return n
}
