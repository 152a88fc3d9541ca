package operator

import (
	"cmp"
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/tinylib/msgp/msgp"

	"bergamotstall/internal/catalogue"
	"bergamotstall/internal/framing"
	"bergamotstall/internal/keys"
)

const (
	dialLimit = 2 * time.Second
	// defaultPatience exceeds the server's answerLimit.
	defaultPatience = answerLimit + 2*time.Second
)

// ErrNoAddress is returned by a client without any control address.
var ErrNoAddress = errors.New("operator: no control address given")

// Unreachable tells that no control VM answered. A command may still have been
// accepted by one whose answer was lost: sent again under its identity, it
// brings the first outcome.
type Unreachable struct {
	// Tries has what happened at each address.
	Tries []Try
	// ID is the command's identity; empty for a read.
	ID string
}

// Try is one address that gave no answer.
type Try struct {
	Address string
	Err     error
}

func (e *Unreachable) Error() string {
	var b strings.Builder
	b.WriteString("no control VM answered")
	for _, t := range e.Tries {
		fmt.Fprintf(&b, "; %s: %v", t.Address, t.Err)
	}
	if e.ID != "" {
		fmt.Fprintf(&b, "; the command may have been accepted: send it again with -command-id %s", e.ID)
	}
	return b.String()
}

// Client asks control VMs, each in turn until one answers.
type Client struct {
	// Addresses are the control VMs' operator addresses, "ip:port".
	Addresses []string
	// TLS is nil only in tests and the demo.
	TLS *tls.Config
	// Operator is the name used without TLS.
	Operator string
	// Patience bounds the wait for one VM's answer; 0 means six seconds, so that
	// a VM without a quorum gets to say so.
	Patience time.Duration
}

// NewCommandID returns a fresh identity for a command.
func NewCommandID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Command runs an operator's command. The error is the outcome's typed error,
// or Unreachable.
func (c *Client) Command(ctx context.Context, cmd catalogue.Command) (catalogue.Outcome, error) {
	if cmd.ID == "" {
		cmd.ID = NewCommandID()
	}
	cmd.Operator = c.Operator
	var out catalogue.Outcome
	if err := c.anyOf(ctx, cmd.ID, kindCommand, &cmd, kindOutcome, &out); err != nil {
		return catalogue.Outcome{}, err
	}
	return out, out.Err()
}

// Read returns one part of the catalogue as of now.
func (c *Client) Read(ctx context.Context, part Part) (*View, error) {
	var v View
	err := c.anyOf(ctx, "", kindRead, &Read{Part: part}, kindView, &v)
	return &v, err
}

// ChangeMembers changes the control VMs.
func (c *Client) ChangeMembers(ctx context.Context, change MembersChange) (LocalStatus, error) {
	change.Operator = c.Operator
	var out LocalStatus
	err := c.anyOf(ctx, "", kindMembers, &change, kindLocalStatus, &out)
	return out, err
}

// Local asks one VM for what it knows by itself.
func (c *Client) Local(ctx context.Context, address string) (LocalStatus, error) {
	var out LocalStatus
	err := c.ask(ctx, address, kindLocal, &LocalRequest{}, kindLocalStatus, &out)
	return out, err
}

// anyOf asks each address in turn. A VM that has no quorum or is busy is passed
// over like one that is down; any other failure is the answer.
func (c *Client) anyOf(ctx context.Context, id string, kind framing.Kind, request msgp.Marshaler, want framing.Kind, out msgp.Unmarshaler) error {
	if len(c.Addresses) == 0 {
		return ErrNoAddress
	}
	lost := &Unreachable{ID: id}
	for _, address := range c.Addresses {
		err := c.ask(ctx, address, kind, request, want, out)
		if err == nil {
			return nil
		}
		var failure *Failure
		if errors.As(err, &failure) && failure.Code != NoQuorum && failure.Code != Busy {
			return err
		}
		lost.Tries = append(lost.Tries, Try{Address: address, Err: err})
		if ctx.Err() != nil {
			break
		}
	}
	return lost
}

// ask sends one request to one VM.
func (c *Client) ask(ctx context.Context, address string, kind framing.Kind, request msgp.Marshaler, want framing.Kind, out msgp.Unmarshaler) error {
	raw, err := c.dial(ctx, address)
	if err != nil {
		return errors.Wrap(err, "connect")
	}
	defer raw.Close()
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	conn := framing.NewConn(raw, frameLimit, writeTimeout)
	if _, err := conn.Write(kind, request); err != nil {
		return errors.Wrap(err, "send")
	}
	if err := raw.SetReadDeadline(time.Now().Add(cmp.Or(c.Patience, defaultPatience))); err != nil {
		return errors.Wrap(err, "deadline")
	}
	frame, err := conn.Read()
	if err != nil {
		return noAnswer(address, err)
	}
	return decodeReply(frame, want, out)
}

// remoteError is the operation of a net.OpError that holds a peer's TLS alert.
const remoteError = "remote error"

// noAnswer tells a VM that refused the certificate from one that is silent: the
// client's half of a TLS 1.3 handshake ends before the server has judged it.
func noAnswer(address string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == remoteError {
		return &Failure{Code: Denied, Text: "the certificate was refused: " + err.Error(), VM: address}
	}
	return errors.Wrap(err, "no answer")
}

func decodeReply(frame framing.Frame, want framing.Kind, out msgp.Unmarshaler) error {
	switch frame.Kind {
	case want:
		return frame.Decode(out)
	case kindFailure:
		failure := new(Failure)
		if err := frame.Decode(failure); err != nil {
			return err
		}
		return failure
	}
	return errors.Errorf("operator: reply of kind %d, expected %d", frame.Kind, want)
}

// dial connects and, with TLS, checks that the VM's certificate is a control
// VM's at that address.
func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	within, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	raw, err := new(net.Dialer).DialContext(within, "tcp", address)
	if err != nil || c.TLS == nil {
		return raw, err
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	secured, err := keys.Client(within, raw, c.TLS, host)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return secured, nil
}
