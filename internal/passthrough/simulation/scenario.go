package simulation

import (
	"math/rand/v2"
	"time"

	"bergamotstall/internal/passthrough/flowlog"
	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/route"
)

// Scenario is a load and what happens to the machines.
type Scenario struct {
	Name string
	// Lasts is how long after its begin callers are asked about it.
	Lasts time.Duration
	begin func(w *world)
}

// disturbedAt is when a scenario begins; until then callers open their feeds.
const disturbedAt = 3 * time.Second

// Scenarios are what the model plays.
func Scenarios() []Scenario {
	return []Scenario{
		{"outage", 7 * time.Second, (*world).outage},
		{"burst", 4 * time.Second, (*world).burst},
		{"saturation", 5 * time.Second, (*world).saturation},
		{"slow target", 5 * time.Second, (*world).slowTarget},
		{"release", 7 * time.Second, (*world).release},
		{"long among short", 5 * time.Second, (*world).longAmongShort},
		{"few heavy callers", 5 * time.Second, (*world).heavyCallers},
	}
}

// Play plays a scenario on a deployment. The same arguments give the same outcome.
func Play(d Deployment, s Scenario, p Policies, seed uint64) Outcome {
	return newWorld(d, p, seed).play(s)
}

// PlayReference plays a scenario with the reference in place of the nodes.
func PlayReference(d Deployment, s Scenario, p Policies, seed uint64) Outcome {
	w := newWorld(d, p, seed)
	w.reference = &reference{w: w}
	return w.play(s)
}

func (w *world) play(s Scenario) Outcome {
	w.end = disturbedAt + s.Lasts + longestDeadline
	w.after(disturbedAt, func() { s.begin(w) })
	w.after(disturbedAt+s.Lasts, func() { w.stopped = true })
	w.run()
	return w.outcome(disturbedAt, disturbedAt+s.Lasts)
}

// newWorld is a deployment that runs.
func newWorld(d Deployment, p Policies, seed uint64) *world {
	w := &world{
		d: d, policies: p, rng: rand.New(rand.NewPCG(seed, 17)), load: 1,
		table: route.NewTable(d.definition()), flows: map[packet.Flow]*callerFlow{},
	}
	for n := range d.Balancers {
		b := &balancer{w: w, n: n, zone: n / (d.Balancers / d.Zones)}
		w.balancers = append(w.balancers, b)
		b.start(0)
	}
	for n := range d.Targets {
		w.addTarget(desk, n%d.Zones)
	}
	for n := range d.Archive {
		w.addTarget(archive, n%d.Zones)
	}
	for _, a := range w.agents {
		a.target.born -= d.Cold // they started long ago
	}
	for n := range d.Callers {
		w.callers = append(w.callers, &callerVM{n: n, zone: n % d.Zones, port: 1024, idle: map[int][]*callerFlow{}})
	}
	for class := range d.Classes {
		w.after(100*time.Millisecond, func() { w.arrivals(class) })
	}
	return w
}

// addTarget adds a VM with an agent and a target.
func (w *world) addTarget(service string, zone int) *agent {
	a := &agent{w: w, n: len(w.agents), zone: zone, service: service}
	w.agents = append(w.agents, a)
	w.startTarget(a)
	a.start(0, nothingHeld)
	return a
}

func nothingHeld() (flowlog.Update, bool) { return flowlog.Update{}, false }

const (
	// backWithin is how long after the power's return the last target or node runs.
	backWithin = 200 * time.Millisecond
	// attachWithin is how long after the first node the last one has its table.
	attachWithin = 80 * time.Millisecond
)

// outage takes the power of all VMs. Targets come back cold, nodes without a
// memory; the table comes a while after them.
func (w *world) outage() {
	for _, b := range w.balancers {
		b.up = false
	}
	tableAt := w.now + w.d.Outage + w.d.Return
	if w.reference != nil {
		w.reference.opensAt = tableAt
		w.after(tableAt-w.now, w.reference.fill)
	}
	for _, a := range w.agents {
		held := a.target.remembered()
		a.target.crash()
		a.up = false
		w.after(w.d.Outage+w.between(0, backWithin), func() { w.startTarget(a) })
		w.after(w.d.Outage+w.between(0, backWithin), func() {
			a.start(tableAt-w.now+w.between(0, attachWithin), func() (flowlog.Update, bool) { return held, len(held.Opened) > 0 })
		})
	}
	for _, b := range w.balancers {
		w.after(w.d.Outage+w.between(0, backWithin), func() { b.start(tableAt - w.now + w.between(0, attachWithin)) })
	}
}

// burst has callers ask two and a half times as often for a second and a half.
func (w *world) burst() {
	w.load = 2.5
	w.after(1500*time.Millisecond, func() { w.load = 1 })
}

// saturation asks for a third more than the targets can do, for three seconds.
func (w *world) saturation() {
	w.load = 1.3 / w.utilization()
	w.after(3*time.Second, func() { w.load = 1 })
}

// utilization is which part of the first service's slots is in use on average.
func (w *world) utilization() float64 {
	used := 0.0
	for _, c := range w.d.Classes {
		if !c.Archive {
			used += c.Rate * c.Work.Seconds()
		}
	}
	return used / float64(w.d.Targets) / float64(w.d.Slots)
}

// slowTarget makes one target five times as slow, for three seconds.
func (w *world) slowTarget() {
	t := w.agents[0].target
	t.slow = 5
	w.after(3*time.Second, func() { t.slow = 1 })
}

const (
	releasePause = 800 * time.Millisecond
	drainTime    = 3 * time.Second
)

// release replaces half of the targets one after the other: a new one starts, and
// the old one drains and ends.
func (w *world) release() {
	for n := range max(1, w.d.Targets/2) {
		a := w.agents[n]
		w.after(min(time.Duration(n)*releasePause, 5*time.Second), func() {
			w.addTarget(a.service, a.zone)
			a.target.draining = true
			a.target.announce()
			w.after(drainTime, a.leave)
		})
	}
}

// leave ends a target that has drained.
func (a *agent) leave() {
	a.engine.HandleTargetLeft(a.w.clock(), a.target.id)
	a.target.crash()
}

// longAmongShort makes one request in twenty take twelve times as long.
func (w *world) longAmongShort() { w.long = 0.05 }

// longFactor is how much longer a long request takes.
const longFactor = 12

// heavyCallers has three VMs of callers make most of the requests.
func (w *world) heavyCallers() { w.heavy = 0.6 }

func (w *world) drawWork(mean time.Duration) time.Duration {
	took := time.Duration(float64(mean) * (0.5 + w.rng.Float64()))
	if w.long > 0 && w.rng.Float64() < w.long {
		took *= longFactor
	}
	return took
}

func (w *world) pickCaller() *callerVM {
	n := len(w.callers)
	if w.heavy > 0 && w.rng.Float64() < w.heavy {
		n = min(n, 3)
	}
	return w.callers[w.rng.IntN(n)]
}
