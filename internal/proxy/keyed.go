package proxy

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"time"

	"bergamotstall/internal/events"
	"bergamotstall/internal/idempotency"
	"bergamotstall/internal/retry"
	"bergamotstall/internal/wait"
)

const (
	// HeaderKey is the caller's idempotency key
	// (draft-ietf-httpapi-idempotency-key-header). It is ignored for safe methods.
	HeaderKey = "Idempotency-Key"
	// HeaderReplayed marks the stored response of an earlier request with the same key.
	HeaderReplayed = "Idempotency-Replayed"

	// maxBufferedBytes bounds the request bodies with an idempotency key that are in
	// memory at the same time.
	maxBufferedBytes = 64 << 20
)

// Reasons for requests with an idempotency key.
const (
	ReasonKeyQuorum       Reason = "key-no-quorum"
	ReasonKeyTableStale   Reason = "key-table-stale"
	ReasonKeyLimit        Reason = "key-limit"
	ReasonKeyHeldTooLong  Reason = "key-held-too-long"
	ReasonKeyMemory       Reason = "key-memory"
	ReasonKeyBodyTooLarge Reason = "key-body-too-large"
	ReasonKeyMisused      Reason = "key-misused"
	ReasonBodyNotWhole    Reason = "body-not-whole"

	// ReasonKeyRunning: an earlier request with the key may be running.
	ReasonKeyRunning Reason = "key-running"
	// ReasonKeyOutcomeUnknown: an earlier request with the key got no response.
	ReasonKeyOutcomeUnknown Reason = "key-outcome-unknown"
	// ReasonKeyAnswerNotKept: an earlier request with the key ran; its response was too
	// large to store.
	ReasonKeyAnswerNotKept Reason = "key-answer-not-kept"
)

// keyedClaim is the claim of a request with an idempotency key.
type keyedClaim struct {
	claim     *idempotency.Claim
	startedAt time.Time
}

// runKeyed runs a request with an idempotency key at this agent's target once its claim
// has won.
func (x *Proxy) runKeyed(c *call) result {
	if r, ok := x.bufferBody(c); !ok {
		return r
	}
	k, r := x.claimKey(c)
	if k == nil {
		return r
	}
	x.counters.add("claims.won")
	res := x.runClaimed(c, k)
	switch {
	case res.refusal != nil:
		res.released = x.releaseKey(k.claim)
	case res.unknown != nil:
		x.finishKey(k.claim, idempotency.NoAnswer, nil)
	case res.resp.StatusCode == http.StatusServiceUnavailable && x.cfg.ShedMeansNotRun:
		res.released = x.releaseKey(k.claim)
	default:
		res.resp.Body = x.recordResponse(k.claim, res.resp)
	}
	return res
}

// runClaimed waits for a slot and forwards the request. From here on it doesn't end when
// the caller disconnects: a caller that lost its connection resends the request and needs
// the response.
func (x *Proxy) runClaimed(c *call, k *keyedClaim) result {
	p, refusal := x.acquireSlot(c)
	if refusal != nil {
		return result{refusal: refusal, outcome: retry.NotRun}
	}
	if x.cfg.Clock().Sub(k.startedAt) > idempotency.MaxClaimAge {
		p.release()
		return refused(ReasonKeyHeldTooLong)
	}
	ctx, cancel := c.detached()
	res := x.forward(ctx, c, p)
	if res.resp == nil {
		cancel()
		return res
	}
	res.cancel = cancel
	return res
}

// A claim that finds no quorum is retried. While an agent shuts down as planned, its
// voter no longer votes, but it may not be skipped before the others have merged its
// records, which takes up to several hundred milliseconds with thousands of keys.
// Without retries, each planned shutdown would refuse a few submissions. If two voters
// of a key are dead, the retries take half a second and the request is refused all the
// same.
const (
	maxClaimAttempts = 5
	claimRetryDelay  = 100 * time.Millisecond
)

// claimKey claims the request's key. Without a claim the result is final.
func (x *Proxy) claimKey(c *call) (*keyedClaim, result) {
	for attempts := 1; ; attempts++ {
		k, r := x.tryClaim(c)
		noQuorum := k == nil && r.refusal != nil && r.refusal.Reason == ReasonKeyQuorum
		if !noQuorum || attempts == maxClaimAttempts || !wait.For(c.ctx, claimRetryDelay) {
			return k, r
		}
		x.counters.add("claims.tried-again")
		r.waitReleased()
	}
}

// tryClaim makes one attempt to claim the request's key.
func (x *Proxy) tryClaim(c *call) (*keyedClaim, result) {
	t := x.table.Load()
	if !idempotency.MayVote(t, x.self(), x.tableAge(), x.cfg.Clock().UnixMilli()) {
		x.logRepeated(events.ClaimsTableTooOld)
		return nil, refused(ReasonKeyTableStale)
	}
	own, _ := t.Target(x.self())
	r := idempotency.Request{
		Key:    idempotency.Key(hash(x.cfg.Service, c.request.Header.Get(HeaderKey))),
		ID:     idempotency.ClaimID{Agent: x.self(), Nonce: x.nonce.Add(1)},
		Caller: c.credential,
		Body:   hash(c.request.Method, c.request.URL.RequestURI(), string(c.bufferedBody)),
	}
	k := &keyedClaim{startedAt: x.cfg.Clock()}
	claim, verdict := x.runClaim(c.ctx, r, t, idempotency.MembersOf(t, own.Service))
	k.claim = claim
	if verdict == idempotency.Won {
		return k, result{}
	}
	res := x.verdictResult(verdict, claim)
	res.released = x.releaseKey(claim)
	return nil, res
}

// verdictResult returns the result for a claim that didn't win.
func (x *Proxy) verdictResult(v idempotency.Verdict, claim *idempotency.Claim) result {
	switch v {
	case idempotency.Completed:
		if response := claim.Response(); response != nil {
			x.counters.add("claims.replayed")
			return result{resp: replayedResponse(response)}
		}
		return unknown(ReasonKeyAnswerNotKept, http.StatusConflict)
	case idempotency.Running:
		return unknown(ReasonKeyRunning, http.StatusConflict)
	case idempotency.Unknown:
		return unknown(ReasonKeyOutcomeUnknown, http.StatusConflict)
	case idempotency.KeyMismatch:
		return result{invalid: ReasonKeyMisused}
	case idempotency.LimitReached:
		return refused(ReasonKeyLimit)
	default:
		return refused(ReasonKeyQuorum)
	}
}

func refused(reason Reason) result {
	return result{refusal: &Refusal{Reason: reason, Status: statusRefused}, outcome: retry.NotRun}
}

func unknown(reason Reason, status int) result {
	return result{unknown: &Unknown{Reason: reason, Status: status}, outcome: retry.NoAnswer}
}

// hash hashes a list of strings. Each is hashed by itself first, so that different lists
// with the same concatenation differ.
func hash(texts ...string) idempotency.Hash {
	h := sha256.New()
	for _, s := range texts {
		one := sha256.Sum256([]byte(s))
		h.Write(one[:])
	}
	return idempotency.Hash(h.Sum(nil)[:len(idempotency.Hash{})])
}

// bufferBody reads the body of a request with an idempotency key into memory: the claim
// needs its hash.
func (x *Proxy) bufferBody(c *call) (result, bool) {
	if c.bufferedBody != nil {
		return result{}, true
	}
	limit := x.cfg.Limits.MaxKeyedBody
	if c.request.ContentLength > limit {
		return result{invalid: ReasonKeyBodyTooLarge}, false
	}
	size := limit
	if c.request.ContentLength >= 0 {
		size = c.request.ContentLength
	}
	if x.bufferedBytes.Add(size) > maxBufferedBytes {
		x.bufferedBytes.Add(-size)
		return refused(ReasonKeyMemory), false
	}
	c.onEnd(func() { x.bufferedBytes.Add(-size) })
	data, err := io.ReadAll(io.LimitReader(c.request.Body, limit+1))
	if int64(len(data)) > limit {
		return result{invalid: ReasonKeyBodyTooLarge}, false
	}
	if err != nil {
		return refused(ReasonBodyNotWhole), false
	}
	c.bufferedBody = data
	return result{}, true
}

// replayedResponse builds the HTTP response from a stored one.
func replayedResponse(stored *idempotency.Response) *http.Response {
	h := http.Header{}
	for _, f := range stored.Header {
		h.Add(f.Name, f.Value)
	}
	h.Set(HeaderReplayed, "true")
	return &http.Response{
		StatusCode:    stored.Status,
		Header:        h,
		Body:          io.NopCloser(bytes.NewReader(stored.Body)),
		ContentLength: int64(len(stored.Body)),
	}
}

// responseRecorder records the response to a request with an idempotency key while the
// caller reads it. It reads to the end even if the caller disconnects.
type responseRecorder struct {
	io.ReadCloser
	recorded bytes.Buffer
	tooLarge bool
	finished bool
	onFinish func(state idempotency.KeyState, body []byte, complete bool)
}

// recordResponse returns the response's body; reading it to the end or closing it reports
// the response to the voters.
func (x *Proxy) recordResponse(claim *idempotency.Claim, resp *http.Response) io.ReadCloser {
	head := idempotency.Response{Status: resp.StatusCode}
	header := http.Header{}
	copyHeader(header, resp.Header)
	for name, values := range header {
		for _, v := range values {
			head.Header = append(head.Header, idempotency.HeaderField{Name: name, Value: v})
		}
	}
	return &responseRecorder{ReadCloser: resp.Body, onFinish: func(state idempotency.KeyState, body []byte, complete bool) {
		if !complete {
			x.finishKey(claim, state, nil)
			return
		}
		head.Body = body
		x.finishKey(claim, state, &head)
	}}
}

func (r *responseRecorder) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if r.recorded.Len()+n > idempotency.MaxResponseBytes {
		r.tooLarge = true
	} else {
		r.recorded.Write(p[:n])
	}
	if err != nil {
		r.finish(err)
	}
	return n, err
}

func (r *responseRecorder) finish(err error) {
	if r.finished {
		return
	}
	r.finished = true
	if !errors.Is(err, io.EOF) {
		r.onFinish(idempotency.NoAnswer, nil, false)
		return
	}
	r.onFinish(idempotency.Done, r.recorded.Bytes(), !r.tooLarge)
}

// Close reads the rest of the body, so that a resend gets the response that was lost with
// the first connection.
func (r *responseRecorder) Close() error {
	if !r.finished {
		_, err := io.Copy(io.Discard, r)
		if err == nil {
			err = io.EOF
		}
		r.finish(err)
	}
	return r.ReadCloser.Close()
}

// detached returns a context that isn't cancelled when the caller disconnects, but keeps
// the caller's deadline.
func (c *call) detached() (context.Context, context.CancelFunc) {
	ctx := context.WithoutCancel(c.ctx)
	if left, ok := c.timeLeft(); ok {
		return context.WithTimeout(ctx, left)
	}
	return context.WithCancel(ctx)
}
