package idempotency

import (
	"math/rand/v2"
	"slices"
	"testing"

	"bergamotstall/internal/table"
)

// The model simulates a service whose agents join, crash, leave and are retired by
// mistake, whose tables have different ages, whose messages are lost, duplicated and
// reordered, and whose callers resend one key to any agent. Invariant: a key runs at most
// once within its window. Each injected fault disables one safeguard and must break the
// invariant.
const (
	modelWindowMS = int64(600_000)
	modelSteps    = 800
	modelSeeds    = 1000
	modelAgents   = 5
)

var modelLookbackMS = Lookback(DefaultWindow).Milliseconds()

type fault int

const (
	noFault             fault = iota
	currentMembersOnly        // claims ignore recent joins
	votesAfterClose           // a voter that left continues to vote
	restartForgets            // a crashed agent restarts with the same number and no records
	oldTablesTrusted          // tables of any age are accepted
	membersDroppedEarly       // control removes retired members at once
	everyVoteValid            // votes count without the records of closed voters
	recordsExpireEarly        // records expire after half of the window
)

type modelAgent struct {
	number  table.AgentNumber
	alive   bool
	voter   *Voter
	members []Member
	// tableMS is when the agent received its table.
	tableMS     int64
	retired     bool // according to its table
	partitioned bool // cut off from control
}

type modelMember struct {
	Member
	retiredMS int64 // 0: not retired
}

type modelClaim struct {
	*Claim
	by      *modelAgent
	startMS int64
	over    bool
}

type message struct {
	to *modelAgent
	do func(to *modelAgent)
}

type model struct {
	rng        *rand.Rand
	fault      fault
	nowMS      int64
	members    []modelMember
	agents     []*modelAgent
	lastAgent  table.AgentNumber
	nonce      uint64
	claims     []*modelClaim
	messages   []message
	key        Key
	keyStartMS int64
	runs       int
	totalRuns  int
	ranTwice   bool
}

func newModel(seed uint64, f fault) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 7)), fault: f, nowMS: 10_000_000}
	m.newKey()
	return m
}

func (m *model) newKey() {
	m.key = Key{byte(m.rng.Uint32()), byte(m.rng.Uint32()), byte(m.rng.Uint32())}
	m.keyStartMS = m.nowMS
	m.runs = 0
	for _, t := range m.claims {
		t.over = true
	}
	m.claims = nil
}

func (m *model) step() {
	switch p := m.rng.IntN(100); {
	case p < 5:
		m.advance()
	case p < 15:
		m.updateRandomTable()
	case p < 21:
		m.join()
	case p < 22:
		m.crash()
	case p < 24:
		m.leave()
	case p < 27:
		m.control()
	case p < 28:
		m.togglePartition()
	case p < 34:
		m.startClaim()
	case p < 54:
		m.progress()
	default:
		m.deliver()
		m.deliver()
	}
}

func (m *model) advance() {
	m.nowMS += m.rng.Int64N(10_000)
	if m.rng.IntN(4) == 0 {
		m.nowMS += m.rng.Int64N(300_000)
	}
	if m.nowMS-m.keyStartMS > modelWindowMS {
		m.newKey() // callers resend within the window only
	}
	for _, a := range m.agents {
		a.voter.Sweep(m.nowMS)
	}
}

func (m *model) pick(ok func(*modelAgent) bool) *modelAgent {
	var candidates []*modelAgent
	for _, a := range m.agents {
		if ok(a) {
			candidates = append(candidates, a)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[m.rng.IntN(len(candidates))]
}

func alive(a *modelAgent) bool { return a.alive }

func (m *model) updateRandomTable() {
	if a := m.pick(func(a *modelAgent) bool { return a.alive && !a.partitioned }); a != nil {
		m.updateTable(a)
	}
}

// togglePartition disconnects an agent from control or reconnects it.
func (m *model) togglePartition() {
	if a := m.pick(alive); a != nil {
		a.partitioned = !a.partitioned
	}
}

func (m *model) updateTable(a *modelAgent) {
	a.members, a.retired = nil, true
	for _, r := range m.members {
		a.members = append(a.members, r.Member)
		if r.Agent == a.number {
			a.retired = r.retiredMS != 0
		}
	}
	a.tableMS = m.nowMS
}

func (m *model) join() {
	living := 0
	for _, a := range m.agents {
		if a.alive {
			living++
		}
	}
	if living >= modelAgents {
		return
	}
	m.lastAgent++
	m.members = append(m.members, modelMember{Member: Member{Agent: m.lastAgent, JoinedMS: m.nowMS}})
	lookback := Lookback(DefaultWindow)
	if m.fault == recordsExpireEarly {
		lookback = DefaultWindow / 2
	}
	a := &modelAgent{number: m.lastAgent, alive: true, voter: NewVoter(m.lastAgent, Limits{}, lookback)}
	m.agents = append(m.agents, a)
	m.updateTable(a)
}

func (m *model) crash() {
	a := m.pick(alive)
	if a == nil {
		return
	}
	if m.fault == restartForgets {
		a.voter = NewVoter(a.number, Limits{}, Lookback(DefaultWindow))
		return
	}
	m.stop(a)
}

func (m *model) stop(a *modelAgent) {
	a.alive = false
	for _, t := range m.claims {
		if t.by == a {
			t.over = true
		}
	}
}

func (m *model) leave() {
	a := m.pick(alive)
	if a == nil {
		return
	}
	h := a.voter.Close(m.nowMS)
	if m.fault == votesAfterClose {
		a.voter.closed = false
	}
	for _, to := range m.agents {
		if to != a && to.alive {
			m.send(to, func(to *modelAgent) { to.voter.Merge(m.nowMS, h) })
		}
	}
	if m.fault != votesAfterClose || m.rng.IntN(2) == 0 {
		m.stop(a)
	}
}

// control retires dead and partitioned agents and occasionally a live one, restores some
// retired agents, and removes members that have been retired long enough.
func (m *model) control() {
	for i := range m.members {
		r := &m.members[i]
		a := m.agents[slices.IndexFunc(m.agents, func(a *modelAgent) bool { return a.number == r.Agent })]
		switch {
		case r.retiredMS == 0 && (!a.alive || a.partitioned || m.rng.IntN(20) == 0):
			r.retiredMS = m.nowMS
		case r.retiredMS != 0 && a.alive && !a.partitioned && m.rng.IntN(2) == 0:
			r.retiredMS = 0
		}
	}
	kept := modelWindowMS + RetiredRetention.Milliseconds()
	if m.fault == membersDroppedEarly {
		kept = 0
	}
	m.members = slices.DeleteFunc(m.members, func(r modelMember) bool {
		return r.retiredMS != 0 && m.nowMS-r.retiredMS >= kept
	})
}

func (m *model) mayVote(a *modelAgent) bool {
	if m.fault == oldTablesTrusted {
		return !a.retired
	}
	return !a.retired && m.nowMS-a.tableMS <= MaxTableAge.Milliseconds()
}

func (m *model) startClaim() {
	a := m.pick(alive)
	if a == nil || !m.mayVote(a) {
		return
	}
	m.nonce++
	members := slices.Clone(a.members)
	if m.fault == currentMembersOnly {
		for i := range members {
			members[i].JoinedMS = 0
		}
	}
	r := Request{Key: m.key, ID: ClaimID{Agent: a.number, Nonce: m.nonce}}
	t := &modelClaim{Claim: NewClaim(r, members, m.nowMS, modelLookbackMS), by: a, startMS: m.nowMS}
	m.claims = append(m.claims, t)
	m.askVoters(t)
}

func (m *model) askVoters(t *modelClaim) {
	for _, n := range t.NextVoters() {
		i := slices.IndexFunc(m.agents, func(a *modelAgent) bool { return a.number == n })
		m.send(m.agents[i], func(to *modelAgent) {
			reply := Reply{State: Closed}
			if m.mayVote(to) {
				reply = to.voter.Vote(m.nowMS, t.Request())
			}
			if m.fault == everyVoteValid {
				reply.MergedVoters = m.allClosed()
			}
			m.send(t.by, func(*modelAgent) {
				if !t.over && t.replies[to.number] == nil {
					t.RecordReply(to.number, &reply)
				}
			})
		})
	}
}

func (m *model) allClosed() []table.AgentNumber {
	var out []table.AgentNumber
	for _, a := range m.agents {
		if a.voter.closed {
			out = append(out, a.number)
		}
	}
	return out
}

func (m *model) send(to *modelAgent, do func(*modelAgent)) {
	m.messages = append(m.messages, message{to, do})
}

// deliver takes a random message and loses, duplicates or delivers it.
func (m *model) deliver() {
	if len(m.messages) == 0 {
		return
	}
	i := m.rng.IntN(len(m.messages))
	msg := m.messages[i]
	roll := m.rng.IntN(20)
	if roll != 0 {
		m.messages = slices.Delete(m.messages, i, i+1)
	}
	if roll != 1 && msg.to.alive {
		msg.do(msg.to)
	}
}

// progress advances one claim: it records a missing reply, runs the request of a winning
// claim, or releases the key.
func (m *model) progress() {
	if len(m.claims) == 0 {
		return
	}
	t := m.claims[m.rng.IntN(len(m.claims))]
	if t.over {
		return
	}
	late := m.nowMS-t.startMS > MaxClaimAge.Milliseconds()
	switch verdict := t.Verdict(); {
	case verdict == Won && !late && m.rng.IntN(5) > 0:
		m.run(t)
	case verdict == Won, late:
		m.release(t)
	case verdict == Pending:
		m.askVoters(t)
		if n := t.asked[m.rng.IntN(len(t.asked))]; t.replies[n] == nil {
			t.RecordReply(n, nil)
		}
	default:
		m.release(t)
	}
}

func (m *model) run(t *modelClaim) {
	t.over = true
	m.runs++
	m.totalRuns++
	m.ranTwice = m.ranTwice || m.runs > 1
	f := Finish{Request: t.Request(), State: KeyState(NoAnswer + KeyState(m.rng.IntN(2)))}
	for _, n := range t.Asked() {
		i := slices.IndexFunc(m.agents, func(a *modelAgent) bool { return a.number == n })
		m.send(m.agents[i], func(to *modelAgent) { to.voter.Finish(m.nowMS, f) })
	}
}

func (m *model) release(t *modelClaim) {
	t.over = true
	for _, n := range t.Asked() {
		i := slices.IndexFunc(m.agents, func(a *modelAgent) bool { return a.number == n })
		m.send(m.agents[i], func(to *modelAgent) {
			to.voter.Release(m.nowMS, Release{Key: t.Request().Key, ID: t.Request().ID})
		})
	}
}

// explore returns the first seed with which a key runs twice (-1 if none) and the number
// of runs.
func explore(f fault, from, seeds int) (failingSeed int, runs int) {
	for seed := from; seed < from+seeds; seed++ {
		m := newModel(uint64(seed), f)
		for range modelSteps {
			m.step()
			if m.ranTwice {
				return seed, runs
			}
		}
		runs += m.totalRuns
	}
	return -1, runs
}

// Guards against running a request twice when a caller resends it during any of the
// simulated failures.
func TestNoKeyRunsTwice(t *testing.T) {
	at, runs := explore(noFault, 0, modelSeeds)
	if at >= 0 {
		t.Fatalf("seed %d runs a key twice", at)
	}
	if runs < modelSeeds/5 {
		t.Fatalf("only %d runs in %d seeds: too few for a meaningful result", runs, modelSeeds)
	}
	t.Logf("%d seeds of %d steps, %d keys run, none twice", modelSeeds, modelSteps, runs)
}

// Guards against a model that can't detect violations: each injected fault must make a
// key run twice. For rare ones the search starts near a seed that is known to find them.
func TestInjectedFaultsAreDetected(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault fault
		from  int
	}{
		{"current members only", currentMembersOnly, 0},
		{"votes after close", votesAfterClose, 1300},
		{"restart forgets", restartForgets, 0},
		{"old tables trusted", oldTablesTrusted, 17700},
		{"members dropped early", membersDroppedEarly, 0},
		{"every vote valid", everyVoteValid, 400},
		{"records expire early", recordsExpireEarly, 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			at, _ := explore(c.fault, c.from, 2*modelSeeds)
			if at < 0 {
				t.Fatal("no seed runs a key twice")
			}
			t.Logf("caught by seed %d", at)
		})
	}
}
