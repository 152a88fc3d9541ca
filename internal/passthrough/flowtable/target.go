package flowtable

import (
	"time"

	"bergamotstall/internal/passthrough/route"
)

// Announcement is a target's periodic statement about itself.
type Announcement struct {
	ID      string
	Service string
	Address string
	// Born is the target's start in Unix milliseconds, 0 if not stated. It orders
	// incarnations: a later incarnation may reuse an ID.
	Born int64
	// Number rises with each announcement of an incarnation.
	Number   uint64
	Slots    uint32
	Draining bool
	// Cold is how much longer the target is slow after its start.
	Cold time.Duration
}

// AnnouncementResult is the result of handling an announcement.
type AnnouncementResult uint8

const (
	// AnnouncementAccepted: the announcement is now the agent's view of the target.
	AnnouncementAccepted AnnouncementResult = iota + 1
	// AnnouncementOutdated: the announcement seems to be older than the last accepted one,
	// and changes nothing. It must not be acknowledged, since its sender may be alive.
	AnnouncementOutdated
	// AnnouncementForOtherTarget: the announcement has another service or address than this
	// VM's target.
	AnnouncementForOtherTarget
)

// target is what the agent knows about its target.
type target struct {
	incarnation
	known     bool
	service   route.ServiceID
	number    uint64
	slots     uint32
	draining  bool
	coldUntil time.Duration
	// firstHeardAt is when this incarnation was first heard of, lastSeenAt when it last
	// sent anything, announcedAt when it last announced itself.
	firstHeardAt, lastSeenAt, announcedAt time.Duration
	// confirmed is set once the incarnation has announced itself so long after it was first
	// heard of that neither announcement can be a late one.
	confirmed bool
	// recalled is set if control has a record of this incarnation's flows.
	recalled bool
	// unansweredSince is when the oldest packet was sent that the target should have
	// reacted to and hasn't; 0 if there is none.
	unansweredSince time.Duration
	// silent is set while the target doesn't answer first packets.
	silent bool
	// leftAt is when the target announced its end.
	leftAt time.Duration
	// notListening is set if the last probe of the target's address was refused.
	notListening bool
}

// HandleAnnouncement handles an announcement of a target.
func (e *Engine) HandleAnnouncement(now time.Duration, a Announcement) AnnouncementResult {
	if e.cfg.Service != "" && a.Service != e.cfg.Service || e.cfg.Address != "" && a.Address != e.cfg.Address {
		return AnnouncementForOtherTarget
	}
	if e.seemsOutdated(a) && !e.isRepeated(now, a) {
		e.noteDecision(now, Decision{Verdict: StaleAnnouncement, Sender: a.ID, SenderBorn: a.Born})
		return AnnouncementOutdated
	}
	e.doubted = doubtedAnnouncement{}
	t := &e.target
	if !t.known || t.incarnation != a.incarnation() || a.Number <= t.number {
		e.startIncarnation(now, a)
	}
	t.number = a.Number
	t.slots = a.Slots
	e.learner.SetSlots(a.Slots)
	t.announcedAt = now
	t.confirmed = t.confirmed || e.lateEnough(now, t.firstHeardAt)
	t.coldUntil = now + a.Cold
	e.noteAlive(now)
	if a.Draining && !t.draining {
		t.draining = true
		e.releaseRequests(now)
		e.noteDecision(now, Decision{Verdict: TargetDrains, Flows: e.load.flows})
		e.cfg.Out.Report()
	}
	return AnnouncementAccepted
}

// announcementDelay is how long before the agent handles it an announcement may have been
// sent, if the VM is busy.
const announcementDelay = 250 * time.Millisecond

// resetFlowsOf resets the flows that began while an incarnation that is gone was surely
// alive. Later ones may be its successor's, which takes flows before it announces itself;
// if the successor lacks them, it returns their next packets.
func (e *Engine) resetFlowsOf(now time.Duration, gone target) {
	e.resetFlows(now, func(x flow) bool { return x.beganAt() < gone.announcedAt-announcementDelay })
}

// beganAt returns when a flow began, as far as the agent saw it.
func (x flow) beganAt() time.Duration {
	if x.openedAt > 0 {
		return x.openedAt
	}
	return x.seenAt
}

// HandleTargetLeft handles a target's announcement that it ends.
func (e *Engine) HandleTargetLeft(now time.Duration, id string) {
	if !e.target.known || e.target.id != id {
		return
	}
	e.target.draining = true
	e.target.leftAt = now
	e.noteDecision(now, Decision{Verdict: TargetLeft, Flows: e.load.flows})
	e.cfg.Out.Report()
}

// Stop is called when the agent's process is about to end. If the target has left, its
// flows are reset, because nobody else could tell their callers. If the target is alive,
// its flows are left alone and continue once the agent is back.
func (e *Engine) Stop(now time.Duration) {
	if e.target.leftAt > 0 {
		e.resetAll(now)
		e.target.known = false
	}
	e.leaving = true
	e.releaseRequests(now)
	e.cfg.Out.Report()
}

// expectResponse records that the target should react to the packet that it was just
// sent.
func (e *Engine) expectResponse(now time.Duration) {
	if e.target.unansweredSince == 0 {
		e.target.unansweredSince = now
	}
}

// noteAlive records that the target sent something.
func (e *Engine) noteAlive(now time.Duration) {
	t := &e.target
	t.lastSeenAt = now
	t.unansweredSince = 0
	if t.silent {
		t.silent = false
		e.noteDecision(now, Decision{Verdict: TargetAnswers})
		e.cfg.Out.Report()
	}
}

// exitGrace is how long a target's process may still run after it announced its end.
const exitGrace = 300 * time.Millisecond

// responseTimeout is how long a target may leave a packet without reaction before its
// address is probed. A target acknowledges every second packet at once and answers a
// single one when its request is done; the longest requests take a third of a second.
const responseTimeout = 200 * time.Millisecond

// WantsProbe reports whether the target's address should be probed for a listening
// process: while no target is known, because one may be there from before the agent's
// start, and while the target doesn't react.
func (e *Engine) WantsProbe(now time.Duration) bool {
	t := &e.target
	if !t.known {
		return !e.empty(now)
	}
	return t.silent || t.unansweredSince > 0 && now-t.unansweredSince > responseTimeout
}

// Probed handles the result of a probe: whether the target's address accepted a
// connection. A refused connection means that the target's process is gone, and its flows
// with it, unless the target is draining: then it may have closed its port and still serve
// its flows, and is gone only once its announcements have stopped too. A probe that timed out
// says nothing and must not be passed to Probed.
func (e *Engine) Probed(now time.Duration, listening bool) {
	t := &e.target
	if !listening && t.known && t.draining && !e.announcementsOverdue(now) {
		return
	}
	t.notListening = !listening
	if !listening {
		e.foundNoTarget = true
	}
	if listening || !t.known {
		return
	}
	e.noteDecision(now, Decision{Verdict: TargetDead, Flows: e.load.flows})
	e.countLost(now)
	e.resetAll(now)
	t.known = false
	e.cfg.Out.Report()
}
