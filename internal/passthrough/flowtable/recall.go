package flowtable

import (
	"time"

	"bergamotstall/internal/passthrough/flowlog"
	"bergamotstall/internal/passthrough/packet"
)

const (
	// recordAfter is the age from which on a flow is told to control: most
	// downloads are over by then and cost nothing.
	recordAfter = 500 * time.Millisecond
	// recordAgain is by how much a client's acknowledgements may move before a
	// flow is told again. The platform takes a reset within 76,800 of the newest.
	recordAgain = 30_000
	// recallFor is how long after the agent's start control's word on earlier
	// flows is taken, and waits for the target.
	recallFor = 20 * time.Second
)

// HandleRecall takes what control remembers of the flows of the target here. The
// newest incarnation that any control VM remembers counts.
func (e *Engine) HandleRecall(now time.Duration, u flowlog.Update) {
	if now-e.startedAt > recallFor || e.recall != nil && u.Born < e.recall.Born {
		return
	}
	e.recall = &u
	e.settleRecall(now)
}

// settleRecall acts on what control remembers once it is known who is there. If
// the target was born after the one remembered, or nobody is there, the flows
// remembered are gone, and their callers are told. If it is the same, the agent's
// process has restarted, and they are known again.
func (e *Engine) settleRecall(now time.Duration) {
	t := &e.target
	if e.recall == nil || !t.known && !e.empty(now) {
		return
	}
	u := e.recall
	e.recall = nil
	same := t.known && t.id == u.Target && t.born == u.Born
	if t.known && !same && t.born <= u.Born {
		return // remembered of a later one than is there; nothing is sure
	}
	n := 0
	for _, r := range u.Opened {
		f := r.Flow()
		if _, ok := e.flows[f]; ok {
			continue
		}
		n++
		if same {
			e.put(f, flow{stage: open, seenAt: now, openedAt: now, ack: r.Ack, answered: true, recorded: true, recordedAck: r.Ack})
			continue
		}
		e.cfg.Out.Reset(f, r.Ack)
	}
	verdict := FlowsReset
	if same {
		verdict = FlowsRecalled
	}
	e.note(now, Decision{Verdict: verdict, Flows: n})
}

// Settled tells whether control's memory of earlier flows may be replaced: it was
// acted on, or there was time enough for it to come.
func (e *Engine) Settled(now time.Duration) bool {
	return e.recall == nil && (e.target.known || e.empty(now)) && now-e.startedAt > settleAfter
}

// settleAfter is how long after its start an agent leaves control's memory alone:
// control VMs that restart with it come half a second later.
const settleAfter = 3 * time.Second

// Changes returns what control should be told since the last call; false if
// nothing. whole asks for all.
func (e *Engine) Changes(now time.Duration, whole bool) (flowlog.Update, bool) {
	u := flowlog.Update{Target: e.target.id, Born: e.target.born, Whole: whole}
	for f, x := range e.flows {
		if x.stage != open || now-x.openedAt < recordAfter {
			continue
		}
		if !whole && x.recorded && x.ack-x.recordedAck < recordAgain {
			continue
		}
		x.recorded = true
		x.recordedAck = x.ack
		e.flows[f] = x
		u.Opened = append(u.Opened, flowlog.NewRecord(f, x.ack))
	}
	for _, f := range e.ended {
		u.Ended = append(u.Ended, flowlog.NewRecord(f, 0))
	}
	e.ended = nil
	return u, whole || len(u.Opened) > 0 || len(u.Ended) > 0
}

// noteEnded remembers a recorded flow that is over.
func (e *Engine) noteEnded(f packet.Flow, x flow) {
	if x.recorded {
		e.ended = append(e.ended, f)
	}
}
