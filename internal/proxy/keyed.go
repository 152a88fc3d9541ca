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
	// HeaderKey is the caller's idempotency key (draft-ietf-httpapi-idempotency-
	// key-header). It counts for methods that aren't safe.
	HeaderKey = "Idempotency-Key"
	// HeaderReplayed marks an answer that an earlier request with the key got.
	HeaderReplayed = "Idempotency-Replayed"

	// keyedMemory bounds the bodies of keyed submissions held at once, in bytes.
	keyedMemory = 64 << 20
)

// Reasons of keyed submissions.
const (
	ReasonKeyQuorum  Reason = "key-no-quorum"
	ReasonKeyStale   Reason = "key-table-stale"
	ReasonKeyFull    Reason = "key-limit"
	ReasonKeyLate    Reason = "key-held-too-long"
	ReasonKeyMemory  Reason = "key-memory"
	ReasonKeyBody    Reason = "key-body-too-large"
	ReasonKeyMisused Reason = "key-misused"
	ReasonBodyBroken Reason = "body-not-whole"

	// ReasonKeyRunning: an earlier request with the key may be running.
	ReasonKeyRunning Reason = "key-running"
	// ReasonKeyUnknown: an earlier request with the key got no answer.
	ReasonKeyUnknown Reason = "key-outcome-unknown"
	// ReasonKeyNoText: an earlier request with the key ran; its answer was too
	// large to be kept.
	ReasonKeyNoText Reason = "key-answer-not-kept"
)

// keyed is a submission with an idempotency key under way.
type keyed struct {
	try   *idempotency.Claim
	begun time.Time
}

// runKeyed runs a keyed submission here once its claim has won.
func (x *Relay) runKeyed(c *call) result {
	if r, ok := x.holdBody(c); !ok {
		return r
	}
	k, r := x.claimFor(c)
	if k == nil {
		return r
	}
	x.count.add("claims.won")
	res := x.runClaimed(c, k)
	switch {
	case res.refusal != nil:
		res.released = x.releaseKey(k.try)
	case res.unknown != nil:
		x.finishKey(k.try, idempotency.NoAnswer, nil)
	case res.resp.StatusCode == http.StatusServiceUnavailable && x.cfg.ShedUnrun:
		res.released = x.releaseKey(k.try)
	default:
		res.resp.Body = x.keepAnswer(k.try, res.resp)
	}
	return res
}

// runClaimed waits for a slot and hands over. The request no longer ends with
// the caller's connection: a caller that lost it resends, and wants the answer.
func (x *Relay) runClaimed(c *call, k *keyed) result {
	p, refusal := x.enter(c)
	if refusal != nil {
		return result{refusal: refusal, outcome: retry.NotRun}
	}
	if x.cfg.Clock().Sub(k.begun) > idempotency.MaxClaimAge {
		p.leave()
		return refused(ReasonKeyLate)
	}
	ctx, cancel := c.detached()
	res := x.handOver(ctx, c, p)
	if res.resp == nil {
		cancel()
		return res
	}
	res.cancel = cancel
	return res
}

// A try that finds no quorum is made again: while an agent stops as planned, its
// keeper no longer votes, and may not be passed over before the others have its
// records, which takes up to some hundred milliseconds with thousands of keys.
// Without another try each planned stop turns a handful of submissions away.
// Where two keepers of a key are dead, the tries cost half a second and end in
// the same refusal.
const (
	claimTries = 5
	claimPause = 100 * time.Millisecond
)

// claimFor tries for the request's key. Without a claim the result is final.
func (x *Relay) claimFor(c *call) (*keyed, result) {
	for made := 1; ; made++ {
		k, r := x.claimOnce(c)
		lacking := k == nil && r.refusal != nil && r.refusal.Reason == ReasonKeyQuorum
		if !lacking || made == claimTries || !wait.For(c.ctx, claimPause) {
			return k, r
		}
		x.count.add("claims.tried-again")
		r.settle()
	}
}

// claimOnce makes one try for the request's key.
func (x *Relay) claimOnce(c *call) (*keyed, result) {
	t := x.table.Load()
	if !idempotency.MayVote(t, x.self(), x.tableAge(), x.cfg.Clock().UnixMilli()) {
		x.complain(events.ClaimsStale)
		return nil, refused(ReasonKeyStale)
	}
	own, _ := t.Target(x.self())
	r := idempotency.Request{
		Key:    idempotency.Key(sum(x.cfg.Service, c.request.Header.Get(HeaderKey))),
		ID:     idempotency.ClaimID{Agent: x.self(), Nonce: x.nonce.Add(1)},
		Caller: c.credential,
		Body:   sum(c.request.Method, c.request.URL.RequestURI(), string(c.held)),
	}
	k := &keyed{begun: x.cfg.Clock()}
	try, verdict := x.claim(c.ctx, r, t, idempotency.MembersOf(t, own.Service))
	k.try = try
	if verdict == idempotency.Won {
		return k, result{}
	}
	res := x.keyAnswer(verdict, try)
	res.released = x.releaseKey(try)
	return nil, res
}

// keyAnswer is what a caller is told whose key another try has, or that found
// no quorum.
func (x *Relay) keyAnswer(v idempotency.Verdict, try *idempotency.Claim) result {
	switch v {
	case idempotency.Completed:
		if answer := try.Response(); answer != nil {
			x.count.add("claims.replayed")
			return result{resp: replay(answer)}
		}
		return unknown(ReasonKeyNoText, http.StatusConflict)
	case idempotency.Running:
		return unknown(ReasonKeyRunning, http.StatusConflict)
	case idempotency.Unknown:
		return unknown(ReasonKeyUnknown, http.StatusConflict)
	case idempotency.KeyMismatch:
		return result{misuse: ReasonKeyMisused}
	case idempotency.LimitReached:
		return refused(ReasonKeyFull)
	default:
		return refused(ReasonKeyQuorum)
	}
}

func refused(reason Reason) result {
	return result{refusal: &Refusal{Reason: reason, Status: statusRefused}, outcome: retry.NotRun}
}

func unknown(reason Reason, status int) result {
	return result{unknown: &Unknown{Reason: reason, Status: status}, outcome: retry.Lost}
}

// sum hashes texts that may contain anything; their lengths keep them apart.
func sum(texts ...string) idempotency.Hash {
	h := sha256.New()
	for _, s := range texts {
		one := sha256.Sum256([]byte(s))
		h.Write(one[:])
	}
	return idempotency.Hash(h.Sum(nil)[:len(idempotency.Hash{})])
}

// holdBody reads a keyed submission's body into memory: its fingerprint is
// needed before the claim.
func (x *Relay) holdBody(c *call) (result, bool) {
	if c.held != nil {
		return result{}, true
	}
	limit := x.cfg.Limits.KeyedBody
	if c.request.ContentLength > limit {
		return result{misuse: ReasonKeyBody}, false
	}
	size := limit
	if c.request.ContentLength >= 0 {
		size = c.request.ContentLength
	}
	if x.keyedBytes.Add(size) > keyedMemory {
		x.keyedBytes.Add(-size)
		return refused(ReasonKeyMemory), false
	}
	c.onEnd(func() { x.keyedBytes.Add(-size) })
	data, err := io.ReadAll(io.LimitReader(c.request.Body, limit+1))
	if int64(len(data)) > limit {
		return result{misuse: ReasonKeyBody}, false
	}
	if err != nil {
		return refused(ReasonBodyBroken), false
	}
	c.held = data
	return result{}, true
}

// replay makes an answer of one that was kept.
func replay(a *idempotency.Response) *http.Response {
	h := http.Header{}
	for _, f := range a.Header {
		h.Add(f.Name, f.Value)
	}
	h.Set(HeaderReplayed, "true")
	return &http.Response{
		StatusCode:    a.Status,
		Header:        h,
		Body:          io.NopCloser(bytes.NewReader(a.Body)),
		ContentLength: int64(len(a.Body)),
	}
}

// answerKeeper reads a keyed submission's answer along with the caller, and to
// its end also where the caller has left.
type answerKeeper struct {
	io.ReadCloser
	kept   bytes.Buffer
	large  bool
	ended  bool
	finish func(standing idempotency.KeyState, body []byte, whole bool)
}

// keepAnswer returns the answer's body; reading or closing it tells keepers.
func (x *Relay) keepAnswer(try *idempotency.Claim, resp *http.Response) io.ReadCloser {
	head := idempotency.Response{Status: resp.StatusCode}
	plain := http.Header{}
	copyHeader(plain, resp.Header)
	for name, values := range plain {
		for _, v := range values {
			head.Header = append(head.Header, idempotency.HeaderField{Name: name, Value: v})
		}
	}
	return &answerKeeper{ReadCloser: resp.Body, finish: func(standing idempotency.KeyState, body []byte, whole bool) {
		if !whole {
			x.finishKey(try, standing, nil)
			return
		}
		head.Body = body
		x.finishKey(try, standing, &head)
	}}
}

func (a *answerKeeper) Read(p []byte) (int, error) {
	n, err := a.ReadCloser.Read(p)
	if a.kept.Len()+n > idempotency.MaxResponseBytes {
		a.large = true
	} else {
		a.kept.Write(p[:n])
	}
	if err != nil {
		a.end(err)
	}
	return n, err
}

func (a *answerKeeper) end(err error) {
	if a.ended {
		return
	}
	a.ended = true
	if !errors.Is(err, io.EOF) {
		a.finish(idempotency.NoAnswer, nil, false)
		return
	}
	a.finish(idempotency.Done, a.kept.Bytes(), !a.large)
}

// Close reads the rest, so that a resender gets the answer that its first
// connection lost.
func (a *answerKeeper) Close() error {
	if !a.ended {
		_, err := io.Copy(io.Discard, a)
		if err == nil {
			err = io.EOF
		}
		a.end(err)
	}
	return a.ReadCloser.Close()
}

// detached returns a context that outlives the caller's connection, with the
// caller's deadline.
func (c *call) detached() (context.Context, context.CancelFunc) {
	ctx := context.WithoutCancel(c.ctx)
	if left, ok := c.timeLeft(); ok {
		return context.WithTimeout(ctx, left)
	}
	return context.WithCancel(ctx)
}
