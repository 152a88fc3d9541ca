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

// An operator talks to a leader that is on the far side of a partition and
// doesn't know. The other side elects a leader and goes on. The cut-off one
// must answer nothing as current and run nothing; back together, all three hold
// what the majority accepted.
func TestLeaderAcrossPartition(t *testing.T) {
	is := is.New(t)
	members := trio(t, nil)
	mustPropose(t, members[0], "before")
	old := leaderOf(t, members)
	rest := others(members, old)
	old.net.isolate(old, members, true)

	_, err := old.Propose(within(t, 500*time.Millisecond), []byte("lost"))
	is.True(errors.Is(err, ErrOutcomeUnknown) || errors.Is(err, ErrNotRun))
	mustPropose(t, leaderOf(t, rest), "during")
	err = old.Barrier(within(t, 200*time.Millisecond))
	is.True(errors.Is(err, ErrNotRun)) // a read that can't be current is refused
	_, err = old.Propose(within(t, 200*time.Millisecond), []byte("refused"))
	is.True(errors.Is(err, ErrNotRun)) // it has stepped down and knows no leader
	is.True(old.Status().State != raft.Leader)
	age := old.ContactAge()
	await(t, "the age of its word to rise", func() bool { return old.ContactAge() > age+50*time.Millisecond })

	old.net.isolate(old, members, false)
	mustPropose(t, old, "after")
	sameCommands(t, members, []string{"before", "during", "after"})
	await(t, "fresh word", func() bool { return old.ContactAge() < age })
}

// A firewall forgets the connections between leader and followers: they stay
// open and carry nothing, while new ones work. Without pings the followers
// would hear no leader until the kernel gave up, minutes later.
func TestHalfOpenConnectionsAreReplaced(t *testing.T) {
	members := trio(t, nil)
	mustPropose(t, members[1], "before")
	for _, a := range members {
		for _, b := range members {
			if a != b {
				a.net.silence(a, b)
			}
		}
	}
	mustPropose(t, members[2], "after")
	sameCommands(t, members, []string{"before", "after"})
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

// A stopped leader hands over, so that an operator's next command meets a
// leader without waiting for an election timeout.
func TestStoppingLeaderHandsOver(t *testing.T) {
	is := is.New(t)
	members := trio(t, func(c *Config) { c.ElectionTimeout = 20 * time.Second })
	old := leaderOf(t, members)
	mustPropose(t, old, "before")
	is.NoErr(old.Close())
	rest := others(members, old)
	// The command may still go to the old leader's closed process and end as
	// unknown; it is resent, and answered before the shortest election timeout
	// is over.
	ctx := within(t, 15*time.Second)
	_, err := rest[0].Propose(ctx, []byte("after"))
	for errors.Is(err, ErrOutcomeUnknown) && ctx.Err() == nil {
		_, err = rest[0].Propose(ctx, []byte("after"))
	}
	is.NoErr(err)
	sameCommands(t, rest, []string{"before", "after"})
}

// Nothing that a caller was told was not run may show up later, and what it was
// told is done must stay.
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
	is.Equal(m.Status().Term, raft.Term(0)) // a fresh folder campaigns for nothing
}

// A leader's answer is lost with its connection and the caller's time ends.
// Nothing of the request may stay behind: under a leader that leads for weeks
// each lost answer would keep its command in memory.
func TestRequestsThatNobodyWaitsForAreForgotten(t *testing.T) {
	is := is.New(t)
	r := &Replica{forwards: map[uint64]forwarded{}, count: newCounters(metrics.New())}
	lost, open := new(request), new(request)
	for n, q := range []*request{lost, open} {
		q.state.Store(requestTaken)
		r.forwards[uint64(n)] = forwarded{request: q}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	res := r.giveUp(lost, make(chan result), ctx)
	is.True(errors.Is(res.err, ErrOutcomeUnknown)) // it was handed over, so it may run
	r.dropForwards()
	is.Equal(len(r.forwards), 1)
	is.Equal(r.forwards[1].request, open)
}
