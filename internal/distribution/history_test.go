package distribution

import (
	"fmt"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bergamotstall/internal/table"
)

// drawNextTable draws the next revision, with a few elements added, removed or changed.
func drawNextTable(rt *rapid.T, t *table.Table, nextAgent *table.AgentNumber) *table.Table {
	next := &table.Table{Revision: t.Revision + table.Revision(rapid.IntRange(1, 3).Draw(rt, "step")), Preset: t.Preset, Keys: t.Keys}
	for _, x := range t.Targets {
		switch rapid.IntRange(0, 9).Draw(rt, "target") {
		case 0: // gone
		case 1, 2:
			x.PreviousWeight, x.Weight = x.Weight, uint32(rapid.IntRange(0, 200).Draw(rt, "weight"))
			next.Targets = append(next.Targets, x)
		case 3:
			x.Peer = fmt.Sprintf("10.0.0.%d:9", rapid.IntRange(1, 9).Draw(rt, "peer"))
			next.Targets = append(next.Targets, x)
		default:
			next.Targets = append(next.Targets, x)
		}
	}
	for range rapid.IntRange(0, 2).Draw(rt, "joins") {
		*nextAgent++
		next.Targets = append(next.Targets, table.Target{
			Agent: *nextAgent, Service: table.ServiceID(rapid.IntRange(1, 3).Draw(rt, "service")),
			Host: fmt.Sprint("h", *nextAgent), Tunnel: "10.0.0.1:7", Peer: "10.0.0.1:8", State: table.Active,
		})
	}
	for i := range 4 {
		if rapid.Bool().Draw(rt, "has service") {
			next.Services = append(next.Services, table.Service{ID: table.ServiceID(i + 1), Name: fmt.Sprint("s", i+1), QueueLimit: rapid.IntRange(0, 2).Draw(rt, "queue")})
		}
		if rapid.Bool().Draw(rt, "has balancer") {
			next.Balancers = append(next.Balancers, table.Balancer{Name: fmt.Sprint("b", i), Tunnel: fmt.Sprint(rapid.IntRange(0, 2).Draw(rt, "port"))})
		}
	}
	if rapid.IntRange(0, 4).Draw(rt, "preset") == 0 {
		next.Preset = rapid.SampledFrom([]string{"ordinary", "peak"}).Draw(rt, "name")
	}
	if rapid.IntRange(0, 4).Draw(rt, "keys") == 0 {
		next.Keys = []table.KeySet{{Generation: uint8(rapid.IntRange(1, 3).Draw(rt, "generation")), Reset: []byte{1}}}
	}
	return next
}

// expectedTable returns the part of a table that a view includes, computed directly.
func expectedTable(t *table.Table, v view) *table.Table {
	if v.role == RoleBalancer {
		return t
	}
	out := &table.Table{Revision: t.Revision, Preset: t.Preset, Keys: t.Keys, Balancers: t.Balancers}
	s, ok := t.ServiceNamed(v.service)
	if !ok {
		// A service's entry may be removed while it still has targets.
		return out
	}
	out.Services = []table.Service{s}
	out.Targets = t.TargetsOf(s.ID)
	return out
}

// After any number of missed revisions with any mix of changes, one delta must bring a
// subscriber to control's table. If a delta can't, the digest must show it, and a snapshot
// follows. A subscriber must never hold a mixture of tables.
func TestAnyDeltaLeadsToControlsTable(t *testing.T) {
	views := []view{{role: RoleBalancer}, {role: RoleAgent, service: "s1"}, {role: RoleAgent, service: "s4"}}
	rapid.Check(t, func(rt *rapid.T) {
		h := newHistory()
		next := table.AgentNumber(0)
		newest := drawNextTable(rt, &table.Table{Preset: "ordinary"}, &next)
		h.advance(newest)
		held := make([]*table.Table, len(views))
		for range rapid.IntRange(1, 12).Draw(rt, "revisions") {
			newest = drawNextTable(rt, newest, &next)
			h.advance(newest)
			i := rapid.IntRange(0, len(views)-1).Draw(rt, "who")
			if held[i] == nil {
				held[i] = &table.Table{}
			}
			held[i] = catchUp(rt, h, views[i], held[i])
			if tableDigest(held[i]) != tableDigest(expectedTable(newest, views[i])) || held[i].Revision != newest.Revision {
				rt.Fatalf("view %v differs from control's table", views[i])
			}
		}
	})
}

// catchUp updates a table to the newest revision as a stream does.
func catchUp(rt *rapid.T, h *history, v view, held *table.Table) *table.Table {
	next, err := applyUpdate(held, encodeAndDecode(rt, h.updateSince(v, held.Revision)))
	if errors.Is(err, errDigestMismatch) && held.Revision != 0 {
		next, err = applyUpdate(held, encodeAndDecode(rt, h.updateSince(v, 0)))
	}
	if err != nil {
		rt.Fatalf("view %v: %v", v, err)
	}
	return next
}

func encodeAndDecode(rt *rapid.T, u *update) *update {
	data, deflated, err := encodeUpdate(u)
	if err != nil {
		rt.Fatal(err)
	}
	out, err := decodeUpdate(u.From, u.To, data, deflated)
	if err != nil {
		rt.Fatal(err)
	}
	return out
}

// A balancer's deltas must always lead to control's table; only the view of a service whose
// entry is removed may need a snapshot instead.
func TestBalancersNeedNoSecondDelta(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHistory()
		next := table.AgentNumber(0)
		newest := drawNextTable(rt, &table.Table{}, &next)
		h.advance(newest)
		held, err := applyUpdate(&table.Table{}, h.updateSince(view{role: RoleBalancer}, 0))
		if err != nil {
			rt.Fatal(err)
		}
		for range 10 {
			newest = drawNextTable(rt, newest, &next)
			h.advance(newest)
			u := h.updateSince(view{role: RoleBalancer}, held.Revision)
			if u.From == 0 {
				rt.Fatal("got a snapshot, want a delta")
			}
			if held, err = applyUpdate(held, u); err != nil {
				rt.Fatal(err)
			}
		}
	})
}

// After more removals than there are tombstones, a subscriber with an older revision must get
// a snapshot, as a delta would keep removed targets.
func TestForgottenRemovalsForceAWholeTable(t *testing.T) {
	is := is.New(t)
	h := newHistory()
	full := &table.Table{Revision: 1}
	for i := range tombstoneLimit + 10 {
		full.Targets = append(full.Targets, table.Target{Agent: table.AgentNumber(i + 1), Service: 1})
	}
	h.advance(full)
	half := &table.Table{Revision: 2, Targets: full.Targets[20:]}
	h.advance(half)
	is.Equal(h.updateSince(view{role: RoleBalancer}, 1).From, table.Revision(1))
	h.advance(&table.Table{Revision: 3})
	is.Equal(h.updateSince(view{role: RoleBalancer}, 1).From, table.Revision(0))
	is.Equal(len(h.removedTargets), tombstoneLimit)
}

// If control's state machine fails or restarts from an old copy, a table that isn't newer
// must never be distributed.
func TestHistoryIgnoresTablesThatAreNotNewer(t *testing.T) {
	is := is.New(t)
	h := newHistory()
	is.True(h.advance(smallTable(5)))
	is.True(!h.advance(smallTable(4)))
	is.True(!h.advance(smallTable(5)))
	is.Equal(h.revision, table.Revision(5))
}

// An update with forged sizes must be refused without using much memory or a panic.
func TestForgedUpdatesAreRefused(t *testing.T) {
	is := is.New(t)
	h := newHistory()
	h.advance(smallTable(5))
	u := h.updateSince(view{role: RoleBalancer}, 0)
	good, deflated, err := encodeUpdate(u)
	is.NoErr(err)
	is.True(deflated)
	for cut := range len(good) {
		_, err := decodeUpdate(0, 5, good[:cut], true)
		is.True(err != nil)
	}
	c := shareColumnsOf(u.Targets)
	c.Count = 1 << 40
	_, err = c.targets()
	is.True(errors.Is(err, errMalformedUpdate))

	bomb, err := deflate(make([]byte, updateLimitBytes+1))
	is.NoErr(err)
	_, err = decodeUpdate(0, 5, bomb, true)
	is.True(errors.Is(err, errMalformedUpdate))

	var a partAssembler
	_, _, err = a.add(&part{From: 1, To: 2, Total: updateLimitBytes + 1})
	is.True(errors.Is(err, errProtocol))
	_, _, err = a.add(&part{From: 1, To: 2, Total: 3, Data: make([]byte, 4)})
	is.True(errors.Is(err, errProtocol))
}

// A control VM restored from an old copy may send an older snapshot, or a delta with
// another base revision. The subscriber must keep its table.
func TestOlderTablesAreRefused(t *testing.T) {
	is := is.New(t)
	h := newHistory()
	h.advance(smallTable(5))
	whole := h.updateSince(view{role: RoleBalancer}, 0)
	held, err := applyUpdate(&table.Table{}, whole)
	is.NoErr(err)
	newer := *held
	newer.Revision = 6
	_, err = applyUpdate(&newer, whole)
	is.True(errors.Is(err, errLowerRevision))
	_, err = applyUpdate(&newer, &update{From: 5, To: 7})
	is.True(errors.Is(err, errOtherBase))
	is.Equal(len(newer.Targets), 10) // the held table isn't modified
}

// FuzzUpdate decodes and applies updates of arbitrary bytes. An accepted one must match its
// digest, and the held table must not be modified.
func FuzzUpdate(f *testing.F) {
	h := newHistory()
	h.advance(smallTable(5))
	h.advance(withWeight(smallTable(5), 3, 9))
	for _, from := range []table.Revision{0, 5} {
		data, deflated, err := encodeUpdate(h.updateSince(view{role: RoleBalancer}, from))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint64(from), data, deflated)
	}
	raw, err := columnarUpdateOf(h.updateSince(view{role: RoleBalancer}, 0)).MarshalMsg(nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(uint64(0), raw, false)
	held := smallTable(5)
	before := tableDigest(held)
	f.Fuzz(func(t *testing.T, from uint64, data []byte, deflated bool) {
		u, err := decodeUpdate(table.Revision(from), 6, data, deflated)
		if err != nil {
			return
		}
		next, err := applyUpdate(held, u)
		if err == nil && tableDigest(next) != u.Digest {
			t.Fatal("accepted a table that doesn't match its digest")
		}
		if tableDigest(held) != before {
			t.Fatal("modified the held table")
		}
	})
}
