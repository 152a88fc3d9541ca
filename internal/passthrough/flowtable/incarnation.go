package flowtable

import (
	"slices"
	"time"

	"bergamotstall/internal/passthrough/patience"
	"bergamotstall/internal/passthrough/route"
)

// An announcement may arrive late, after its sender has crashed and another incarnation has
// announced itself. The start that a target states doesn't tell which of the two is the
// later one, because the VM's clock may have been set back in between. What tells is that
// the announcements of a living target go on and those of a dead one don't. So an
// announcement that seems to be outdated is refused once, and accepted when it is repeated
// while the incarnation accepted before announces nothing.

// incarnation identifies a run of a target by its ID, which a later run may reuse, and the
// start that it states, 0 if none. It doesn't order incarnations.
type incarnation struct {
	id   string
	born int64
}

func (a Announcement) incarnation() incarnation { return incarnation{a.ID, a.Born} }

// doubtedAnnouncement is the first of the announcements that seem to be outdated and may
// be those of a living target.
type doubtedAnnouncement struct {
	of     incarnation
	number uint64
	at     time.Duration
}

// maxReplaced bounds the incarnations that are remembered after others have replaced them.
const maxReplaced = 16

// seemsOutdated reports whether an announcement seems to be older than the last accepted one.
func (e *Engine) seemsOutdated(a Announcement) bool {
	t := &e.target
	switch {
	case t.id == "":
		return false
	case t.incarnation == a.incarnation():
		return a.Number <= t.number || !t.known && t.leftAt > 0
	case slices.Contains(e.replaced, a.incarnation()):
		return true
	}
	return t.known && a.Born < t.born
}

// isRepeated reports whether an announcement that seems to be outdated follows another one
// of the same incarnation, late enough, and without one of the present incarnation in
// between. A restarted target with the identity of the present one counts once the latter's
// announcements are overdue: until then it may be the living one's that overtook each other.
func (e *Engine) isRepeated(now time.Duration, a Announcement) bool {
	t := &e.target
	if t.incarnation == a.incarnation() && now-t.announcedAt <= e.announcementTimeout() {
		return false
	}
	if e.doubted.of != a.incarnation() || a.Number <= e.doubted.number {
		e.doubted = doubtedAnnouncement{of: a.incarnation(), number: a.Number, at: now}
		return false
	}
	return e.lateEnough(now, e.doubted.at)
}

// lateEnough reports whether an announcement comes so long after another one of its
// incarnation that both can't have been delayed by the same event.
func (e *Engine) lateEnough(now, earlier time.Duration) bool {
	return now > earlier && now-earlier >= e.cfg.Heartbeat/2
}

// startIncarnation replaces the target by a new incarnation. The flows of the one before
// are gone.
func (e *Engine) startIncarnation(now time.Duration, a Announcement) {
	before := e.target
	resumed := before.incarnation == a.incarnation() || slices.Contains(e.replaced, a.incarnation())
	if resumed {
		e.forgetFlows(now) // it was taken for dead or for restarted, and may have its flows
	}
	if before.known {
		e.countLost(now)
		if !resumed && a.Born != 0 {
			e.resetFlowsOf(now, before)
		}
	}
	e.load.answeredAt, e.load.busySince = 0, now
	e.admission.arrivals = patience.Arrivals{}
	e.noteReplaced(before.incarnation, a.incarnation())
	e.target = target{incarnation: a.incarnation(), known: true, service: route.IDOf(a.Service), firstHeardAt: now}
	e.forgetLearned()
	e.noteDecision(now, Decision{Verdict: TargetArrived, AllFlowsKnown: e.knowsAllFlows(now)})
	e.applyRecalls(now)
	e.cfg.Out.Report()
}

// noteReplaced records that an incarnation was replaced by another.
func (e *Engine) noteReplaced(before, by incarnation) {
	e.replaced = slices.DeleteFunc(e.replaced, func(x incarnation) bool { return x == by })
	if before.id == "" || before == by {
		return
	}
	if len(e.replaced) >= maxReplaced {
		e.replaced = slices.Delete(e.replaced, 0, 1)
	}
	e.replaced = append(e.replaced, before)
}
