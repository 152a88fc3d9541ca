package distribution

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"bergamotstall/internal/keys"
	"bergamotstall/internal/liveness"
	"bergamotstall/internal/table"
)

// A balancer is stopped while operators make four hundred changes, some to
// targets that are gone by then. It starts with its last table in use, and one
// merged delta later it has the newest; no whole table travels.
func TestAwayForHundredsOfRevisions(t *testing.T) {
	is := is.New(t)
	control := newFakeControl(largeTable(5, 600))
	server := serveControl(t, control, nil)
	keep := func(c *ClientConfig) { c.StateFile = filepath.Join(c.StateFile, t.TempDir(), "table") }
	var path string
	first := startClient(t, "balancer-0", func(c *ClientConfig) { keep(c); path = c.StateFile }, server.address)
	eventually(t, "first table", func() bool { return first.latest().Revision == 5 })
	first.stop()

	for i := range 400 {
		next := withWeight(control.Table(), i%100, uint32(i))
		if i%10 == 0 {
			next.Targets = next.Targets[:len(next.Targets)-1]
		}
		control.set(next)
	}
	eventually(t, "server follows", func() bool { r, _ := server.publisher.state(); return r == 405 })
	again := startClient(t, "balancer-0", func(c *ClientConfig) { c.StateFile = path; c.Announcement.Incarnation = 2 }, server.address)
	eventually(t, "newest table", func() bool { return again.latest().Revision == 405 })
	is.Equal(again.tables()[0].Revision, table.Revision(5)) // the kept table came first
	is.Equal(digest(again.latest()), digest(control.Table()))
	is.Equal(again.metrics.Value("control_snapshots"), int64(0))
	is.Equal(again.metrics.Value("control_deltas"), int64(1))
}

// A control VM is cut off from the quorum but still serves. The operator sees
// the subscriber leave it for a VM in touch, and a change made there arrives.
func TestStaleVMIsLeft(t *testing.T) {
	is := is.New(t)
	cutOff, inTouch := newFakeControl(smallTable(5)), newFakeControl(smallTable(5))
	a, b := serveControl(t, cutOff, nil), serveControl(t, inTouch, nil)
	f := startClient(t, "balancer-0", nil, a.address, b.address)
	eventually(t, "attached", func() bool { return f.Status().Control != "" && f.latest().Revision == 5 })
	if f.Status().Control == b.address {
		a, b, cutOff, inTouch = b, a, inTouch, cutOff
	}
	cutOff.setContact(time.Now().Add(-time.Minute))
	inTouch.set(withWeight(inTouch.Table(), 0, 7))
	eventually(t, "change from the VM in touch", func() bool { return f.latest().Revision == 6 })
	is.Equal(f.Status().Control, b.address)
	is.True(f.metrics.Value("control_ended_stale") >= 1)
	eventually(t, "fresh word", func() bool { return f.Status().WithoutControlSince.IsZero() })
}

// The whole cluster has lost its quorum. The data path keeps its table, status
// and metrics say since when, and the subscriber stays with a VM; when a quorum
// is back, so is control's word.
func TestNoQuorumAnywhere(t *testing.T) {
	is := is.New(t)
	control := newFakeControl(smallTable(5))
	a, b := serveControl(t, control, nil), serveControl(t, control, nil)
	f := startClient(t, "balancer-0", nil, a.address, b.address)
	eventually(t, "fresh word", func() bool { return f.Status().WithoutControlSince.IsZero() })
	control.setContact(time.Now().Add(-time.Minute))
	eventually(t, "told", func() bool { return !f.Status().WithoutControlSince.IsZero() })
	is.True(f.metrics.Value("control_without_since_unix_ms") > 0)
	is.Equal(f.latest().Revision, table.Revision(5))
	eventually(t, "settled", func() bool { return f.Status().Control != "" })
	control.setContact(time.Time{})
	eventually(t, "back", func() bool { return f.Status().WithoutControlSince.IsZero() })
}

// A balancer meets a control VM that is behind what it holds: first after its
// own VM died, then after a restart, when only its file remembers. It never goes
// back to an older table, and takes the VM's word again once that has caught up.
func TestRevisionNeverFalls(t *testing.T) {
	is := is.New(t)
	ahead, behind := newFakeControl(smallTable(50)), newFakeControl(smallTable(40))
	a, b := serveControl(t, ahead, nil), serveControl(t, behind, nil)
	path := filepath.Join(t.TempDir(), "table")
	keep := func(c *ClientConfig) { c.StateFile = path }
	f := startClient(t, "balancer-0", keep, a.address)
	eventually(t, "table 50", func() bool { return f.latest().Revision == 50 })
	f.stop()

	again := startClient(t, "balancer-0", keep, b.address)
	eventually(t, "attached to the VM behind", func() bool { return again.Status().Control == b.address })
	behind.set(smallTable(41))
	eventually(t, "left for being behind, or tried again", func() bool { return again.metrics.Value("control_bytes_in") > 200 })
	is.Equal(again.latest().Revision, table.Revision(50))
	behind.set(withWeight(smallTable(60), 0, 9))
	eventually(t, "table 61", func() bool { return again.latest().Revision == 61 })
	is.Equal(again.falls(), 0)
	is.Equal(digest(again.latest()), digest(behind.Table()))
}

// The state file is of another cluster whose table happened to have the same
// revision. Control notices by the digest and sends the whole table.
func TestForeignStateFileIsReplaced(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "table")
	foreign := smallTable(5)
	foreign.Targets = foreign.Targets[:4]
	is.NoErr(saveState(path, view{role: RoleBalancer}, foreign))
	control := newFakeControl(smallTable(5))
	server := serveControl(t, control, nil)
	f := startClient(t, "balancer-0", func(c *ClientConfig) { c.StateFile = path }, server.address)
	eventually(t, "control's table", func() bool { return digest(f.latest()) == digest(control.Table()) })
	is.Equal(server.metrics.Value("spread_resyncs"), int64(1))
}

// Control is stopped altogether and comes back after a change. Meanwhile the
// table stays in use and status says since when; afterwards the change arrives.
func TestControlGoneAndBack(t *testing.T) {
	is := is.New(t)
	control := newFakeControl(smallTable(5))
	server := serveControl(t, control, nil)
	f := startClient(t, "balancer-0", func(c *ClientConfig) { c.StaleBound = 300 * time.Millisecond }, server.address)
	eventually(t, "first table", func() bool { return f.latest().Revision == 5 && f.Status().WithoutControlSince.IsZero() })
	server.Close()
	eventually(t, "told", func() bool { return !f.Status().WithoutControlSince.IsZero() })
	is.Equal(f.latest().Revision, table.Revision(5))
	is.Equal(len(control.silenced()), 0) // a VM that stops reports nobody

	control.set(withWeight(control.Table(), 0, 7))
	serveAt(t, server.address, control, nil)
	eventually(t, "change", func() bool { return f.latest().Revision == 6 })
	eventually(t, "fresh word", func() bool { return f.Status().WithoutControlSince.IsZero() })
}

// A path goes silent without a FIN. Neither end is told by its kernel; both see
// the missed heartbeats. The subscriber moves to the other VM, and the first
// VM's late report finds its attachment outdated: nobody is taken out.
func TestHalfOpenPathIsLeftByBothEnds(t *testing.T) {
	is := is.New(t)
	control := newFakeControl(smallTable(5))
	a := serveControl(t, control, func(c *ServerConfig) { c.Name = "control-a" })
	b := serveControl(t, control, func(c *ServerConfig) { c.Name = "control-b" })
	toA, toB := newRelay(t, a.address), newRelay(t, b.address)
	f := startClient(t, "agent-1", asAgent("cartoons"), toA.address, toB.address)
	eventually(t, "attached and announced", func() bool { return f.AgentNumber() != 0 })
	first, path := a, toA
	if f.Status().Control == toB.address {
		first, path = b, toB
	}
	path.frozen.Store(true)
	eventually(t, "moved", func() bool {
		s := f.Status().Control
		return s != "" && s != path.address
	})
	eventually(t, "server let go", func() bool { return len(first.Subscribers()) == 0 })
	eventually(t, "report made", func() bool { return first.metrics.Value("spread_reported_silent") >= 1 })
	is.Equal(len(control.silenced()), 0)
	is.True(f.metrics.Value("control_ended_silent") >= 1)
}

// An agent's process dies for good. It is reported silent once, by number,
// incarnation and attachment; and taken back when it returns.
func TestDeadAgentIsReportedAndComesBack(t *testing.T) {
	is := is.New(t)
	control := newFakeControl(smallTable(5))
	server := serveControl(t, control, nil)
	f := startClient(t, "agent-1", asAgent("cartoons"), server.address)
	eventually(t, "a number", func() bool { return f.AgentNumber() != 0 })
	n := f.AgentNumber()
	f.stop()
	eventually(t, "reported", func() bool { return len(control.silenced()) == 1 })
	is.Equal(control.silenced()[0], Silence{Name: "agent-1", Agent: n, Incarnation: 1, Attachment: control.announced("agent-1").Attachment})

	again := startClient(t, "agent-1", func(c *ClientConfig) { asAgent("cartoons")(c); c.Announcement.Incarnation = 2 }, server.address)
	eventually(t, "another number", func() bool { return again.AgentNumber() != 0 })
	is.True(again.AgentNumber() != n) // a new incarnation never gets an old number
}

// A control VM and an agent attached to it are cut off together; the leader
// takes the VM for dead and the agent, which it adopted, for silent. When the
// path is back the agent's stream has never broken, but the table no longer
// offers it: it announces itself again and gets new work. One that drains on
// purpose doesn't.
func TestWronglySilencedProcessesComeBack(t *testing.T) {
	is := is.New(t)
	control := newFakeControl(smallTable(5))
	server := serveControl(t, control, nil)
	agent := startClient(t, "agent-1", asAgent("cartoons"), server.address)
	balancer := startClient(t, "balancer-0", nil, server.address)
	eventually(t, "a number", func() bool { return agent.AgentNumber() != 0 })
	next := func(state table.State, balancers int) table.Revision {
		n := *smallTable(control.Table().Revision + 1)
		n.Balancers = n.Balancers[:balancers]
		n.Targets[9].Agent = agent.AgentNumber()
		n.Targets[9].State = state
		control.set(&n)
		return n.Revision
	}
	offered := next(table.Active, 3)
	eventually(t, "offered", func() bool { return agent.latest().Revision == offered && balancer.latest().Revision == offered })
	gone := next(table.Draining, 0)
	eventually(t, "agent announced again", func() bool { return control.announced("agent-1").Attachment >= 2 })
	eventually(t, "balancer announced again", func() bool { return control.announced("balancer-0").Attachment >= 2 })
	is.Equal(agent.latest().Revision, gone)

	next(table.Active, 3)
	agent.SetDraining(true)
	eventually(t, "drain announced", func() bool { return control.announced("agent-1").Draining })
	drained := next(table.Draining, 3)
	eventually(t, "drained", func() bool { return agent.latest().Revision == drained && balancer.latest().Revision == drained })
	is.Equal(agent.metrics.Value("control_taken_out"), int64(1))
}

// A table comes that the balancer's data path can't use. The one before stays in
// force, and neither status nor control's list says otherwise, so that nobody is
// told that a switch is in force or signs with a key that isn't known. The next
// good table is in force again.
func TestRefusedTableIsNotInForce(t *testing.T) {
	is := is.New(t)
	control := newFakeControl(smallTable(5))
	server := serveControl(t, control, nil)
	f := startClient(t, "balancer-0", nil, server.address)
	eventually(t, "first table", func() bool { return f.Status().Revision == 5 })
	f.mu.Lock()
	f.onApply = func(tb *table.Table) error {
		if tb.Revision == 6 {
			return errors.New("no keys")
		}
		return nil
	}
	f.mu.Unlock()
	listed := func() table.Revision {
		for _, s := range server.Subscribers() {
			return s.Revision
		}
		return 0
	}
	control.set(withWeight(control.Table(), 0, 7))
	eventually(t, "refusal", func() bool { return f.metrics.Value("control_table_refused") == 1 })
	is.Equal(f.Status().Revision, table.Revision(5))
	is.True(listed() != 6)
	control.set(withWeight(control.Table(), 0, 8))
	eventually(t, "next table", func() bool { return f.Status().Revision == 7 && listed() == 7 })
	is.Equal(f.metrics.Value("control_resyncs"), int64(0)) // deltas went on from the table held
}

// Changes and a whole table go to a subscriber that acknowledges everything at
// once. Whatever it does, its link carries no more than the budget and the burst.
func TestLinkKeepsItsBudget(t *testing.T) {
	is := is.New(t)
	const budget = 8 << 10
	control := newFakeControl(largeTable(5, 1200))
	server := serveControl(t, control, func(c *ServerConfig) { c.BytesPerSecond, c.SnapshotBytesPerSecond = budget, budget })
	start := time.Now()
	f := startClient(t, "balancer-0", nil, server.address)
	eventually(t, "whole table", func() bool { return f.latest().Revision == 5 })
	for range 40 {
		control.set(switched(control.Table(), "peak"))
		want := control.Table().Revision
		eventually(t, "change", func() bool { return f.latest().Revision == want })
	}
	elapsed := time.Since(start).Seconds()
	// Both buckets start full; heartbeats come on top, ten a second here.
	most := float64(burstSeconds*budget+budget) + elapsed*(budget+10*64) + partSize
	is.True(float64(f.metrics.Value("control_bytes_in")) <= most)
	is.True(f.metrics.Value("control_bytes_in") > 40<<10) // more than the burst went over it
}

// An agent that keeps coming and going is held back: it has its table, but gets
// no number and so no new work. When it says that it is about to stop, that goes
// through at once: no hold may keep a leaving target in.
func TestFlappingAgentIsHeldButMayLeave(t *testing.T) {
	is := is.New(t)
	control := newFakeControl(smallTable(5))
	server := serveControl(t, control, func(c *ServerConfig) {
		c.Liveness = liveness.DefaultConfig()
		c.Liveness.DampingThreshold, c.Liveness.DampingBaseDelay, c.Liveness.DampingMaxDelay = 1, time.Hour, time.Hour
	})
	first := startClient(t, "agent-1", asAgent("cartoons"), server.address)
	eventually(t, "a number", func() bool { return first.AgentNumber() != 0 })
	first.stop()
	eventually(t, "gone", func() bool { return len(server.Subscribers()) == 0 })

	again := startClient(t, "agent-1", func(c *ClientConfig) { asAgent("cartoons")(c); c.Announcement.Incarnation = 2 }, server.address)
	eventually(t, "held", func() bool { return server.metrics.Value("spread_announce_held") > 0 && again.latest().Revision == 5 })
	is.Equal(control.announced("agent-1").Incarnation, uint64(1))
	again.SetDraining(true)
	eventually(t, "drain announced", func() bool {
		a := control.announced("agent-1")
		return a.Incarnation == 2 && a.Draining
	})
}

// A control VM dies together with one of its agents, and nobody else has that
// agent's stream. The leader adopts the dead VM's subscribers: one has come back
// here meanwhile and keeps its place, the other is reported by its number.
func TestDeadVMsSubscribersAreAdopted(t *testing.T) {
	is := is.New(t)
	control := newFakeControl(smallTable(5))
	server := serveControl(t, control, func(c *ServerConfig) {
		c.Liveness = liveness.DefaultConfig()
		c.Liveness.AdoptGrace = time.Second
	})
	control.agents["agent-2"] = Announcement{Name: "agent-2", Incarnation: 1, Attachment: 1, Via: "control-dead"}
	back := startClient(t, "agent-1", func(c *ClientConfig) { asAgent("cartoons")(c); c.Announcement.Attachment = 1 }, server.address)
	eventually(t, "back", func() bool { return back.AgentNumber() != 0 })
	server.Adopt(RoleAgent, []Silence{
		{Name: "agent-1", Agent: 1, Incarnation: 1, Attachment: 1},
		{Name: "agent-2", Agent: 2, Incarnation: 1, Attachment: 1},
	})
	eventually(t, "the other reported", func() bool { return len(control.silenced()) > 0 })
	is.Equal(control.silenced(), []Silence{{Name: "agent-2", Agent: 2, Incarnation: 1, Attachment: 1}})
}

// The replicated state takes no commands for a while: the agent gets its table
// all the same, and its number as soon as the announcement can be committed.
func TestAnnouncementsAreRepeated(t *testing.T) {
	is := is.New(t)
	control := newFakeControl(smallTable(5))
	control.fail = true
	server := serveControl(t, control, nil)
	f := startClient(t, "agent-1", asAgent("cartoons"), server.address)
	eventually(t, "table without a number", func() bool { return f.latest().Revision == 5 })
	eventually(t, "failures", func() bool { return server.metrics.Value("spread_announce_errors") > 1 })
	is.Equal(f.AgentNumber(), table.AgentNumber(0))
	control.mu.Lock()
	control.fail = false
	control.mu.Unlock()
	eventually(t, "a number", func() bool { return f.AgentNumber() != 0 })
}

// A balancer has stopped reading but its heartbeats still come. The others get
// every change meanwhile, and the server queues nothing for it but one update.
func TestSlowSubscriberHoldsNobodyUp(t *testing.T) {
	is := is.New(t)
	control := newFakeControl(largeTable(5, 300))
	server := serveControl(t, control, func(c *ServerConfig) {
		c.Beat, c.BytesPerSecond, c.SnapshotBytesPerSecond = DefaultBeat, 1<<20, 1<<20
	})
	stuck := dialRaw(t, server.address, hello{Role: RoleBalancer, Announcement: Announcement{Name: "stuck", Incarnation: 1}})
	stop := stuck.beatForever(t)
	defer stop()
	f := startClient(t, "balancer-0", func(c *ClientConfig) { c.Beat = DefaultBeat }, server.address)
	for range 50 {
		control.set(switched(control.Table(), "peak"))
		want := control.Table().Revision
		eventually(t, "change", func() bool { return f.latest().Revision == want })
	}
	for _, s := range server.Subscribers() {
		if s.Name == "stuck" {
			is.Equal(s.Revision, table.Revision(0)) // operators see who lags
		}
	}
	is.Equal(len(server.Subscribers()), 2)
	is.Equal(server.metrics.Value("spread_snapshots"), int64(2))
	is.True(server.metrics.Value("spread_deltas") < 60) // fifty for the balancer; none are queued for the stuck one
}

// All three hundred balancers lose their VM and hold no table. Whole tables go
// out a few at a time, those over the line are told when to come again, and all
// have the table in the end.
func TestAllReconnectAtOnce(t *testing.T) {
	is := is.New(t)
	control := newFakeControl(largeTable(5, 1200))
	server := serveControl(t, control, func(c *ServerConfig) {
		c.Snapshots, c.Waiting = 4, 16
		c.SnapshotBytesPerSecond = 4 << 20
		c.Liveness = liveness.DefaultConfig()
	})
	// All places are taken until the line is full, so that the verdict doesn't
	// hang on how fast three hundred arrive.
	for range 4 {
		server.line.places <- struct{}{}
	}
	var all []*follower
	for i := range 300 {
		all = append(all, startClient(t, "balancer-"+string(rune('a'+i%26))+string(rune('a'+i/26)), func(c *ClientConfig) { c.Seed = uint64(i + 1) }, server.address))
	}
	eventually(t, "line full", func() bool { return server.metrics.Value("spread_refused_busy") > 0 })
	for range 4 {
		server.line.done()
	}
	most := 0
	eventually(t, "everyone has the table", func() bool {
		most = max(most, server.line.active())
		for _, f := range all {
			if f.latest().Revision != 5 {
				return false
			}
		}
		return true
	})
	is.True(most <= 4)
	is.True(server.metrics.Value("spread_snapshots") >= 300)
	eventually(t, "empty line", func() bool { return server.line.active() == 0 && server.line.waiting() == 0 })
}

// A process with an agent's certificate says it is a balancer, or another agent.
// It is refused and counted, and control hears no announcement from it; the
// agent that the certificate is for is served.
func TestPeerIsHeldToItsCertificate(t *testing.T) {
	is := is.New(t)
	l := newLab(t, true)
	control := newFakeControl(smallTable(5))
	server := serveControl(t, control, func(c *ServerConfig) {
		c.TLS = l.store(keys.Control, "control-1").Server(keys.Agent, keys.Balancer)
	})
	mine := l.store(keys.Agent, "agent-1").Client(keys.Control)
	honest := startClient(t, "agent-1", func(c *ClientConfig) { asAgent("cartoons")(c); c.TLS = mine }, server.address)
	eventually(t, "served", func() bool { return honest.AgentNumber() != 0 && honest.latest().Revision == 5 })

	other := startClient(t, "agent-2", func(c *ClientConfig) { asAgent("cartoons")(c); c.TLS = mine }, server.address)
	balancer := startClient(t, "balancer-0", func(c *ClientConfig) { c.TLS = mine }, server.address)
	eventually(t, "both refused", func() bool {
		return other.metrics.Value("control_refused_identity") > 0 && balancer.metrics.Value("control_refused_identity") > 0
	})
	operator := startClient(t, "agent-3", func(c *ClientConfig) {
		asAgent("cartoons")(c)
		c.TLS = l.store(keys.Operator, "rosa").Client(keys.Control)
	}, server.address)
	eventually(t, "wrong role refused", func() bool { return operator.metrics.Value("control_ended_tls") > 0 })
	is.Equal(control.announced("agent-2").Name, "")
	is.Equal(control.announced("agent-3").Name, "")
	is.Equal(control.announced("balancer-0").Name, "")
	is.Equal(len(balancer.tables()), 0)
}
