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
	// targetDialTime bounds the connection set-up to the target, which is on
	// the same host.
	targetDialTime = time.Second
	// idleTime is how long a connection to the target is kept unused.
	idleTime = 15 * time.Second
)

// targetClient speaks HTTP/1.1 to the target beside the agent. It sends each
// request once, whatever happens.
type targetClient struct {
	address string
	// pooled keeps connections; it carries repeatable requests only. A target
	// may close an idle connection just when a request goes out on it, and
	// nobody can tell then whether the request was read.
	pooled *http.Transport
	// fresh opens a connection for each request. On a new connection a failure
	// before the hand-over is a failed dial, and net/http never sends a request
	// again by itself.
	fresh *http.Transport
}

func newTargetClient(address string, limits Limits) *targetClient {
	transport := func(reuse bool) *http.Transport {
		return &http.Transport{
			DialContext:           (&net.Dialer{Timeout: targetDialTime}).DialContext,
			DisableKeepAlives:     !reuse,
			MaxIdleConnsPerHost:   limits.Slots,
			IdleConnTimeout:       idleTime,
			ResponseHeaderTimeout: limits.AnswerTime,
			DisableCompression:    true,
		}
	}
	return &targetClient{address: address, pooled: transport(true), fresh: transport(false)}
}

// close drops idle connections.
func (c *targetClient) close() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// handOver sends the request once. handed tells whether the target may have
// seen a byte of it; reused, whether it went out on a connection used before.
func (c *targetClient) handOver(r *http.Request, repeatable bool) (resp *http.Response, h handedOver, err error) {
	transport := c.fresh
	if repeatable {
		transport = c.pooled
	}
	return sendOnce(transport, r)
}

// handedOver is how far a request got.
type handedOver struct {
	// Handed is set once a connection was ready to be written. The first byte
	// leaves right after, so this errs on the side of "seen".
	Handed bool
	// Reused is set where the connection had carried a request before.
	Reused bool
}

// sendOnce sends a request through a transport that mustn't send it again.
func sendOnce(transport *http.Transport, r *http.Request) (*http.Response, handedOver, error) {
	var handed, reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		handed.Store(true)
		reused.Store(info.Reused)
	}}
	out := r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	// net/http sends a request again by itself where a reused connection fails,
	// the method is safe or the request carries Idempotency-Key, and the body is
	// nil or can be had again. A body that is neither forbids it.
	out.Body = onceBody{r.Body}
	out.GetBody = nil
	resp, err := transport.RoundTrip(out)
	return resp, handedOver{Handed: handed.Load(), Reused: reused.Load()}, err
}

// onceBody hides what net/http knows about a body, NoBody included.
type onceBody struct{ body io.ReadCloser }

func (b onceBody) Read(p []byte) (int, error) {
	if b.body == nil {
		return 0, io.EOF
	}
	return b.body.Read(p)
}

func (b onceBody) Close() error {
	if b.body == nil {
		return nil
	}
	return b.body.Close()
}

// errDetached is returned to an attempt that is over.
var errDetached = errors.New("proxy: the attempt is over")

// attemptBody is the request's body as one attempt sees it. A failed attempt may
// still be reading in the background; the next must not share its reads.
type attemptBody struct {
	mu       sync.Mutex
	source   io.Reader
	started  bool // some of the body was asked for
	empty    bool // and there was none
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

// Close leaves the caller's body to the server that owns it. A failed attempt
// closes its body, and HTTP/1.1's server then reads what is still to come before
// the refusal may go out.
func (b *attemptBody) Close() error { return nil }

// detach ends the attempt's reading; it tells whether the body is still whole.
func (b *attemptBody) detach() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.detached = true
	return !b.started || b.empty
}

// outgoing builds the request as the next hop gets it.
func (c *call) outgoing(ctx context.Context, address string) *http.Request {
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
	if c.held != nil {
		out.ContentLength = int64(len(c.held))
	}
	if c.request.ContentLength == 0 && c.held == nil {
		out.Body = http.NoBody // sendOnce wraps it
	}
	copyHeader(out.Header, c.request.Header)
	if left, ok := c.timeLeft(); ok {
		out.Header.Set(HeaderDeadline, formatMS(left))
	}
	return out.WithContext(ctx)
}

func errorIsTimeout(err error) bool {
	t, ok := err.(interface{ Timeout() bool })
	return ok && t.Timeout()
}
