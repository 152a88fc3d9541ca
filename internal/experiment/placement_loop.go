package experiment

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bergamotstall/internal/admission"
	"bergamotstall/internal/placement"
	"bergamotstall/internal/slowstart"
	"bergamotstall/internal/table"
)

// The event loop plays callers' flows against hosts whose admission is the real
// decision code, and one policy for what a host does with a request that it
// can't run at once. Times are simulated; a seed gives the same run each time.

const (
	loopTime   = 40 * time.Second
	loopWarmUp = 5 * time.Second // not counted
	loopChange = 20 * time.Second
	baseWork   = 50 * time.Millisecond
	patience   = 2 * time.Second
	flowLife   = 15 * time.Second
	nearRTT    = 500 * time.Microsecond
	farRTT     = 3 * time.Millisecond
	reportAge  = 10 * time.Second
	flowsEach  = 12 // flows per host
	maxTries   = 3  // of a request whose own host takes none
)

// size is one user's service.
type size struct {
	name         string
	hosts, slots int
}

// scenario is one pattern of load.
type scenario struct {
	name string
	load float64 // of the capacity
	// mean is the mean of work, where it isn't baseWork.
	mean time.Duration
	// work draws a request's time in its slot.
	work func(*rand.Rand) time.Duration
	// heavy callers send half of the requests.
	heavy int
	// slow is how much slower host 0 is.
	slow float64
	// coldAt is when host 0 joins, and answers coldFactor times slower at first.
	coldAt time.Duration
	// burst multiplies the load of a third of the flows for a second in five.
	burst float64
	// drain takes the hosts of data centre 0 out at loopChange.
	drain bool
	// shift changes the weights at loopChange.
	shift bool
}

const (
	coldFactor = 4.0
	coldTime   = 10 * time.Second
)

// tuning holds the thresholds that sweeps vary.
type tuning struct {
	draws     int
	from      float64 // part of the slots from which probes are sent
	queue     int
	patience  time.Duration
	slowStart time.Duration // 0: ramp's own
	noRamp    bool
	noTold    bool // callers show no deadline
}

type loopHost struct {
	queue  *admission.Queue
	target table.Target
	busy   time.Duration  // slot time given out after the warm-up
	report placement.Load // as the load endpoint had it at the last report
	flows  int
}

type loopFlow struct {
	host   int
	caller string
	rate   float64
}

type loopRequest struct {
	flow   int
	home   int
	at     time.Duration
	work   time.Duration
	host   int
	ticket admission.Ticket
	tries  []int
}

type event struct {
	at   time.Duration
	seq  int
	step func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// policy is what a host does with a request that it can't run at once.
type policy struct {
	name string
	// overflow sends the request on, or lets it wait at l.hosts[r.home].
	overflow func(l *loop, r *loopRequest)
	// always uses overflow also where the home host has a free slot.
	always bool
	// early uses overflow from a part of the slots on.
	early bool
	// bounded places a new flow elsewhere where a host has a quarter more than
	// its share of flows.
	bounded bool
}

type loop struct {
	rng     *rand.Rand
	now     time.Duration
	queue   events
	seq     int
	sc      scenario
	pol     policy
	tune    tuning
	hosts   []*loopHost
	flows   []*loopFlow
	pending map[admission.Ticket]*loopRequest
	last    admission.Ticket
	turn    int

	answers []float64 // milliseconds
	sent    int
	refused int
	probes  int
}

func newLoop(sz size, sc scenario, p policy, tune tuning, seed uint64) *loop {
	l := &loop{rng: rand.New(rand.NewPCG(seed, 11)), sc: sc, pol: p, tune: tune, pending: map[admission.Ticket]*loopRequest{}}
	for i := range sz.hosts {
		h := &loopHost{
			queue:  admission.New(admission.Config{Slots: sz.slots, QueueLimit: tune.queue, OverloadAfter: tune.patience}),
			target: table.Target{Agent: table.AgentNumber(i + 1), State: table.Active, Weight: 100, PreviousWeight: 100, Slots: sz.slots, DataCentre: string(rune('a' + i%3))},
		}
		// The rest joined long ago.
		h.target.JoinedAtMS, h.target.ChangedAtMS = -1_000_000, -1_000_000
		if sc.coldAt > 0 && i == 0 {
			h.target.JoinedAtMS = sc.coldAt.Milliseconds()
		}
		l.hosts = append(l.hosts, h)
	}
	mean := baseWork
	if sc.mean > 0 {
		mean = sc.mean
	}
	capacity := float64(sz.hosts*sz.slots) / mean.Seconds()
	l.openFlows(sz.hosts*flowsEach, sc.load*capacity)
	l.every(reportAge, l.reportLoads)
	if sc.drain || sc.shift {
		l.after(loopChange, l.change)
	}
	return l
}

func (l *loop) after(d time.Duration, step func()) {
	l.seq++
	heap.Push(&l.queue, event{l.now + d, l.seq, step})
}

func (l *loop) every(d time.Duration, step func()) {
	step()
	l.after(d, func() { l.every(d, step) })
}

func (l *loop) run() {
	for len(l.queue) > 0 && l.queue[0].at < loopTime {
		e := heap.Pop(&l.queue).(event)
		l.now = e.at
		e.step()
	}
}

func (l *loop) exp(mean time.Duration) time.Duration {
	return time.Duration(l.rng.ExpFloat64() * float64(mean))
}

// openFlows opens the flows and spreads the rate over them.
func (l *loop) openFlows(n int, rate float64) {
	for i := range n {
		f := &loopFlow{host: -1, caller: string(rune('A' + i)), rate: rate / float64(n)}
		if l.sc.heavy > 0 {
			f.rate = rate / 2 / float64(n-l.sc.heavy)
			if i < l.sc.heavy {
				f.rate = rate / 2 / float64(l.sc.heavy)
			}
		}
		l.flows = append(l.flows, f)
		l.reopen(i)
		l.nextRequest(i)
	}
}

// reopen gives a flow its host by the keyed hash, which a random draw by share
// stands in for.
func (l *loop) reopen(i int) {
	f := l.flows[i]
	if f.host >= 0 {
		l.hosts[f.host].flows--
	}
	f.host = l.drawHost()
	if l.pol.bounded {
		for try := 0; try < 3 && float64(l.hosts[f.host].flows+1) > 1.25*flowsEach; try++ {
			f.host = l.drawHost()
		}
	}
	l.hosts[f.host].flows++
	l.after(l.exp(flowLife), func() { l.reopen(i) })
}

func (l *loop) share(h *loopHost) float64 {
	if h.target.JoinedAtMS > 0 && h.target.JoinedAtMS > l.now.Milliseconds() {
		return 0
	}
	t := h.target
	if l.tune.noRamp {
		t.JoinedAtMS, t.ChangedAtMS = -1_000_000, -1_000_000
	} else if l.tune.slowStart > 0 && t.JoinedAtMS > 0 {
		// Stretch the age so that ramp's slow start takes this long.
		age := float64(l.now.Milliseconds()-t.JoinedAtMS) * slowstart.SlowStartMS / float64(l.tune.slowStart.Milliseconds())
		t.JoinedAtMS = l.now.Milliseconds() - int64(age)
	}
	return slowstart.Share(t, l.now.Milliseconds())
}

func (l *loop) drawHost() int {
	sum := 0.0
	for _, h := range l.hosts {
		sum += l.share(h)
	}
	at := l.rng.Float64() * sum
	for i, h := range l.hosts {
		at -= l.share(h)
		if at < 0 {
			return i
		}
	}
	return len(l.hosts) - 1
}

func (l *loop) nextRequest(i int) {
	rate := l.flows[i].rate
	second := l.now.Seconds()
	if l.sc.burst > 0 && i%3 == 0 && math.Mod(second, 5) < 1 {
		rate *= l.sc.burst
	}
	l.after(l.exp(time.Duration(float64(time.Second)/rate)), func() {
		l.arrive(i)
		l.nextRequest(i)
	})
}

func (l *loop) arrive(i int) {
	r := &loopRequest{flow: i, home: l.flows[i].host, at: l.now, work: l.sc.work(l.rng)}
	if l.now > loopWarmUp {
		l.sent++
	}
	h := l.hosts[r.home]
	home := l.loadOf(h)
	look := !home.Room()
	if l.pol.early {
		look = placement.ShouldProbeFrom(home, l.tune.from)
	}
	if !l.pol.always && !look {
		l.offer(r, r.home)
		return
	}
	l.pol.overflow(l, r)
}

// offer asks a host's admission. A peer that turns the request away sends it
// home, where it may wait, or to another peer where home drains.
func (l *loop) offer(r *loopRequest, host int) {
	l.last++
	r.ticket, r.host = l.last, host
	l.pending[r.ticket] = r
	q := admission.Request{Ticket: r.ticket, Caller: l.flows[r.flow].caller}
	if !l.tune.noTold {
		q.Deadline = r.at + patience
	}
	v := l.hosts[host].queue.Offer(l.now, q)
	if v.Displaced != 0 {
		l.refuse(v.Displaced)
	}
	switch v.Decision {
	case admission.Admit:
		l.start(r)
	case admission.Reject:
		delete(l.pending, r.ticket)
		home := l.hosts[r.home].target.State == table.Active
		if host != r.home && home && !slices.Contains(r.tries, r.home) {
			r.tries = append(r.tries, r.home)
			l.after(nearRTT, func() { l.offer(r, r.home) })
			return
		}
		if !home && len(r.tries) < maxTries {
			l.after(nearRTT, func() { l.stay(r) })
			return
		}
		l.countRefused(r)
	}
}

func (l *loop) refuse(t admission.Ticket) {
	r := l.pending[t]
	delete(l.pending, t)
	l.countRefused(r)
}

func (l *loop) countRefused(r *loopRequest) {
	if r.at > loopWarmUp {
		l.refused++
	}
}

func (l *loop) start(r *loopRequest) {
	h := l.hosts[r.host]
	took := time.Duration(float64(r.work) * l.factor(r.host))
	if l.now > loopWarmUp {
		h.busy += took
	}
	l.after(took, func() {
		delete(l.pending, r.ticket)
		switch {
		case r.at <= loopWarmUp:
		case l.now-r.at > patience:
			l.refused++ // the caller has given up: as good as none
		default:
			l.answers = append(l.answers, float64(l.now-r.at)/1e6)
		}
		change := h.queue.Finish(l.now, r.ticket)
		for _, t := range change.Drop {
			l.refuse(t)
		}
		for _, t := range change.Start {
			l.start(l.pending[t])
		}
	})
}

// factor is how much slower than usual a host is now.
func (l *loop) factor(host int) float64 {
	if host != 0 {
		return 1
	}
	if l.sc.slow > 0 {
		return l.sc.slow
	}
	if l.sc.coldAt > 0 {
		left := 1 - (l.now-l.sc.coldAt).Seconds()/coldTime.Seconds()
		return 1 + (coldFactor-1)*min(max(left, 0), 1)
	}
	return 1
}

func (l *loop) reportLoads() {
	for _, h := range l.hosts {
		h.report = l.loadOf(h)
	}
}

func (l *loop) loadOf(h *loopHost) placement.Load {
	q := h.queue.Load()
	return placement.Load{Slots: q.Slots, Running: q.Running, Waiting: q.Waiting, Hold: q.MeanSlotTime, Closed: h.target.State != table.Active}
}

// change drains a data centre or shifts the weights.
func (l *loop) change() {
	for i, h := range l.hosts {
		if l.sc.drain && h.target.DataCentre == "a" {
			h.target.State = table.Draining
		}
		if l.sc.shift {
			h.target.ChangedAtMS = l.now.Milliseconds()
			h.target.Weight = 50
			if i%2 == 0 {
				h.target.Weight = 150
			}
		}
	}
}

// rtt is the way to a peer and back.
func (l *loop) rtt(a, b int) time.Duration {
	if l.hosts[a].target.DataCentre == l.hosts[b].target.DataCentre {
		return nearRTT
	}
	return farRTT
}
