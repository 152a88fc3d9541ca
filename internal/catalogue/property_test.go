package catalogue

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamotstall/internal/distribution"
	"bergamotstall/internal/table"
)

// randomCommand draws a command. It uses few names, so that commands collide.
func randomCommand(t *rapid.T, h *harness) Command {
	id := fmt.Sprint("id-", rapid.IntRange(0, 60).Draw(t, "id"))
	host := rapid.IntRange(0, 5).Draw(t, "host")
	expected := uint64(0)
	if rapid.Bool().Draw(t, "guarded") {
		expected = h.Summary().Version - uint64(rapid.IntRange(0, 1).Draw(t, "behind"))
	}
	cmd := Command{ID: id, Operator: "ama", Expected: expected}
	switch rapid.IntRange(0, 11).Draw(t, "kind") {
	case 0:
		cmd.Apply = &ApplyCatalogue{Definition: randomDefinition(t)}
	case 1, 2:
		cmd.Switch = &SwitchPreset{Preset: rapid.SampledFrom([]string{"ordinary", "peak", "maintenance", "none"}).Draw(t, "preset")}
	case 3:
		cmd.Drain = &DrainHost{Host: fmt.Sprint("casework-", host)}
	case 4:
		cmd.Undrain = &UndrainHost{Host: fmt.Sprint("casework-", host)}
	case 5:
		step := rapid.SampledFrom([]KeyStep{KeyStepFirst, KeyStepPrepare, KeyStepSign, KeyStepDrop}).Draw(t, "step")
		cmd.RotateKeys = &RotateKeys{Step: step, Keys: someKeys(), Early: true}
	case 6, 7:
		service := rapid.SampledFrom([]string{"casework", "map-documents"}).Draw(t, "service")
		a := agentOf(service, host, uint64(rapid.IntRange(1, 4).Draw(t, "incarnation")))
		a.Attachment = uint64(rapid.IntRange(1, 3).Draw(t, "attachment"))
		a.Draining = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
		return Command{AnnounceAgent: &AnnounceAgent{Announcement: a}}
	case 8, 9:
		if agents := h.Agents(); len(agents) > 0 {
			return silent(&agents[rapid.IntRange(0, len(agents)-1).Draw(t, "silent")])
		}
		return Command{Sweep: &Sweep{}}
	case 10:
		name := fmt.Sprint("b", host)
		return Command{AnnounceBalancer: &AnnounceBalancer{Announcement: distribution.Announcement{Name: name, Incarnation: 1, Tunnel: "127.0.3.1:7000"}}}
	case 11:
		return Command{BalancerSilent: &distribution.Silence{Name: fmt.Sprint("b", host), Incarnation: 1}}
	}
	return cmd
}

func randomDefinition(t *rapid.T) Definition {
	d := twoServices()
	if rapid.Bool().Draw(t, "one service") {
		d.Services = d.Services[:1]
	}
	first := rapid.IntRange(0, 2).Draw(t, "first preset")
	d.Presets = d.Presets[first:]
	return d
}

// invariants checks what must hold after every command.
type invariants struct {
	last          Summary
	incarnationOf map[table.AgentNumber]string
	highest       table.AgentNumber
}

func (v *invariants) check(t *rapid.T, h *harness) {
	summary := h.Summary()
	if summary.Version < v.last.Version || summary.Revision < v.last.Revision {
		t.Fatalf("version or revision went back from %+v to %+v", v.last, summary)
	}
	if len(h.Services()) > 0 {
		matches := 0
		for _, p := range h.Presets() {
			if p.Name == summary.InForce {
				matches++
			}
		}
		if matches != 1 {
			t.Fatalf("%d presets have the name in force, %q; expected 1", matches, summary.InForce)
		}
	}
	for _, a := range h.Agents() {
		who := fmt.Sprint(a.Service, a.Host, a.Name, a.Incarnation)
		if was, ok := v.incarnationOf[a.Number]; ok && was != who {
			t.Fatalf("agent number %d was bound to %s and is now bound to %s", a.Number, was, who)
		}
		if _, ok := v.incarnationOf[a.Number]; !ok && a.Number <= v.highest {
			t.Fatalf("agent number %d was assigned after a higher one", a.Number)
		}
		v.incarnationOf[a.Number] = who
		v.highest = max(v.highest, a.Number)
	}
	v.last = summary
}

// Guards against replicas that diverge: a replica that applied every command and one that
// was restored from a snapshot and applied the rest have the same state, byte by byte.
func TestReplayEqualsSnapshotAndRest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness()
		h.do(apply("first", twoServices()))
		v := &invariants{incarnationOf: map[table.AgentNumber]string{}}
		n := rapid.IntRange(1, 120).Draw(t, "commands")
		snapshotAfter := rapid.IntRange(1, n).Draw(t, "snapshot after")
		var snapshot []byte
		applied := 0
		for i := range n {
			h.advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "seconds")) * time.Second)
			h.do(randomCommand(t, h))
			v.check(t, h)
			if i+1 == snapshotAfter {
				snapshot, applied = snapshotOf(t, h.Catalogue), len(h.log)
			}
		}
		other := New()
		if err := other.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
		for i := applied; i < len(h.log); i++ {
			if !slices.Equal(other.Apply(uint64(i+1), h.log[i]), h.answers[i]) {
				t.Fatalf("command %d has a different outcome after a restore", i)
			}
		}
		if !slices.Equal(snapshotOf(t, other), snapshotOf(t, h.Catalogue)) {
			t.Fatal("states differ")
		}
		a, _ := other.Table().MarshalMsg(nil)
		b, _ := h.Table().MarshalMsg(nil)
		if !slices.Equal(a, b) {
			t.Fatal("tables differ")
		}
	})
}

// Guards against one revision that stands for two tables, also after a command that was
// refused or changed nothing in the table.
func TestRevisionIdentifiesOneTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness()
		h.do(apply("first", twoServices()))
		seen := map[table.Revision][]byte{}
		for range rapid.IntRange(1, 80).Draw(t, "commands") {
			h.advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "seconds")) * time.Second)
			h.do(randomCommand(t, h))
			h.cachedTable = nil // forces a rebuild
			x, _ := h.Table().MarshalMsg(nil)
			if was, ok := seen[h.Table().Revision]; ok && !slices.Equal(was, x) {
				t.Fatalf("revision %d has two different tables", h.Table().Revision)
			}
			seen[h.Table().Revision] = x
		}
	})
}

func snapshotOf(t *rapid.T, c *Catalogue) []byte {
	data, err := c.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}
