package forward

import (
	"time"

	"bergamotstall/internal/passthrough/bulk"
	"bergamotstall/internal/passthrough/packet"
)

const (
	// minQueueInterval is the least time between two looks at the link while packets of bulk
	// flows are queued.
	minQueueInterval = time.Millisecond
	// leastBulkShare is the part of the link that bulk has however much else is sent, so that
	// it can't be shut out.
	leastBulkShare = 0.1
	// bulkPacketBytes is the size of a packet of bulk.
	bulkPacketBytes = bulk.WindowBytes / 16
)

// bulkGate holds the first packets of bulk flows until package bulk admits them.
type bulkGate struct {
	// admission is nil if bulk flows aren't bounded; inForce is set while the table has a
	// bulk route.
	admission *bulk.Admission
	inForce   bool
	held      map[packet.Flow]arrival
	// queue holds packets of bulk flows in progress until the link has room for them.
	queue bulk.Queue
	// sentAt is when bulk was last sent.
	sentAt time.Duration
}

func newBulkGate(cfg Config) bulkGate {
	if !cfg.Overload.BulkAdmission {
		return bulkGate{}
	}
	return bulkGate{admission: bulk.New(), held: map[packet.Flow]arrival{}}
}

// bulkRoutesChanged adapts the gate to a new table: what it holds for a route that isn't of a
// bulk kind any more goes on, and queued packets without a route are dropped.
func (e *Engine) bulkRoutesChanged(now time.Duration) {
	g := &e.bulk
	if g.admission == nil {
		return
	}
	g.inForce = e.table.HasBulk()
	for f, a := range g.held {
		if !e.table.Demand(f.Service).Kind.Bulk() {
			e.releaseBulk(now, f, a)
		}
	}
	g.queue.RemoveFunc(func(f packet.Flow) bool { return len(e.table.Services(f.Service)) == 0 })
	e.flushQueue(now)
}

// flushQueue sends the queued packets of flows whose route isn't of a bulk kind any more, in
// their order: later packets of theirs aren't queued.
func (e *Engine) flushQueue(now time.Duration) {
	changed := func(f packet.Flow) bool { return !e.table.Demand(f.Service).Kind.Bulk() }
	for x := range e.bulk.queue.All() {
		if f := x.Packet.FromClient(); changed(f) {
			e.forwardPacket(now, x.Packet, f, x.Raw)
		}
	}
	e.bulk.queue.RemoveFunc(changed)
}

// releaseBulk has a held first packet handled by the new table.
func (e *Engine) releaseBulk(now time.Duration, f packet.Flow, a arrival) {
	x, waits := e.bulk.admission.Leave(f)
	delete(e.bulk.held, f)
	switch {
	case len(e.table.Services(f.Service)) == 0 || !waits:
		e.fromClient(now, a)
	case x.Elsewhere(now):
		e.rejectBulk(now, x, now-a.arrivedAt)
	default:
		e.place(now, a, f, flowEntry{opening: &x}, 0)
	}
}

// isBulk tells whether a flow's route is of a bulk kind, and bulk flows are bounded.
func (e *Engine) isBulk(f packet.Flow) bool {
	return e.bulk.inForce && e.table.Demand(f.Service).Kind.Bulk()
}

// holdsBulk counts a client's packet of a bulk flow, and tells whether it was held or dropped
// because the flow can't start yet. known says that the flow is in the flow table.
func (e *Engine) holdsBulk(now time.Duration, a arrival, f packet.Flow, known bool) bool {
	g := &e.bulk
	switch {
	case !a.p.Opens():
		e.noteBulk(now, a.p, f)
		return false
	case known || g.admission.Started(f):
		return false
	case g.admission.Copy(f, a.p.Ack):
		g.keepNewest(a, f)
		return true
	}
	return e.arriveBulk(now, a, f)
}

// noteOpen records that a flow with the given entry, if it is known, is open.
func (e *Engine) noteOpen(f packet.Flow, entry flowEntry, known bool) {
	if p := e.placements.byFlow[f]; !known && p != nil {
		entry = p.entry
	}
	if entry.opening != nil {
		entry.opening.Opened()
	}
	if x := e.droppedOpenings[f]; x != nil {
		x.Opened()
	}
}

// maxDroppedOpenings bounds the flows that are remembered by rememberOpening, 50 B each.
const maxDroppedOpenings = 4_096

// rememberOpening keeps what is known of a flow's first packet after it was dropped: with the
// next copy it may be clear that the flow isn't open, and its caller is told.
func (e *Engine) rememberOpening(f packet.Flow, entry flowEntry) {
	if entry.opening != nil && !entry.found && len(e.droppedOpenings) < maxDroppedOpenings {
		e.droppedOpenings[f] = entry.opening
	}
}

// openingOf returns what is known of the first packet of a flow that isn't in the flow table,
// with the copy that has just arrived.
func (e *Engine) openingOf(now time.Duration, a arrival, f packet.Flow) *bulk.First {
	x := e.droppedOpenings[f]
	if x == nil {
		return e.newFirst(now, a, f)
	}
	x.Copy(a.p.Ack)
	delete(e.droppedOpenings, f)
	return x
}

// sweepOpenings forgets the dropped first packets whose clients have given up.
func (e *Engine) sweepOpenings(now time.Duration) {
	for f, x := range e.droppedOpenings {
		if now-x.BegunAt > packet.HandshakeTimeout {
			delete(e.droppedOpenings, f)
		}
	}
}

// tracksCopies tells whether the copies of a flow's first packet are remembered. Balancers hold
// or refuse first packets of such a flow where others may pass a copy of them on.
func (e *Engine) tracksCopies(f packet.Flow) bool {
	return e.cfg.Overload.FairShares || e.isBulk(f)
}

// mayBeOpen tells whether a flow that no target here accepts may be open: it was found at an
// agent, or another balancer may have passed a copy of its first packet on.
func (e *Engine) mayBeOpen(now time.Duration, f packet.Flow, entry flowEntry) bool {
	if entry.opening == nil {
		return e.tracksCopies(f) // of its copies nothing is known
	}
	return entry.found || !e.onlyHere(now, entry.opening)
}

// onlyHere tells whether all copies of a first packet came here. After a stall that isn't
// known, as packets have waited in the socket, and are older than they seem.
func (e *Engine) onlyHere(now time.Duration, x *bulk.First) bool {
	return !e.link.hasOldPackets(now) && x.OnlyHere(now)
}

// newFirst describes a first packet of a flow of which no other copy is known.
func (e *Engine) newFirst(now time.Duration, a arrival, f packet.Flow) *bulk.First {
	x := bulk.NewFirst(f, now-a.age(now), e.table.Demand(f.Service).Goal, a.p.Ack)
	return &x
}

// keepNewest replaces a held first packet by its newest copy: agents tell from it that the
// caller still waits, and take one whose copies are missing for a caller that is gone.
func (g *bulkGate) keepNewest(a arrival, f packet.Flow) {
	if _, waits := g.held[f]; waits {
		a.raw = append([]byte(nil), a.raw...)
		g.held[f] = a
	}
}

// noteBulk counts a packet of a bulk flow that is open. If its first packet still waits,
// another balancer has delivered a copy.
func (e *Engine) noteBulk(now time.Duration, p packet.Packet, f packet.Flow) {
	g := &e.bulk
	if _, waits := g.held[f]; waits {
		delete(g.held, f)
		g.admission.Leave(f)
	}
	g.admission.Packet(now, f, p.Data)
	if p.Flags.Has(packet.RST) {
		g.queue.RemoveFunc(func(x packet.Flow) bool { return x == f })
		e.bulkSent(now, p)
	}
}

// bulkSent records that a packet of bulk was sent. The last one of its flow makes room for
// another flow.
func (e *Engine) bulkSent(now time.Duration, p packet.Packet) {
	e.bulk.sentAt = now
	if p.Closes() {
		e.bulk.admission.End(now, p.FromClient())
		e.startBulk(now)
	}
}

// arriveBulk decides on the first packet of a new bulk flow.
func (e *Engine) arriveBulk(now time.Duration, a arrival, f packet.Flow) (holds bool) {
	x := *e.newFirst(now, a, f)
	switch e.bulk.admission.Arrive(now, x) {
	case bulk.Wait:
		a.raw = append([]byte(nil), a.raw...)
		e.bulk.held[f] = a
	case bulk.Reject:
		e.rejectBulk(now, x, now-a.arrivedAt)
	default:
		return false
	}
	return true
}

// rejectBulk tells the caller of a bulk flow that nothing ran, unless the flow may have been
// opened through another balancer: then its caller hears nothing.
func (e *Engine) rejectBulk(now time.Duration, x bulk.First, waited time.Duration) {
	d := Decision{Flow: x.Flow, Verdict: DroppedBulk, Waited: waited}
	if e.onlyHere(now, &x) {
		d.Verdict = RefusedBulk
		e.cfg.Out.Reset(x.Flow, 0)
	}
	e.logDecision(d)
}

// queuesBulk queues a packet of a bulk flow if the link has no room for it now: nothing of
// other callers waits behind bulk that this balancer sends. A packet that the queue has no
// room for is dropped, as it mustn't overtake those queued.
func (e *Engine) queuesBulk(now time.Duration, a arrival) bool {
	q := &e.bulk.queue
	if a.p.Data == 0 && !a.p.Flags.Has(packet.FIN) {
		return false
	}
	if q.Len() == 0 && e.bulkRoomIn(now) == 0 {
		e.bulkSent(now, a.p)
		return false
	}
	if !q.Add(now, a.p, a.raw) {
		e.logDecision(Decision{Flow: a.p.FromClient(), Verdict: DroppedBusy})
	}
	return true
}

// bulkRoomIn returns in what time bulk may be passed to the link; 0 if now.
func (e *Engine) bulkRoomIn(now time.Duration) time.Duration {
	room := e.link.roomIn(now)
	if room == 0 {
		return 0
	}
	turn := time.Duration(bulkPacketBytes / (leastBulkShare * e.linkRate()) * float64(time.Second))
	return min(room, max(0, e.bulk.sentAt+turn-now))
}

// SendQueued sends queued packets of bulk flows as far as the link has room, and returns when
// it is to be called again; 0 if nothing is queued.
func (e *Engine) SendQueued(now time.Duration) time.Duration {
	q := &e.bulk.queue
	for q.Len() > 0 && e.bulkRoomIn(now) == 0 {
		x := q.First()
		e.forwardPacket(now, x.Packet, x.Packet.FromClient(), x.Raw)
		q.Remove()
		e.bulkSent(now, x.Packet)
	}
	if q.Len() == 0 {
		return 0
	}
	return max(minQueueInterval, e.bulkRoomIn(now))
}

// endBulk records that a bulk flow, if it is one, is over. Those that wait start at the next
// tick.
func (e *Engine) endBulk(now time.Duration, f packet.Flow) {
	if e.bulk.inForce {
		e.bulk.admission.End(now, f)
	}
}

// startBulk starts the waiting flows that there is room for.
func (e *Engine) startBulk(now time.Duration) {
	for {
		x, ok := e.bulk.admission.Next(now)
		if !ok {
			return
		}
		a := e.bulk.held[x.Flow]
		delete(e.bulk.held, x.Flow)
		if x.Elsewhere(now) {
			e.bulk.admission.Forget(x.Flow)
			e.rejectBulk(now, x, now-a.arrivedAt)
			continue
		}
		e.place(now, a, x.Flow, flowEntry{opening: &x}, 0)
	}
}

func (e *Engine) tickBulk(now time.Duration) {
	g := &e.bulk
	if g.admission == nil {
		return
	}
	rate := e.linkRate()
	g.admission.SetRate(rate)
	g.queue.SetRate(rate)
	g.queue.RemoveStale(now)
	g.admission.Tick(now, e.link.delay)
	for _, x := range g.admission.Expired(now) {
		a := g.held[x.Flow]
		delete(g.held, x.Flow)
		e.rejectBulk(now, x, now-a.arrivedAt)
	}
	e.startBulk(now)
}

// LinkPressure is what shares a balancer's link and what waits for it.
type LinkPressure struct {
	// Delay is how much longer than usual an answer takes because of the link's queues.
	Delay time.Duration
	// Bulk is zero if bulk flows aren't bounded.
	Bulk bulk.Status
}

// LinkPressure returns the present state of the link.
func (e *Engine) LinkPressure(now time.Duration) LinkPressure {
	p := LinkPressure{Delay: e.link.delay}
	if e.bulk.admission != nil {
		p.Bulk = e.bulk.admission.Status(now)
	}
	return p
}
