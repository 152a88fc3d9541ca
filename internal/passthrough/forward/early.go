package forward

import (
	"cmp"
	"slices"
	"time"

	"bergamotstall/internal/passthrough/packet"
)

// A balancer that has just started gets packets before it knows the table and
// the agents: after all VMs lost power at once the fabric has no other to send
// them to. Callers send a packet again after 200 ms, then after 600 ms, so that
// one dropped in the last moments costs the aim of its request. The newest
// packet of each flow waits instead, and is handled once the engine can.

const (
	// earlyKept is how long a packet waits.
	earlyKept = packet.OpenPatience
	// maxEarly bounds the packets that wait, 1.3 kB each.
	maxEarly = 4_096
)

// earlyPacket is the newest packet of a flow that came too early.
type earlyPacket struct {
	arrival
	// searched says that its flow was searched in vain among the agents that had
	// reported by then.
	searched bool
}

// young tells whether agents may still be missing because the balancer has just
// started.
func (e *Engine) young(now time.Duration) bool { return now-e.tabledAt < e.cfg.Policy.Youth }

func (e *Engine) keepEarly(f packet.Flow, a arrival, searched bool) {
	if e.cfg.Policy.DropEarly {
		return
	}
	if _, ok := e.early[f]; !ok && len(e.early) >= maxEarly {
		e.note(Decision{Flow: f, Verdict: DroppedBusy})
		return
	}
	if _, ok := e.early[f]; !ok {
		e.note(Decision{Flow: f, Verdict: HeldEarly})
	}
	a.raw = append([]byte(nil), a.raw...)
	e.early[f] = earlyPacket{arrival: a, searched: searched}
}

// replayEarly handles what waits once there is a table and an agent, the newest
// first: the targets admit what comes first while they have room, and only the
// newest callers can still be answered in time.
func (e *Engine) replayEarly(now time.Duration) {
	if len(e.early) == 0 {
		return
	}
	var ready []earlyPacket
	for f, x := range e.early {
		if x.age(now) > earlyKept {
			delete(e.early, f)
			continue
		}
		if e.able(now, x) {
			delete(e.early, f)
			ready = append(ready, x)
		}
	}
	slices.SortFunc(ready, func(a, b earlyPacket) int { return cmp.Compare(a.age(now), b.age(now)) })
	if e.cfg.Policy.OldestFirst {
		slices.Reverse(ready)
	}
	for _, x := range ready {
		e.fromClient(now, x.arrival)
	}
}

// able tells whether a packet that waits can be handled: it takes an agent to ask
// or to send it to, and after a search in vain all of them, or an agent that is
// listed late would be taken for none.
func (e *Engine) able(now time.Duration, x earlyPacket) bool {
	if e.table == nil {
		return false
	}
	return !e.young(now) || !x.searched && e.Known() > 0
}
