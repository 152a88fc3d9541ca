package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	// targetDialTimeout bounds connecting to the target, which is on the same host.
	targetDialTimeout = time.Second
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 15 * time.Second
)

// targetClient sends HTTP/1.1 requests to the target next to the agent. It sends each
// request at most once, even if it fails.
type targetClient struct {
	address string
	// pooled reuses connections; it carries repeatable requests only. A target may close
	// an idle connection just as a request is sent on it, and then it is unknown whether
	// the request was read.
	pooled *http.Transport
	// unpooled opens a connection for each request. On a new connection, a failure before
	// anything is sent is a failed dial, and net/http never resends a request by itself.
	unpooled *http.Transport
}

func newTargetClient(address string, limits Limits) *targetClient {
	transport := func(reuse bool) *http.Transport {
		return &http.Transport{
			DialContext:           (&net.Dialer{Timeout: targetDialTimeout}).DialContext,
			DisableKeepAlives:     !reuse,
			MaxIdleConnsPerHost:   limits.Slots,
			IdleConnTimeout:       idleTimeout,
			ResponseHeaderTimeout: limits.AnswerTimeout,
			DisableCompression:    true,
		}
	}
	return &targetClient{address: address, pooled: transport(true), unpooled: transport(false)}
}

// close closes idle connections.
func (c *targetClient) close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// send sends the request once, on a pooled connection only if it is repeatable.
func (c *targetClient) send(r *http.Request, repeatable bool) (resp *http.Response, status sendStatus, err error) {
	transport := c.unpooled
	if repeatable {
		transport = c.pooled
	}
	return sendOnce(transport, r)
}

// sendStatus says how far sending a request got.
type sendStatus struct {
	// Sent is set once a connection was ready for writing. The first byte is written
	// right afterwards, so a request may count as sent though the target received
	// nothing.
	Sent bool
	// Reused is set if the connection had carried a request before.
	Reused bool
}

// sendOnce sends a request and prevents the transport from resending it.
func sendOnce(transport *http.Transport, r *http.Request) (*http.Response, sendStatus, error) {
	var sent, reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		sent.Store(true)
		reused.Store(info.Reused)
	}}
	out := r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	// net/http resends a request by itself if a reused connection fails, the method is
	// safe or the request has an Idempotency-Key, and the body is empty or GetBody is
	// set. A body of unknown type without GetBody prevents that.
	out.Body = opaqueBody{r.Body}
	out.GetBody = nil
	resp, err := transport.RoundTrip(out)
	return resp, sendStatus{Sent: sent.Load(), Reused: reused.Load()}, err
}

// opaqueBody hides the type of a body from net/http, http.NoBody included.
type opaqueBody struct{ body io.ReadCloser }

func (b opaqueBody) Read(p []byte) (int, error) {
	if b.body == nil {
		return 0, io.EOF
	}
	return b.body.Read(p)
}

func (b opaqueBody) Close() error {
	if b.body == nil {
		return nil
	}
	return b.body.Close()
}

// errDetached is returned to an attempt that reads the body after it has ended.
var errDetached = errors.New("proxy: body read after the end of the attempt")

// attemptBody is the request's body as one attempt sees it. A failed attempt may still be
// reading in the background, and must not take bytes from the next one.
type attemptBody struct {
	mu       sync.Mutex
	source   io.Reader
	started  bool // a read has begun
	empty    bool // the first read found the body empty
	detached bool
}

func (b *attemptBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	if b.detached {
		b.mu.Unlock()
		return 0, errDetached
	}
	first := !b.started
	b.started = true
	b.mu.Unlock()
	n, err := b.source.Read(p)
	if first && n == 0 && err == io.EOF {
		b.mu.Lock()
		b.empty = true
		b.mu.Unlock()
	}
	return n, err
}

// Close does nothing: the caller's body belongs to the server. A failed attempt closes
// its body; if that closed the caller's body, the HTTP/1.1 server would read the rest of
// it before the refusal could be sent.
func (b *attemptBody) Close() error { return nil }

// detach stops the attempt's reads and tells whether the body is still complete.
func (b *attemptBody) detach() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.detached = true
	return !b.started || b.empty
}

// outgoingRequest builds the request for the next hop.
func (c *call) outgoingRequest(ctx context.Context, address string) *http.Request {
	url := *c.request.URL
	url.Scheme = "http"
	url.Host = address
	out := &http.Request{
		Method:        c.request.Method,
		URL:           &url,
		Host:          c.request.Host,
		Header:        http.Header{},
		Body:          c.body,
		ContentLength: c.request.ContentLength,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if c.bufferedBody != nil {
		out.ContentLength = int64(len(c.bufferedBody))
	}
	if c.request.ContentLength == 0 && c.bufferedBody == nil {
		out.Body = http.NoBody // sendOnce wraps it
	}
	copyHeader(out.Header, c.request.Header)
	if left, ok := c.timeLeft(); ok {
		out.Header.Set(HeaderDeadline, formatMS(left))
	}
	return out.WithContext(ctx)
}

func isTimeout(err error) bool {
	t, ok := err.(interface{ Timeout() bool })
	return ok && t.Timeout()
}
