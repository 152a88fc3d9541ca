package flowtable

import (
	"time"

	"bergamotstall/internal/passthrough/fairshare"
	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/patience"
	"bergamotstall/internal/passthrough/peer"
)

// Fair shares among clients while the target has no room (package fairshare). The agent
// orders what waits here by the clients' usage, and tells balancers who waits, so that they
// place further first packets where nobody does, or refuse them at once.

// shares is the state of fair shares.
type shares struct {
	usage *fairshare.Usage
	// short is set while the target is short of slots: callers wait. waitedAt is when a caller
	// last did.
	short    bool
	waitedAt time.Duration
}

const (
	// shortAfter is how long callers must have waited without a pause for a shortage to begin,
	// in mean times of a request; calmAfter is how long nobody must have waited for it to be
	// over. With less, each crowded or idle moment would be told to all balancers.
	shortAfter = 3
	calmAfter  = 200 * time.Millisecond
)

func (e *Engine) clientOf(f packet.Flow) fairshare.Client {
	return fairshare.Client{IP: f.Client.IP, Priority: e.table.Priority(f.Service)}
}

// noteClient records that a flow's client asks for a slot, and what a balancer knows of its
// usage.
func (e *Engine) noteClient(now time.Duration, f packet.Flow, usage fairshare.Stamp) {
	if !e.cfg.Overload.FairShares {
		return
	}
	c := e.clientOf(f)
	e.shares.usage.See(now, c)
	if usage > 0 {
		e.shares.usage.Raise(now, c, usage.Flows())
	}
}

// countUse counts a slot given to a flow's client.
func (e *Engine) countUse(now time.Duration, f packet.Flow) {
	if e.cfg.Overload.FairShares {
		e.shares.usage.Add(now, e.clientOf(f))
	}
}

// rankQueued ranks what waits by the clients' shares.
func (e *Engine) rankQueued(now time.Duration) {
	if !e.cfg.Overload.FairShares {
		return
	}
	for i := range e.admission.queue {
		q := &e.admission.queue[i]
		q.caller.Share = e.shareRank(now, q.flow)
	}
}

// shareRank ranks a flow's client by its share; 0 for all without fair shares.
func (e *Engine) shareRank(now time.Duration, f packet.Flow) uint32 {
	if !e.cfg.Overload.FairShares {
		return 0
	}
	return e.shares.usage.Rank(now, e.clientOf(f))
}

// appendWaiting encodes for a report who waits ahead of a new caller: those that are answered
// in time, as the expected wait counts them.
func (e *Engine) appendWaiting(to []byte) []byte {
	if !e.cfg.Overload.FairShares || len(e.admission.queue) == 0 {
		return to
	}
	n := map[fairshare.Urgency]int{}
	for i := range e.admission.queue {
		q := &e.admission.queue[i]
		if q.caller.Class != patience.InTime {
			continue
		}
		n[fairshare.UrgencyOf(q.caller.Priority, q.caller.Share)]++
	}
	return peer.AppendWaiting(to, n)
}

// tickShares tells the balancers when a shortage begins or ends. Those that place flows here
// have learned it from the reports that they asked for.
func (e *Engine) tickShares(now time.Duration) {
	if !e.cfg.Overload.FairShares {
		return
	}
	s := &e.shares
	if len(e.admission.queue) > 0 {
		s.waitedAt = now
	}
	switch {
	case !s.short && len(e.admission.queue) > 0 && now-e.load.busySince > shortAfter*e.latencies.service:
		e.setShort(now, true, ShortageBegan)
	case s.short && now-s.waitedAt > calmAfter:
		e.setShort(now, false, ShortageEnded)
	}
}

func (e *Engine) setShort(now time.Duration, short bool, verdict Verdict) {
	e.shares.short = short
	e.noteDecision(now, Decision{Verdict: verdict, Waiting: len(e.admission.queue)})
	e.cfg.Out.Report()
}
