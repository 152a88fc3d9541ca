package relay

import (
	"context"
	"errors"
	"mime"
	"net/http"
	"time"

	"bergamotstall/internal/retry"
)

// result is how one attempt ended. Exactly one of resp, refusal and unknown is
// set.
type result struct {
	resp    *http.Response
	refusal *Refusal
	unknown *Unknown
	outcome retry.Outcome
	// pass is held by an answer of this host's own target.
	pass *pass
}

// close gives back what an attempt holds.
func (r result) close() {
	if r.resp != nil {
		_ = r.resp.Body.Close()
	}
	if r.pass != nil {
		r.pass.leave()
	}
}

// ServeHTTP takes a caller's request.
func (x *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x.inFlight.Add(1)
	defer x.inFlight.Add(-1)
	x.count.add("taken")
	c := x.newCall(r)
	defer c.cancel()
	x.answer(w, c, x.run(c))
}

// run makes attempts until one has a final result.
func (x *Relay) run(c *call) result {
	if x.drained() {
		return result{refusal: &Refusal{Reason: ReasonDraining, Status: statusRefused}, outcome: retry.NotRun}
	}
	return x.runHere(c)
}

// answer tells the caller what came of its request.
func (x *Relay) answer(w http.ResponseWriter, c *call, r result) {
	defer r.close()
	switch {
	case r.refusal != nil:
		x.count.add("refused." + string(r.refusal.Reason))
		refuse(w, c.request, r.refusal)
	case r.unknown != nil:
		x.count.add("unknown." + string(r.unknown.Reason))
		sayUnknown(w, c.request, r.unknown)
	default:
		x.pass(w, c, r)
	}
}

// pass sends a target's answer to the caller. An answer that breaks off is
// aborted, so that the caller can't take it for whole.
func (x *Relay) pass(w http.ResponseWriter, c *call, r result) {
	if r.pass != nil {
		stop := x.releaseSlot(r)
		defer stop()
	}
	sendHead(w, r.resp)
	fromTarget, toCaller := sendBody(w, r.resp)
	if toCaller != nil {
		x.count.add("answers.caller-left")
		return
	}
	if fromTarget != nil {
		if c.ctx.Err() == nil {
			x.count.add("answers.broken-off")
		}
		panic(http.ErrAbortHandler)
	}
	x.count.add("answers.whole")
}

// releaseSlot gives the slot back once the request is only a stream. A feed
// holds its slot for hours otherwise, and a handful of open feeds would take the
// whole host out of service.
func (x *Relay) releaseSlot(r result) (stop func()) {
	kind, _, _ := mime.ParseMediaType(r.resp.Header.Get("Content-Type"))
	if kind == "text/event-stream" {
		r.pass.stream()
		return func() {}
	}
	timer := time.AfterFunc(x.cfg.Limits.SlotTime, r.pass.stream)
	return func() { timer.Stop() }
}

// runHere runs the request at the target beside this agent.
func (x *Relay) runHere(c *call) result {
	ctx, cancel := context.WithTimeout(c.ctx, x.cfg.Limits.QueueTime)
	p, refusal := x.gate.enter(ctx, c.caller, x.deadlineOf(c))
	cancel()
	if refusal != nil {
		return result{refusal: refusal, outcome: retry.NotRun}
	}
	resp, got, err := x.target.handOver(c.outgoing(c.ctx, x.cfg.Target), c.safe)
	if err == nil {
		return result{resp: resp, pass: p}
	}
	p.leave()
	if !got.Handed {
		return result{refusal: x.notHanded(c), outcome: retry.NotRun}
	}
	return result{unknown: x.noAnswer(c, err), outcome: retry.Lost}
}

func (x *Relay) deadlineOf(c *call) time.Duration {
	if c.deadline.IsZero() {
		return 0
	}
	return c.deadline.Sub(x.origin)
}

func (x *Relay) notHanded(c *call) *Refusal {
	reason := ReasonUnreachable
	switch {
	case errors.Is(c.ctx.Err(), context.DeadlineExceeded):
		reason = ReasonDeadline
	case c.ctx.Err() != nil:
		reason = ReasonCancelled
	}
	return &Refusal{Reason: reason, Status: statusRefused}
}

func (x *Relay) noAnswer(c *call, err error) *Unknown {
	switch {
	case errors.Is(c.ctx.Err(), context.DeadlineExceeded):
		return &Unknown{Reason: ReasonDeadline, Status: http.StatusGatewayTimeout}
	case c.ctx.Err() != nil:
		return &Unknown{Reason: ReasonCancelled, Status: http.StatusBadGateway}
	case errorIsTimeout(err):
		return &Unknown{Reason: ReasonSilent, Status: http.StatusGatewayTimeout}
	default:
		return &Unknown{Reason: ReasonCut, Status: http.StatusBadGateway}
	}
}
