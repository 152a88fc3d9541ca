package membership

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// refused is the error of a dial to a VM whose process doesn't run.
var refused = &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}

// Guards against lists that count as complete while an agent may be missing, and against
// lists that never count as complete, so that callers wait for flows that are gone.
func TestListsComplete(t *testing.T) {
	t0 := time.Unix(1000, 0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	lists := func(from, to int, serving time.Duration) *listSource {
		s := newListSource(at(0))
		for ms := from; ms <= to; ms += 100 {
			s.heard(at(ms), serving+at(ms).Sub(at(from)))
		}
		return s
	}
	statesNothing := func(from, to int) *listSource {
		s := newListSource(at(0))
		for ms := from; ms <= to; ms += 100 {
			s.heard(at(ms), 0)
		}
		return s
	}
	refuses := func(from, to int) *listSource {
		s := newListSource(at(0))
		for ms := from; ms <= to; ms += 100 {
			s.dialFailed(at(ms), refused)
		}
		return s
	}
	timesOut := func() *listSource {
		s := newListSource(at(0))
		s.dialFailed(at(250), os.ErrDeadlineExceeded)
		return s
	}
	long := time.Hour
	for _, c := range []struct {
		name    string
		sources []*listSource
		now     int
		want    bool
	}{
		{"no VM has answered", []*listSource{newListSource(at(0)), newListSource(at(0))}, 10_000, false},
		{"one VM has just answered", []*listSource{lists(100, 100, long)}, 200, false},
		{"one VM has answered", []*listSource{lists(100, 200, long)}, 260, true},
		{"the last VM hasn't answered", []*listSource{lists(100, 400, long), newListSource(at(0))}, 400, false},
		{"the last VM has just answered", []*listSource{lists(100, 500, long), lists(400, 500, long)}, 500, false},
		{"the last VM has answered", []*listSource{lists(100, 600, long), lists(400, 600, long)}, 600, true},
		{"a VM has just started", []*listSource{lists(100, 300, long), lists(100, 300, 0)}, 300, false},
		{"a VM started a while ago", []*listSource{lists(100, 500, long), lists(100, 500, 0)}, 500, true},
		{"a build that doesn't state how long it has been serving", []*listSource{statesNothing(100, 300)}, 300, false},
		{"the same build a while later", []*listSource{statesNothing(100, 500)}, 500, true},
		{"a VM has stopped", []*listSource{lists(100, 300, long), refuses(100, 300)}, 300, true},
		{"a VM stopped just now", []*listSource{lists(100, 300, long), refuses(200, 300)}, 300, false},
		{"a VM may have started since it refused", []*listSource{lists(300, 500, long), refuses(100, 300)}, 500, false},
		{"all VMs have stopped", []*listSource{refuses(100, 900), refuses(100, 900)}, 900, false},
		{"a VM is silent", []*listSource{lists(100, 1500, long), timesOut()}, 1500, false},
		{"a VM has been silent for long", []*listSource{lists(100, 2400, long), timesOut()}, 2400, true},
		{"a VM stopped while another is silent", []*listSource{lists(100, 2400, long), timesOut(), refuses(2000, 2400)}, 2400, false},
		{"as many VMs are silent as an agent has streams", []*listSource{lists(100, 5000, long), timesOut(), timesOut()}, 5000, false},
		{"a VM that answered has become silent", []*listSource{lists(100, 3000, long), lists(100, 1500, long)}, 3000, false},
		{"a VM has ended its stream", []*listSource{lists(100, 3000, long), ended(lists(100, 3000, long), at(3010))}, 3050, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			sources := map[string]*listSource{}
			var members []string
			for n, s := range c.sources {
				ip := fmt.Sprintf("10.0.0.%d", n)
				sources[ip] = s
				members = append(members, ip)
			}
			is := is.New(t)
			is.Equal(listsComplete(at(c.now), sources, members), c.want)
			is.True(!listsComplete(at(c.now), sources, append(members, "10.0.1.1"))) // no stream to it yet
		})
	}
}

func ended(s *listSource, at time.Time) *listSource {
	s.ended(at)
	return s
}

// Guards against a seed that is no control VM any more and doesn't answer, which must not
// keep lists incomplete.
func TestSilentSeedsOutsideTheClusterDoNotCount(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	listed := newListSource(start)
	listed.heard(start.Add(departureDelay), time.Hour)
	sources := map[string]*listSource{"a": listed, "b": newListSource(start), "c": newListSource(start)}
	now := start.Add(departureDelay + listDelay)
	is.True(listsComplete(now, sources, []string{"a"}))
	is.True(!listsComplete(now, sources, []string{"a", "b", "c"}))
}

// gate is a listener that accepts no connections while it is closed.
type gate struct {
	net.Listener
	closed *sync.Mutex
}

func (g gate) Accept() (net.Conn, error) {
	conn, err := g.Listener.Accept()
	g.closed.Lock()
	defer g.closed.Unlock()
	return conn, err
}

// Guards against a balancer that takes the lists of some control VMs for those of all: it
// would reset open flows of agents that only the last VM lists.
func TestListsAreIncompleteUntilLastControlVMAnswers(t *testing.T) {
	is := is.New(t)
	all := startVMs(t, 3)
	last := all[2]
	last.stop()
	<-last.ended
	var closed sync.Mutex
	last.wrap = func(ln net.Listener) net.Listener { return gate{ln, &closed} }
	closed.Lock()
	release := sync.OnceFunc(closed.Unlock)
	defer release()
	last.start(t)
	for _, v := range all {
		v.put(t, 1)
	}
	balancer := startNode(t, Balancer, "10.0.0.9:1", all[0])
	complete := func() bool { return balancer.client.ListsComplete(time.Now()) }
	await(t, "a table and two lists", func() bool { return balancer.client.Version() == 1 && balancer.client.LiveControls() == 2 })
	for end := time.Now().Add(2 * returnDelay); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		is.True(!complete())
	}
	release()
	await(t, "complete lists", complete)
	is.Equal(balancer.client.LiveControls(), 3)
	last.stop()
	await(t, "the end of a stream", func() bool { return !complete() })
	await(t, "complete lists without the VM that has stopped", complete)
	balancer.client.mu.Lock()
	defer balancer.client.mu.Unlock()
	is.Equal(balancer.client.sources[last.ip].contact, refusing) // a silent VM delays them for seconds
}

// Guards against lists that count as complete too soon because a control VM counts the time
// in which it waited for a quorum and served nobody.
func TestServingTimeBeginsWithServe(t *testing.T) {
	is := is.New(t)
	v := startVMs(t, 1)[0]
	v.stop()
	<-v.ended
	v.serveDelay = returnDelay
	began := time.Now()
	v.start(t)
	balancer := startNode(t, Balancer, "10.0.0.9:1", v)
	await(t, "an update", func() bool { return balancer.client.LiveControls() == 1 })
	balancer.client.mu.Lock()
	defer balancer.client.mu.Unlock()
	is.True(!balancer.client.sources[v.ip].servingSince.Before(began.Add(v.serveDelay)))
}
