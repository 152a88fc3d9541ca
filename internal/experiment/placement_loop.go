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

// The event loop simulates callers' flows to hosts. Hosts use the real admission code,
// and a policy decides what a host does with a request that it can't run at once. Time
// is simulated; the same seed gives the same run.

const (
	simulatedTime    = 40 * time.Second
	warmUpTime       = 5 * time.Second // excluded from the results
	changeAt         = 20 * time.Second
	meanWork         = 50 * time.Millisecond
	callerTimeout    = 2 * time.Second
	meanFlowLifetime = 15 * time.Second
	nearRTT          = 500 * time.Microsecond
	farRTT           = 3 * time.Millisecond
	reportInterval   = 10 * time.Second
	flowsPerHost     = 12
	maxAttempts      = 3 // of a request whose home host is draining
)

// size is the size of a user's service.
type size struct {
	name         string
	hosts, slots int
}

// scenario is a load pattern with optional disturbances.
type scenario struct {
	name string
	load float64 // as a multiple of the capacity
	// meanWork is the mean of work; 0 means the constant meanWork.
	meanWork time.Duration
	// work draws how long a request occupies a slot.
	work func(*rand.Rand) time.Duration
	// heavyCallers is the number of callers that together send half of the requests.
	heavyCallers int
	// slowFactor is how many times slower host 0 is.
	slowFactor float64
	// coldAt is when host 0 joins; it is coldFactor times slower at first.
	coldAt time.Duration
	// burstFactor multiplies the load of a third of the flows during one second in
	// five.
	burstFactor float64
	// drainDataCentre drains the hosts of data centre "a" at changeAt.
	drainDataCentre bool
	// shiftWeights changes the hosts' weights at changeAt.
	shiftWeights bool
}

const (
	coldFactor   = 4.0
	coldDuration = 10 * time.Second
)

// tuning holds the thresholds that Sweeps varies.
type tuning struct {
	probesPerRound int
	probeThreshold float64 // fraction of busy slots from which probes are sent
	queueLimit     int
	overloadAfter  time.Duration
	slowStart      time.Duration // 0 means slowstart.SlowStartMS
	noSlowStart    bool
	noDeadlines    bool // requests carry no deadline
}

type loopHost struct {
	queue  *admission.Queue
	target table.Target
	busy   time.Duration  // slot time used after the warm-up
	report placement.Load // at the last reportInterval
	flows  int
}

type loopFlow struct {
	host   int
	caller string
	rate   float64
}

type loopRequest struct {
	flow       int
	home       int
	at         time.Duration
	work       time.Duration
	host       int
	ticket     admission.Ticket
	triedHosts []int
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

// policy decides what a host does with a request that it can't run at once.
type policy struct {
	name string
	// overflow sends the request to a peer or lets it wait at its home host.
	overflow func(l *loop, r *loopRequest)
	// everyRequest calls overflow for each request, even if the home host has a free
	// slot.
	everyRequest bool
	// belowLimit calls overflow before the home host is full: as soon as the fraction
	// tuning.probeThreshold of its slots is busy.
	belowLimit bool
	// boundedFlows assigns a new flow to another host if the drawn one has over 25%
	// more flows than the mean.
	boundedFlows bool
}

type loop struct {
	rng        *rand.Rand
	now        time.Duration
	queue      events
	seq        int
	scenario   scenario
	policy     policy
	tuning     tuning
	hosts      []*loopHost
	flows      []*loopFlow
	pending    map[admission.Ticket]*loopRequest
	lastTicket admission.Ticket
	nextPeer   int

	answerTimes []float64 // milliseconds
	sent        int
	refused     int
	probes      int
}

func newLoop(sz size, sc scenario, p policy, tune tuning, seed uint64) *loop {
	l := &loop{rng: rand.New(rand.NewPCG(seed, 11)), scenario: sc, policy: p, tuning: tune, pending: map[admission.Ticket]*loopRequest{}}
	for i := range sz.hosts {
		h := &loopHost{
			queue:  admission.New(admission.Config{Slots: sz.slots, QueueLimit: tune.queueLimit, OverloadAfter: tune.overloadAfter}),
			target: table.Target{Agent: table.AgentNumber(i + 1), State: table.Active, Weight: 100, PreviousWeight: 100, Slots: sz.slots, DataCentre: string(rune('a' + i%3))},
		}
		// All other hosts joined long ago.
		h.target.JoinedAtMS, h.target.ChangedAtMS = -1_000_000, -1_000_000
		if sc.coldAt > 0 && i == 0 {
			h.target.JoinedAtMS = sc.coldAt.Milliseconds()
		}
		l.hosts = append(l.hosts, h)
	}
	mean := meanWork
	if sc.meanWork > 0 {
		mean = sc.meanWork
	}
	capacity := float64(sz.hosts*sz.slots) / mean.Seconds()
	l.openFlows(sz.hosts*flowsPerHost, sc.load*capacity)
	l.every(reportInterval, l.reportLoads)
	if sc.drainDataCentre || sc.shiftWeights {
		l.after(changeAt, l.applyChange)
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
	for len(l.queue) > 0 && l.queue[0].at < simulatedTime {
		e := heap.Pop(&l.queue).(event)
		l.now = e.at
		e.step()
	}
}

func (l *loop) exp(mean time.Duration) time.Duration {
	return time.Duration(l.rng.ExpFloat64() * float64(mean))
}

// openFlows opens n flows and divides the request rate among them.
func (l *loop) openFlows(n int, rate float64) {
	for i := range n {
		f := &loopFlow{host: -1, caller: string(rune('A' + i)), rate: rate / float64(n)}
		if l.scenario.heavyCallers > 0 {
			f.rate = rate / 2 / float64(n-l.scenario.heavyCallers)
			if i < l.scenario.heavyCallers {
				f.rate = rate / 2 / float64(l.scenario.heavyCallers)
			}
		}
		l.flows = append(l.flows, f)
		l.assignHost(i)
		l.nextRequest(i)
	}
}

// assignHost assigns a host to a flow, and again after the flow's lifetime. A random
// draw weighted by share replaces the keyed hash of the flow.
func (l *loop) assignHost(i int) {
	f := l.flows[i]
	if f.host >= 0 {
		l.hosts[f.host].flows--
	}
	f.host = l.drawHost()
	if l.policy.boundedFlows {
		for try := 0; try < 3 && float64(l.hosts[f.host].flows+1) > 1.25*flowsPerHost; try++ {
			f.host = l.drawHost()
		}
	}
	l.hosts[f.host].flows++
	l.after(l.exp(meanFlowLifetime), func() { l.assignHost(i) })
}

func (l *loop) share(h *loopHost) float64 {
	if h.target.JoinedAtMS > 0 && h.target.JoinedAtMS > l.now.Milliseconds() {
		return 0
	}
	t := h.target
	if l.tuning.noSlowStart {
		t.JoinedAtMS, t.ChangedAtMS = -1_000_000, -1_000_000
	} else if l.tuning.slowStart > 0 && t.JoinedAtMS > 0 {
		// Scale the age so that package slowstart takes tuning.slowStart.
		age := float64(l.now.Milliseconds()-t.JoinedAtMS) * slowstart.SlowStartMS / float64(l.tuning.slowStart.Milliseconds())
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
	if l.scenario.burstFactor > 0 && i%3 == 0 && math.Mod(second, 5) < 1 {
		rate *= l.scenario.burstFactor
	}
	l.after(l.exp(time.Duration(float64(time.Second)/rate)), func() {
		l.arrive(i)
		l.nextRequest(i)
	})
}

func (l *loop) arrive(i int) {
	r := &loopRequest{flow: i, home: l.flows[i].host, at: l.now, work: l.scenario.work(l.rng)}
	if l.now > warmUpTime {
		l.sent++
	}
	h := l.hosts[r.home]
	home := l.loadOf(h)
	overflow := !home.Room()
	if l.policy.belowLimit {
		overflow = placement.ShouldProbeFrom(home, l.tuning.probeThreshold)
	}
	if !l.policy.everyRequest && !overflow {
		l.offer(r, r.home)
		return
	}
	l.policy.overflow(l, r)
}

// offer offers a request to a host's admission queue. A request rejected by a peer goes
// back to its home host, where it may wait, or to another peer if the home host is
// draining.
func (l *loop) offer(r *loopRequest, host int) {
	l.lastTicket++
	r.ticket, r.host = l.lastTicket, host
	l.pending[r.ticket] = r
	q := admission.Request{Ticket: r.ticket, Caller: l.flows[r.flow].caller}
	if !l.tuning.noDeadlines {
		q.Deadline = r.at + callerTimeout
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
		if host != r.home && home && !slices.Contains(r.triedHosts, r.home) {
			r.triedHosts = append(r.triedHosts, r.home)
			l.after(nearRTT, func() { l.offer(r, r.home) })
			return
		}
		if !home && len(r.triedHosts) < maxAttempts {
			l.after(nearRTT, func() { l.waitAtHome(r) })
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
	if r.at > warmUpTime {
		l.refused++
	}
}

func (l *loop) start(r *loopRequest) {
	h := l.hosts[r.host]
	duration := time.Duration(float64(r.work) * l.slowdown(r.host))
	if l.now > warmUpTime {
		h.busy += duration
	}
	l.after(duration, func() {
		delete(l.pending, r.ticket)
		switch {
		case r.at <= warmUpTime:
		case l.now-r.at > callerTimeout:
			l.refused++ // the caller's timeout has passed
		default:
			l.answerTimes = append(l.answerTimes, float64(l.now-r.at)/1e6)
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

// slowdown returns how many times slower than usual a host is now.
func (l *loop) slowdown(host int) float64 {
	if host != 0 {
		return 1
	}
	if l.scenario.slowFactor > 0 {
		return l.scenario.slowFactor
	}
	if l.scenario.coldAt > 0 {
		remaining := 1 - (l.now-l.scenario.coldAt).Seconds()/coldDuration.Seconds()
		return 1 + (coldFactor-1)*min(max(remaining, 0), 1)
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

// applyChange drains a data centre or changes the weights.
func (l *loop) applyChange() {
	for i, h := range l.hosts {
		if l.scenario.drainDataCentre && h.target.DataCentre == "a" {
			h.target.State = table.Draining
		}
		if l.scenario.shiftWeights {
			h.target.ChangedAtMS = l.now.Milliseconds()
			h.target.Weight = 50
			if i%2 == 0 {
				h.target.Weight = 150
			}
		}
	}
}

// roundTripTime returns the network round trip time between two hosts.
func (l *loop) roundTripTime(a, b int) time.Duration {
	if l.hosts[a].target.DataCentre == l.hosts[b].target.DataCentre {
		return nearRTT
	}
	return farRTT
}
