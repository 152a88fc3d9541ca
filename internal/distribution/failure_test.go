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

// A balancer that was stopped during 400 changes, some to targets removed meanwhile, must
// start with the table of its state file and get the newest one by a single merged delta,
// without a snapshot.
func TestRestartedSubscriberGetsOneMergedDelta(t *testing.T) {
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
	is.Equal(again.tables()[0].Revision, table.Revision(5)) // the state file's table came first
	is.Equal(tableDigest(again.latest()), tableDigest(control.Table()))
	is.Equal(again.metrics.Value("control_snapshots"), int64(0))
	is.Equal(again.metrics.Value("control_deltas"), int64(1))
}

// A subscriber must leave a control VM that is cut off from the quorum but still serves. It
// moves to a VM in contact with the quorum and gets a change made there.
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
	eventually(t, "change from the VM in contact", func() bool { return f.latest().Revision == 6 })
	is.Equal(f.Status().Control, b.address)
	is.True(f.metrics.Value("control_ended_stale") >= 1)
	eventually(t, "confirmation by control", func() bool { return f.Status().WithoutControlSince.IsZero() })
}

// When the whole cluster loses its quorum, the data path must keep its table, status and
// metrics must tell since when, and the subscriber must stay with a VM. When the quorum is
// back, the table is confirmed again.
func TestSubscriberStaysWithoutQuorum(t *testing.T) {
	is := is.New(t)
	control := newFakeControl(smallTable(5))
	a, b := serveControl(t, control, nil), serveControl(t, control, nil)
	f := startClient(t, "balancer-0", nil, a.address, b.address)
	eventually(t, "confirmation by control", func() bool { return f.Status().WithoutControlSince.IsZero() })
	control.setContact(time.Now().Add(-time.Minute))
	eventually(t, "missing confirmation", func() bool { return !f.Status().WithoutControlSince.IsZero() })
	is.True(f.metrics.Value("control_without_since_unix_ms") > 0)
	is.Equal(f.latest().Revision, table.Revision(5))
	eventually(t, "attachment", func() bool { return f.Status().Control != "" })
	control.setContact(time.Time{})
	eventually(t, "confirmation again", func() bool { return f.Status().WithoutControlSince.IsZero() })
}

// A balancer whose only control VM is behind its table, which it has from its state file
// after a restart, must never return to an older table. Once the VM has caught up, the
// balancer gets its tables again.
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
	eventually(t, "left the VM behind, or retried it", func() bool { return again.metrics.Value("control_bytes_in") > 200 })
	is.Equal(again.latest().Revision, table.Revision(50))
	behind.set(withWeight(smallTable(60), 0, 9))
	eventually(t, "table 61", func() bool { return again.latest().Revision == 61 })
	is.Equal(again.revisionDecreases(), 0)
	is.Equal(tableDigest(again.latest()), tableDigest(behind.Table()))
}

// A state file of another cluster may have the same revision as control's table. Control must
// notice by the digest and send a snapshot.
func TestForeignStateFileIsReplaced(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "table")
	foreign := smallTable(5)
	foreign.Targets = foreign.Targets[:4]
	is.NoErr(saveState(path, view{role: RoleBalancer}, foreign))
	control := newFakeControl(smallTable(5))
	server := serveControl(t, control, nil)
	f := startClient(t, "balancer-0", func(c *ClientConfig) { c.StateFile = path }, server.address)
	eventually(t, "control's table", func() bool { return tableDigest(f.latest()) == tableDigest(control.Table()) })
	is.Equal(server.metrics.Value("spread_resyncs"), int64(1))
}

// While control is down, the table must stay in use and status must tell since when. A change
// made meanwhile must arrive once control is back.
func TestSubscriberKeepsItsTableWhileControlIsDown(t *testing.T) {
	is := is.New(t)
	control := newFakeControl(smallTable(5))
	server := serveControl(t, control, nil)
	f := startClient(t, "balancer-0", func(c *ClientConfig) { c.MaxContactAge = 300 * time.Millisecond }, server.address)
	eventually(t, "first table", func() bool { return f.latest().Revision == 5 && f.Status().WithoutControlSince.IsZero() })
	server.Close()
	eventually(t, "missing confirmation", func() bool { return !f.Status().WithoutControlSince.IsZero() })
	is.Equal(f.latest().Revision, table.Revision(5))
	is.Equal(len(control.silenced()), 0) // a VM that stops reports nobody as silent

	control.set(withWeight(control.Table(), 0, 7))
	serveAt(t, server.address, control, nil)
	eventually(t, "change", func() bool { return f.latest().Revision == 6 })
	eventually(t, "confirmation by control", func() bool { return f.Status().WithoutControlSince.IsZero() })
}

// When a connection goes silent without a FIN, neither kernel reports it; both ends must
// notice by missed heartbeats. The subscriber moves to the other VM, and the first VM's late
// report of silence must be void, as its attachment number is outdated.
func TestHalfOpenPathIsLeftByBothEnds(t *testing.T) {
	is := is.New(t)
	control := newFakeControl(smallTable(5))
	a := serveControl(t, control, func(c *ServerConfig) { c.Name = "control-a" })
	b := serveControl(t, control, func(c *ServerConfig) { c.Name = "control-b" })
	toA, toB := newTCPForwarder(t, a.address), newTCPForwarder(t, b.address)
	f := startClient(t, "agent-1", asAgent("cartoons"), toA.address, toB.address)
	eventually(t, "attached and announced", func() bool { return f.AgentNumber() != 0 })
	first, path := a, toA
	if f.Status().Control == toB.address {
		first, path = b, toB
	}
	path.frozen.Store(true)
	eventually(t, "attachment to the other VM", func() bool {
		s := f.Status().Control
		return s != "" && s != path.address
	})
	eventually(t, "server ended the stream", func() bool { return len(first.Subscribers()) == 0 })
	eventually(t, "report of silence", func() bool { return first.metrics.Value("spread_reported_silent") >= 1 })
	is.Equal(len(control.silenced()), 0)
	is.True(f.metrics.Value("control_ended_silent") >= 1)
}

// A dead agent must be reported silent exactly once, with its number, incarnation and
// attachment. A new incarnation must get a new number.
func TestDeadAgentIsReportedAndComesBack(t *testing.T) {
	is := is.New(t)
	control := newFakeControl(smallTable(5))
	server := serveControl(t, control, nil)
	f := startClient(t, "agent-1", asAgent("cartoons"), server.address)
	eventually(t, "agent number", func() bool { return f.AgentNumber() != 0 })
	n := f.AgentNumber()
	f.stop()
	eventually(t, "report of silence", func() bool { return len(control.silenced()) == 1 })
	is.Equal(control.silenced()[0], Silence{Name: "agent-1", Agent: n, Incarnation: 1, Attachment: control.announced("agent-1").Attachment})

	again := startClient(t, "agent-1", func(c *ClientConfig) { asAgent("cartoons")(c); c.Announcement.Incarnation = 2 }, server.address)
	eventually(t, "another number", func() bool { return again.AgentNumber() != 0 })
	is.True(again.AgentNumber() != n) // a new incarnation never gets an old one's number
}

// If a control VM is cut off together with an agent, the leader takes the VM for dead and
// reports the adopted agent silent. The agent's stream never broke, but the table no longer
// gives it new flows, so it must announce itself again. A balancer does the same; an agent
// that drains on purpose must not.
func TestProcessesReportedSilentByMistakeComeBack(t *testing.T) {
	is := is.New(t)
	control := newFakeControl(smallTable(5))
	server := serveControl(t, control, nil)
	agent := startClient(t, "agent-1", asAgent("cartoons"), server.address)
	balancer := startClient(t, "balancer-0", nil, server.address)
	eventually(t, "agent number", func() bool { return agent.AgentNumber() != 0 })
	next := func(state table.State, balancers int) table.Revision {
		n := *smallTable(control.Table().Revision + 1)
		n.Balancers = n.Balancers[:balancers]
		n.Targets[9].Agent = agent.AgentNumber()
		n.Targets[9].State = state
		control.set(&n)
		return n.Revision
	}
	offered := next(table.Active, 3)
	eventually(t, "active", func() bool { return agent.latest().Revision == offered && balancer.latest().Revision == offered })
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

// If the data path refuses a table, the previous one stays in force, and neither status nor
// control's list of subscribers may say otherwise: operators would think a change in force,
// and keys would be used that the balancer doesn't know. The next valid table is in force.
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
	is.Equal(f.metrics.Value("control_resyncs"), int64(0)) // deltas continued from the held table
}

// A snapshot and many changes to a subscriber that acknowledges at once must not exceed the
// byte budget plus the burst.
func TestLinkStaysWithinItsByteBudget(t *testing.T) {
	is := is.New(t)
	const budget = 8 << 10
	control := newFakeControl(largeTable(5, 1200))
	server := serveControl(t, control, func(c *ServerConfig) { c.BytesPerSecond, c.SnapshotBytesPerSecond = budget, budget })
	start := time.Now()
	f := startClient(t, "balancer-0", nil, server.address)
	eventually(t, "whole table", func() bool { return f.latest().Revision == 5 })
	for range 40 {
		control.set(withPreset(control.Table(), "peak"))
		want := control.Table().Revision
		eventually(t, "change", func() bool { return f.latest().Revision == want })
	}
	elapsed := time.Since(start).Seconds()
	// Both limiters start with a full burst. Heartbeats, here ten per second, are added.
	most := float64(byteBudgetBurstSeconds*budget+budget) + elapsed*(budget+10*64) + partBytes
	is.True(float64(f.metrics.Value("control_bytes_in")) <= most)
	is.True(f.metrics.Value("control_bytes_in") > 40<<10) // more than the bursts was sent
}

// A flapping agent gets its table, but during the damping delay no number and so no new
// flows. When it announces that it is about to stop, that must be committed at once, as
// damping must not keep a leaving target active.
func TestFlappingAgentIsDampedButMayLeave(t *testing.T) {
	is := is.New(t)
	control := newFakeControl(smallTable(5))
	server := serveControl(t, control, func(c *ServerConfig) {
		c.Liveness = liveness.DefaultConfig()
		c.Liveness.DampingThreshold, c.Liveness.DampingBaseDelay, c.Liveness.DampingMaxDelay = 1, time.Hour, time.Hour
	})
	first := startClient(t, "agent-1", asAgent("cartoons"), server.address)
	eventually(t, "agent number", func() bool { return first.AgentNumber() != 0 })
	first.stop()
	eventually(t, "gone", func() bool { return len(server.Subscribers()) == 0 })

	again := startClient(t, "agent-1", func(c *ClientConfig) { asAgent("cartoons")(c); c.Announcement.Incarnation = 2 }, server.address)
	eventually(t, "damped", func() bool { return server.metrics.Value("spread_announce_held") > 0 && again.latest().Revision == 5 })
	is.Equal(control.announced("agent-1").Incarnation, uint64(1))
	again.SetDraining(true)
	eventually(t, "drain announced", func() bool {
		a := control.announced("agent-1")
		return a.Incarnation == 2 && a.Draining
	})
}

// If a control VM dies together with one of its agents, no other VM has the agent's stream.
// The leader adopts the dead VM's subscribers: one that attached here meanwhile must stay
// active, the other must be reported silent with its number.
func TestDeadVMsSubscribersAreAdopted(t *testing.T) {
	is := is.New(t)
	control := newFakeControl(smallTable(5))
	server := serveControl(t, control, func(c *ServerConfig) {
		c.Liveness = liveness.DefaultConfig()
		c.Liveness.AdoptGrace = time.Second
	})
	control.agents["agent-2"] = Announcement{Name: "agent-2", Incarnation: 1, Attachment: 1, Via: "control-dead"}
	back := startClient(t, "agent-1", func(c *ClientConfig) { asAgent("cartoons")(c); c.Announcement.Attachment = 1 }, server.address)
	eventually(t, "agent number", func() bool { return back.AgentNumber() != 0 })
	server.Adopt(RoleAgent, []Silence{
		{Name: "agent-1", Agent: 1, Incarnation: 1, Attachment: 1},
		{Name: "agent-2", Agent: 2, Incarnation: 1, Attachment: 1},
	})
	eventually(t, "report of the other agent", func() bool { return len(control.silenced()) > 0 })
	is.Equal(control.silenced(), []Silence{{Name: "agent-2", Agent: 2, Incarnation: 1, Attachment: 1}})
}

// While the replicated state accepts no commands, an agent must still get its table. It gets
// its number once the announcement can be committed.
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
	eventually(t, "agent number", func() bool { return f.AgentNumber() != 0 })
}

// A balancer that sends heartbeats but doesn't read must not delay changes to others, and the
// server must not queue more than one update for it.
func TestSlowSubscriberDelaysNobody(t *testing.T) {
	is := is.New(t)
	control := newFakeControl(largeTable(5, 300))
	server := serveControl(t, control, func(c *ServerConfig) {
		c.HeartbeatInterval, c.BytesPerSecond, c.SnapshotBytesPerSecond = DefaultHeartbeatInterval, 1<<20, 1<<20
	})
	stuck := dialRaw(t, server.address, hello{Role: RoleBalancer, Announcement: Announcement{Name: "stuck", Incarnation: 1}})
	stop := stuck.sendHeartbeats(t)
	defer stop()
	f := startClient(t, "balancer-0", func(c *ClientConfig) { c.HeartbeatInterval = DefaultHeartbeatInterval }, server.address)
	for range 50 {
		control.set(withPreset(control.Table(), "peak"))
		want := control.Table().Revision
		eventually(t, "change", func() bool { return f.latest().Revision == want })
	}
	for _, s := range server.Subscribers() {
		if s.Name == "stuck" {
			is.Equal(s.Revision, table.Revision(0)) // operators see that it lags
		}
	}
	is.Equal(len(server.Subscribers()), 2)
	is.Equal(server.metrics.Value("spread_snapshots"), int64(2))
	is.True(server.metrics.Value("spread_deltas") < 60) // 50 for the balancer, none queued for the stuck one
}

// When 300 balancers without a table connect at once, only a few snapshots may be sent at a
// time. Those that exceed the queue are told when to retry, and all get the table in the end.
func TestAllReconnectAtOnce(t *testing.T) {
	is := is.New(t)
	control := newFakeControl(largeTable(5, 1200))
	server := serveControl(t, control, func(c *ServerConfig) {
		c.SnapshotLimit, c.SnapshotQueueLimit = 4, 16
		c.SnapshotBytesPerSecond = 4 << 20
		c.Liveness = liveness.DefaultConfig()
	})
	// All slots are taken until the queue is full, so that the result doesn't depend on how
	// fast the balancers connect.
	for range 4 {
		server.snapshotQueue.slots <- struct{}{}
	}
	var all []*testClient
	for i := range 300 {
		all = append(all, startClient(t, "balancer-"+string(rune('a'+i%26))+string(rune('a'+i/26)), func(c *ClientConfig) { c.Seed = uint64(i + 1) }, server.address))
	}
	eventually(t, "full queue", func() bool { return server.metrics.Value("spread_refused_busy") > 0 })
	for range 4 {
		server.snapshotQueue.release()
	}
	most := 0
	eventually(t, "everyone has the table", func() bool {
		most = max(most, server.snapshotQueue.active())
		for _, f := range all {
			if f.latest().Revision != 5 {
				return false
			}
		}
		return true
	})
	is.True(most <= 4)
	is.True(server.metrics.Value("spread_snapshots") >= 300)
	eventually(t, "empty queue", func() bool { return server.snapshotQueue.active() == 0 && server.snapshotQueue.waiting() == 0 })
}

// A process that claims to be a balancer or another agent with an agent's certificate must be
// refused and counted, and no announcement of it may reach control. The agent to which the
// certificate belongs is served.
func TestPeerMustMatchItsCertificate(t *testing.T) {
	is := is.New(t)
	l := newTestLab(t, true)
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
