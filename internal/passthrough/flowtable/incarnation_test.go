package flowtable

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
)

// heartbeat is the interval of announcements that the rig's engine knows.
const heartbeat = time.Second

// Guards against targets whose announcements are ignored for good, and whose drains aren't
// obeyed, because the VM's clock was set back before they restarted.
func TestTargetRestartsAfterTheClockWasSetBack(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	is.Equal(r.announce("i-2", -2000, 1), AnnouncementOutdated)
	r.now += heartbeat
	is.Equal(r.announce("i-2", -2000, 2), AnnouncementAccepted)
	r.now += heartbeat
	is.Equal(r.announceState("i-2", -2000, 3, true), AnnouncementAccepted)
	r.syn(10)
	is.Equal(r.refused, []refusal{{10, peer.Draining}})
}

// Guards against targets that are ignored because they restarted under the same ID and,
// by a clock that was set back, with the same start; their numbers begin anew.
func TestTargetRestartsWithTheSameStart(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.announce("i-1", 0, 50)
	for number := uint64(1); number <= 3; number++ {
		r.now += heartbeat
		is.Equal(r.announce("i-1", 0, number), AnnouncementOutdated)
	}
	r.now += heartbeat
	is.Equal(r.announceState("i-1", 0, 4, true), AnnouncementAccepted)
	is.Equal(r.report().AcceptsFlows, false)
}

// Guards against resets of a living target's flows after another writer announced it with a
// number far ahead, so that its own announcements seem to be those of a restart.
func TestNumberFarAheadResetsNoFlows(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.open(9, 1000)
	r.now += heartbeat
	is.Equal(r.announce("i-1", 0, 1<<50), AnnouncementAccepted)
	accepted := false
	for number := uint64(2); number < 8; number++ {
		r.now += heartbeat
		accepted = r.announce("i-1", 0, number) == AnnouncementAccepted
	}
	is.True(accepted)
	is.Equal(len(r.resets), 0)
	is.Equal(r.verdictOn(9, 1001), peer.Holds)
}

// Guards against resets of a living target's flows because its announcements overtook each
// other: late ones don't make it a restarted target.
func TestAnnouncementsThatOvertakeEachOtherChangeNothing(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.open(9, 1000)
	r.now += heartbeat
	r.announce("i-1", 0, 10)
	is.Equal(r.announce("i-1", 0, 8), AnnouncementOutdated)
	r.now += heartbeat * 2 / 3
	is.Equal(r.announce("i-1", 0, 9), AnnouncementOutdated)
	is.Equal(len(r.resets), 0)
	is.Equal(r.verdictOn(9, 1001), peer.Holds)
}

// Guards against late announcements of dead targets that replace the living one: they
// arrive together, or between the living one's announcements.
func TestLateAnnouncementsDoNotReplaceALivingTarget(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.open(9, 1000)
	is.Equal(r.announce("i-0", -3000, 7), AnnouncementOutdated)
	is.Equal(r.announce("i-0", -3000, 8), AnnouncementOutdated)
	for n := uint64(2); n < 5; n++ {
		r.now += heartbeat
		is.Equal(r.announce("i-1", 0, n), AnnouncementAccepted)
		is.Equal(r.announce("i-0", -3000, 7+n), AnnouncementOutdated)
	}
	is.Equal(len(r.resets), 0)
	is.Equal(r.verdictOn(9, 1001), peer.Holds)
}

// Guards against a living target that is ignored, or whose open flows are reset, after a
// late announcement of a dead one was taken for that of its successor.
func TestTargetReplacedByALateAnnouncementReturns(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	is.Equal(r.announce("i-0", 3000, 7), AnnouncementAccepted) // its clock was ahead
	r.now += heartbeat
	r.open(9, 1000)
	is.Equal(r.announce("i-1", 0, 2), AnnouncementOutdated)
	r.now += heartbeat
	is.Equal(r.announce("i-1", 0, 3), AnnouncementAccepted)
	is.Equal(len(r.resets), 0)
	is.Equal(r.verdictOn(9, 1001), peer.Holds)
	is.Equal(r.verdictOn(10, 5), peer.Unsure)
	r.fromClient(10, packet.ACK, 11, 5, 10)
	is.Equal(len(r.refused), 0)
}

// Guards against clock steps by which a new target's flows are reset, or lost ones aren't.
func TestClockStepsDoNotDecideWhoseFlowsAreReset(t *testing.T) {
	for clock, born := range map[string]int64{"set back": 2000, "set ahead": 60_000} {
		t.Run(clock, func(t *testing.T) { // the target starts 10 s after the agent
			is := is.New(t)
			r := newRig(t)
			r.open(9, 1000)
			r.now += 9 * time.Second
			r.announce("i-1", 0, 2)
			r.now += heartbeat
			r.open(10, 5000) // at the new target, before it announces itself
			is.Equal(r.announce("i-2", born, 1), AnnouncementAccepted)
			is.Equal(r.resets, []reset{{9, 1001}})
			is.Equal(r.verdictOn(10, 5001), peer.Holds)
		})
	}
}

// Guards against a drain that isn't obeyed after crashes and restarts in any order, with stated
// starts that go back and forth and late announcements of targets that have ended.
func TestDrainIsObeyedAfterAnyRestarts(t *testing.T) {
	const calm = 4 // heartbeats
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		r := newRig(t)
		type run struct {
			id     string
			born   int64
			number uint64
		}
		announce := func(x *run, draining bool) AnnouncementResult {
			x.number++
			return r.announceState(x.id, x.born, x.number, draining)
		}
		runs := []*run{{id: "i-1", number: 1}}
		for n := range 1 + rng.IntN(5) {
			for range rng.IntN(4) {
				r.now += time.Duration(rng.Int64N(int64(2 * heartbeat)))
				announce(runs[rng.IntN(len(runs))], false) // the living one's, or a late one
			}
			r.engine.Probed(r.now, rng.IntN(2) == 0)
			runs = append(runs, &run{id: fmt.Sprint("i-", rng.IntN(3)), born: rng.Int64N(10_000) - 5_000 + int64(n)})
		}
		living := runs[len(runs)-1]
		for range calm {
			announce(living, false)
			r.advance(heartbeat)
			r.engine.Probed(r.now, true)
		}
		result := announce(living, true)
		r.syn(10)
		if result != AnnouncementAccepted || !slices.Equal(r.refused, []refusal{{10, peer.Draining}}) {
			t.Fatalf("seed %d: result %d, refused %v", seed, result, r.refused)
		}
	}
}
