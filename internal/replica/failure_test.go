package replica

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"bergamotstall/internal/metrics"
	"bergamotstall/internal/raft"
)

// Guards against stale answers from a leader in a minority partition. The other side
// elects a leader and continues; the cut-off one must refuse reads and run nothing. After
// the partition heals, all three hold what the majority accepted.
func TestLeaderAcrossPartition(t *testing.T) {
	is := is.New(t)
	members := startThree(t, nil)
	mustPropose(t, members[0], "before")
	old := leaderOf(t, members)
	rest := others(members, old)
	old.net.isolate(old, members, true)

	_, err := old.Propose(withTimeout(t, 500*time.Millisecond), []byte("lost"))
	is.True(errors.Is(err, ErrOutcomeUnknown) || errors.Is(err, ErrNotRun))
	mustPropose(t, leaderOf(t, rest), "during")
	err = old.Barrier(withTimeout(t, 200*time.Millisecond))
	is.True(errors.Is(err, ErrNotRun)) // a read that can't be confirmed as current is refused
	_, err = old.Propose(withTimeout(t, 200*time.Millisecond), []byte("refused"))
	is.True(errors.Is(err, ErrNotRun)) // it has stepped down and knows no leader
	is.True(old.Status().State != raft.Leader)
	age := old.ContactAge()
	waitFor(t, "its contact age to rise", func() bool { return old.ContactAge() > age+50*time.Millisecond })

	old.net.isolate(old, members, false)
	mustPropose(t, old, "after")
	requireCommands(t, members, []string{"before", "during", "after"})
	waitFor(t, "contact with the quorum", func() bool { return old.ContactAge() < age })
}

// Guards against half-open connections. A firewall drops its state, so open connections
// carry nothing while new ones work. Without pings the followers would hear no leader
// until the kernel closes the connections, minutes later.
func TestHalfOpenConnectionsAreReplaced(t *testing.T) {
	members := startThree(t, nil)
	mustPropose(t, members[1], "before")
	for _, a := range members {
		for _, b := range members {
			if a != b {
				a.net.muteConns(a, b)
			}
		}
	}
	mustPropose(t, members[2], "after")
	requireCommands(t, members, []string{"before", "after"})
}

func others(members []*member, not *member) []*member {
	var out []*member
	for _, m := range members {
		if m != not {
			out = append(out, m)
		}
	}
	return out
}

// Guards against an outage of an election timeout on a planned stop: a stopping leader
// transfers leadership first.
func TestStoppingLeaderTransfersLeadership(t *testing.T) {
	is := is.New(t)
	members := startThree(t, func(c *Config) { c.ElectionTimeout = 20 * time.Second })
	old := leaderOf(t, members)
	mustPropose(t, old, "before")
	is.NoErr(old.Close())
	rest := others(members, old)
	// The command may still reach the old leader's stopped process and end as unknown. It
	// is resent, and must be answered before the shortest election timeout.
	ctx := withTimeout(t, 15*time.Second)
	_, err := rest[0].Propose(ctx, []byte("after"))
	for errors.Is(err, ErrOutcomeUnknown) && ctx.Err() == nil {
		_, err = rest[0].Propose(ctx, []byte("after"))
	}
	is.NoErr(err)
	requireCommands(t, rest, []string{"before", "after"})
}

// Guards against running a command that was reported as not run, here by a replica
// without a cluster or a leader.
func TestRefusedCommandsNeverRun(t *testing.T) {
	is := is.New(t)
	m := newMember(t, newNetwork(), "a")
	m.start() // no bootstrap: no cluster, no leader
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := m.Propose(ctx, []byte("x"))
	is.True(errors.Is(err, ErrNotRun))
	is.True(errors.Is(m.Barrier(ctx), ErrNotRun))
	is.Equal(len(m.sm.all()), 0)
	is.Equal(m.Status().Term, raft.Term(0)) // a replica with a new folder doesn't campaign
}

// Guards against a memory leak: a leader's reply is lost with its connection and the
// caller times out. Without cleanup, each lost reply would keep its command in memory for
// as long as that leader leads.
func TestAbandonedForwardsAreDropped(t *testing.T) {
	is := is.New(t)
	r := &Replica{forwards: map[uint64]forwarded{}, count: newCounters(metrics.New())}
	lost, open := new(request), new(request)
	for n, q := range []*request{lost, open} {
		q.state.Store(requestTaken)
		r.forwards[uint64(n)] = forwarded{request: q}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	res := r.abandon(lost, make(chan result), ctx)
	is.True(errors.Is(res.err, ErrOutcomeUnknown)) // it was forwarded, so it may run
	r.dropAbandonedForwards()
	is.Equal(len(r.forwards), 1)
	is.Equal(r.forwards[1].request, open)
}

// Guards against commands that wait for an election timeout because the voter that a stopping
// leader asks to lead stops at the same time.
func TestStoppingLeaderAsksAnotherVoter(t *testing.T) {
	is := is.New(t)
	noElections := func(c *Config) {
		tolerate(2)(c)
		c.ElectionTimeout = 2 * waitTimeout
	}
	members := startThree(t, noElections)
	members = append(members, startNewcomers(t, members, noElections, "d", "e")...)
	waitVoters(t, members, 5)
	stopping := []*member{lastJoined(members), leaderOf(t, members)}
	rest := others(others(members, stopping[0]), stopping[1])
	for _, m := range stopping {
		is.NoErr(m.Close())
	}
	mustPropose(t, leaderOf(t, rest), "after")
}
