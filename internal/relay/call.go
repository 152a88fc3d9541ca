package relay

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	// maxDeadline bounds the time that a caller may ask for; a larger figure
	// would overflow, and means no deadline in practice.
	maxDeadline = 24 * time.Hour
	callerSize  = 16
)

// call is one request on its way.
type call struct {
	request *http.Request
	body    *countedBody
	// ctx ends when the caller leaves or its deadline passes.
	ctx    context.Context
	cancel context.CancelFunc
	// caller is the identity to which fairness applies.
	caller string
	// deadline is when the answer is of no more use, zero if never.
	deadline time.Time
	clock    func() time.Time
	// safe is set for methods that may be repeated.
	safe bool
}

func (x *Relay) newCall(r *http.Request) *call {
	c := &call{
		request: r,
		body:    &countedBody{ReadCloser: r.Body},
		caller:  callerOf(r),
		clock:   x.cfg.Clock,
		safe:    safeMethod(r.Method),
	}
	if r.Body == nil {
		c.body.ReadCloser = http.NoBody
	}
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

// safeMethod tells whether a request with this method may run twice. Only
// methods that change nothing count (RFC 9110, 9.2.1): PUT and DELETE may be
// repeated by the letter, but a second run after another's change undoes it.
func safeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// callerOf identifies a caller by its credential, or by its address where it
// shows none. Many officers behind one address then share a turn.
func callerOf(r *http.Request) string {
	if auth := r.Header.Get("Authorization"); auth != "" {
		sum := sha256.Sum256([]byte(auth))
		return "auth " + hex.EncodeToString(sum[:callerSize])
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

func (c *call) timeLeft() (time.Duration, bool) {
	if c.deadline.IsZero() {
		return 0, false
	}
	return max(c.deadline.Sub(c.clock()), 0), true
}

func formatMS(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
