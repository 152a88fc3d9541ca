package catalogue

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/distribution"
	"bergamotstall/internal/table"
)

func TestShareThatSilenceAloneMayTakeOut(t *testing.T) {
	for _, c := range []struct {
		name      string
		live, out int
		want      bool
	}{
		{"one of seven", 7, 0, true},
		{"third of seven: a data centre", 5, 2, true},
		{"fourth of seven: a wave", 4, 3, false},
		{"one of three", 3, 0, true},
		{"second of three", 2, 1, false},
		{"one of two", 2, 0, true},
		{"the last one", 1, 0, false},
		{"the last one, others long gone", 1, 1, false},
		{"large service, a third", 667, 333, true},
		{"large service, more", 666, 334, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(wave{live: c.live, out: c.out}.believe(), c.want)
		})
	}
}

func TestLastIdleTargetMayGoOut(t *testing.T) {
	is := is.New(t)
	is.True(wave{live: 1, idle: true}.believe())
	is.True(!wave{live: 2, out: 1, idle: true}.believe())
}

// A control VM loses its link to the agents, though not to the other control
// VMs, and reports one agent after another as silent. Callers see nothing: a
// third of the targets drain at most, the others stay in, marked as suspects.
func TestWaveOfSilenceDoesNotEmptyAService(t *testing.T) {
	is := is.New(t)
	h := withTargets(7)
	for _, a := range h.Agents() {
		h.do(silent(&a))
	}
	is.Equal(countState(h, table.Active), 4)
	is.Equal(countState(h, table.Draining), 3)

	h.pass(time.Minute)
	for _, a := range h.Agents() {
		h.do(silent(&a)) // reported again and again
	}
	is.Equal(countState(h, table.Active), 4)

	for i := range 7 { // the link is back
		again := announce("casework", i, 1)
		again.AnnounceAgent.Announcement.Attachment = 2
		h.do(again)
	}
	is.Equal(countState(h, table.Active), 7)
	is.Equal(h.Table().Targets[0].Agent, table.AgentNumber(1)) // open flows kept their number
}

// All seven targets of a service really die at once. A third goes out, and
// another third of the rest once the window is over, each as its suspicion is
// reported again; the last one stays in whatever happens.
func TestSuspectsGoOutWindowByWindow(t *testing.T) {
	is := is.New(t)
	h := withTargets(7)
	for _, a := range h.Agents() {
		h.do(silent(&a))
	}
	var active []int
	for range 5 {
		for {
			suspects, _ := h.BelievableSuspects(time.UnixMilli(h.nowMS))
			if len(suspects) == 0 {
				break
			}
			h.do(Command{AgentSilent: &suspects[0]})
		}
		active = append(active, countState(h, table.Active))
		h.pass(silenceWindow)
		h.do(Command{Sweep: &Sweep{}})
	}
	is.Equal(active, []int{4, 2, 1, 1, 1})
}

func countState(h *harness, s table.State) int {
	n := 0
	for _, x := range h.Table().Targets {
		if x.State == s {
			n++
		}
	}
	return n
}

// An agent dies. Its target gets no new work at once, its number is retired
// after a further wait, and is dropped when no caller can still use it. The
// number is never given out again.
func TestSilentAgentIsRetiredAndDropped(t *testing.T) {
	is := is.New(t)
	h := withTargets(3)
	a := h.Agents()[0]
	h.do(silent(&a))
	x, _ := h.Table().Target(1)
	is.Equal(x.State, table.Draining)
	is.True(!h.SweepDue(time.UnixMilli(h.nowMS)))

	h.pass(retireSilent)
	is.True(h.SweepDue(time.UnixMilli(h.nowMS)))
	h.do(Command{Sweep: &Sweep{}})
	x, _ = h.Table().Target(1)
	is.Equal(x.State, table.Retired)

	h.pass(RetiredKept)
	h.do(Command{Sweep: &Sweep{}})
	_, known := h.Table().Target(1)
	is.True(!known)
	out := h.do(announce("casework", 0, 9))
	is.Equal(out.Agent, table.AgentNumber(4))
}

// An agent moves to another control VM. The VM that it left reports it silent
// a moment later, as does a VM that was partitioned for a minute. Callers see
// nothing: the agent stays in.
func TestSilenceOfAStreamThatWasLeftIsVoid(t *testing.T) {
	is := is.New(t)
	h := withTargets(3)
	left := h.Agents()[0]
	moved := announce("casework", 0, 1)
	moved.AnnounceAgent.Announcement.Attachment = 2
	moved.Via = "control-b"
	h.do(moved)
	h.pass(time.Minute)
	h.do(silent(&left))
	x, _ := h.Table().Target(1)
	is.Equal(x.State, table.Active)

	stale := announce("casework", 0, 1) // nor does the VM that it left speak for it
	stale.AnnounceAgent.Announcement.Draining = true
	h.do(stale)
	x, _ = h.Table().Target(1)
	is.Equal(x.State, table.Active)
}

// An agent dies right after its announcement was committed, before its control
// VM learned the number. The report names it by name only and still counts.
func TestSilenceOfAnAgentWhoseNumberWasLost(t *testing.T) {
	is := is.New(t)
	h := withTargets(3)
	a := h.Agents()[1]
	report := silent(&a)
	report.AgentSilent.Agent = 0
	h.do(report)
	x, _ := h.Table().Target(a.Number)
	is.Equal(x.State, table.Draining)
}

func TestPlannedLeaversDontCount(t *testing.T) {
	is := is.New(t)
	h := withTargets(3)
	for i := range 2 {
		leaving := announce("casework", i, 1)
		leaving.AnnounceAgent.Announcement.Draining = true
		leaving.AnnounceAgent.Announcement.Attachment = 2
		h.do(leaving)
	}
	for _, a := range h.Agents()[:2] {
		out := h.do(silent(&a))
		is.NoErr(out.Err())
	}
	is.Equal(countState(h, table.Draining), 2) // their last flows may still end
	h.pass(retireLeaver)
	h.do(Command{Sweep: &Sweep{}})
	is.Equal(countState(h, table.Retired), 2)
	is.Equal(countState(h, table.Active), 1)
	is.Equal(h.agentWave(&h.state.Agents[2], h.nowMS), wave{live: 1})
}

// An operator drains a host for the evening; its feeds stay open for hours. Its
// control stream is cut for a moment. The host's flows go on: it isn't retired,
// and once it is heard again it is what it was.
func TestDrainedHostKeepsItsFlowsThroughASilence(t *testing.T) {
	is := is.New(t)
	h := withTargets(3)
	h.do(Command{ID: "d", Operator: "ama", Drain: &DrainHost{Host: "casework-1"}})
	a := h.Agents()[1]
	h.do(silent(&a))
	h.pass(retireSilent / 2)
	h.do(Command{Sweep: &Sweep{}})
	x, _ := h.Table().Target(a.Number)
	is.Equal(x.State, table.Draining)
	again := announce("casework", 1, 1)
	again.AnnounceAgent.Announcement.Attachment = 2
	h.do(again)
	h.pass(retireSilent)
	h.do(Command{Sweep: &Sweep{}})
	x, _ = h.Table().Target(a.Number)
	is.Equal(x.State, table.Draining)
	h.do(Command{ID: "u", Operator: "ama", Undrain: &UndrainHost{Host: "casework-1"}})
	is.Equal(countState(h, table.Active), 3)
}

// Under the maintenance preset only two of five targets get new work. Both fall
// silent. One stays in: the three idle ones are no reserve.
func TestIdleTargetsAreNoReserveInAWave(t *testing.T) {
	is := is.New(t)
	d := twoServices()
	d.Presets[0].Services = []PresetService{{Service: "casework", Hosts: []HostWeight{{"casework-0", 0}, {"casework-1", 0}, {"casework-2", 0}}}}
	h := newHarness()
	h.do(apply("first", d))
	for i := range 5 {
		h.do(announce("casework", i, 1))
	}
	for _, a := range h.Agents()[3:] {
		h.do(silent(&a))
	}
	working := 0
	for _, x := range h.Table().Targets {
		if x.State == table.Active && x.Weight > 0 {
			working++
		}
	}
	is.Equal(working, 1)
}

// Two of four agents say that they stop; then both others fall silent. The one
// that is silent last stays in: those that leave are no reserve.
func TestLeaversAreNoReserveInAWave(t *testing.T) {
	is := is.New(t)
	h := withTargets(4)
	for i := range 2 {
		leaving := announce("casework", i, 1)
		leaving.AnnounceAgent.Announcement.Draining = true
		h.do(leaving)
	}
	for _, a := range h.Agents()[2:] {
		h.do(silent(&a))
	}
	is.Equal(countState(h, table.Active), 1)
}

func TestMassRestartBoundsRetiredNumbers(t *testing.T) {
	is := is.New(t)
	h := withTargets(1)
	current := h.state.Agents[0]
	var agents []Agent
	for i := range maxRetired { // as after as many restarts of the host's agent
		old := current
		old.Number, old.Incarnation = table.AgentNumber(i+1), uint64(i+1)
		old.Replaced, old.Retired, old.RetiredAtMS = true, true, h.nowMS
		agents = append(agents, old)
	}
	current.Number, current.Incarnation = maxRetired+1, maxRetired+1
	h.state.Agents = append(agents, current)
	h.state.LastAgent = current.Number
	h.reindex()
	for i := range 10 {
		h.do(announce("casework", 0, uint64(maxRetired+i+2)))
	}
	h.do(Command{Sweep: &Sweep{}})
	is.Equal(countState(h, table.Retired), maxRetired)
	is.Equal(countState(h, table.Active), 1)
	// Keepers of idempotency keys went early: keys wait until their time is over.
	service, _ := h.Table().ServiceNamed("casework")
	is.True(service.KeysFromMS > h.nowMS)
	is.True(service.KeysFromMS <= h.nowMS+RetiredKept.Milliseconds())
}

// All balancers fall silent for control at once. Agents keep a list of most of
// them, so answers still find a way.
func TestBalancersAreNotAllTakenOff(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	for _, name := range []string{"b1", "b2", "b3"} {
		h.do(Command{AnnounceBalancer: &AnnounceBalancer{Announcement: distribution.Announcement{Name: name, Incarnation: 1, Attachment: 1, Tunnel: "127.0.3.1:7000"}}})
	}
	for _, name := range []string{"b1", "b2", "b3"} {
		h.do(Command{BalancerSilent: &distribution.Silence{Name: name, Incarnation: 1, Attachment: 1}})
	}
	is.Equal(len(h.Table().Balancers), 2)
}

// Two regions lose each other for twelve minutes. Control stays on one side; the
// agents of the other are alive, and callers there have feeds open. Once the cut
// is over each agent is what it was, under its number, and no feed was reset.
func TestRegionCutOffForMinutesKeepsItsFlows(t *testing.T) {
	is := is.New(t)
	h := withTargets(6)
	cut := slices.Clone(h.Agents()[:2]) // a third of the service
	for i := range cut {
		h.do(silent(&cut[i]))
	}
	is.Equal(countState(h, table.Draining), 2)
	for range 12 {
		h.pass(time.Minute)
		h.do(Command{Sweep: &Sweep{}})
		is.Equal(countState(h, table.Retired), 0) // a retired number's flows are reset
	}
	for i, a := range cut {
		back := announce("casework", i, 1)
		back.AnnounceAgent.Announcement.Attachment = 2
		out := h.do(back)
		is.Equal(out.Agent, a.Number)
	}
	is.Equal(countState(h, table.Active), 6)
}
