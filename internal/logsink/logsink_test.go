package logsink

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stuck is an output that nobody reads.
type stuck struct{ release chan struct{} }

func (s stuck) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// The log's reader hangs. Writers go on without waiting; what doesn't fit is
// dropped and counted.
func TestStuckOutputStopsNobody(t *testing.T) {
	is := is.New(t)
	out := stuck{make(chan struct{})}
	s := New(out)
	began := time.Now()
	for range 10 * queueLines {
		_, err := s.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(time.Since(began) < 5*time.Second)
	is.True(s.Dropped() > 0)
	is.Equal(s.Dropped(), int64(0))
	close(out.release)
	s.Close()
	_, err := s.Write([]byte("after the end\n"))
	is.NoErr(err)
}

// A flood of decisions is cut to the bound; the first ones are kept.
func TestFloodIsBounded(t *testing.T) {
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

func TestCloseWritesWhatWaits(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	s := New(&out)
	_, _ = s.Write([]byte("last\n"))
	s.Close()
	is.Equal(out.String(), "last\n")
}
