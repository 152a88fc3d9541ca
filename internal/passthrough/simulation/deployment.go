package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/route"
)

// Class is one kind of request.
type Class struct {
	Name string
	// Rate is how many are made a second.
	Rate float64
	// Work is the mean time that one takes in a slot of a warm target.
	Work time.Duration
	// Aim is how long a caller is content to wait, Deadline when it gives up; both
	// count from its first try.
	Aim, Deadline time.Duration
	// Priority is the route's; 0 is the most urgent.
	Priority uint32
	// Feed says that callers keep flows open for many requests; otherwise each
	// request opens one.
	Feed bool
	// Once says that a caller tries again only what surely hasn't run.
	Once bool
	// Worth is what one request in time is worth; a late one is worth lateWorth of
	// it.
	Worth float64
	// Archive says that the second service serves it.
	Archive bool
	// Overflow is the weight, in hundredths, that the route gives to the second
	// service.
	Overflow uint32
}

// lateWorth is what a late answer is worth, as a part of one in time.
const lateWorth = 0.3

// Deployment is a set of machines with their load.
type Deployment struct {
	Zones, Balancers int
	// Targets serve the first service, Archive the second.
	Targets, Archive int
	Slots            uint32
	// Queue is how many requests a target lets wait before it sheds.
	Queue int
	// Cold is how long a target is slow after its start, ColdFactor how much longer
	// a request takes meanwhile.
	Cold       time.Duration
	ColdFactor float64
	// CallerDelay is the way between callers and any VM, ZoneDelay between two data
	// centres.
	CallerDelay, ZoneDelay time.Duration
	// Callers are VMs; Retries is how often one tries again.
	Callers, Retries int
	Classes          []Class
	// Outage is how long everything is down in an outage, Return how long nodes
	// then wait for their table.
	Outage, Return time.Duration
}

// String names the traits that tell deployments apart.
func (d *Deployment) String() string {
	c := d.Classes[0]
	return fmt.Sprintf("%d targets x %d slots, cold x%.1f for %v, callers %v away, aim %v, work %v, %d retries, out %v",
		d.Targets, d.Slots, d.ColdFactor, d.Cold.Round(100*time.Millisecond), d.CallerDelay.Round(100*time.Microsecond),
		c.Aim.Round(time.Millisecond), c.Work.Round(time.Millisecond), d.Retries, d.Outage.Round(10*time.Millisecond))
}

const (
	// maxSlots and leastWork bound a drawn deployment, so that a hundred are played
	// in minutes: large ones have longer work, and about a thousand requests a second.
	maxSlots  = 120
	leastWork = 500 * time.Microsecond
	// shortestDeadline is more than a caller's patience with one flow's handshake.
	shortestDeadline = 1500 * time.Millisecond
	longestDeadline  = 10 * time.Second
)

// Draw draws a deployment.
func Draw(rng *rand.Rand) Deployment {
	d := Deployment{
		Zones: 1 + rng.IntN(4), Slots: uint32(2 + rng.IntN(15)), Queue: 4 + rng.IntN(20),
		Cold: seconds(rng, 0.5, 6), ColdFactor: evenly(rng, 1, 4),
		CallerDelay: logarithmic(rng, 500*time.Microsecond, 15*time.Millisecond),
		ZoneDelay:   logarithmic(rng, 300*time.Microsecond, 2*time.Millisecond),
		Callers:     20 + rng.IntN(100), Retries: rng.IntN(4),
		Outage: seconds(rng, 0.6, 2.5), Return: seconds(rng, 0.2, 0.6),
	}
	d.Targets = min(2+rng.IntN(59), maxSlots/int(d.Slots))
	d.Targets = max(d.Targets, 2)
	d.Archive = max(1, d.Targets/3)
	d.Balancers = d.Zones * (1 + rng.IntN(2))
	work := max(logarithmic(rng, 15*time.Millisecond, 60*time.Millisecond), time.Duration(d.Targets)*time.Duration(d.Slots)*leastWork)
	load := evenly(rng, 0.3, 0.65)
	feeds := evenly(rng, 0.4, 0.85)
	rate := load * float64(d.Targets) * float64(d.Slots) / work.Seconds()
	aim := max(logarithmic(rng, 50*time.Millisecond, 2*time.Second), 3*work)
	deadline := min(max(time.Duration(evenly(rng, 4, 16)*float64(aim)), shortestDeadline), longestDeadline)
	overflow := uint32(0)
	if rng.IntN(3) == 0 {
		overflow = 10
	}
	d.Classes = []Class{
		{Name: "feed", Rate: rate * feeds, Work: work, Aim: aim, Deadline: deadline, Priority: 2, Feed: true, Worth: 1, Overflow: overflow},
		{Name: "submission", Rate: rate * (1 - feeds), Work: work, Aim: aim, Deadline: deadline, Priority: 1, Once: true, Worth: 2},
		{Name: "download", Rate: rate * 0.1, Work: work / 4, Aim: 4 * aim, Deadline: longestDeadline, Priority: 2, Worth: 1, Archive: true},
	}
	return d
}

func evenly(rng *rand.Rand, low, high float64) float64 { return low + rng.Float64()*(high-low) }

func seconds(rng *rand.Rand, low, high float64) time.Duration {
	return time.Duration(evenly(rng, low, high) * float64(time.Second))
}

// logarithmic draws so that each doubling is as likely as the next.
func logarithmic(rng *rand.Rand, low, high time.Duration) time.Duration {
	return time.Duration(math.Exp(evenly(rng, math.Log(float64(low)), math.Log(float64(high)))))
}

const (
	desk    = "desk"
	archive = "archive"
)

// address is where the class's flows go.
func (d *Deployment) address(class int) packet.Endpoint {
	return packet.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: uint16(8000 + class)}
}

// definition is the desired state that the deployment runs by.
func (d *Deployment) definition() *route.Definition {
	def := &route.Definition{Version: 1, Services: []route.Service{{Name: desk}, {Name: archive}}}
	for i, c := range d.Classes {
		at := d.address(i)
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
