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
	l := newLab(t, secured)
	server := l.server(newFakeControl(smallTable(5)))
	defer server.Close()
	before := heap()
	all := l.agents(streams, server.address)
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
	l := newLab(t, secured)
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
		c := framing.NewConn(raw, frameLimit, 0)
		opening := hello{Role: RoleAgent, Have: 5, Announcement: Announcement{Name: name, Incarnation: 1, Service: "none"}}
		if _, err := c.Write(kindHello, &opening); err != nil {
			t.Fatal(err)
		}
		all = append(all, c)
		if len(all)%beatGroup == 0 {
			group := all[len(all)-beatGroup:]
			beating.Go(func() { beatAll(group, done) })
		}
	}
	eventually(t, "attached", func() bool { return len(server.Subscribers()) == streams })
	time.Sleep(2 * time.Second)
	memory, busy := heap()-before, processorTime()
	writeHeapProfile(t)
	time.Sleep(watch)
	each := time.Duration(float64(processorTime()-busy) / (watch.Seconds() * float64(streams)))
	if n := len(server.Subscribers()); n != streams {
		t.Errorf("%d of %d streams left", n, streams)
	}
	t.Logf("%v | %d | %.1f KB | %v", secured, streams, float64(memory)/float64(streams)/1024, each)
	close(done)
	beating.Wait()
}

// writeHeapProfile shows which end of a stream holds what, where a file is named.
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

// beatGroup is how many connections one goroutine beats for.
const beatGroup = 100

// beatAll writes a heartbeat on each connection once a second, evenly.
func beatAll(group []*framing.Conn, done <-chan struct{}) {
	pause := time.NewTicker(time.Second / beatGroup)
	defer pause.Stop()
	for next := 0; ; next++ {
		select {
		case <-done:
			return
		case <-pause.C:
			_, _ = group[next%beatGroup].Write(kindBeat, &beat{Revision: 5, InForce: 5})
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
	l, control := newLab(t, secured), newFakeControl(smallTable(5))
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
	t.Logf("%v | %d | %v | %v | %v", secured, moving, ms(first), ms(time.Since(start)), (processorTime()-busy)/time.Duration(moving))
	for _, f := range all {
		f.stop()
	}
}

// lab makes servers and agents with or without TLS.
type lab struct {
	t       *testing.T
	secured bool
	folder  string
}

func newLab(t *testing.T, secured bool) lab {
	t.Helper()
	l := lab{t: t, secured: secured, folder: t.TempDir()}
	if err := keys.Init(l.folder); err != nil {
		t.Fatal(err)
	}
	return l
}

func (l lab) server(control *fakeControl) *running {
	return serveControl(l.t, control, func(c *ServerConfig) {
		c.Beat = DefaultBeat
		if l.secured {
			c.TLS = l.store(keys.Control, "control-1").Server(keys.Agent)
		}
	})
}

func (l lab) agents(count int, controls ...string) []*follower {
	var all []*follower
	for i := range count {
		name := fmt.Sprintf("agent-%d", i)
		all = append(all, startClient(l.t, name, func(c *ClientConfig) {
			asAgent("cartoons")(c)
			c.Beat, c.Seed = DefaultBeat, uint64(i+1)
			if l.secured {
				c.TLS = l.store(keys.Agent, name).Client(keys.Control)
			}
		}, controls...))
	}
	return all
}

func (l lab) store(role keys.Role, name string) *keys.Store {
	l.t.Helper()
	files, err := keys.Issue(l.folder, role, name, loopback)
	if err != nil {
		l.t.Fatal(err)
	}
	s, err := keys.Load(files, quiet(), metrics.New())
	if err != nil {
		l.t.Fatal(err)
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
