package flowtable

import (
	"time"

	"bergamotstall/internal/passthrough/route"
)

// Announcement is what a target says of itself, again and again.
type Announcement struct {
	ID      string
	Service string
	Address string
	// Born is the target's start in Unix milliseconds, 0 if it doesn't say.
	// It orders incarnations: an id may be used again by a later one.
	Born int64
	// Number rises with each announcement of an incarnation.
	Number   uint64
	Slots    uint32
	Draining bool
	// Cold is how much longer the target stays slow after its start.
	Cold time.Duration
}

// AnnouncementResult says what became of an announcement.
type AnnouncementResult uint8

const (
	// AnnouncementAccepted: it describes the target from now on.
	AnnouncementAccepted AnnouncementResult = iota + 1
	// AnnouncementOutdated: a newer one of the same incarnation, or a newer incarnation, was
	// taken before. It changes nothing.
	AnnouncementOutdated
	// AnnouncementForOtherTarget: it is of another service or address than this VM's target.
	AnnouncementForOtherTarget
)

// target is what the agent knows of its target.
type target struct {
	known    bool
	id       string
	service  route.ServiceID
	born     int64
	number   uint64
	slots    uint32
	draining bool
	coldTill time.Duration
	// older says that the target was there before the agent, which may not know
	// all its flows.
	older bool
	// metAt is when this incarnation was first heard of, lifeAt its last sign
	// of life, announcedAt its last announcement.
	metAt, lifeAt, announcedAt time.Duration
	// owesAt is when it was sent the oldest packet that it should have reacted
	// to and hasn't; 0 if it owes nothing.
	owesAt time.Duration
	// silent says that it owes a reaction for too long.
	silent bool
	// leftAt is when an incarnation said that it ends.
	leftAt time.Duration
	// absent says that nothing took connections at its address when last tried.
	absent bool
}

const (
	// firstAnnouncement is the number of the first announcement of an
	// incarnation: whoever hears it has seen all flows, since targets get none
	// before they are known.
	firstAnnouncement = 1
	// bornTogether is how much older than the agent's process a target may be
	// that no earlier process can have sent flows to: when a VM starts, target and
	// agent start within a quarter of a second, and an agent takes longer than
	// this to be known, to send flows, to end and to start again. If it is too long,
	// open flows of a target are reset whose agent restarted soon after its birth.
	bornTogether = 400 * time.Millisecond
)

// missed tells whether the target may have flows from before the agent's start.
func (e *Engine) missed(a Announcement) bool {
	if a.Number <= firstAnnouncement {
		return false
	}
	return a.Born == 0 || e.cfg.StartedWall.Sub(time.UnixMilli(a.Born)) > bornTogether
}

// HandleAnnouncement takes what a target says of itself.
func (e *Engine) HandleAnnouncement(now time.Duration, a Announcement) AnnouncementResult {
	if e.cfg.Service != "" && a.Service != e.cfg.Service || e.cfg.Address != "" && a.Address != e.cfg.Address {
		return AnnouncementForOtherTarget
	}
	t := &e.target
	switch {
	case t.id == a.ID && t.born == a.Born && (t.known || t.leftAt > 0):
		if a.Number <= t.number || !t.known {
			return AnnouncementOutdated
		}
	case t.id == a.ID && t.born == a.Born && a.Number <= t.number:
		return AnnouncementOutdated // it was taken for dead, and this was said before
	case t.id != "" && a.Born < t.born:
		e.note(now, Decision{Verdict: StaleAnnouncement})
		return AnnouncementOutdated
	default:
		e.arrive(now, a)
	}
	t.number = a.Number
	t.slots = a.Slots
	t.announcedAt = now
	t.coldTill = now + a.Cold
	e.lives(now)
	if a.Draining && !t.draining {
		t.draining = true
		e.letAllIn(now)
		e.note(now, Decision{Verdict: TargetDrains, Flows: e.load.flows})
		e.cfg.Out.Report()
	}
	return AnnouncementAccepted
}

// clockSlack is how far the time of day may be off between a target's birth and
// the agent's start; clocks that are set jump by a second or two. A flow that
// began within it may be of either incarnation, and is left to its next packet,
// which the target hands back if it lacks the flow.
const clockSlack = 2500 * time.Millisecond

// resetBefore resets the flows that began before a new incarnation was born. It
// may take flows before it announces itself, and those are its own.
func (e *Engine) resetBefore(now time.Duration, born int64) {
	if born == 0 {
		return
	}
	bornAt := e.startedAt + time.UnixMilli(born).Sub(e.cfg.StartedWall)
	e.resetFlows(now, func(x flow) bool { return x.began() < bornAt-clockSlack })
}

// began is when a flow began, as far as was seen.
func (x flow) began() time.Duration {
	if x.openedAt > 0 {
		return x.openedAt
	}
	return x.seenAt
}

// arrive begins a new incarnation. What the one before held is gone.
func (e *Engine) arrive(now time.Duration, a Announcement) {
	if e.target.known {
		e.died(now)
		e.resetBefore(now, a.Born)
	}
	another := e.target.id != "" && (e.target.id != a.ID || e.target.born != a.Born)
	takenForDead := e.target.id != "" && !another
	e.target = target{
		known: true, id: a.ID, service: route.IDOf(a.Service), born: a.Born, metAt: now,
		older: takenForDead || !another && e.missed(a),
	}
	e.note(now, Decision{Verdict: TargetArrived})
	e.settleRecall(now)
	e.cfg.Out.Report()
}

// HandleTargetLeft takes a target's word that it ends.
func (e *Engine) HandleTargetLeft(now time.Duration, id string) {
	if !e.target.known || e.target.id != id {
		return
	}
	e.target.draining = true
	e.target.leftAt = now
	e.note(now, Decision{Verdict: TargetLeft, Flows: e.load.flows})
	e.cfg.Out.Report()
}

// Stop says that the agent's process ends. If its target has left, or is dead,
// the flows that it held are reset: nobody else could tell their callers. If it
// lives, they are left alone, and go on once the process is back.
func (e *Engine) Stop(now time.Duration) {
	if e.target.leftAt > 0 {
		e.resetAll(now)
		e.target.known = false
	}
	e.leaving = true
	e.letAllIn(now)
	e.cfg.Out.Report()
}

// owe notes that the target should react to what it was just sent.
func (e *Engine) owe(now time.Duration) {
	if e.target.owesAt == 0 {
		e.target.owesAt = now
	}
}

// lives notes a sign of life of the target.
func (e *Engine) lives(now time.Duration) {
	t := &e.target
	t.lifeAt = now
	t.owesAt = 0
	if t.silent {
		t.silent = false
		e.note(now, Decision{Verdict: TargetAnswers})
		e.cfg.Out.Report()
	}
}

// afterLeft is how long after its farewell a target's process may still run.
const afterLeft = 300 * time.Millisecond

// owePatience is how long a target may owe a reaction before its address is
// tried. It acknowledges every second packet at once and answers a lone one when
// its request is done; the longest requests take a third of a second.
const owePatience = 200 * time.Millisecond

// WantsProbe tells whether it should be tried if anything takes connections at
// the target's address: while no target is known, since one may be there from
// before the agent's start, and while one owes a reaction.
func (e *Engine) WantsProbe(now time.Duration) bool {
	t := &e.target
	if !t.known {
		return !e.empty(now)
	}
	return t.silent || t.owesAt > 0 && now-t.owesAt > owePatience
}

// Probed takes whether anything took a connection at the target's address. A
// refusal means that the target's process is gone, and its flows with it. No
// answer at all isn't to be passed on: it says nothing.
func (e *Engine) Probed(now time.Duration, listening bool) {
	e.target.absent = !listening
	if listening || !e.target.known {
		return
	}
	e.note(now, Decision{Verdict: TargetDead, Flows: e.load.flows})
	e.died(now)
	e.resetAll(now)
	e.target.known = false
	e.cfg.Out.Report()
}
