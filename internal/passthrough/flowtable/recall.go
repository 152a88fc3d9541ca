package flowtable

import (
	"time"

	"bergamotstall/internal/passthrough/flowlog"
	"bergamotstall/internal/passthrough/packet"
)

const (
	// recordAge is the age at which a flow is recorded with control: most downloads are
	// over by then and cost nothing.
	recordAge = 500 * time.Millisecond
	// recordAckStep is how far a client's acknowledgements may advance before the flow is
	// recorded again. The platform accepts a reset within 76,800 of the newest
	// acknowledgement.
	recordAckStep = 30_000
	// recallPeriod is how long after the agent's start control's record of earlier flows
	// is accepted. An accepted record is kept until the target is known.
	recallPeriod = 20 * time.Second
)

// HandleRecall handles control's record of the flows of this agent's target. Of the records
// of several control VMs the one of the newest incarnation counts.
func (e *Engine) HandleRecall(now time.Duration, u flowlog.Update) {
	if now-e.startedAt > recallPeriod || e.recall != nil && u.Born < e.recall.Born {
		return
	}
	e.recall = &u
	e.applyRecall(now)
}

// applyRecall applies control's record once it is known which target is there. If the
// target was born after the recorded one, or there is none, the recorded flows are gone,
// and their callers are told by resets. If it is the recorded one, only the agent has
// restarted, and the flows are restored.
func (e *Engine) applyRecall(now time.Duration) {
	t := &e.target
	if e.recall == nil || !t.known && !e.empty(now) {
		return
	}
	u := e.recall
	e.recall = nil
	same := t.known && t.id == u.Target && t.born == u.Born
	if t.known && !same && t.born <= u.Born {
		return // the recorded incarnation is not older than this target: no safe conclusion
	}
	n := 0
	for _, r := range u.Opened {
		f := r.Flow()
		if _, ok := e.flows[f]; ok {
			continue
		}
		n++
		if same {
			e.storeFlow(f, flow{stage: open, seenAt: now, openedAt: now, clientAck: r.Ack, answered: true, recorded: true, recordedAck: r.Ack})
			continue
		}
		e.cfg.Out.Reset(f, r.Ack)
	}
	verdict := FlowsReset
	if same {
		verdict = FlowsRecalled
	}
	e.noteDecision(now, Decision{Verdict: verdict, Flows: n})
}

// Settled reports whether control's record of earlier flows may be replaced: there was
// enough time for it to arrive, and none is left to apply.
func (e *Engine) Settled(now time.Duration) bool {
	return e.recall == nil && (e.target.known || e.empty(now)) && now-e.startedAt > recordReplaceDelay
}

// recordReplaceDelay is how long after its start an agent doesn't replace control's record:
// control VMs that restart at the same time send theirs half a second later.
const recordReplaceDelay = 3 * time.Second

// Changes returns the changes since the last call that control should record; false if
// there are none. With whole set it returns all flows that control should record.
func (e *Engine) Changes(now time.Duration, whole bool) (flowlog.Update, bool) {
	u := flowlog.Update{Target: e.target.id, Born: e.target.born, Whole: whole}
	for f, x := range e.flows {
		if x.stage != open || now-x.openedAt < recordAge {
			continue
		}
		if !whole && x.recorded && x.clientAck-x.recordedAck < recordAckStep {
			continue
		}
		x.recorded = true
		x.recordedAck = x.clientAck
		e.flows[f] = x
		u.Opened = append(u.Opened, flowlog.NewRecord(f, x.clientAck))
	}
	for _, f := range e.ended {
		u.Ended = append(u.Ended, flowlog.NewRecord(f, 0))
	}
	e.ended = nil
	return u, whole || len(u.Opened) > 0 || len(u.Ended) > 0
}

// noteEnded queues the end of a recorded flow for control.
func (e *Engine) noteEnded(f packet.Flow, x flow) {
	if x.recorded {
		e.ended = append(e.ended, f)
	}
}
