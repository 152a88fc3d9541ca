package proxy

import (
	"bytes"
	"context"
	"encoding/hex"
	"net"
	"net/http"
	"strconv"
	"time"

	"bergamotstall/internal/idempotency"
)

const (
	// maxDeadline bounds the deadline that a caller may set. A larger value could
	// overflow a time.Duration and counts as no deadline.
	maxDeadline = 24 * time.Hour
)

// call is one request in progress.
type call struct {
	request *http.Request
	// body is the body of the current attempt; bufferedBody is the complete body of a
	// request with an idempotency key.
	body         *attemptBody
	bufferedBody []byte
	// ctx ends when the caller disconnects or its deadline passes.
	ctx      context.Context
	cancel   context.CancelFunc
	cleanups []func()
	// caller identifies the caller for fair queueing; credential is the hash that owns
	// its idempotency keys.
	caller     string
	credential idempotency.Hash
	// deadline is when the caller stops waiting, zero for never.
	deadline time.Time
	clock    func() time.Time
	// safe is set if the method is safe, so that the request may run more than once.
	safe bool
}

func (x *Proxy) newCall(r *http.Request) *call {
	c := &call{request: r, clock: x.cfg.Clock, safe: safeMethod(r.Method)}
	c.credential, c.caller = identify(r)
	if r.Body == nil {
		r.Body = http.NoBody
	}
	c.newAttemptBody()
	ms, err := strconv.ParseInt(r.Header.Get(HeaderDeadline), 10, 64)
	if err != nil || ms > maxDeadline.Milliseconds() {
		c.ctx, c.cancel = context.WithCancel(r.Context())
		return c
	}
	left := time.Duration(ms) * time.Millisecond
	c.deadline = x.cfg.Clock().Add(left)
	c.ctx, c.cancel = context.WithTimeout(r.Context(), left)
	return c
}

func (c *call) onEnd(f func()) { c.cleanups = append(c.cleanups, f) }

// close releases the call's resources.
func (c *call) close() {
	c.cancel()
	for _, f := range c.cleanups {
		f()
	}
}

// newAttemptBody gives the next attempt its own body and stops the previous attempt from
// reading.
func (c *call) newAttemptBody() {
	if c.bufferedBody != nil {
		c.body = &attemptBody{source: bytes.NewReader(c.bufferedBody)}
		return
	}
	if c.body == nil || c.body.detach() {
		c.body = &attemptBody{source: c.request.Body}
	}
}

// resendable tells whether the whole body is still available: it is buffered, or nothing
// of it has been read.
func (c *call) resendable() bool { return c.bufferedBody != nil || c.body.detach() }

// safeMethod tells whether a request with this method may run twice. Only methods that
// change nothing count (RFC 9110, 9.2.1). PUT and DELETE are idempotent by the RFC, but a
// second run after another client's change would undo that change.
func safeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// repeatable tells whether the request may safely run twice.
func (c *call) repeatable() bool { return c.safe }

// identify returns the hash of the caller's credential and the name used for fair
// queueing: the credential, or the IP address if there is none. All callers behind one
// address then share one turn.
func identify(r *http.Request) (idempotency.Hash, string) {
	credential := r.Header.Get("Authorization")
	if credential == "" && r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
		credential = string(r.TLS.PeerCertificates[0].Raw)
	}
	if credential != "" {
		s := hash(credential)
		return s, "credential " + encodeHex(s[:])
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	return idempotency.Hash{}, host
}

func encodeHex(b []byte) string { return hex.EncodeToString(b) }

// parseHash parses the output of formatHash; anything else yields the zero hash.
func parseHash(text string) idempotency.Hash {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(idempotency.Hash{}) {
		return idempotency.Hash{}
	}
	return idempotency.Hash(b)
}

func (c *call) timeLeft() (time.Duration, bool) {
	if c.deadline.IsZero() {
		return 0, false
	}
	return max(c.deadline.Sub(c.clock()), 0), true
}

func formatMS(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
