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
	// maxDeadline bounds the time that a caller may ask for; a larger figure
	// would overflow, and means no deadline in practice.
	maxDeadline = 24 * time.Hour
)

// call is one request on its way.
type call struct {
	request *http.Request
	// body is the present attempt's; held is the whole body of a keyed
	// submission.
	body *attemptBody
	held []byte
	// ctx ends when the caller leaves or its deadline passes.
	ctx    context.Context
	cancel context.CancelFunc
	ends   []func()
	// caller is the identity to which fairness applies; credential is the hash
	// to which idempotency keys belong.
	caller     string
	credential idempotency.Hash
	// deadline is when the answer is of no more use, zero if never.
	deadline time.Time
	clock    func() time.Time
	// safe is set for methods that may be repeated.
	safe bool
}

func (x *Relay) newCall(r *http.Request) *call {
	c := &call{request: r, clock: x.cfg.Clock, safe: safeMethod(r.Method)}
	c.credential, c.caller = identify(r)
	if r.Body == nil {
		r.Body = http.NoBody
	}
	c.newAttempt()
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

func (c *call) onEnd(f func()) { c.ends = append(c.ends, f) }

// end gives back what the call holds.
func (c *call) end() {
	c.cancel()
	for _, f := range c.ends {
		f()
	}
}

// newAttempt gives the next attempt a body of its own. The one before can't
// read any more from then on.
func (c *call) newAttempt() {
	if c.held != nil {
		c.body = &attemptBody{source: bytes.NewReader(c.held)}
		return
	}
	if c.body == nil || c.body.detach() {
		c.body = &attemptBody{source: c.request.Body}
	}
}

// resendable tells whether the request is still whole: held in memory, or
// nothing of its body was asked for.
func (c *call) resendable() bool { return c.held != nil || c.body.detach() }

// safeMethod tells whether a request with this method may run twice. Only
// methods that change nothing count (RFC 9110, 9.2.1): PUT and DELETE may be
// repeated by the letter, but a second run after another's change undoes it.
func safeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// repeatable tells whether running the request twice does no harm.
func (c *call) repeatable() bool { return c.safe }

// identify returns the hash of a caller's credential, and the name under which
// it gets its fair share: the credential, or its address where it shows none.
// Many officers behind one address then share a turn.
func identify(r *http.Request) (idempotency.Hash, string) {
	credential := r.Header.Get("Authorization")
	if credential == "" && r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
		credential = string(r.TLS.PeerCertificates[0].Raw)
	}
	if credential != "" {
		s := sum(credential)
		return s, "credential " + encodeHex(s[:])
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	return idempotency.Hash{}, host
}

func encodeHex(b []byte) string { return hex.EncodeToString(b) }

// parseSum reads a peer's formatSum; anything else is the zero sum.
func parseSum(text string) idempotency.Hash {
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
