// Package framing frames messages between the system's own processes over TCP: a
// four-byte big-endian length of the body, one byte of kind, and a msgpack body. The
// kinds and messages are defined by the protocols that use it.
package framing

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/tinylib/msgp/msgp"
)

// Kind identifies the message in a frame's body. Its values are defined by the protocol
// on the connection.
type Kind uint8

const (
	headerSize = 5
	// DefaultLimit bounds a frame's body, in bytes. A table with 12,000 hosts stays under
	// 4 MiB; the bound keeps a corrupt length from causing an allocation that exhausts
	// the process's memory.
	DefaultLimit = 16 << 20
	bufferSize   = 4 << 10
)

// ErrTooLarge means that a frame's body is over the connection's limit.
var ErrTooLarge = errors.New("framing: frame body exceeds the limit")

// Frame is one received message.
type Frame struct {
	Kind Kind
	// Body is valid until the next Read.
	Body []byte
}

// Decode decodes the frame's body into m.
func (f Frame) Decode(m msgp.Unmarshaler) error {
	if err := Decode(f.Body, m); err != nil {
		return errors.Wrapf(err, "framing: decode frame of kind %d", f.Kind)
	}
	return nil
}

// Decode decodes a body that another process encoded into m.
func Decode(body []byte, m msgp.Unmarshaler) error {
	if err := checkSizes(body); err != nil {
		return err
	}
	_, err := m.UnmarshalMsg(body)
	return err
}

// Conn sends and receives frames. Write and Receiving are safe for concurrent use; only
// one goroutine may call Read.
type Conn struct {
	raw      net.Conn
	arrivals arrivals
	in       *bufio.Reader
	limit    int
	body     []byte
	// inFrame is set from when a frame's header has been read to the next call of Read.
	inFrame atomic.Bool

	mu  sync.Mutex
	out []byte
	// writeTimeout bounds the time in which a write makes no progress, so that a half-open
	// connection doesn't block the writer until the kernel gives up its retransmissions. A
	// large frame over a slow link takes longer as a whole.
	writeTimeout time.Duration
}

// NewConn wraps a connection. A limit of 0 means DefaultLimit, a writeTimeout of 0 no
// bound.
func NewConn(raw net.Conn, limit int, writeTimeout time.Duration) *Conn {
	if limit <= 0 {
		limit = DefaultLimit
	}
	c := &Conn{raw: raw, arrivals: arrivals{source: raw, createdAt: time.Now()}, limit: limit, writeTimeout: writeTimeout}
	c.in = bufio.NewReaderSize(&c.arrivals, bufferSize)
	return c
}

// arrivals is a reader that records when the last bytes were read.
type arrivals struct {
	source    io.Reader
	createdAt time.Time
	// last is the time from createdAt to the last bytes, in nanoseconds. Clock steps don't
	// change it.
	last atomic.Int64
}

func (a *arrivals) Read(p []byte) (int, error) {
	n, err := a.source.Read(p)
	if n > 0 {
		a.last.Store(int64(time.Since(a.createdAt)))
	}
	return n, err
}

// sinceLast returns the time since the last bytes.
func (a *arrivals) sinceLast() time.Duration {
	return time.Since(a.createdAt) - time.Duration(a.last.Load())
}

// Receiving reports whether a frame is arriving whose last bytes came less than maxPause
// ago. A complete frame counts until the next call of Read, while it is being handled.
func (c *Conn) Receiving(maxPause time.Duration) bool {
	return c.inFrame.Load() && c.arrivals.sinceLast() < maxPause
}

// Raw returns the underlying connection.
func (c *Conn) Raw() net.Conn { return c.raw }

// Close closes the connection.
func (c *Conn) Close() error { return c.raw.Close() }

// Write sends one frame. It returns the number of bytes written to the connection, and
// ErrTooLarge for a body over the limit.
func (c *Conn) Write(kind Kind, m msgp.Marshaler) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	buf := append(c.out[:0], 0, 0, 0, 0, byte(kind))
	buf, err := m.MarshalMsg(buf)
	if err != nil {
		return 0, errors.Wrapf(err, "framing: encode frame of kind %d", kind)
	}
	size := len(buf) - headerSize
	if size > c.limit {
		return 0, errors.Wrapf(ErrTooLarge, "kind %d: %d bytes", kind, size)
	}
	binary.BigEndian.PutUint32(buf, uint32(size))
	c.out = buf
	n, err := c.write(buf)
	if err != nil {
		return n, errors.Wrap(err, "framing: write frame")
	}
	return n, nil
}

// write writes a whole frame. It fails once the connection has taken nothing for the write
// timeout.
func (c *Conn) write(frame []byte) (int, error) {
	written := 0
	for {
		if c.writeTimeout > 0 {
			if err := c.raw.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
				return written, errors.Wrap(err, "set write deadline")
			}
		}
		n, err := c.raw.Write(frame[written:])
		written += n
		if n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
	}
}

// Read waits for the next frame, at most until the read deadline set on Raw. It returns
// ErrTooLarge for a body over the limit.
func (c *Conn) Read() (Frame, error) {
	c.inFrame.Store(false)
	var head [headerSize]byte
	if _, err := io.ReadFull(c.in, head[:]); err != nil {
		return Frame{}, errors.Wrap(err, "framing: read header")
	}
	c.inFrame.Store(true)
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
