package catalogue

import (
	"bytes"
	"testing"

	"github.com/tinylib/msgp/msgp"

	"bergamotstall/internal/distribution"
)

// Guards against a command that makes Apply panic: it would crash every replica, and
// again at each start, since it is in the log. For any bytes Apply returns an outcome,
// and the state can be restored from its snapshot.
func FuzzApply(f *testing.F) {
	agent := agentOf("casework", 0, 2)
	for _, cmd := range []Command{
		apply("a", twoServices()), switchTo("b", "peak", 1),
		{ID: "c", Drain: &DrainHost{Host: "casework-0"}}, {ID: "d", Undrain: &UndrainHost{Host: "casework-0"}},
		{ID: "e", RotateKeys: &RotateKeys{Step: KeyStepFirst, Keys: someKeys()}}, {ID: "f", RotateKeys: &RotateKeys{Step: KeyStepDrop, Early: true}},
		{AnnounceAgent: &AnnounceAgent{Announcement: agent}}, {AnnounceBalancer: &AnnounceBalancer{Announcement: agent}},
		{AgentSilent: &distribution.Silence{Name: agent.Name, Agent: 1, Incarnation: 1, Attachment: 1}},
		{BalancerSilent: &distribution.Silence{Name: "b"}}, {Sweep: &Sweep{}, AtMS: 1 << 62}, {Sweep: &Sweep{}, AtMS: -1 << 62},
	} {
		data, err := cmd.MarshalMsg(nil)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0xc1})
	f.Add(commandWithForgedLength(f))
	f.Fuzz(func(t *testing.T, command []byte) {
		h := withTargets(3)
		var out Outcome
		for range 2 {
			h.index++
			if _, err := out.UnmarshalMsg(h.Apply(h.index, command)); err != nil {
				t.Fatal(err)
			}
		}
		h.do(switchTo("after", "peak", 0))
		h.do(Command{Sweep: &Sweep{}})
		h.Table()
		data, err := h.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := New().Restore(data); err != nil {
			t.Fatal(err)
		}
	})
}

// commandWithForgedLength returns a command whose list of services claims four billion
// entries.
func commandWithForgedLength(f *testing.F) []byte {
	cmd := apply("a", Definition{Services: []ServiceSpec{{}}})
	data, err := cmd.MarshalMsg(nil)
	if err != nil {
		f.Fatal(err)
	}
	one := append(msgp.AppendString(nil, "s"), 0x91)
	many := append(msgp.AppendString(nil, "s"), 0xdd, 0xff, 0xff, 0xff, 0xff)
	if !bytes.Contains(data, one) {
		f.Fatal("no list of one service in the command")
	}
	return bytes.Replace(data, one, many, 1)
}

// Guards against a damaged snapshot from the disk or from another replica: Restore
// returns an error and leaves the state unchanged.
func FuzzRestore(f *testing.F) {
	h := withTargets(2)
	data, err := h.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Add(append(append([]byte{0x81}, msgp.AppendString(nil, "a")...), 0xdd, 0xff, 0xff, 0xff, 0xff))
	f.Fuzz(func(t *testing.T, snapshot []byte) {
		h := withTargets(1)
		before := h.Summary()
		if err := h.Restore(snapshot); err != nil && h.Summary() != before {
			t.Fatal("a refused snapshot changed the state")
		}
		h.do(switchTo("after", "peak", 0))
		h.Table()
	})
}
