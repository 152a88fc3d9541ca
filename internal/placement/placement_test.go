package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/table"
)

func TestDrawFollowsSharesAndDistance(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	peers := []Peer{
		{Agent: 1, Near: true, Share: 90}, {Agent: 2, Near: true, Share: 10},
		{Agent: 3, Near: true}, {Agent: 4, Near: true, Share: 50}, {Agent: 5, Share: 100},
	}
	first := map[table.AgentNumber]int{}
	for range 2000 {
		drawn := Draw(rng, peers, true, []table.AgentNumber{4})
		is.Equal(len(drawn), 2) // agents 1 and 2: 3 has no share, 4 was tried, 5 is far
		first[drawn[0].Agent]++
	}
	is.True(first[1] > 1700 && first[1] < 1900)
	is.Equal(first[3]+first[4]+first[5], 0)
	is.Equal(Draw(rng, peers, false, nil), []Peer{peers[4]})
}

// During a burst a request must stay on the host that received it while that has little
// load. Once half of its slots are taken, peers are probed, and the request moves only to a peer that is expected to be
// faster.
func TestBurstMovesOnlyToFasterPeers(t *testing.T) {
	is := is.New(t)
	work := 50 * time.Millisecond
	is.True(!ShouldProbe(Load{Slots: 7, Running: 3}))
	is.True(ShouldProbe(Load{Slots: 7, Running: 4}))
	is.True(ShouldProbe(Load{Slots: 7, Running: 1, Waiting: 1}))
	home := Load{Slots: 7, Running: 5, Hold: work}
	idle, busy := Load{Slots: 7, Hold: work}, Load{Slots: 7, Running: 5, Hold: work}
	is.Equal(Best(home, []Load{busy, idle}), 1)
	is.Equal(Best(home, []Load{busy, busy}), -1)

	full := Load{Slots: 7, Running: 7, Hold: work}
	is.Equal(Best(full, []Load{full, busy}), 1)
	// Saturation: no host has room, and the request stays on the host that received it.
	is.Equal(Best(full, []Load{full, {Slots: 7, Closed: true}}), -1)
}

// A slow target has a free slot, a fast one has less room: the fast one must get the
// request, because its answer comes earlier.
func TestSlowTargetIsAvoided(t *testing.T) {
	is := is.New(t)
	slow := Load{Slots: 7, Running: 1, Hold: 400 * time.Millisecond}
	quick := Load{Slots: 7, Running: 4, Hold: 50 * time.Millisecond}
	is.Equal(Best(Load{Closed: true}, []Load{slow, quick}), 1)
}
