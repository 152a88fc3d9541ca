package catalogue

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"bergamotstall/internal/distribution"
	"bergamotstall/internal/table"
)

// harness applies commands in log order to one replica.
type harness struct {
	*Catalogue
	index uint64
	nowMS int64
	// log holds the applied commands, answers their encoded outcomes.
	log     [][]byte
	answers [][]byte
}

func newHarness() *harness { return &harness{Catalogue: New(), nowMS: 1_000_000} }

// do applies a command at the harness's time and returns its outcome. It applies a sweep
// first if one is due.
func (h *harness) do(cmd Command) Outcome {
	if h.nowMS-h.state.LastSweepMS >= SweepInterval.Milliseconds() && cmd.Sweep == nil {
		h.propose(Command{Sweep: &Sweep{}})
	}
	return h.propose(cmd)
}

func (h *harness) propose(cmd Command) Outcome {
	h.index++
	if cmd.AtMS == 0 {
		cmd.AtMS = h.nowMS
	}
	if cmd.ProposedBy == "" {
		cmd.ProposedBy = "control-a"
	}
	data, err := cmd.MarshalMsg(nil)
	if err != nil {
		panic(err)
	}
	h.log = append(h.log, data)
	answer := h.Apply(h.index, data)
	h.answers = append(h.answers, answer)
	var out Outcome
	if _, err := out.UnmarshalMsg(answer); err != nil {
		panic(err)
	}
	return out
}

func (h *harness) advance(d time.Duration) { h.nowMS += d.Milliseconds() }

func twoServices() Definition {
	return Definition{
		Services: []ServiceSpec{
			{Name: "casework", Address: "127.0.0.1:8443"},
			{Name: "map-documents", Address: "127.0.0.1:8444"},
		},
		Presets: []Preset{
			{Name: "ordinary"},
			{Name: "peak", Services: []PresetService{{
				Service: "casework", DataCentres: []DataCentreWeight{{Name: "accra-a", Weight: 50}},
				Hosts: []HostWeight{{Host: "casework-1", Weight: 10}},
			}}},
			{Name: "maintenance"},
		},
	}
}

func apply(id string, d Definition) Command {
	return Command{ID: id, Operator: "ama", Apply: &ApplyCatalogue{Definition: d}}
}

func switchTo(id, preset string, expected uint64) Command {
	return Command{ID: id, Operator: "ama", Expected: expected, Switch: &SwitchPreset{Preset: preset}}
}

func announce(service string, n int, incarnation uint64) Command {
	return Command{AnnounceAgent: &AnnounceAgent{Announcement: agentOf(service, n, incarnation)}}
}

func agentOf(service string, n int, incarnation uint64) distribution.Announcement {
	return distribution.Announcement{
		Name: fmt.Sprintf("%s-agent-%d", service, n), Incarnation: incarnation, Attachment: 1,
		DataCentre: fmt.Sprintf("accra-%c", 'a'+n%3), Tunnel: fmt.Sprintf("127.0.2.%d:9000", n+1),
		Peer: fmt.Sprintf("127.0.2.%d:9001", n+1), Service: service, Host: fmt.Sprintf("%s-%d", service, n),
		Slots: 4, Connections: 2000,
	}
}

func silent(a *Agent) Command {
	return Command{AgentSilent: &distribution.Silence{Name: a.Name, Agent: a.Number, Incarnation: a.Incarnation, Attachment: a.Attachment}}
}

// withTargets returns a catalogue with n targets of the service casework.
func withTargets(n int) *harness {
	h := newHarness()
	h.do(apply("first", twoServices()))
	for i := range n {
		h.do(announce("casework", i, 1))
	}
	return h
}

// Guards against an operator who silently undoes another's change: two operators read the
// same version and both switch. The first switch applies; the second gets a conflict with
// the current version.
func TestOneOfTwoConcurrentSwitchesWins(t *testing.T) {
	is := is.New(t)
	h := withTargets(0)
	version := h.Summary().Version

	first := h.do(switchTo("ama-1", "peak", version))
	second := h.do(switchTo("kofi-1", "maintenance", version))

	is.NoErr(first.Err())
	var conflict *VersionConflict
	is.True(errors.As(second.Err(), &conflict))
	is.Equal(conflict.Current, first.Version)
	is.Equal(h.Summary().InForce, "peak")
	is.NoErr(new(Outcome).retry(h, conflict.Current)) // the current version is the one to retry with
}

// retry switches with the version that a conflict returned.
func (*Outcome) retry(h *harness, version uint64) error {
	out := h.do(switchTo("kofi-2", "maintenance", version))
	return out.Err()
}

// Guards against a resend that applies a command twice: the reply to a switch is lost,
// another operator switches to another preset, and the first command is sent again. It
// returns its first outcome, and the later preset stays in force.
func TestResendReturnsTheFirstOutcomeAndChangesNothing(t *testing.T) {
	is := is.New(t)
	h := withTargets(3)
	first := h.do(switchTo("ama-1", "peak", 0))
	h.do(switchTo("kofi-1", "maintenance", 0))
	before := h.Summary()

	resent := switchTo("ama-1", "peak", 0)
	resent.ProposedBy = "control-b"
	h.advance(time.Minute)
	is.Equal(h.do(resent), first)
	is.Equal(h.Summary(), before)
}

func TestResendOfARefusedCommandReturnsTheRefusal(t *testing.T) {
	is := is.New(t)
	h := withTargets(0)
	first := h.do(switchTo("ama-1", "holiday", 0))
	is.Equal(first.Err().Error(), `catalogue: no preset "holiday"`)

	d := twoServices()
	d.Presets = append(d.Presets, Preset{Name: "holiday"})
	h.do(apply("ama-2", d))
	is.Equal(h.do(switchTo("ama-1", "holiday", 0)), first) // the first answer stays valid
}

func TestReusedCommandIDIsAnError(t *testing.T) {
	is := is.New(t)
	h := withTargets(0)
	h.do(switchTo("ama-1", "peak", 0))
	out := h.do(switchTo("ama-1", "maintenance", 0))
	var reused *IdentityReused
	is.True(errors.As(out.Err(), &reused))
	is.Equal(h.Summary().InForce, "peak")
	other := switchTo("ama-1", "peak", 0)
	other.Operator = "kofi"
	again := h.do(other)
	is.True(errors.As(again.Err(), &reused)) // the same ID from another operator
}

func TestOldestOutcomesAreDroppedOverTheLimit(t *testing.T) {
	is := is.New(t)
	h := withTargets(0)
	h.do(switchTo("old", "peak", 0))
	for i := range MaxOutcomes {
		h.do(switchTo(fmt.Sprint("n", i), "peak", 0))
	}
	is.Equal(len(h.state.Outcomes), MaxOutcomes)
	_, known := h.outcomeByID["old"]
	is.True(!known)
	_, known = h.outcomeByID["n0"]
	is.True(known)
}

func TestDefinitionsThatRemoveWhatIsInUseAreRefused(t *testing.T) {
	withoutService := twoServices()
	withoutService.Services = withoutService.Services[1:]
	withoutService.Presets[1].Services = nil
	withoutPreset := twoServices()
	withoutPreset.Presets = withoutPreset.Presets[1:]
	invalid := twoServices()
	invalid.Services[0].Address = "here"

	for _, c := range []struct {
		name string
		d    Definition
		want string
	}{
		{"service with targets", withoutService, `catalogue: refused: service "casework" has 2 targets and is missing from the file; stop its agents first`},
		{"preset in force", withoutPreset, `catalogue: refused: preset "ordinary" is in force and missing from the file; switch to another one first`},
		{"invalid", invalid, `catalogue: invalid: services[0].address: "here" is no address (allowed: ip:port, port 1 to 65535)`},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := withTargets(2)
			before := h.Summary()
			out := h.do(apply("second", c.d))
			is.True(out.Err() != nil)
			is.Equal(out.Err().Error(), c.want)
			is.Equal(h.Summary(), before) // a refused file changes nothing
		})
	}
}

func TestServiceIDsAreNeverReused(t *testing.T) {
	is := is.New(t)
	h := withTargets(0)
	less := twoServices()
	less.Services = less.Services[:1]
	h.do(apply("less", less))
	h.do(apply("again", twoServices()))
	maps, ok := h.Table().ServiceNamed("map-documents")
	is.True(ok)
	is.Equal(maps.ID, table.ServiceID(3))
}

// Guards against packets of an old agent process that reach the new one: a restarted
// agent gets a new number and the old number is retired at once. A delayed announcement
// of the old process changes nothing.
func TestRestartedAgentGetsANewNumber(t *testing.T) {
	is := is.New(t)
	h := withTargets(2)
	out := h.do(announce("casework", 0, 2))
	is.NoErr(out.Err())
	is.Equal(out.Agent, table.AgentNumber(3))
	old, _ := h.Table().Target(1)
	is.Equal(old.State, table.Retired)

	before := h.Summary()
	late := h.do(announce("casework", 0, 1))
	var superseded *SupersededError
	is.True(errors.As(late.Err(), &superseded))
	is.Equal(h.Summary(), before)
}

// Guards against two targets of one service on a host: an agent that registers under a
// new name replaces the host's agent, also after a restore from a snapshot.
func TestAgentWithANewNameReplacesTheHostsAgent(t *testing.T) {
	is := is.New(t)
	h := withTargets(2)
	renamed := announce("casework", 0, 7)
	renamed.AnnounceAgent.Announcement.Name = "another"
	h.do(renamed)
	is.Equal(countState(h, table.Retired), 1)
	restored := New()
	data, err := h.Snapshot()
	is.NoErr(err)
	is.NoErr(restored.Restore(data))
	h.Catalogue = restored
	again := announce("casework", 0, 8)
	again.AnnounceAgent.Announcement.Name = "a third"
	h.do(again)
	is.Equal(countState(h, table.Retired), 2)
}

func TestKnownIncarnationKeepsNumberAndRevision(t *testing.T) {
	is := is.New(t)
	h := withTargets(2)
	before := h.Summary()
	again := announce("casework", 1, 1)
	again.AnnounceAgent.Announcement.Attachment = 2
	again.ProposedBy = "control-b"
	out := h.do(again)
	is.Equal(out.Agent, table.AgentNumber(2))
	is.Equal(h.Summary(), before) // a reconnect doesn't change the table
}

func TestPresetSetsWeightsAndRampStart(t *testing.T) {
	is := is.New(t)
	h := withTargets(3)
	h.advance(time.Hour)
	h.do(switchTo("p", "peak", 0))
	var weights []uint32
	for _, x := range h.Table().Targets {
		weights = append(weights, x.Weight)
	}
	is.Equal(weights, []uint32{50 * 100, 100 * 10, 100 * 100})
	first := h.Table().Targets[0]
	is.Equal(first.PreviousWeight, uint32(100*100))
	is.Equal(first.ChangedAtMS, h.nowMS)
	third := h.Table().Targets[2]
	is.True(third.ChangedAtMS < h.nowMS) // its weight didn't change
}

func TestDrainAppliesToAgentsThatRegisterLater(t *testing.T) {
	is := is.New(t)
	h := withTargets(2)
	out := h.do(Command{ID: "d", Operator: "ama", Drain: &DrainHost{Host: "casework-2"}})
	is.NoErr(out.Err())
	h.do(announce("casework", 2, 1))
	x, _ := h.Table().Target(3)
	is.Equal(x.State, table.Draining)
	h.do(Command{ID: "u", Operator: "ama", Undrain: &UndrainHost{Host: "casework-2"}})
	x, _ = h.Table().Target(3)
	is.Equal(x.State, table.Active)
}

// Guards against an operator who drains the last host of a service unawares: the drain
// is accepted with a warning.
func TestDrainOfTheLastTargetWarns(t *testing.T) {
	is := is.New(t)
	h := withTargets(2)
	out := h.do(Command{ID: "d0", Operator: "ama", Drain: &DrainHost{Host: "casework-0"}})
	is.Equal(out.Text, "casework-0 drains, 1 targets on it")
	out = h.do(Command{ID: "d1", Operator: "ama", Drain: &DrainHost{Host: "casework-1"}})
	is.Equal(out.Text, "casework-1 drains, 1 targets on it; WARNING: no target takes new work for 1 services: casework")
	out = h.do(Command{ID: "u1", Operator: "ama", Undrain: &UndrainHost{Host: "casework-1"}})
	is.Equal(out.Text, "casework-1 gets new work again, 1 targets on it")
}

func TestRotationInSteps(t *testing.T) {
	is := is.New(t)
	h := withTargets(0)
	step := func(id string, r RotateKeys) error {
		out := h.do(Command{ID: id, Operator: "ama", RotateKeys: &r})
		return out.Err()
	}
	signing := func() uint8 {
		k, err := h.Table().CurrentKeys()
		is.NoErr(err)
		return k.Generation
	}
	is.True(step("p0", RotateKeys{Step: KeyStepPrepare, Keys: someKeys()}) != nil) // no first generation yet
	is.NoErr(step("f", RotateKeys{Step: KeyStepFirst, Keys: someKeys()}))
	is.True(step("f2", RotateKeys{Step: KeyStepFirst, Keys: someKeys()}) != nil)
	is.True(step("s0", RotateKeys{Step: KeyStepSign}) != nil) // no prepared key generation that could start to sign
	is.NoErr(step("p", RotateKeys{Step: KeyStepPrepare, Keys: someKeys()}))
	is.Equal(signing(), uint8(1)) // the prepared generation doesn't sign
	is.Equal(len(h.Table().Keys), 2)
	is.True(step("d0", RotateKeys{Step: KeyStepDrop}) != nil)
	is.NoErr(step("s", RotateKeys{Step: KeyStepSign}))
	is.Equal(signing(), uint8(2))
	is.True(step("d1", RotateKeys{Step: KeyStepDrop}) != nil) // open flows carry generation 1
	h.advance(MinAcceptance)
	is.NoErr(step("d", RotateKeys{Step: KeyStepDrop}))
	is.Equal(len(h.Table().Keys), 1)
}

func someKeys() *table.KeySet {
	return &table.KeySet{
		ConnID: make([]byte, 16), Envelope: make([]byte, 32), Reset: make([]byte, 32),
		Token: make([]byte, 32), Hash: make([]byte, 16),
	}
}

// Guards against a control VM whose clock is an hour ahead: a switch that it proposes
// takes effect within seconds, and so does the next switch.
func TestFastClockOfOneVMDoesNotDelayAPreset(t *testing.T) {
	is := is.New(t)
	h := withTargets(1)
	fast := switchTo("p", "peak", 0)
	fast.AtMS = h.nowMS + time.Hour.Milliseconds()
	h.do(fast)
	changed := h.Table().Targets[0].ChangedAtMS
	is.True(changed <= h.nowMS+maxClockAdvance.Milliseconds())
	h.advance(maxClockAdvance)
	h.do(switchTo("o", "ordinary", 0))
	is.Equal(h.Table().Targets[0].ChangedAtMS, h.nowMS)

	late := announce("casework", 5, 1) // an agent must never appear older than it is
	late.AtMS = h.nowMS + time.Hour.Milliseconds()
	h.do(late)
	is.Equal(h.Table().Targets[1].JoinedAtMS, late.AtMS)
}
