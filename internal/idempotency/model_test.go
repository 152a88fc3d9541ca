package idempotency

import (
	"math/rand/v2"
	"slices"
	"testing"

	"bergamotstall/internal/table"
)

// The explorer plays a service whose agents join, crash, leave and are retired
// by mistake, with tables of different age, messages lost, doubled and out of
// order, and callers that resend one key to any agent. The invariant: a key runs
// at most once within its window. Each planted fault takes one safeguard away
// and must break the invariant.

const (
	modelWindowMS = int64(600_000)
	modelSteps    = 800
	modelSeeds    = 1000
	modelAgents   = 5
)

var modelLookbackMS = Lookback(DefaultWindow).Milliseconds()

type fault int

const (
	noFault          fault = iota
	presentRowsOnly        // recent joins are ignored
	votesAfterClose        // a keeper that left goes on voting
	restartForgets         // a crashed agent comes back under its number, empty
	oldTablesTrusted       // no bound on the age of tables
	rowsDroppedEarly       // control forgets retired rows at once
	everyVoteValid         // keepers that joined after a closing count like others
	keepersForget          // records are dropped at half of the window
)

type modelAgent struct {
	number table.AgentNumber
	alive  bool
	keeper *Keeper
	rows   []Row
	// seenMS is when its rows were the truth.
	seenMS  int64
	retired bool // as its table says
	deaf    bool // cut off from control
}

type modelRow struct {
	Row
	retiredMS int64 // 0: not retired
}

type modelTry struct {
	*Claimant
	by      *modelAgent
	startMS int64
	over    bool
}

type message struct {
	to *modelAgent
	do func(to *modelAgent)
}

type world struct {
	rng      *rand.Rand
	fault    fault
	nowMS    int64
	rows     []modelRow
	agents   []*modelAgent
	last     table.AgentNumber
	nonce    uint64
	tries    []*modelTry
	messages []message
	key      Key
	keyMS    int64
	runs     int
	allRuns  int
	doubled  bool
}

func newWorld(seed uint64, f fault) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), fault: f, nowMS: 10_000_000}
	w.newKey()
	return w
}

func (w *world) newKey() {
	w.key = Key{byte(w.rng.Uint32()), byte(w.rng.Uint32()), byte(w.rng.Uint32())}
	w.keyMS = w.nowMS
	w.runs = 0
	for _, t := range w.tries {
		t.over = true
	}
	w.tries = nil
}

func (w *world) step() {
	switch p := w.rng.IntN(100); {
	case p < 5:
		w.advance()
	case p < 15:
		w.update()
	case p < 21:
		w.join()
	case p < 22:
		w.crash()
	case p < 24:
		w.leave()
	case p < 27:
		w.control()
	case p < 28:
		w.deafen()
	case p < 34:
		w.try()
	case p < 54:
		w.progress()
	default:
		w.deliver()
		w.deliver()
	}
}

func (w *world) advance() {
	w.nowMS += w.rng.Int64N(10_000)
	if w.rng.IntN(4) == 0 {
		w.nowMS += w.rng.Int64N(300_000)
	}
	if w.nowMS-w.keyMS > modelWindowMS {
		w.newKey() // callers don't resend later
	}
	for _, a := range w.agents {
		a.keeper.Sweep(w.nowMS)
	}
}

func (w *world) some(ok func(*modelAgent) bool) *modelAgent {
	var fit []*modelAgent
	for _, a := range w.agents {
		if ok(a) {
			fit = append(fit, a)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return fit[w.rng.IntN(len(fit))]
}

func alive(a *modelAgent) bool { return a.alive }

func (w *world) update() {
	if a := w.some(func(a *modelAgent) bool { return a.alive && !a.deaf }); a != nil {
		w.updateOne(a)
	}
}

// deafen cuts an agent off from control, or ends that.
func (w *world) deafen() {
	if a := w.some(alive); a != nil {
		a.deaf = !a.deaf
	}
}

func (w *world) updateOne(a *modelAgent) {
	a.rows, a.retired = nil, true
	for _, r := range w.rows {
		a.rows = append(a.rows, r.Row)
		if r.Agent == a.number {
			a.retired = r.retiredMS != 0
		}
	}
	a.seenMS = w.nowMS
}

func (w *world) join() {
	living := 0
	for _, a := range w.agents {
		if a.alive {
			living++
		}
	}
	if living >= modelAgents {
		return
	}
	w.last++
	w.rows = append(w.rows, modelRow{Row: Row{Agent: w.last, JoinedMS: w.nowMS}})
	lookback := Lookback(DefaultWindow)
	if w.fault == keepersForget {
		lookback = DefaultWindow / 2
	}
	a := &modelAgent{number: w.last, alive: true, keeper: NewKeeper(w.last, Limits{}, lookback)}
	w.agents = append(w.agents, a)
	w.updateOne(a)
}

func (w *world) crash() {
	a := w.some(alive)
	if a == nil {
		return
	}
	if w.fault == restartForgets {
		a.keeper = NewKeeper(a.number, Limits{}, Lookback(DefaultWindow))
		return
	}
	w.stop(a)
}

func (w *world) stop(a *modelAgent) {
	a.alive = false
	for _, t := range w.tries {
		if t.by == a {
			t.over = true
		}
	}
}

func (w *world) leave() {
	a := w.some(alive)
	if a == nil {
		return
	}
	h := a.keeper.Close(w.nowMS)
	if w.fault == votesAfterClose {
		a.keeper.closed = false
	}
	for _, to := range w.agents {
		if to != a && to.alive {
			w.send(to, func(to *modelAgent) { to.keeper.Merge(w.nowMS, h) })
		}
	}
	if w.fault != votesAfterClose || w.rng.IntN(2) == 0 {
		w.stop(a)
	}
}

// control retires the dead, sometimes a living one, takes some back, and drops
// rows whose time is over.
func (w *world) control() {
	for i := range w.rows {
		r := &w.rows[i]
		a := w.agents[slices.IndexFunc(w.agents, func(a *modelAgent) bool { return a.number == r.Agent })]
		switch {
		case r.retiredMS == 0 && (!a.alive || a.deaf || w.rng.IntN(20) == 0):
			r.retiredMS = w.nowMS
		case r.retiredMS != 0 && a.alive && !a.deaf && w.rng.IntN(2) == 0:
			r.retiredMS = 0
		}
	}
	kept := modelWindowMS + RowsKept.Milliseconds()
	if w.fault == rowsDroppedEarly {
		kept = 0
	}
	w.rows = slices.DeleteFunc(w.rows, func(r modelRow) bool {
		return r.retiredMS != 0 && w.nowMS-r.retiredMS >= kept
	})
}

func (w *world) mayVote(a *modelAgent) bool {
	if w.fault == oldTablesTrusted {
		return !a.retired
	}
	return !a.retired && w.nowMS-a.seenMS <= MaxTableAge.Milliseconds()
}

func (w *world) try() {
	a := w.some(alive)
	if a == nil || !w.mayVote(a) {
		return
	}
	w.nonce++
	rows := slices.Clone(a.rows)
	if w.fault == presentRowsOnly {
		for i := range rows {
			rows[i].JoinedMS = 0
		}
	}
	r := Request{Key: w.key, ID: ID{Agent: a.number, Nonce: w.nonce}}
	t := &modelTry{Claimant: NewClaimant(r, rows, w.nowMS, modelLookbackMS), by: a, startMS: w.nowMS}
	w.tries = append(w.tries, t)
	w.ask(t)
}

func (w *world) ask(t *modelTry) {
	for _, n := range t.Ask() {
		i := slices.IndexFunc(w.agents, func(a *modelAgent) bool { return a.number == n })
		w.send(w.agents[i], func(to *modelAgent) {
			reply := Reply{Standing: Closed}
			if w.mayVote(to) {
				reply = to.keeper.Claim(w.nowMS, t.Request())
			}
			if w.fault == everyVoteValid {
				reply.Merged = w.allClosed()
			}
			w.send(t.by, func(*modelAgent) {
				if !t.over && t.replies[to.number] == nil {
					t.Hear(to.number, &reply)
				}
			})
		})
	}
}

func (w *world) allClosed() []table.AgentNumber {
	var out []table.AgentNumber
	for _, a := range w.agents {
		if a.keeper.closed {
			out = append(out, a.number)
		}
	}
	return out
}

func (w *world) send(to *modelAgent, do func(*modelAgent)) {
	w.messages = append(w.messages, message{to, do})
}

// deliver takes any message: lost, doubled or once.
func (w *world) deliver() {
	if len(w.messages) == 0 {
		return
	}
	i := w.rng.IntN(len(w.messages))
	m := w.messages[i]
	luck := w.rng.IntN(20)
	if luck != 0 {
		w.messages = slices.Delete(w.messages, i, i+1)
	}
	if luck != 1 && m.to.alive {
		m.do(m.to)
	}
}

// progress moves one try on: a missing reply is given up, a winner runs or gives
// the key back.
func (w *world) progress() {
	if len(w.tries) == 0 {
		return
	}
	t := w.tries[w.rng.IntN(len(w.tries))]
	if t.over {
		return
	}
	late := w.nowMS-t.startMS > MaxHold.Milliseconds()
	switch verdict := t.Verdict(); {
	case verdict == Won && !late && w.rng.IntN(5) > 0:
		w.run(t)
	case verdict == Won, late:
		w.release(t)
	case verdict == Pending:
		w.ask(t)
		if n := t.asked[w.rng.IntN(len(t.asked))]; t.replies[n] == nil {
			t.Hear(n, nil)
		}
	default:
		w.release(t)
	}
}

func (w *world) run(t *modelTry) {
	t.over = true
	w.runs++
	w.allRuns++
	w.doubled = w.doubled || w.runs > 1
	f := Finish{Request: t.Request(), Standing: Standing(Lost + Standing(w.rng.IntN(2)))}
	for _, n := range t.Asked() {
		i := slices.IndexFunc(w.agents, func(a *modelAgent) bool { return a.number == n })
		w.send(w.agents[i], func(to *modelAgent) { to.keeper.Finish(w.nowMS, f) })
	}
}

func (w *world) release(t *modelTry) {
	t.over = true
	for _, n := range t.Asked() {
		i := slices.IndexFunc(w.agents, func(a *modelAgent) bool { return a.number == n })
		w.send(w.agents[i], func(to *modelAgent) {
			to.keeper.Release(w.nowMS, Release{Key: t.Request().Key, ID: t.Request().ID})
		})
	}
}

// explore returns the first seed that runs a key twice, and all runs.
func explore(f fault, from, seeds int) (doubledAt int, runs int) {
	for seed := from; seed < from+seeds; seed++ {
		w := newWorld(uint64(seed), f)
		for range modelSteps {
			w.step()
			if w.doubled {
				return seed, runs
			}
		}
		runs += w.allRuns
	}
	return -1, runs
}

// A caller resends its submission through everything that the explorer does: it
// runs at most once.
func TestNoKeyRunsTwice(t *testing.T) {
	at, runs := explore(noFault, 0, modelSeeds)
	if at >= 0 {
		t.Fatalf("seed %d runs a key twice", at)
	}
	if runs < modelSeeds/5 {
		t.Fatalf("only %d runs in %d seeds: the explorer proves little", runs, modelSeeds)
	}
	t.Logf("%d seeds of %d steps, %d keys run, none twice", modelSeeds, modelSteps, runs)
}

// Each safeguard taken away lets a key run twice: the explorer would notice. The
// search for rare ones begins near a seed that is known to find them.
func TestPlantedFaultsAreCaught(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault fault
		from  int
	}{
		{"present rows only", presentRowsOnly, 0},
		{"votes after close", votesAfterClose, 1300},
		{"restart forgets", restartForgets, 0},
		{"old tables trusted", oldTablesTrusted, 17700},
		{"rows dropped early", rowsDroppedEarly, 0},
		{"every vote valid", everyVoteValid, 400},
		{"keepers forget", keepersForget, 400},
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
