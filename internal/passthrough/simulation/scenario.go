package simulation

import (
	"math/rand/v2"
	"time"

	"bergamotstall/internal/passthrough/flowlog"
	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/route"
)

// Scenario is a change of the load or of the VMs.
type Scenario struct {
	Name string
	// Duration is how long after its start requests count for the outcome.
	Duration time.Duration
	start    func(w *world)
}

// scenarioStart is when a scenario starts; before that, callers open their feeds.
const scenarioStart = 3 * time.Second

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{"outage", 7 * time.Second, (*world).outage},
		{"burst", 4 * time.Second, (*world).burst},
		{"saturation", 5 * time.Second, (*world).saturation},
		{"slow target", 5 * time.Second, (*world).slowTarget},
		{"release", 7 * time.Second, (*world).replaceTargets},
		{"long among short", 5 * time.Second, (*world).mixLongRequests},
		{"few heavy callers", 5 * time.Second, (*world).heavyCallers},
		{"unequal targets", 8 * time.Second, (*world).unequalTargets},
		{"slow before full", 8 * time.Second, (*world).slowBeforeFull},
		{"crowded data centre", 5 * time.Second, (*world).crowdDataCentre},
	}
}

// Run runs a scenario on a deployment. The same arguments give the same outcome.
func Run(d Deployment, s Scenario, p Policies, seed uint64) Outcome {
	return newWorld(d, p, seed).runScenario(s)
}

// RunReference runs a scenario with the reference in place of balancers and agents.
func RunReference(d Deployment, s Scenario, p Policies, seed uint64) Outcome {
	w := newWorld(d, p, seed)
	w.reference = &reference{w: w}
	return w.runScenario(s)
}

func (w *world) runScenario(s Scenario) Outcome {
	w.endTime = scenarioStart + s.Duration + maxDeadline
	w.after(scenarioStart, func() { s.start(w) })
	w.after(scenarioStart+s.Duration, func() { w.arrivalsStopped = true })
	w.run()
	return w.outcome(scenarioStart, scenarioStart+s.Duration)
}

// newWorld returns a running deployment.
func newWorld(d Deployment, p Policies, seed uint64) *world {
	w := &world{
		d: d, policies: p, rng: rand.New(rand.NewPCG(seed, 17)), loadFactor: 1,
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
		a.target.startedAt -= d.ColdTime // started long enough ago to be warm
	}
	for n := range d.Callers {
		w.callers = append(w.callers, &callerVM{n: n, zone: n % d.Zones, port: 1024, idle: map[int][]*callerFlow{}})
	}
	for class := range d.Classes {
		w.after(100*time.Millisecond, func() { w.scheduleArrivals(class) })
	}
	return w
}

// addTarget adds a VM with an agent and a target.
func (w *world) addTarget(service string, zone int) *agent {
	a := &agent{w: w, n: len(w.agents), zone: zone, service: service}
	w.agents = append(w.agents, a)
	w.startTarget(a)
	a.start(0, noFlowRecords)
	return a
}

func noFlowRecords() (flowlog.Update, bool) { return flowlog.Update{}, false }

const (
	// maxRestartDelay is the longest time from the end of an outage until a target, an
	// agent or a balancer runs again.
	maxRestartDelay = 200 * time.Millisecond
	// maxTableDelay is the longest time by which one node gets its table after the
	// first one.
	maxTableDelay = 80 * time.Millisecond
)

// outage stops all VMs. Targets come back cold; balancers and agents come back without
// state and get their table after Deployment.TableDelay.
func (w *world) outage() {
	for _, b := range w.balancers {
		b.up = false
	}
	tableAt := w.now + w.d.Outage + w.d.TableDelay
	if w.reference != nil {
		w.reference.availableAt = tableAt
		w.after(tableAt-w.now, w.reference.assignSlots)
	}
	for _, a := range w.agents {
		records := a.target.flowRecords()
		a.target.crash()
		a.up = false
		w.after(w.d.Outage+w.between(0, maxRestartDelay), func() { w.startTarget(a) })
		w.after(w.d.Outage+w.between(0, maxRestartDelay), func() {
			a.start(tableAt-w.now+w.between(0, maxTableDelay), func() (flowlog.Update, bool) { return records, len(records.Opened) > 0 })
		})
	}
	for _, b := range w.balancers {
		w.after(w.d.Outage+w.between(0, maxRestartDelay), func() { b.start(tableAt - w.now + w.between(0, maxTableDelay)) })
	}
}

// burst raises the load to 2.5 times the usual for 1.5 s.
func (w *world) burst() {
	w.loadFactor = 2.5
	w.after(1500*time.Millisecond, func() { w.loadFactor = 1 })
}

// saturation raises the load to 1.3 times the capacity of the targets for 3 s.
func (w *world) saturation() {
	w.loadFactor = 1.3 / w.utilization()
	w.after(3*time.Second, func() { w.loadFactor = 1 })
}

// utilization returns the mean fraction of the first service's slots in use.
func (w *world) utilization() float64 {
	used := 0.0
	for _, c := range w.d.Classes {
		if !c.Archive {
			used += c.Rate * c.Work.Seconds()
		}
	}
	return used / float64(w.d.Targets) / float64(w.d.Slots)
}

// slowTarget makes one target five times slower for 3 s.
func (w *world) slowTarget() {
	t := w.agents[0].target
	t.slowdown = 5
	w.after(3*time.Second, func() { t.slowdown = 1 })
}

const (
	replaceInterval = 800 * time.Millisecond
	drainTime       = 3 * time.Second
)

// replaceTargets replaces half of the targets one after the other, as a release of new
// software does: a new target starts, and the old one drains and ends.
func (w *world) replaceTargets() {
	for n := range max(1, w.d.Targets/2) {
		a := w.agents[n]
		w.after(min(time.Duration(n)*replaceInterval, 5*time.Second), func() {
			w.addTarget(a.service, a.zone)
			a.target.draining = true
			a.target.announce()
			w.after(drainTime, a.finishDrain)
		})
	}
}

// finishDrain ends a drained target.
func (a *agent) finishDrain() {
	a.engine.HandleTargetLeft(a.w.clock(), a.target.id)
	a.target.crash()
}

// mixLongRequests makes one request in twenty take longFactor times as long.
func (w *world) mixLongRequests() { w.longFraction = 0.05 }

// longFactor is how many times longer a long request takes.
const longFactor = 12

// heavyCallers makes three caller VMs send over 60% of the requests.
func (w *world) heavyCallers() { w.heavyFraction = 0.6 }

// unequalTargets makes every third target two and a half times slower than the others.
func (w *world) unequalTargets() {
	for _, a := range w.agents {
		if a.n%3 == 0 {
			a.target.slowdown = 2.5
		}
	}
}

// slowBeforeFull makes every third target run only half of its slots at full speed.
func (w *world) slowBeforeFull() {
	for _, a := range w.agents {
		if a.n%3 == 0 {
			a.target.knee = float64(w.d.Slots) / 2
		}
	}
}

// crowdDataCentre makes half of the callers of the other data centres move to the first one
// for 3 s.
func (w *world) crowdDataCentre() {
	w.crowdedFraction = 0.5
	w.after(3*time.Second, func() { w.crowdedFraction = 0 })
}

func (w *world) drawWork(mean time.Duration) time.Duration {
	duration := time.Duration(float64(mean) * (0.5 + w.rng.Float64()))
	if w.longFraction > 0 && w.rng.Float64() < w.longFraction {
		duration *= longFactor
	}
	return duration
}

func (w *world) pickCaller() *callerVM {
	if w.crowdedFraction > 0 && w.rng.Float64() < w.crowdedFraction {
		return w.callers[w.d.Zones*w.rng.IntN(len(w.callers)/w.d.Zones)]
	}
	n := len(w.callers)
	if w.heavyFraction > 0 && w.rng.Float64() < w.heavyFraction {
		n = min(n, 3)
	}
	return w.callers[w.rng.IntN(n)]
}
