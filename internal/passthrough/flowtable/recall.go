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
	// recallPeriod is how long after the agent's start control's records of earlier flows
	// are accepted. An accepted record is kept until the target is known.
	recallPeriod = 20 * time.Second
	// maxRecalls bounds the records that are kept, one from each control VM.
	maxRecalls = 16
)

// HandleRecall handles a control VM's record of the flows of this agent's target. Records of
// several control VMs may be of different incarnations.
func (e *Engine) HandleRecall(now time.Duration, u flowlog.Update) {
	if now-e.startedAt > recallPeriod || len(e.recalls) >= maxRecalls {
		return
	}
	e.recalls = append(e.recalls, u)
	if e.recordedFlows == nil {
		e.recordedFlows = map[packet.Flow]struct{}{}
	}
	for _, r := range u.Opened {
		e.recordedFlows[r.Flow()] = struct{}{}
	}
	e.applyRecalls(now)
}

func recordedIncarnation(u flowlog.Update) incarnation { return incarnation{u.Target, u.Born} }

// applyRecalls applies control's records once it is known which target is there. If one is
// of that target, only the agent has restarted: the flows are restored, and records of other
// incarnations, whose flows the agent's earlier process has reset, are void. Otherwise the
// recorded flows are gone, and their callers are told by resets.
func (e *Engine) applyRecalls(now time.Duration) {
	t := &e.target
	if len(e.recalls) == 0 || !t.known && !e.empty(now) {
		return
	}
	e.recordedFlows = nil
	var doubtful []flowlog.Update
	for _, u := range e.recalls {
		t.recalled = t.recalled || t.known && t.incarnation == recordedIncarnation(u)
	}
	for _, u := range e.recalls {
		switch {
		case t.known && t.incarnation == recordedIncarnation(u):
			e.restoreRecorded(now, u)
		case t.recalled: // void
		case t.known && t.born <= u.Born && !t.confirmed:
			doubtful = append(doubtful, u)
		default:
			e.resetRecorded(now, u)
		}
	}
	e.recalls = doubtful
}

// restoreRecorded restores the recorded flows of the present target.
func (e *Engine) restoreRecorded(now time.Duration, u flowlog.Update) {
	n := e.eachUnknown(u, func(f packet.Flow, ack uint32) {
		e.storeFlow(f, flow{stage: open, seenAt: now, openedAt: now, bulk: e.isBulk(f), clientAck: ack, answered: true, recorded: true, recordedAck: ack})
	})
	e.noteDecision(now, Decision{Verdict: FlowsRecalled, Flows: n})
}

// resetRecorded resets the recorded flows of a target that is gone.
func (e *Engine) resetRecorded(now time.Duration, u flowlog.Update) {
	n := e.eachUnknown(u, e.cfg.Out.Reset)
	e.noteDecision(now, Decision{Verdict: FlowsReset, Flows: n})
}

// eachUnknown calls do for each recorded flow that the agent doesn't know, with the
// client's acknowledgement, and returns their number.
func (e *Engine) eachUnknown(u flowlog.Update, do func(f packet.Flow, ack uint32)) int {
	n := 0
	for _, r := range u.Opened {
		if _, ok := e.flows[r.Flow()]; !ok {
			n++
			do(r.Flow(), r.Ack)
		}
	}
	return n
}

// Settled reports whether control's record of earlier flows may be replaced: there was
// enough time for it to arrive, and none is left to apply.
func (e *Engine) Settled(now time.Duration) bool {
	return len(e.recalls) == 0 && (e.target.known || e.empty(now)) && now-e.startedAt > recordReplaceDelay
}

// Recalled reports whether control's record is of the present target, so that flows may be
// added to it.
func (e *Engine) Recalled() bool { return e.target.known && e.target.recalled }

// recordReplaceDelay is how long after its start an agent doesn't replace control's record:
// control VMs that restart at the same time send theirs half a second later.
const recordReplaceDelay = 3 * time.Second

// Changes returns the changes since the last call that control should record; false if
// there are none. With whole set it returns all flows that control should record.
func (e *Engine) Changes(now time.Duration, whole bool) (flowlog.Update, bool) {
	return e.changes(now, whole, recordAge)
}

// LastChanges is Changes for an agent that stops: it includes the flows that have just begun,
// since the agent's next process learns of them only from control.
func (e *Engine) LastChanges(now time.Duration, whole bool) (flowlog.Update, bool) {
	return e.changes(now, whole, 0)
}

// changes returns what control should record of the flows that are open for at least minAge.
func (e *Engine) changes(now time.Duration, whole bool, minAge time.Duration) (flowlog.Update, bool) {
	u := flowlog.Update{Target: e.target.id, Born: e.target.born, Whole: whole}
	for f, x := range e.flows {
		if x.stage != open || now-x.openedAt < minAge {
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
