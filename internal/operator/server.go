package operator

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"bergamotstall/internal/catalogue"
	"bergamotstall/internal/events"
	"bergamotstall/internal/framing"
	"bergamotstall/internal/keys"
	"bergamotstall/internal/metrics"
)

const (
	// maxConnections limits the connections served at once. Each may hold a frame of
	// maxFrameSize, and a script that leaks connections must not exhaust the control
	// VM's memory.
	maxConnections = 32
	// idleTimeout closes a connection without requests, such as a half-open one.
	idleTimeout = time.Minute
	// requestTimeout limits the wait for a quorum. It covers an election of one to two
	// seconds; after it the client should ask another VM.
	requestTimeout = 4 * time.Second
	writeTimeout   = 5 * time.Second
)

// Errors of a Backend.
var (
	// ErrNoQuorum: the VM couldn't reach a majority in time.
	ErrNoQuorum = errors.New("operator: no quorum")
	// ErrBusy: too many requests wait at this VM.
	ErrBusy = errors.New("operator: too many requests wait")
	// ErrTooLarge: the command exceeds the log's limit.
	ErrTooLarge = errors.New("operator: command too large")
)

// Backend is the control VM behind a server.
type Backend interface {
	// Submit runs a command through the replicated log.
	Submit(ctx context.Context, cmd *catalogue.Command) (catalogue.Outcome, error)
	// Barrier returns once this VM has applied everything that was committed before the
	// call, or ErrNoQuorum.
	Barrier(ctx context.Context) error
	// Catalogue returns this VM's copy of the state.
	Catalogue() *catalogue.Catalogue
	// Local returns the local status of this VM.
	Local() LocalStatus
	// ChangeMembers changes the control VMs and returns once the change is committed.
	ChangeMembers(ctx context.Context, change MembersChange) error
}

// Server serves operators at one control VM.
type Server struct {
	// VM is the control VM's name, which replies contain.
	VM      string
	Backend Backend
	// TLS verifies certificates of any role; the server then accepts operators' only. It
	// may be nil in tests and the demo only; requests then carry the operator's name.
	TLS     *tls.Config
	Log     logrus.FieldLogger
	Metrics *metrics.Set
}

// Serve accepts connections on ln until ctx is done, finishes the requests in progress and
// closes ln.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	var running sync.WaitGroup
	defer running.Wait()
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	slots := make(chan struct{}, maxConnections)
	for {
		raw, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "operator: accept")
		}
		select {
		case slots <- struct{}{}:
		default:
			s.Metrics.Counter("operator_busy").Add(1)
			raw.Close()
			continue
		}
		running.Go(func() {
			defer func() { <-slots }()
			s.serveConnection(ctx, raw)
		})
	}
}

// serveConnection serves the requests of one connection in sequence.
func (s *Server) serveConnection(ctx context.Context, raw net.Conn) {
	defer raw.Close()
	name, secured, err := s.identify(ctx, raw)
	if err != nil {
		s.Metrics.Counter("operator_denied").Add(1)
		events.Log(s.Log, events.OperatorDenied, logrus.Fields{"from": raw.RemoteAddr().String(), "why": err.Error()})
		if secured != nil {
			s.deny(framing.NewConn(secured, maxFrameSize, writeTimeout), err)
		}
		return
	}
	conn := framing.NewConn(secured, maxFrameSize, writeTimeout)
	// A graceful stop interrupts the read between requests; a request in progress is
	// finished.
	stop := context.AfterFunc(ctx, func() { _ = secured.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	for ctx.Err() == nil {
		if err := secured.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return
		}
		if ctx.Err() != nil {
			return
		}
		frame, err := conn.Read()
		if err != nil {
			return
		}
		kind, reply := s.handleRequest(frame, name)
		if _, err := conn.Write(kind, reply); err != nil {
			return
		}
	}
}

// deny replies with the reason. It reads the request first, because closing a connection
// with unread bytes resets it and the reply could be lost.
func (s *Server) deny(conn *framing.Conn, why error) {
	if err := conn.Raw().SetReadDeadline(time.Now().Add(writeTimeout)); err != nil {
		return
	}
	if _, err := conn.Read(); err != nil {
		return
	}
	_, _ = conn.Write(kindFailure, s.failure(Denied, why.Error()))
}

// identify completes the TLS handshake and returns the operator's name from the
// certificate. Without TLS the name is empty and the request contains it.
func (s *Server) identify(ctx context.Context, raw net.Conn) (string, net.Conn, error) {
	if s.TLS == nil {
		return "", raw, nil
	}
	secured := tls.Server(raw, s.TLS)
	within, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := secured.HandshakeContext(within); err != nil {
		return "", nil, errors.Wrap(err, "operator: TLS handshake")
	}
	peer, err := keys.PeerOf(secured.ConnectionState())
	if err != nil {
		return "", secured, err
	}
	if peer.Role != keys.Operator {
		return "", secured, errors.Errorf("the certificate is a %s's, not an operator's", peer.Role)
	}
	return peer.Name, secured, nil
}

// handleRequest runs one request and returns the reply.
func (s *Server) handleRequest(frame framing.Frame, name string) (framing.Kind, msgp.Marshaler) {
	// Requests in progress continue during a graceful stop, so they have their own
	// timeout.
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	if len(frame.Body) > maxRequestSize {
		return kindFailure, s.failure(TooLarge, "the request is too large")
	}
	switch frame.Kind {
	case kindCommand:
		return s.handleCommand(ctx, frame, name)
	case kindRead:
		return s.handleRead(ctx, frame)
	case kindMembers:
		return s.handleMembersChange(ctx, frame, name)
	case kindLocal:
		local := s.Backend.Local()
		return kindLocalStatus, &local
	}
	return kindFailure, s.failure(Malformed, "this version of control doesn't know the request")
}

func (s *Server) handleCommand(ctx context.Context, frame framing.Frame, name string) (framing.Kind, msgp.Marshaler) {
	var cmd catalogue.Command
	if err := frame.Decode(&cmd); err != nil || !cmd.FromOperator() {
		return kindFailure, s.failure(Malformed, "the command can't be read, or isn't an operator's")
	}
	if name != "" {
		cmd.Operator = name
	}
	out, err := s.Backend.Submit(ctx, &cmd)
	if err != nil {
		return kindFailure, s.failureFor(err)
	}
	return kindOutcome, &out
}

func (s *Server) handleRead(ctx context.Context, frame framing.Frame) (framing.Kind, msgp.Marshaler) {
	var request Read
	if err := frame.Decode(&request); err != nil {
		return kindFailure, s.failure(Malformed, "the read can't be read")
	}
	if err := s.Backend.Barrier(ctx); err != nil {
		return kindFailure, s.failureFor(err)
	}
	view := newView(s.Backend.Catalogue(), request.Part)
	view.VM = s.VM
	return kindView, view
}

func (s *Server) handleMembersChange(ctx context.Context, frame framing.Frame, name string) (framing.Kind, msgp.Marshaler) {
	var change MembersChange
	if err := frame.Decode(&change); err != nil {
		return kindFailure, s.failure(Malformed, "the change of members can't be read")
	}
	if name != "" {
		change.Operator = name
	}
	if err := s.Backend.ChangeMembers(ctx, change); err != nil {
		if isNoQuorum(err) || errors.Is(err, ErrBusy) {
			return kindFailure, s.failureFor(err)
		}
		return kindFailure, s.failure(MembersRefused, err.Error())
	}
	local := s.Backend.Local()
	return kindLocalStatus, &local
}

func isNoQuorum(err error) bool {
	return errors.Is(err, ErrNoQuorum) || errors.Is(err, context.DeadlineExceeded)
}

// failureFor returns the reply to a backend's error.
func (s *Server) failureFor(err error) *Failure {
	switch {
	case errors.Is(err, ErrBusy):
		s.Metrics.Counter("operator_busy").Add(1)
		return s.failure(Busy, "too many requests wait here")
	case errors.Is(err, ErrTooLarge):
		return s.failure(TooLarge, "the command is too large for the log")
	case isNoQuorum(err):
		s.Metrics.Counter("operator_no_quorum").Add(1)
		return s.failure(NoQuorum, "no majority of the control VMs answers; nothing here counts as current")
	}
	return s.failure(Malformed, err.Error())
}

func (s *Server) failure(code FailureCode, text string) *Failure {
	return &Failure{Code: code, Text: text, VM: s.VM}
}
