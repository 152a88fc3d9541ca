package replica

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"bergamotstall/internal/quorum"
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
	is.True(old.Status().State != quorum.Leader)
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
	_, err := rest[0].Propose(within(t, 15*time.Second), []byte("after"))
	is.NoErr(err) // before the shortest election timeout is over
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
	is.Equal(m.Status().Term, quorum.Term(0)) // a fresh folder campaigns for nothing
}
