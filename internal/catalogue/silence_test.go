package catalogue

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/distribution"
	"bergamotstall/internal/table"
)

func TestShareOfSilentTargetsTakenOut(t *testing.T) {
	for _, c := range []struct {
		name      string
		live, out int
		want      bool
	}{
		{"one of seven", 7, 0, true},
		{"third of seven: the loss of a data centre", 5, 2, true},
		{"fourth of seven: more than a data centre", 4, 3, false},
		{"one of three", 3, 0, true},
		{"second of three", 2, 1, false},
		{"one of two", 2, 0, true},
		{"the last one", 1, 0, false},
		{"the last one, another out", 1, 1, false},
		{"last within a third of 1,000", 667, 333, true},
		{"first over a third of 1,000", 666, 334, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(silenceCount{live: c.live, out: c.out}.mayTakeOut(), c.want)
		})
	}
}

func TestLastIdleTargetMayBeTakenOut(t *testing.T) {
	is := is.New(t)
	is.True(silenceCount{live: 1, idle: true}.mayTakeOut())
	is.True(!silenceCount{live: 2, out: 1, idle: true}.mayTakeOut())
}

// Guards against a service without targets after a control VM loses its link to the
// agents but not to the other control VMs, and reports every agent as silent. At most a
// third of the targets is taken out; the others stay in service as suspects.
func TestSimultaneousSilenceDoesNotEmptyAService(t *testing.T) {
	is := is.New(t)
	h := withTargets(7)
	for _, a := range h.Agents() {
		h.do(silent(&a))
	}
	is.Equal(countState(h, table.Active), 4)
	is.Equal(countState(h, table.Draining), 3)

	h.advance(time.Minute)
	for _, a := range h.Agents() {
		h.do(silent(&a)) // reported repeatedly
	}
	is.Equal(countState(h, table.Active), 4)

	for i := range 7 { // the agents reconnect
		again := announce("casework", i, 1)
		again.AnnounceAgent.Announcement.Attachment = 2
		h.do(again)
	}
	is.Equal(countState(h, table.Active), 7)
	is.Equal(h.Table().Targets[0].Agent, table.AgentNumber(1)) // the numbers of open flows stay valid
}

// Guards against dead targets that stay in service: all seven targets of a service die.
// In each silenceWindow a third of the rest is taken out as its silence is reported
// again. The last one always stays in service.
func TestSuspectsAreTakenOutOneWindowAtATime(t *testing.T) {
	is := is.New(t)
	h := withTargets(7)
	for _, a := range h.Agents() {
		h.do(silent(&a))
	}
	var active []int
	for range 5 {
		for {
			suspects, _ := h.RemovableSuspects(time.UnixMilli(h.nowMS))
			if len(suspects) == 0 {
				break
			}
			h.do(Command{AgentSilent: &suspects[0]})
		}
		active = append(active, countState(h, table.Active))
		h.advance(silenceWindow)
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

// A dead agent's target gets no new work at once. Its number is retired after
// retireSilentAfter, dropped after RetiredRetention, and never assigned again.
func TestSilentAgentIsRetiredAndDropped(t *testing.T) {
	is := is.New(t)
	h := withTargets(3)
	a := h.Agents()[0]
	h.do(silent(&a))
	x, _ := h.Table().Target(1)
	is.Equal(x.State, table.Draining)
	is.True(!h.SweepDue(time.UnixMilli(h.nowMS)))

	h.advance(retireSilentAfter)
	is.True(h.SweepDue(time.UnixMilli(h.nowMS)))
	h.do(Command{Sweep: &Sweep{}})
	x, _ = h.Table().Target(1)
	is.Equal(x.State, table.Retired)

	h.advance(RetiredRetention)
	h.do(Command{Sweep: &Sweep{}})
	_, known := h.Table().Target(1)
	is.True(!known)
	out := h.do(announce("casework", 0, 9))
	is.Equal(out.Agent, table.AgentNumber(4))
}

// Guards against an agent that is taken out of service after it moves to another control
// VM: reports and announcements of the control VM that it left come late and are ignored.
func TestSilenceOfAnOldStreamIsIgnored(t *testing.T) {
	is := is.New(t)
	h := withTargets(3)
	left := h.Agents()[0]
	moved := announce("casework", 0, 1)
	moved.AnnounceAgent.Announcement.Attachment = 2
	moved.ProposedBy = "control-b"
	h.do(moved)
	h.advance(time.Minute)
	h.do(silent(&left))
	x, _ := h.Table().Target(1)
	is.Equal(x.State, table.Active)

	stale := announce("casework", 0, 1) // a late announcement through the VM that it left
	stale.AnnounceAgent.Announcement.Draining = true
	h.do(stale)
	x, _ = h.Table().Target(1)
	is.Equal(x.State, table.Active)
}

// Guards against a dead agent that stays in service: it dies after its announcement was
// committed but before its control VM learns the number, so the report has only a name.
func TestSilenceReportWithoutAgentNumber(t *testing.T) {
	is := is.New(t)
	h := withTargets(3)
	a := h.Agents()[1]
	report := silent(&a)
	report.AgentSilent.Agent = 0
	h.do(report)
	x, _ := h.Table().Target(a.Number)
	is.Equal(x.State, table.Draining)
}

func TestLeavingAgentsAreNotCountedAsSilent(t *testing.T) {
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
	is.Equal(countState(h, table.Draining), 2) // open flows may still end
	h.advance(retireLeavingAfter)
	h.do(Command{Sweep: &Sweep{}})
	is.Equal(countState(h, table.Retired), 2)
	is.Equal(countState(h, table.Active), 1)
	is.Equal(h.countAgents(&h.state.Agents[2], h.nowMS), silenceCount{live: 1})
}

// Guards against the reset of long flows on a drained host: its control stream is cut
// for a short time. The host isn't retired, and after it reconnects it is still drained.
func TestDrainedHostIsNotRetiredDuringAShortSilence(t *testing.T) {
	is := is.New(t)
	h := withTargets(3)
	h.do(Command{ID: "d", Operator: "ama", Drain: &DrainHost{Host: "casework-1"}})
	a := h.Agents()[1]
	h.do(silent(&a))
	h.advance(retireSilentAfter / 2)
	h.do(Command{Sweep: &Sweep{}})
	x, _ := h.Table().Target(a.Number)
	is.Equal(x.State, table.Draining)
	again := announce("casework", 1, 1)
	again.AnnounceAgent.Announcement.Attachment = 2
	h.do(again)
	h.advance(retireSilentAfter)
	h.do(Command{Sweep: &Sweep{}})
	x, _ = h.Table().Target(a.Number)
	is.Equal(x.State, table.Draining)
	h.do(Command{ID: "u", Operator: "ama", Undrain: &UndrainHost{Host: "casework-1"}})
	is.Equal(countState(h, table.Active), 3)
}

// Guards against idle targets that count as spare capacity: only two of five targets get
// new work by the preset, and both fall silent. One of the two stays in service.
func TestIdleTargetsDoNotCountAsCapacity(t *testing.T) {
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

// Guards against leaving targets that count as spare capacity: two of four agents
// announce their stop and the other two fall silent. The last of these stays in service.
func TestLeavingTargetsDoNotCountAsCapacity(t *testing.T) {
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

func TestRetiredNumbersAreBounded(t *testing.T) {
	is := is.New(t)
	h := withTargets(1)
	current := h.state.Agents[0]
	var agents []Agent
	for i := range maxRetiredAgents { // the state after maxRetiredAgents restarts of one agent
		old := current
		old.Number, old.Incarnation = table.AgentNumber(i+1), uint64(i+1)
		old.Replaced, old.Retired, old.RetiredAtMS = true, true, h.nowMS
		agents = append(agents, old)
	}
	current.Number, current.Incarnation = maxRetiredAgents+1, maxRetiredAgents+1
	h.state.Agents = append(agents, current)
	h.state.LastAgent = current.Number
	h.rebuildIndexes()
	for i := range 10 {
		h.do(announce("casework", 0, uint64(maxRetiredAgents+i+2)))
	}
	h.do(Command{Sweep: &Sweep{}})
	is.Equal(countState(h, table.Retired), maxRetiredAgents)
	is.Equal(countState(h, table.Active), 1)
	// Holders of idempotency keys were dropped early: no keys until their retention ends.
	service, _ := h.Table().ServiceNamed("casework")
	is.True(service.KeysFromMS > h.nowMS)
	is.True(service.KeysFromMS <= h.nowMS+RetiredRetention.Milliseconds())
}

// Guards against agents without a return path: all balancers are reported silent at once,
// and most of them stay in the table.
func TestSomeBalancersStayOnTheReturnPath(t *testing.T) {
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

// Guards against flows that are reset by a partition: two regions lose contact for twelve
// minutes and control is on one side. No agent of the other side is retired, and after
// the partition each is active under the same number.
func TestPartitionOfMinutesRetiresNoAgent(t *testing.T) {
	is := is.New(t)
	h := withTargets(6)
	cut := slices.Clone(h.Agents()[:2]) // a third of the service's targets
	for i := range cut {
		h.do(silent(&cut[i]))
	}
	is.Equal(countState(h, table.Draining), 2)
	for range 12 {
		h.advance(time.Minute)
		h.do(Command{Sweep: &Sweep{}})
		is.Equal(countState(h, table.Retired), 0) // retiring a number resets its flows
	}
	for i, a := range cut {
		back := announce("casework", i, 1)
		back.AnnounceAgent.Announcement.Attachment = 2
		out := h.do(back)
		is.Equal(out.Agent, a.Number)
	}
	is.Equal(countState(h, table.Active), 6)
}
