package flowtable

import (
	"math"
	"net/netip"
	"time"

	"bergamotstall/internal/passthrough/packet"
)

// load counts what a target carries.
type load struct {
	// flows are open, running of them wait for an answer.
	flows, running int
	// hung of those running hang, as of the last look.
	hung   int
	hungAt time.Duration
	mean   float64
	meanAt time.Duration
}

// meanOver is the time constant of the mean load: about as long as a feed waits
// between two requests, so that flows that are idle just now still count.
const meanOver = time.Second

// settle lets the mean follow what has run since the last change.
func (l *load) settle(now time.Duration) {
	if past := now - l.meanAt; past > 0 {
		keep := math.Exp(-float64(past) / float64(meanOver))
		l.mean = l.mean*keep + float64(l.running)*(1-keep)
		l.meanAt = now
	}
}

// put stores a flow and keeps the counts.
func (e *Engine) put(f packet.Flow, x flow) {
	if x.stage == ended || x.stage == lacking {
		x.running = false
	}
	if x.stage != open && x.recorded {
		e.noteEnded(f, x)
		x.recorded = false
	}
	e.uncount(e.flows[f])
	e.flows[f] = x
	e.count(x)
}

func (e *Engine) remove(f packet.Flow) {
	if e.flows[f].held {
		e.unqueue(e.queuedAt(f))
	}
	e.noteEnded(f, e.flows[f])
	e.uncount(e.flows[f])
	delete(e.flows, f)
}

func (e *Engine) count(x flow) {
	if x.stage == open || x.stage == opening {
		e.load.flows++
	}
	if x.running {
		e.load.running++
	}
}

func (e *Engine) uncount(x flow) {
	if x.stage == open || x.stage == opening {
		e.load.flows--
	}
	if x.running {
		e.load.running--
	}
}

// tags stand for balancers in packets: a target that hands a packet back leaves
// the tag in place, and so the packet goes back to the balancer that sent it.
type tags struct {
	list      []netip.AddrPort
	byAddress map[netip.AddrPort]uint16
}

// of returns the tag of a balancer, 0 if there are too many.
func (t *tags) of(a netip.AddrPort) uint16 {
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

func (t *tags) address(tag uint16) (netip.AddrPort, bool) {
	if tag == 0 || int(tag) > len(t.list) {
		return netip.AddrPort{}, false
	}
	return t.list[tag-1], true
}
