package loadgen

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"bergamotstall/internal/check"
	"bergamotstall/internal/wait"
)

const (
	handshakeTimeout  = 5 * time.Second
	idleTimeout       = 30 * time.Second
	keepAliveInterval = 5 * time.Second
	// dialAttempts is how often a caller tries to open a flow. A failed handshake
	// isn't counted as a broken flow, since no flow was open.
	dialAttempts = 3
	dialPause    = 100 * time.Millisecond
	// gracefulCloseCode is the error code of a graceful close by either side.
	gracefulCloseCode = quic.ApplicationErrorCode(http3.ErrCodeNoError)
)

// flow is one QUIC connection and the state of its caller.
type flow struct {
	spec    Spec
	rec     *Recorder
	rng     *rand.Rand
	id      string
	service string
	conn    *quic.Conn
	socket  *net.UDPConn
	client  *http3.ClientConn
	opened  time.Time
	// inProgress tells whether a request was in progress when the flow ended.
	inProgress bool
}

// errGoingAway is returned when the flow can't carry further requests, such as after a
// graceful shutdown by the server. The caller opens another flow.
var errGoingAway = errors.New("loadgen: flow is going away")

// open opens a flow, with retries. Each flow has its own socket, like a separate caller.
func open(ctx context.Context, spec Spec, rec *Recorder, id string, rng *rand.Rand) (*flow, error) {
	var last error
	for range dialAttempts {
		f, err := dial(ctx, spec, rec, id, rng)
		if err == nil {
			return f, nil
		}
		last = err
		if !wait.For(ctx, dialPause) {
			break
		}
	}
	return nil, last
}

func dial(ctx context.Context, spec Spec, rec *Recorder, id string, rng *rand.Rand) (*flow, error) {
	addr, err := net.ResolveUDPAddr("udp", spec.Address)
	if err != nil {
		return nil, errors.Wrap(err, "loadgen: address")
	}
	socket, err := net.ListenUDP("udp", nil)
	if err != nil {
		return nil, errors.Wrap(err, "loadgen: socket")
	}
	conn, err := quic.Dial(ctx, socket, addr, spec.TLS, &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAliveInterval,
		InitialPacketSize:    1200,
	})
	if err != nil {
		_ = socket.Close()
		return nil, errors.Wrap(err, "loadgen: handshake")
	}
	rec.flowOpened()
	transport := &http3.Transport{DisableCompression: true}
	return &flow{
		spec: spec, rec: rec, rng: rng, id: id, service: spec.Service,
		conn: conn, socket: socket, client: transport.NewClientConn(conn), opened: time.Now(),
	}, nil
}

// run sends the flow's requests and closes it.
func (f *flow) run(ctx context.Context) {
	defer f.close()
	for n := range f.spec.RequestsPerFlow {
		if ctx.Err() != nil || f.conn.Context().Err() != nil {
			return
		}
		kind := f.pickKind()
		if err := f.request(ctx, kind, fmt.Sprintf("%s-%d", f.id, n)); err != nil {
			return
		}
		if !wait.For(ctx, f.spec.Pause) {
			return
		}
	}
}

func (f *flow) pickKind() Kind {
	m := f.spec.Mix
	at := f.rng.IntN(m.Download + m.Feed + m.Submit)
	switch {
	case at < m.Download:
		return Download
	case at < m.Download+m.Feed:
		return Feed
	default:
		return Submit
	}
}

func (f *flow) request(ctx context.Context, kind Kind, id string) error {
	switch kind {
	case Download:
		return f.download(ctx, id)
	case Feed:
		return f.feed(ctx, id)
	default:
		return f.submit(ctx, id)
	}
}

// close closes the flow and records whether it was already broken.
func (f *flow) close() {
	broken, reason := f.brokenState()
	_ = f.conn.CloseWithError(gracefulCloseCode, "")
	_ = f.socket.Close()
	f.rec.flowEnded(check.Flow{Service: f.service, Opened: f.opened, Broken: broken, Reason: reason})
}

// brokenState reports whether the flow ended other than by a graceful shutdown with no
// request in progress, and why.
func (f *flow) brokenState() (broken bool, reason string) {
	if f.conn.Context().Err() == nil {
		return false, ""
	}
	cause := context.Cause(f.conn.Context())
	var app *quic.ApplicationError
	graceful := errors.As(cause, &app) && app.ErrorCode == gracefulCloseCode
	if graceful && !f.inProgress {
		return false, ""
	}
	return true, errorReason(cause)
}

// errorReason classifies an error so that reports can count it.
func errorReason(err error) string {
	var (
		reset     *quic.StatelessResetError
		idle      *quic.IdleTimeoutError
		handshake *quic.HandshakeTimeoutError
		app       *quic.ApplicationError
		h3        *http3.Error
	)
	switch {
	case err == nil:
		return ""
	case errors.As(err, &reset):
		return "stateless reset"
	case errors.As(err, &idle):
		return "idle timeout"
	case errors.As(err, &handshake):
		return "handshake timeout"
	case errors.As(err, &h3):
		return "stream: " + h3.ErrorCode.String()
	case errors.As(err, &app):
		return "closed: " + http3.ErrCode(app.ErrorCode).String()
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	}
	return err.Error()
}

// setCredential sets the caller's own bearer token, as a service would require.
func (f *flow) setCredential(r *http.Request) {
	r.Header.Set("Authorization", "Bearer caller-"+f.id)
}
