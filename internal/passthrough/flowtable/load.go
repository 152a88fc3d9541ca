package flowtable

import (
	"math"
	"net/netip"
	"time"

	"bergamotstall/internal/passthrough/packet"
)

// load counts the flows and requests of the target.
type load struct {
	// flows is the number of open flows, running the number of requests waiting for an
	// answer, and uploads the same of bulk routes, which running doesn't include.
	flows, running, uploads int
	// hung is how many running requests hang, as of the last scan.
	hung          int
	nextHungScan  time.Duration
	meanRunning   float64
	meanUpdatedAt time.Duration
	// answeredAt is when the target last answered a request, busySince since when
	// something has waited for room.
	answeredAt, busySince time.Duration
}

// meanTimeConstant is the time constant of the mean load. It is about the time that a
// feed waits between two requests, so that flows that are idle at the moment still count.
const meanTimeConstant = time.Second

// updateMean adds the requests that ran since the last update to the mean.
func (l *load) updateMean(now time.Duration) {
	if past := now - l.meanUpdatedAt; past > 0 {
		keep := math.Exp(-float64(past) / float64(meanTimeConstant))
		l.meanRunning = l.meanRunning*keep + float64(l.running)*(1-keep)
		l.meanUpdatedAt = now
	}
}

// storeFlow stores a flow and updates the counts.
func (e *Engine) storeFlow(f packet.Flow, x flow) {
	if x.stage == ended || x.stage == notHeld {
		x.running = false
	}
	if x.stage != open && x.recorded {
		e.noteEnded(f, x)
		x.recorded = false
	}
	e.noteRequest(f, e.flows[f], x)
	e.uncountFlow(e.flows[f])
	e.flows[f] = x
	e.countFlow(x)
}

// isBulk tells whether a flow belongs to a route of a bulk kind, which is counted apart.
func (e *Engine) isBulk(f packet.Flow) bool {
	return e.cfg.Overload.BulkAdmission && e.table.Demand(f.Service).Kind.Bulk()
}

func (e *Engine) removeFlow(f packet.Flow) {
	if e.flows[f].held {
		e.dequeue(e.queueIndex(f))
	}
	e.noteEnded(f, e.flows[f])
	e.noteRequest(f, e.flows[f], flow{})
	e.uncountFlow(e.flows[f])
	delete(e.flows, f)
}

func (e *Engine) countFlow(x flow) {
	if x.stage == open || x.stage == halfOpen {
		e.load.flows++
	}
	switch {
	case x.running && x.bulk:
		e.load.uploads++
	case x.running:
		e.load.running++
	}
}

func (e *Engine) uncountFlow(x flow) {
	if x.stage == open || x.stage == halfOpen {
		e.load.flows--
	}
	switch {
	case x.running && x.bulk:
		e.load.uploads--
	case x.running:
		e.load.running--
	}
}

// balancerTags maps balancers to tags in packets. A target that returns a packet leaves
// the tag in place, which tells the agent which balancer sent the packet.
type balancerTags struct {
	list      []netip.AddrPort
	byAddress map[netip.AddrPort]uint16
}

// tagOf returns the tag of a balancer, 0 if there are too many.
func (t *balancerTags) tagOf(a netip.AddrPort) uint16 {
	if tag, ok := t.byAddress[a]; ok {
		return tag
	}
	if len(t.list) >= math.MaxUint16 {
		return 0
	}
	t.list = append(t.list, a)
	tag := uint16(len(t.list))
	t.byAddress[a] = tag
	return tag
}

func (t *balancerTags) address(tag uint16) (netip.AddrPort, bool) {
	if tag == 0 || int(tag) > len(t.list) {
		return netip.AddrPort{}, false
	}
	return t.list[tag-1], true
}
