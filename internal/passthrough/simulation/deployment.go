package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/route"
)

// Class is a class of requests.
type Class struct {
	Name string
	// Rate is the number of requests per second.
	Rate float64
	// Work is the mean time that a request occupies a slot of a warm target.
	Work time.Duration
	// LatencyGoal is the latency up to which an answer counts as in time; Deadline is
	// when the caller stops trying. Both count from the first attempt.
	LatencyGoal, Deadline time.Duration
	// Priority is the route's priority; 0 is the most urgent.
	Priority uint32
	// Feed tells that callers keep flows open for many requests; otherwise each
	// request opens a new flow.
	Feed bool
	// AtMostOnce tells that a caller retries a request only if it certainly hasn't
	// run.
	AtMostOnce bool
	// Worth is the value of an answer in time; a late answer has lateWorthFactor of
	// it.
	Worth float64
	// Archive tells that the second service, the archive, serves the class.
	Archive bool
	// Overflow is the weight, in percent, that the route gives to the second service.
	Overflow uint32
}

// lateWorthFactor is the value of a late answer as a fraction of one in time.
const lateWorthFactor = 0.3

// Deployment is a set of VMs with their load.
type Deployment struct {
	Zones, Balancers int
	// Targets and Archive are the numbers of targets of the first and of the second
	// service.
	Targets, Archive int
	Slots            uint32
	// QueueLimit is how many requests wait at a target before it sheds load.
	QueueLimit int
	// ColdTime is how long a target is cold after its start; requests take
	// ColdSlowdown times as long meanwhile.
	ColdTime     time.Duration
	ColdSlowdown float64
	// CallerDelay is the one-way delay between callers and any VM, ZoneDelay that
	// between two data centres.
	CallerDelay, ZoneDelay time.Duration
	// Callers is the number of caller VMs; Retries is how often a caller retries a
	// request.
	Callers, Retries int
	Classes          []Class
	// Outage is how long all VMs are down in the outage scenario; TableDelay is how
	// long balancers and agents then wait for their table.
	Outage, TableDelay time.Duration
}

// String describes the properties in which deployments differ most.
func (d *Deployment) String() string {
	c := d.Classes[0]
	return fmt.Sprintf("%d targets x %d slots, cold x%.1f for %v, callers %v away, aim %v, work %v, %d retries, out %v",
		d.Targets, d.Slots, d.ColdSlowdown, d.ColdTime.Round(100*time.Millisecond), d.CallerDelay.Round(100*time.Microsecond),
		c.LatencyGoal.Round(time.Millisecond), c.Work.Round(time.Millisecond), d.Retries, d.Outage.Round(10*time.Millisecond))
}

const (
	// maxSlots and minWorkPerSlot bound random deployments, so that a hundred of them
	// run in minutes: large ones have longer work and at most about a thousand
	// requests a second.
	maxSlots       = 120
	minWorkPerSlot = 500 * time.Microsecond
	// minDeadline is longer than a caller's timeout for a flow's handshake.
	minDeadline = 1500 * time.Millisecond
	maxDeadline = 10 * time.Second
)

// RandomDeployment returns a random deployment.
func RandomDeployment(rng *rand.Rand) Deployment {
	d := Deployment{
		Zones: 1 + rng.IntN(4), Slots: uint32(2 + rng.IntN(15)), QueueLimit: 4 + rng.IntN(20),
		ColdTime: uniformSeconds(rng, 0.5, 6), ColdSlowdown: uniform(rng, 1, 4),
		CallerDelay: logUniform(rng, 500*time.Microsecond, 15*time.Millisecond),
		ZoneDelay:   logUniform(rng, 300*time.Microsecond, 2*time.Millisecond),
		Callers:     20 + rng.IntN(100), Retries: rng.IntN(4),
		Outage: uniformSeconds(rng, 0.6, 2.5), TableDelay: uniformSeconds(rng, 0.2, 0.6),
	}
	d.Targets = min(2+rng.IntN(59), maxSlots/int(d.Slots))
	d.Targets = max(d.Targets, 2)
	d.Archive = max(1, d.Targets/3)
	d.Balancers = d.Zones * (1 + rng.IntN(2))
	work := max(logUniform(rng, 15*time.Millisecond, 60*time.Millisecond), time.Duration(d.Targets)*time.Duration(d.Slots)*minWorkPerSlot)
	load := uniform(rng, 0.3, 0.65)
	feedFraction := uniform(rng, 0.4, 0.85)
	rate := load * float64(d.Targets) * float64(d.Slots) / work.Seconds()
	latencyGoal := max(logUniform(rng, 50*time.Millisecond, 2*time.Second), 3*work)
	deadline := min(max(time.Duration(uniform(rng, 4, 16)*float64(latencyGoal)), minDeadline), maxDeadline)
	overflow := uint32(0)
	if rng.IntN(3) == 0 {
		overflow = 10
	}
	d.Classes = []Class{
		{Name: "feed", Rate: rate * feedFraction, Work: work, LatencyGoal: latencyGoal, Deadline: deadline, Priority: 2, Feed: true, Worth: 1, Overflow: overflow},
		{Name: "submission", Rate: rate * (1 - feedFraction), Work: work, LatencyGoal: latencyGoal, Deadline: deadline, Priority: 1, AtMostOnce: true, Worth: 2},
		{Name: "download", Rate: rate * 0.1, Work: work / 4, LatencyGoal: 4 * latencyGoal, Deadline: maxDeadline, Priority: 2, Worth: 1, Archive: true},
	}
	return d
}

func uniform(rng *rand.Rand, low, high float64) float64 { return low + rng.Float64()*(high-low) }

func uniformSeconds(rng *rand.Rand, low, high float64) time.Duration {
	return time.Duration(uniform(rng, low, high) * float64(time.Second))
}

// logUniform draws from a log-uniform distribution: each doubling is equally likely.
func logUniform(rng *rand.Rand, low, high time.Duration) time.Duration {
	return time.Duration(math.Exp(uniform(rng, math.Log(float64(low)), math.Log(float64(high)))))
}

const (
	desk    = "desk"
	archive = "archive"
)

// serviceAddress returns the service address of a class.
func (d *Deployment) serviceAddress(class int) packet.Endpoint {
	return packet.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: uint16(8000 + class)}
}

// definition returns the desired state of the deployment.
func (d *Deployment) definition() *route.Definition {
	def := &route.Definition{Version: 1, Services: []route.Service{{Name: desk}, {Name: archive}}}
	for i, c := range d.Classes {
		at := d.serviceAddress(i)
		r := route.Route{
			Name: c.Name, IP: at.IP, Port: at.Port, TimeoutMS: uint32(c.Deadline.Milliseconds()), Priority: c.Priority,
			Backends: []route.Backend{{Service: desk, Weight: 100 - c.Overflow}},
		}
		switch {
		case c.Archive:
			r.Backends[0].Service = archive
		case c.Overflow > 0:
			r.Backends = append(r.Backends, route.Backend{Service: archive, Weight: c.Overflow})
		}
		def.Routes = append(def.Routes, r)
	}
	return def
}
