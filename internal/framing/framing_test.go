package framing

import (
	"bytes"
	"math"
	"net"
	"os"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"
)

func TestFrameBoundaries(t *testing.T) {
	is := is.New(t)
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	left, right := NewConn(a, 64, 0), NewConn(b, 64, 0)

	written := make(chan error, 2)
	go func() {
		_, err := left.Write(7, msgp.Raw(msgp.AppendString(nil, "one")))
		written <- err
		_, err = left.Write(8, msgp.Raw(msgp.AppendString(nil, "two")))
		written <- err
	}()
	for i, want := range []string{"one", "two"} {
		f, err := right.Read()
		is.NoErr(err)
		is.Equal(f.Kind, Kind(7+i))
		got, _, err := msgp.ReadStringBytes(f.Body)
		is.NoErr(err)
		is.Equal(got, want)
		var whole msgp.Raw
		is.NoErr(f.Decode(&whole)) // a complete body decodes without an error
		is.NoErr(<-written)        // a complete write returns no error
	}

	_, err := left.Write(9, msgp.Raw(make([]byte, 65)))
	is.True(errors.Is(err, ErrTooLarge)) // no part of an oversized frame is sent
}

func TestOversizedLengthIsRejectedBeforeAllocation(t *testing.T) {
	is := is.New(t)
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	go func() { _, _ = a.Write([]byte{0xff, 0xff, 0xff, 0xff, 1}) }()
	_, err := NewConn(b, 64, 0).Read()
	is.True(errors.Is(err, ErrTooLarge))
}

// Guards against a large frame that never arrives over a slow link.
func TestWriteGoesOnWhileTheLinkTakesData(t *testing.T) {
	is := is.New(t)
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	const timeout, pause, pieces = 200 * time.Millisecond, 50 * time.Millisecond, 10
	go func() {
		piece := make([]byte, 100)
		for range pieces {
			time.Sleep(pause)
			_, _ = b.Read(piece)
		}
	}()
	n, err := NewConn(a, 0, timeout).Write(7, msgp.Raw(make([]byte, 100*pieces-headerSize)))
	is.NoErr(err)
	is.Equal(n, 100*pieces)
}

// Guards against a writer that waits for a peer which takes nothing.
func TestWriteEndsWhenNothingIsTaken(t *testing.T) {
	is := is.New(t)
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	_, err := NewConn(a, 0, 10*time.Millisecond).Write(7, msgp.Raw(make([]byte, 100)))
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
}

// Guards against a connection that counts as busy after its peer has stopped in the middle
// of a frame, or as idle while a frame arrives or is handled.
func TestReceiving(t *testing.T) {
	is := is.New(t)
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	conn := NewConn(b, 64, 0)
	is.True(!conn.Receiving(time.Hour))
	read := make(chan error, 1)
	go func() {
		_, err := conn.Read()
		read <- err
	}()
	_, err := a.Write([]byte{0, 0, 0, 2, 1, 'a'})
	is.NoErr(err)
	for !conn.Receiving(time.Hour) {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(2 * time.Millisecond)
	is.True(!conn.Receiving(time.Millisecond))
	_, err = a.Write([]byte{'b'})
	is.NoErr(err)
	is.NoErr(<-read)
	is.True(conn.Receiving(time.Hour)) // the frame is being handled
	go func() { _, _ = conn.Read() }()
	for conn.Receiving(time.Hour) {
		time.Sleep(time.Millisecond)
	}
}

// Guards against processes that end because a few bytes state a large array, or nest deeply.
func TestStatedSizesAreChecked(t *testing.T) {
	is := is.New(t)
	decode := func(body []byte) error {
		var v msgp.Raw
		return Frame{Kind: 1, Body: body}.Decode(&v)
	}
	inMap := func(value []byte) []byte {
		return append(msgp.AppendString(msgp.AppendMapHeader(nil, 1), "k"), value...)
	}
	is.True(errors.Is(decode(inMap(msgp.AppendArrayHeader(nil, math.MaxUint32))), ErrTooManyElements))
	is.True(errors.Is(decode(inMap(msgp.AppendMapHeader(nil, math.MaxUint32))), ErrTooManyElements))
	is.True(errors.Is(decode(inMap(msgp.AppendArrayHeader(nil, 3))), ErrTooManyElements)) // more than the body holds
	full := append(msgp.AppendArrayHeader(nil, maxElements+1), bytes.Repeat([]byte{1}, maxElements+1)...)
	is.True(errors.Is(decode(full), ErrTooManyElements))
	is.True(errors.Is(decode(bytes.Repeat([]byte{0x91}, 1<<20)), ErrTooDeep))
	is.True(decode(msgp.AppendString(msgp.AppendArrayHeader(nil, 2), "x")) != nil) // the second element is missing
	is.NoErr(decode(inMap(msgp.AppendInt(msgp.AppendArrayHeader(nil, 1), 7))))
}
