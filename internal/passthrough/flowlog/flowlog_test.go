package flowlog

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/metrics"
	"bergamotstall/internal/passthrough/packet"
)

func discardLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func record(port uint16, ack uint32) Record {
	return NewRecord(packet.Flow{
		Client:  packet.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: port},
		Service: packet.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443},
	}, ack)
}

func open(t *testing.T, folder string) *Log {
	t.Helper()
	l, err := Open(folder, discardLogger(), metrics.New())
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func recall(t *testing.T, l *Log, agent string) Update {
	t.Helper()
	u, _ := l.Recall(agent)
	return u
}

// The VM loses power and restarts: updates that were written must be read back, without
// flows that ended.
func TestFlowsSurviveARestart(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	l := open(t, folder)
	l.Apply(Update{Agent: "a", Target: "i-1", Born: 5, Opened: []Record{record(1, 10), record(2, 20)}})
	is.NoErr(l.write())
	l.Apply(Update{Agent: "a", Target: "i-1", Born: 5, Ended: []Record{record(1, 0)}})
	l.Apply(Update{Agent: "b", Target: "i-2", Born: 6, Opened: []Record{record(3, 30)}})
	is.NoErr(l.write())
	l.Apply(Update{Agent: "b", Target: "i-2", Born: 6, Opened: []Record{record(4, 40)}}) // not written before the power loss

	back := open(t, folder)
	is.Equal(recall(t, back, "a").Opened, []Record{record(2, 20)})
	is.Equal(recall(t, back, "b").Opened, []Record{record(3, 30)})
	_, ok := back.Recall("c")
	is.Equal(ok, false)
}

// A new incarnation at the agent's address must not be mixed with the flows of the one
// before.
func TestNewIncarnationReplacesFlows(t *testing.T) {
	is := is.New(t)
	l := open(t, t.TempDir())
	l.Apply(Update{Agent: "a", Target: "i-1", Born: 5, Opened: []Record{record(1, 10)}})
	l.Apply(Update{Agent: "a", Target: "i-1", Born: 9, Opened: []Record{record(2, 20)}})
	u := recall(t, l, "a")
	is.Equal(u.Born, int64(9))
	is.Equal(u.Opened, []Record{record(2, 20)})
	l.Apply(Update{Agent: "a", Target: "i-1", Born: 9, Whole: true, Opened: []Record{record(3, 30)}})
	is.Equal(recall(t, l, "a").Opened, []Record{record(3, 30)})
}

// A power cut may truncate the last write at any byte. The frames before it must be read,
// and the next write must make the file complete again.
func TestTruncatedOrDamagedEnd(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	l := open(t, folder)
	l.Apply(Update{Agent: "a", Target: "i-1", Born: 5, Opened: []Record{record(1, 10)}})
	is.NoErr(l.write())
	path := filepath.Join(folder, fileName)
	first, err := os.ReadFile(path)
	is.NoErr(err)
	l.Apply(Update{Agent: "a", Target: "i-1", Born: 5, Opened: []Record{record(2, 20)}})
	is.NoErr(l.write())
	whole, err := os.ReadFile(path)
	is.NoErr(err)
	for n := len(first); n < len(whole); n++ {
		is.NoErr(os.WriteFile(path, whole[:n], 0o600))
		is.Equal(recall(t, open(t, folder), "a").Opened, []Record{record(1, 10)})
	}
	damaged := append([]byte(nil), whole...)
	damaged[len(first)+frameHeaderSize+3] ^= 1
	is.NoErr(os.WriteFile(path, damaged, 0o600))
	back := open(t, folder)
	back.Apply(Update{Agent: "a", Target: "i-1", Born: 5, Opened: []Record{record(3, 30)}})
	is.NoErr(back.write())
	is.Equal(len(recall(t, open(t, folder), "a").Opened), 2)
}

// Writes fail for a while. The store must continue, and once the disk works again the
// file must hold all updates.
func TestFailingDisk(t *testing.T) {
	is := is.New(t)
	folder := filepath.Join(t.TempDir(), "disk")
	l := open(t, folder)
	is.NoErr(l.write())
	is.NoErr(os.RemoveAll(folder))
	l.Apply(Update{Agent: "a", Target: "i-1", Born: 5, Opened: []Record{record(1, 10)}})
	is.True(l.write() != nil)
	is.Equal(len(recall(t, l, "a").Opened), 1)
	is.NoErr(os.MkdirAll(folder, 0o700))
	is.NoErr(l.write())
	is.Equal(recall(t, open(t, folder), "a").Opened, []Record{record(1, 10)})
}

// The file must not grow without bound.
func TestFileIsRewritten(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	l := open(t, folder)
	l.size = rewriteSize
	l.Apply(Update{Agent: "a", Target: "i-1", Born: 5, Opened: []Record{record(1, 10)}})
	is.NoErr(l.write())
	is.True(l.size < 1000)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	l.Apply(Update{Agent: "a", Target: "i-1", Born: 5, Opened: []Record{record(2, 20)}})
	l.Run(ctx) // a last write
	is.Equal(len(recall(t, open(t, folder), "a").Opened), 2)
}
