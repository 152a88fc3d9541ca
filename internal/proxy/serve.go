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

// result is the result of one attempt. Exactly one of resp, refusal, unknown and invalid
// is set.
type result struct {
	resp    *http.Response
	refusal *Refusal
	unknown *Unknown
	// invalid says why the request itself is invalid.
	invalid Reason
	// outcome is set if another attempt may be made.
	outcome retry.Outcome
	// permit is set for a response of this host's own target.
	permit *permit
	cancel context.CancelFunc
	// released is closed when the voters know that the attempt released its key; nil if
	// there is no key to release.
	released <-chan struct{}
}

// waitReleased waits until the key can be claimed again. Only an attempt that is followed
// by another one waits, never a caller's final response: without the wait, the next agent
// would find the key held and report that the request may be running.
func (r result) waitReleased() {
	if r.released != nil {
		<-r.released
	}
}

// close releases an attempt's resources.
func (r result) close() {
	if r.resp != nil {
		_ = r.resp.Body.Close()
	}
	if r.cancel != nil {
		r.cancel()
	}
	if r.permit != nil {
		r.permit.release()
	}
}

// ServeHTTP serves a caller's request.
func (x *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x.inFlight.Add(1)
	defer x.inFlight.Add(-1)
	x.counters.add("taken")
	c := x.newCall(r)
	defer c.close()
	x.writeResult(w, c, x.run(c))
}

// writeResult sends the result to the caller.
func (x *Proxy) writeResult(w http.ResponseWriter, c *call, r result) {
	defer r.close()
	switch {
	case r.refusal != nil:
		x.counters.add("refused." + string(r.refusal.Reason))
		writeRefusal(w, c.request, r.refusal)
	case r.unknown != nil:
		x.counters.add("unknown." + string(r.unknown.Reason))
		writeUnknown(w, c.request, r.unknown)
	case r.invalid != "":
		x.counters.add("refused." + string(r.invalid))
		writeInvalid(w, c.request, r.invalid)
	default:
		x.sendResponse(w, c, r)
	}
}

// sendResponse forwards a target's response to the caller. If the response breaks off,
// the caller's connection is aborted, so that the caller can't take it for complete.
func (x *Proxy) sendResponse(w http.ResponseWriter, c *call, r result) {
	if r.permit != nil {
		stop := x.scheduleSlotRelease(r)
		defer stop()
	}
	writeHead(w, r.resp)
	fromTarget, toCaller := copyBody(w, r.resp)
	if toCaller != nil {
		x.counters.add("answers.caller-left")
		return
	}
	if fromTarget != nil {
		if c.ctx.Err() == nil {
			x.counters.add("answers.broken-off")
		}
		panic(http.ErrAbortHandler)
	}
	x.counters.add("answers.whole")
}

// scheduleSlotRelease releases the slot once the rest of the response is only streamed.
// Otherwise a feed would hold its slot for hours, and a few open feeds would block the
// whole host.
func (x *Proxy) scheduleSlotRelease(r result) (stop func()) {
	mediaType, _, _ := mime.ParseMediaType(r.resp.Header.Get("Content-Type"))
	if mediaType == eventStream {
		r.permit.startStream()
		return func() {}
	}
	timer := time.AfterFunc(x.cfg.Limits.SlotTimeAfterHead, r.permit.startStream)
	return func() { timer.Stop() }
}

// runHere runs the request at this agent's target.
func (x *Proxy) runHere(c *call) result {
	if c.isKeyed() {
		return x.runKeyed(c)
	}
	p, refusal := x.acquireSlot(c)
	if refusal != nil {
		return result{refusal: refusal, outcome: retry.NotRun}
	}
	return x.forward(c.ctx, c, p)
}

// acquireSlot waits for a slot.
func (x *Proxy) acquireSlot(c *call) (*permit, *Refusal) {
	ctx, cancel := context.WithTimeout(c.ctx, x.cfg.Limits.QueueTimeout)
	defer cancel()
	return x.admitter.admit(ctx, c.caller, x.deadlineSinceStart(c))
}

// forward sends the request to the target, and releases the slot if no response arrives.
func (x *Proxy) forward(ctx context.Context, c *call, p *permit) result {
	if c.bufferedBody != nil {
		c.newAttemptBody() // the body was buffered after the attempt began
	}
	resp, status, err := x.target.send(c.outgoingRequest(ctx, x.cfg.Target), c.safe)
	if err != nil && status.Reused && c.safe && ctx.Err() == nil {
		// The target closed an idle connection. That isn't a failure of the target, so
		// the request is sent again on a new connection.
		x.counters.add("retries.stale-connection")
		c.newAttemptBody()
		resp, status, err = sendOnce(x.target.unpooled, c.outgoingRequest(ctx, x.cfg.Target))
	}
	if err == nil {
		x.recordOutcome(true)
		return responseResult(resp, p)
	}
	p.release()
	if ctx.Err() == nil {
		x.recordOutcome(false)
	}
	if !status.Sent {
		return result{refusal: x.notSentRefusal(c), outcome: retry.NotRun}
	}
	return result{unknown: x.unknownOutcome(c, err), outcome: retry.NoAnswer}
}

// deadlineSinceStart returns the caller's deadline as a time since startTime, 0 for none.
func (x *Proxy) deadlineSinceStart(c *call) time.Duration {
	if c.deadline.IsZero() {
		return 0
	}
	return c.deadline.Sub(x.startTime)
}

// notSentRefusal returns the refusal for a request that couldn't be sent.
func (x *Proxy) notSentRefusal(c *call) *Refusal {
	reason := ReasonUnreachable
	switch {
	case errors.Is(c.ctx.Err(), context.DeadlineExceeded):
		reason = ReasonDeadline
	case c.ctx.Err() != nil:
		reason = ReasonCancelled
	}
	return &Refusal{Reason: reason, Status: statusRefused}
}

// unknownOutcome returns why a request that was sent got no response.
func (x *Proxy) unknownOutcome(c *call, err error) *Unknown {
	switch {
	case errors.Is(c.ctx.Err(), context.DeadlineExceeded):
		return &Unknown{Reason: ReasonDeadline, Status: http.StatusGatewayTimeout}
	case c.ctx.Err() != nil:
		return &Unknown{Reason: ReasonCancelled, Status: http.StatusBadGateway}
	case isTimeout(err):
		return &Unknown{Reason: ReasonNoAnswer, Status: http.StatusGatewayTimeout}
	default:
		return &Unknown{Reason: ReasonConnectionCut, Status: http.StatusBadGateway}
	}
}
