package logsink

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blockedWriter is an output whose reader hangs: Write blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// Guards against a data path that blocks because nobody reads the log. Writers must
// return at once; lines that don't fit into the queue are dropped and counted.
func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	is := is.New(t)
	out := blockedWriter{make(chan struct{})}
	s := New(out)
	start := time.Now()
	for range 10 * maxQueuedLines {
		_, err := s.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(time.Since(start) < 5*time.Second)
	is.True(s.TakeDropped() > 0)
	is.Equal(s.TakeDropped(), int64(0))
	close(out.release)
	s.Close()
	_, err := s.Write([]byte("after the end\n"))
	is.NoErr(err)
}

// Guards against a log that costs more than the decisions it records. Lines beyond the
// burst and the rate limit are dropped; the first ones are kept.
func TestLinesAboveRateLimitAreDropped(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	s := New(&out)
	for range 5000 {
		_, _ = s.Write([]byte("x\n"))
	}
	s.Close()
	is.True(out.Len()/2 >= 2*LinesPerSecond)
	is.True(out.Len()/2 < 3*LinesPerSecond)
}

func TestCloseWritesQueuedLines(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	s := New(&out)
	_, _ = s.Write([]byte("last\n"))
	s.Close()
	is.Equal(out.String(), "last\n")
}
