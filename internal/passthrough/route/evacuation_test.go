package route

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// order applies an order that a VM received at the given time, holding the revision seen.
func order(t *testing.T, s *ReplicatedStore, zone string, evacuate bool, seen uint64, at time.Duration) Outcome {
	t.Helper()
	o := EvacuationOrder{Zone: zone, Evacuate: evacuate, SeenRevision: seen, AtMS: at.Milliseconds()}
	command, err := o.Command()
	if err != nil {
		t.Fatal(err)
	}
	return Outcome(s.Apply(1, command)[0])
}

// Guards against resent orders that are refused, and against orders that change the
// definition.
func TestEvacuationOrdersAreIdempotent(t *testing.T) {
	is := is.New(t)
	s := NewReplicatedStore()
	s.Apply(1, command(t, 7))
	is.Equal(order(t, s, "accra-a", false, 0, time.Hour), Redundant) // never evacuated
	changed := s.Changed()
	is.Equal(order(t, s, "accra-a", true, 0, time.Hour), Accepted)
	<-changed
	is.Equal(order(t, s, "accra-a", true, 0, time.Hour), Redundant)
	is.Equal(order(t, s, "accra-b", true, 0, time.Hour), Accepted) // another data centre's order is no conflict
	is.Equal(s.Evacuations().Evacuated(), []string{"accra-a", "accra-b"})
	is.Equal(order(t, s, "accra-a", false, 2, time.Hour), Accepted)
	is.Equal(s.Evacuations().Evacuated(), []string{"accra-b"})
	is.Equal(s.Version(), Version(7))
	is.Equal(Outcome(s.Apply(1, []byte{0x93, 1, 2, 3})[0]), Malformed)
}

// Guards against an order that is delayed at a frozen leader and evacuates a data centre
// after the withdrawal was acknowledged.
func TestDelayedOrderHasNoEffect(t *testing.T) {
	is := is.New(t)
	s := NewReplicatedStore()
	is.Equal(order(t, s, "accra-a", true, 0, time.Hour), Accepted)
	is.Equal(order(t, s, "accra-a", false, 1, time.Hour), Accepted)
	is.Equal(order(t, s, "accra-a", true, 0, time.Hour), Conflict)
	is.Equal(order(t, s, "accra-a", true, 1, time.Hour), Conflict)
	is.Equal(len(s.Evacuations().Evacuated()), 0)
	is.Equal(order(t, s, "accra-a", true, 2, time.Hour), Accepted)
}

// Guards against evacuations that are lost when a replica restarts or catches up from a
// snapshot.
func TestEvacuationsAreInSnapshots(t *testing.T) {
	is := is.New(t)
	for _, withDefinition := range []bool{false, true} {
		s := NewReplicatedStore()
		if withDefinition {
			s.Apply(1, command(t, 7))
		}
		order(t, s, "accra-a", true, 0, time.Hour)
		order(t, s, "accra-b", true, 1, time.Hour)
		order(t, s, "accra-b", false, 2, time.Hour)
		snapshot, err := s.Snapshot()
		is.NoErr(err)
		fresh := NewReplicatedStore()
		is.NoErr(fresh.Restore(snapshot))
		is.Equal(fresh.Evacuations(), s.Evacuations())
		is.Equal(fresh.Version(), s.Version())
		is.True(fresh.Restore(snapshot[:len(snapshot)-1]) != nil)
	}
}

// Guards against replicas that can't read snapshots of versions without evacuations.
func TestRestoreSnapshotWithoutEvacuations(t *testing.T) {
	is := is.New(t)
	old, err := Command(validDefinition())
	is.NoErr(err)
	s := NewReplicatedStore()
	is.NoErr(s.Restore(old))
	is.Equal(s.Version(), Version(7))
	is.Equal(s.Evacuations().Revision, uint64(0))
	same, err := s.Snapshot()
	is.NoErr(err)
	is.Equal(same, old)
}

// Guards against a reopened replica that returns to older evacuations from its snapshot.
func TestRestoreKeepsNewerEvacuations(t *testing.T) {
	is := is.New(t)
	s := NewReplicatedStore()
	order(t, s, "accra-a", true, 0, time.Hour)
	older, err := s.Snapshot()
	is.NoErr(err)
	order(t, s, "accra-a", false, 1, time.Hour)
	is.NoErr(s.Restore(older))
	is.Equal(len(s.Evacuations().Evacuated()), 0)
}

// Guards against state that grows with every mistyped name of a data centre.
func TestNumberOfZonesIsBounded(t *testing.T) {
	is := is.New(t)
	s := NewReplicatedStore()
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
	is.Equal(order(t, s, "one-more", true, seen+maxZones, time.Hour), TooManyZones)
	is.Equal(len(s.Evacuations().Evacuated()), maxZones)
}

func TestZoneNames(t *testing.T) {
	is := is.New(t)
	is.NoErr(ValidateZone("brescia-fornace"))
	for _, name := range []string{"", " ", "a b", "a\n", "é", strings.Repeat("x", maxZoneNameBytes+1)} {
		is.Equal(ValidateZone(name), ErrZoneName)
	}
}
