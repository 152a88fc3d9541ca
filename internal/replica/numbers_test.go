package replica

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a reply to an earlier process that answers a request or a read of this one.
func TestRepliesToAnEarlierProcessAnswerNothing(t *testing.T) {
	is := is.New(t)
	cfg := Config{Name: "a", Folder: t.TempDir(), Advertise: "127.0.0.1:1", Bootstrap: true, Log: discardLog()}.withDefaults()
	earlier, err := open(cfg, newRecordingMachine())
	is.NoErr(err)
	stale := forwardReply{Number: earlier.nextNumber(), Verdict: verdictDone}
	is.NoErr(earlier.journal.Close())
	r, err := open(cfg, newRecordingMachine())
	is.NoErr(err)
	defer r.journal.Close()
	answered := false
	q := &request{answer: func(result) { answered = true }}
	q.Number = r.nextNumber()
	r.forwards[q.Number] = forwarded{request: q}
	r.reads[q.Number] = []*barrier{}
	r.handleForwardReply(stale)
	is.True(!answered)
	_, read := r.reads[stale.Number]
	is.True(!read)
}
