package route

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const window = 6 * time.Second

// order has a store carry out an order that a VM took which held a revision, at a time of
// day.
func order(t *testing.T, s *Store, zone string, evacuate bool, seen uint64, at time.Duration) Outcome {
	t.Helper()
	o := EvacuationOrder{Zone: zone, Evacuate: evacuate, Seen: seen, AtMS: at.Milliseconds()}
	command, err := o.Command()
	if err != nil {
		t.Fatal(err)
	}
	return Outcome(s.Apply(1, command)[0])
}

// Guards against orders that are resent and refused, or that change the definition.
func TestEvacuationOrdersAreIdempotent(t *testing.T) {
	is := is.New(t)
	s := NewStore()
	s.Apply(1, command(t, 7))
	is.Equal(order(t, s, "accra-a", false, 0, time.Hour), Overtaken) // never evacuated
	changed := s.Changed()
	is.Equal(order(t, s, "accra-a", true, 0, time.Hour), Accepted)
	<-changed
	is.Equal(order(t, s, "accra-a", true, 0, time.Hour), Overtaken)
	is.Equal(order(t, s, "accra-b", true, 0, time.Hour), Accepted) // another data centre's order is no conflict
	is.Equal(s.Evacuations().Evacuated(), []string{"accra-a", "accra-b"})
	is.Equal(order(t, s, "accra-a", false, 2, time.Hour), Accepted)
	is.Equal(s.Evacuations().Evacuated(), []string{"accra-b"})
	is.Equal(s.Version(), Version(7))
	is.Equal(Outcome(s.Apply(1, []byte{0x93, 1, 2, 3})[0]), Unreadable)
}

// Guards against an order that was held up at a frozen leader and evacuates a data centre
// after its withdrawal was acknowledged.
func TestHeldUpOrderDoesNothing(t *testing.T) {
	is := is.New(t)
	s := NewStore()
	is.Equal(order(t, s, "accra-a", true, 0, time.Hour), Accepted)
	is.Equal(order(t, s, "accra-a", false, 1, time.Hour), Accepted)
	is.Equal(order(t, s, "accra-a", true, 0, time.Hour), Conflicting)
	is.Equal(order(t, s, "accra-a", true, 1, time.Hour), Conflicting)
	is.Equal(len(s.Evacuations().Evacuated()), 0)
	is.Equal(order(t, s, "accra-a", true, 2, time.Hour), Accepted)
}

// Guards against a copy of an order that comes after its opposite was acknowledged: while
// the operator may still be sending copies, it is left without a clear answer.
func TestLateCopyIsLeftOpen(t *testing.T) {
	is := is.New(t)
	s := NewStore()
	late := func(evacuate bool, at time.Duration) bool {
		return s.Evacuations().MayBeLate(EvacuationOrder{Zone: "accra-a", Evacuate: evacuate, AtMS: at.Milliseconds()}, window)
	}
	at := time.Hour
	is.True(!late(true, at))
	order(t, s, "accra-a", true, 0, at)
	is.True(!late(true, at+time.Second))  // a resend
	is.True(!late(false, at+time.Second)) // its opposite was never ordered
	order(t, s, "accra-a", false, 1, at+2*time.Second)
	is.True(!late(false, at+3*time.Second))
	is.True(late(true, at+3*time.Second))
	is.True(!late(true, at+window))
	order(t, s, "accra-a", true, 2, at+window)
	is.True(late(false, at+window+time.Second)) // of the withdrawal two seconds after at
	is.True(!late(false, at+window+2*time.Second))
	is.True(!late(false, at-2*window)) // a VM whose clock is far behind still takes orders
}

// Guards against evacuations that a restart, or a replica that is far behind, forgets.
func TestEvacuationsAreInSnapshots(t *testing.T) {
	is := is.New(t)
	for _, withDefinition := range []bool{false, true} {
		s := NewStore()
		if withDefinition {
			s.Apply(1, command(t, 7))
		}
		order(t, s, "accra-a", true, 0, time.Hour)
		order(t, s, "accra-b", true, 1, time.Hour)
		order(t, s, "accra-b", false, 2, time.Hour)
		snapshot, err := s.Snapshot()
		is.NoErr(err)
		fresh := NewStore()
		is.NoErr(fresh.Restore(snapshot))
		is.Equal(fresh.Evacuations(), s.Evacuations())
		is.Equal(fresh.Version(), s.Version())
		is.True(fresh.Restore(snapshot[:len(snapshot)-1]) != nil)
	}
}

// Guards against replicas that can't read the files of a version without evacuations.
func TestSnapshotOfADefinitionAloneIsRead(t *testing.T) {
	is := is.New(t)
	old, err := Command(good())
	is.NoErr(err)
	s := NewStore()
	is.NoErr(s.Restore(old))
	is.Equal(s.Version(), Version(7))
	is.Equal(s.Evacuations().Revision, uint64(0))
	same, err := s.Snapshot()
	is.NoErr(err)
	is.Equal(same, old)
}

// Guards against a replica that is opened anew and goes back to evacuations of before.
func TestRestoredEvacuationsNeverGoBack(t *testing.T) {
	is := is.New(t)
	s := NewStore()
	order(t, s, "accra-a", true, 0, time.Hour)
	older, err := s.Snapshot()
	is.NoErr(err)
	order(t, s, "accra-a", false, 1, time.Hour)
	is.NoErr(s.Restore(older))
	is.Equal(len(s.Evacuations().Evacuated()), 0)
}

// Guards against state that grows with each name that an operator mistypes.
func TestZonesRememberedAreBounded(t *testing.T) {
	is := is.New(t)
	s := NewStore()
	seen := uint64(0)
	for n := range 2 * maxZones {
		zone := strconv.Itoa(n)
		is.Equal(order(t, s, zone, true, seen, time.Hour), Accepted)
		is.Equal(order(t, s, zone, false, seen+1, time.Hour), Accepted)
		seen += 2
	}
	is.Equal(len(s.Evacuations().Zones), maxZones)
	for n := range maxZones {
		is.Equal(order(t, s, "kept-"+strconv.Itoa(n), true, seen, time.Hour), Accepted)
	}
	is.Equal(order(t, s, "one-more", true, seen+maxZones, time.Hour), Full)
	is.Equal(len(s.Evacuations().Evacuated()), maxZones)
}

func TestZoneNames(t *testing.T) {
	is := is.New(t)
	is.NoErr(ValidateZone("brescia-fornace"))
	for _, name := range []string{"", " ", "a b", "a\n", "é", strings.Repeat("x", maxZoneName+1)} {
		is.Equal(ValidateZone(name), ErrZoneName)
	}
}
