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
	dialTimeout = 2 * time.Second
	// defaultAnswerTimeout exceeds the server's requestTimeout, so that a VM without a
	// quorum can reply that it has none.
	defaultAnswerTimeout = requestTimeout + 2*time.Second
)

// ErrNoAddress is returned by a client without any control address.
var ErrNoAddress = errors.New("operator: no control address given")

// Unreachable is returned if no control VM replied. A command may have been accepted
// although its reply was lost; if it is sent again under its ID, it returns the first
// outcome.
type Unreachable struct {
	// Attempts has the error of each address.
	Attempts []Attempt
	// ID is the command's ID; empty for a read.
	ID string
}

// Attempt is a failed request to one address.
type Attempt struct {
	Address string
	Err     error
}

func (e *Unreachable) Error() string {
	var b strings.Builder
	b.WriteString("no control VM answered")
	for _, a := range e.Attempts {
		fmt.Fprintf(&b, "; %s: %v", a.Address, a.Err)
	}
	if e.ID != "" {
		fmt.Fprintf(&b, "; the command may have been accepted: send it again with -command-id %s", e.ID)
	}
	return b.String()
}

// Client sends requests to control VMs, one VM after the other until one replies.
type Client struct {
	// Addresses are the control VMs' operator addresses, "ip:port".
	Addresses []string
	// TLS may be nil in tests and the demo only.
	TLS *tls.Config
	// Operator is the operator's name, used only without TLS.
	Operator string
	// AnswerTimeout limits the wait for one VM's reply. 0 means 6 s, which lets a VM
	// without a quorum reply that it has none.
	AnswerTimeout time.Duration
}

// NewCommandID returns a new random command ID.
func NewCommandID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Command runs an operator's command. The error is the outcome's typed error, an
// *Unreachable, or the *Failure of a VM.
func (c *Client) Command(ctx context.Context, cmd catalogue.Command) (catalogue.Outcome, error) {
	if cmd.ID == "" {
		cmd.ID = NewCommandID()
	}
	cmd.Operator = c.Operator
	var out catalogue.Outcome
	if err := c.askInTurn(ctx, cmd.ID, kindCommand, &cmd, kindOutcome, &out); err != nil {
		return catalogue.Outcome{}, err
	}
	return out, out.Err()
}

// Read returns one part of the current catalogue.
func (c *Client) Read(ctx context.Context, part Part) (*View, error) {
	var v View
	err := c.askInTurn(ctx, "", kindRead, &Read{Part: part}, kindView, &v)
	return &v, err
}

// ChangeMembers removes or replaces a control VM.
func (c *Client) ChangeMembers(ctx context.Context, change MembersChange) (LocalStatus, error) {
	change.Operator = c.Operator
	var out LocalStatus
	err := c.askInTurn(ctx, "", kindMembers, &change, kindLocalStatus, &out)
	return out, err
}

// Local returns the local status of one VM.
func (c *Client) Local(ctx context.Context, address string) (LocalStatus, error) {
	var out LocalStatus
	err := c.ask(ctx, address, kindLocal, &LocalRequest{}, kindLocalStatus, &out)
	return out, err
}

// askInTurn sends the request to one address after the other. It skips a VM that is down,
// busy or without a quorum; any other failure is returned.
func (c *Client) askInTurn(ctx context.Context, id string, kind framing.Kind, request msgp.Marshaler, want framing.Kind, out msgp.Unmarshaler) error {
	if len(c.Addresses) == 0 {
		return ErrNoAddress
	}
	unreachable := &Unreachable{ID: id}
	for _, address := range c.Addresses {
		err := c.ask(ctx, address, kind, request, want, out)
		if err == nil {
			return nil
		}
		var failure *Failure
		if errors.As(err, &failure) && failure.Code != NoQuorum && failure.Code != Busy {
			return err
		}
		unreachable.Attempts = append(unreachable.Attempts, Attempt{Address: address, Err: err})
		if ctx.Err() != nil {
			break
		}
	}
	return unreachable
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
	conn := framing.NewConn(raw, maxFrameSize, writeTimeout)
	if _, err := conn.Write(kind, request); err != nil {
		return errors.Wrap(err, "send")
	}
	if err := raw.SetReadDeadline(time.Now().Add(cmp.Or(c.AnswerTimeout, defaultAnswerTimeout))); err != nil {
		return errors.Wrap(err, "set read deadline")
	}
	frame, err := conn.Read()
	if err != nil {
		return readError(address, err)
	}
	return decodeReply(frame, want, out)
}

// remoteErrorOp is the Op of a net.OpError that holds a peer's TLS alert.
const remoteErrorOp = "remote error"

// readError returns a Denied failure if the VM refused the certificate. In TLS 1.3 the
// client's handshake ends before the server has verified the client's certificate, so the
// refusal arrives with the first read.
func readError(address string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == remoteErrorOp {
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

// dial connects to a VM. With TLS it checks that the certificate belongs to a control VM
// at that address.
func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	within, cancel := context.WithTimeout(ctx, dialTimeout)
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
