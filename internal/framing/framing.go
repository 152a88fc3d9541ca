// Package framing frames messages between the system's own processes over TCP: a
// four-byte big-endian length, one byte of kind, and a msgpack body. It knows
// no protocol; each slice defines its kinds and messages.
package framing

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/tinylib/msgp/msgp"
)

// Kind tells the receiver which message a frame's body holds. Its meaning is
// the protocol's that runs on the connection.
type Kind uint8

const (
	headerSize = 5
	// DefaultLimit bounds a frame's body. A table with 12,000 hosts stays under
	// 4 MiB; the bound keeps a corrupt length from claiming the memory budget.
	DefaultLimit = 16 << 20
	bufferSize   = 4 << 10
)

// ErrTooLarge is returned for a frame over the connection's limit.
var ErrTooLarge = errors.New("framing: frame over the limit")

// Frame is one received message.
type Frame struct {
	Kind Kind
	// Body is valid until the next Read.
	Body []byte
}

// Decode reads the frame's body into m.
func (f Frame) Decode(m msgp.Unmarshaler) error {
	if _, err := m.UnmarshalMsg(f.Body); err != nil {
		return errors.Wrapf(err, "framing: frame kind %d", f.Kind)
	}
	return nil
}

// Conn sends and receives frames. One goroutine may read while others write.
type Conn struct {
	raw   net.Conn
	in    *bufio.Reader
	limit int
	body  []byte

	mu  sync.Mutex
	out []byte
	// writeTimeout bounds one write, so that a half-open peer can't hold the
	// writer for the kernel's retransmission time.
	writeTimeout time.Duration
}

// NewConn wraps a connection. writeTimeout of 0 sets no bound.
func NewConn(raw net.Conn, limit int, writeTimeout time.Duration) *Conn {
	if limit <= 0 {
		limit = DefaultLimit
	}
	return &Conn{raw: raw, in: bufio.NewReaderSize(raw, bufferSize), limit: limit, writeTimeout: writeTimeout}
}

// Raw returns the connection underneath.
func (c *Conn) Raw() net.Conn { return c.raw }

// Close closes the connection.
func (c *Conn) Close() error { return c.raw.Close() }

// Write sends one frame. It returns the bytes put on the connection.
func (c *Conn) Write(kind Kind, m msgp.Marshaler) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	buf := append(c.out[:0], 0, 0, 0, 0, byte(kind))
	buf, err := m.MarshalMsg(buf)
	if err != nil {
		return 0, errors.Wrapf(err, "framing: encode kind %d", kind)
	}
	size := len(buf) - headerSize
	if size > c.limit {
		return 0, errors.Wrapf(ErrTooLarge, "kind %d: %d bytes", kind, size)
	}
	binary.BigEndian.PutUint32(buf, uint32(size))
	c.out = buf
	if c.writeTimeout > 0 {
		if err := c.raw.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
			return 0, errors.Wrap(err, "framing: write deadline")
		}
	}
	n, err := c.raw.Write(buf)
	if err != nil {
		return n, errors.Wrap(err, "framing: write")
	}
	return n, nil
}

// Read waits for the next frame, at most until the deadline set on Raw.
func (c *Conn) Read() (Frame, error) {
	var head [headerSize]byte
	if _, err := io.ReadFull(c.in, head[:]); err != nil {
		return Frame{}, errors.Wrap(err, "framing: read")
	}
	size := int(binary.BigEndian.Uint32(head[:4]))
	if size > c.limit {
		return Frame{}, errors.Wrapf(ErrTooLarge, "kind %d: %d bytes", head[4], size)
	}
	if cap(c.body) < size {
		c.body = make([]byte, size)
	}
	c.body = c.body[:size]
	if _, err := io.ReadFull(c.in, c.body); err != nil {
		return Frame{}, errors.Wrap(err, "framing: read body")
	}
	return Frame{Kind: Kind(head[4]), Body: c.body}, nil
}
