package proxy

import (
	"context"
	"errors"
	"mime"
	"net/http"
	"time"

	"bergamotstall/internal/retry"
)

// eventStream is the media type of feeds.
const eventStream = "text/event-stream"

// result is how one attempt ended. Exactly one of resp, refusal, unknown and
// misuse is set.
type result struct {
	resp    *http.Response
	refusal *Refusal
	unknown *Unknown
	// misuse says what is wrong with the request itself.
	misuse Reason
	// outcome is set where another attempt may be asked for.
	outcome retry.Outcome
	// pass is held by an answer of this host's own target.
	pass   *pass
	cancel context.CancelFunc
	// released is closed when keepers have heard that the attempt gave its key
	// back; nil where there is nothing to give.
	released <-chan struct{}
}

// settle waits until the key can be claimed anew. Only what leads to another
// attempt waits for it, never a caller's final answer: the next agent would find
// the key held and tell the caller that its request may be running.
func (r result) settle() {
	if r.released != nil {
		<-r.released
	}
}

// close gives back what an attempt holds.
func (r result) close() {
	if r.resp != nil {
		_ = r.resp.Body.Close()
	}
	if r.cancel != nil {
		r.cancel()
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
	defer c.end()
	x.answer(w, c, x.run(c))
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
	case r.misuse != "":
		x.count.add("refused." + string(r.misuse))
		sayMisuse(w, c.request, r.misuse)
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
	if kind == eventStream {
		r.pass.stream()
		return func() {}
	}
	timer := time.AfterFunc(x.cfg.Limits.SlotTime, r.pass.stream)
	return func() { timer.Stop() }
}

// runHere runs the request at the target beside this agent.
func (x *Relay) runHere(c *call) result {
	if c.isKeyed() {
		return x.runKeyed(c)
	}
	p, refusal := x.enter(c)
	if refusal != nil {
		return result{refusal: refusal, outcome: retry.NotRun}
	}
	return x.handOver(c.ctx, c, p)
}

// enter waits for a slot.
func (x *Relay) enter(c *call) (*pass, *Refusal) {
	ctx, cancel := context.WithTimeout(c.ctx, x.cfg.Limits.QueueTime)
	defer cancel()
	return x.gate.enter(ctx, c.caller, x.deadlineOf(c))
}

// handOver sends the request to the target, and gives the slot back where no
// answer comes.
func (x *Relay) handOver(ctx context.Context, c *call, p *pass) result {
	if c.held != nil {
		c.newAttempt() // the body was held after the attempt began
	}
	resp, got, err := x.target.handOver(c.outgoing(ctx, x.cfg.Target), c.safe)
	if err != nil && got.Reused && c.safe && ctx.Err() == nil {
		// The target closed an idle connection: the connection's fault, not the
		// target's, so it gets the request on a new one.
		x.count.add("retries.stale-connection")
		c.newAttempt()
		resp, got, err = sendOnce(x.target.fresh, c.outgoing(ctx, x.cfg.Target))
	}
	if err == nil {
		x.note(true)
		return answered(resp, p)
	}
	p.leave()
	if ctx.Err() == nil {
		x.note(false)
	}
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
