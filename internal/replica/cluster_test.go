package replica

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/journal"
	"bergamotstall/internal/metrics"
	"bergamotstall/internal/raft"
)

// waitTimeout bounds all waits. No result depends on its length.
const waitTimeout = 60 * time.Second

// recordingMachine is a state machine that records all commands in order. A repeated
// command gets its first outcome.
type recordingMachine struct {
	mu       sync.Mutex
	Commands []string
	Outcomes map[string]uint64
	// before and after are hooks that run around Apply.
	before, after func() error
}

func (g *recordingMachine) hook(which *func() error, f func() error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	*which = f
}

func newRecordingMachine() *recordingMachine { return &recordingMachine{Outcomes: map[string]uint64{}} }

func (g *recordingMachine) Apply(_ uint64, command []byte) []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.before != nil {
		_ = g.before()
	}
	defer func() {
		if g.after != nil {
			_ = g.after()
		}
	}()
	position, ok := g.Outcomes[string(command)]
	if !ok {
		g.Commands = append(g.Commands, string(command))
		position = uint64(len(g.Commands))
		g.Outcomes[string(command)] = position
	}
	out, _ := json.Marshal(position)
	return out
}

func (g *recordingMachine) Snapshot() ([]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return json.Marshal(g)
}

func (g *recordingMachine) Restore(snapshot []byte) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Commands, g.Outcomes = nil, map[string]uint64{}
	return json.Unmarshal(snapshot, g)
}

func (g *recordingMachine) all() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.Commands...)
}

// member is one VM of a test.
type member struct {
	t       testing.TB
	net     *network
	name    string
	folder  string
	address string
	cfg     Config
	sm      *recordingMachine
	*Replica
}

func discardLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func newMember(t testing.TB, network *network, name string, peers ...string) *member {
	t.Helper()
	m := &member{t: t, net: network, name: name, folder: filepath.Join(t.TempDir(), name)}
	m.cfg = Config{
		Folder: m.folder, Name: name, Peers: peers, Listen: "127.0.0.1:0",
		Heartbeat: 20 * time.Millisecond, Log: discardLog(), FS: journal.Disk{},
	}
	m.cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		return network.dial(ctx, direction{name, address})
	}
	return m
}

func (m *member) start() {
	m.t.Helper()
	m.sm = newRecordingMachine()
	m.cfg.Metrics = metrics.New()
	r, err := Open(m.cfg, m.sm)
	if err != nil {
		m.t.Fatalf("open %s: %v", m.name, err)
	}
	m.Replica = r
	m.address = r.cfg.Advertise
	m.cfg.Listen = m.address
	m.t.Cleanup(func() { _ = r.Close() })
}

// startThree starts three replicas, the first by bootstrap, and waits until all are
// voters.
func startThree(t testing.TB, change func(*Config)) []*member {
	t.Helper()
	network := newNetwork()
	first := newMember(t, network, "a")
	first.cfg.Bootstrap = true
	if change != nil {
		change(&first.cfg)
	}
	first.start()
	members := []*member{first}
	for _, name := range []string{"b", "c"} {
		m := newMember(t, network, name, first.address)
		if change != nil {
			change(&m.cfg)
		}
		m.start()
		members = append(members, m)
	}
	for _, m := range members {
		m.cfg.Peers = []string{members[0].address, members[1].address, members[2].address}
	}
	waitVoters(t, members, 3)
	return members
}

func waitVoters(t testing.TB, members []*member, want int) {
	t.Helper()
	waitFor(t, "the number of voters", func() bool {
		for _, m := range members {
			if voters(m.Status()) != want || m.Status().Leader == 0 {
				return false
			}
		}
		return true
	})
}

func voters(s Status) int {
	n := 0
	for _, m := range s.Members {
		if m.Role == raft.Voter {
			n++
		}
	}
	return n
}

func waitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func leaderOf(t testing.TB, members []*member) *member {
	t.Helper()
	var found *member
	waitFor(t, "a leader", func() bool {
		for _, m := range members {
			if m.Status().State == raft.Leader && m.Err() == nil {
				found = m
				return true
			}
		}
		return false
	})
	return found
}

func withTimeout(t testing.TB, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// mustPropose resends a command until it has an outcome, as an operator does.
func mustPropose(t testing.TB, m *member, command string) string {
	t.Helper()
	for {
		out, err := m.Propose(withTimeout(t, waitTimeout), []byte(command))
		if err == nil {
			return string(out)
		}
		t.Logf("propose %q at %s: %v", command, m.name, err)
		time.Sleep(retryDelay)
		if m.Err() != nil {
			t.Fatalf("%s: %v", m.name, m.Err())
		}
	}
}

func requireCommands(t testing.TB, members []*member, want []string) {
	t.Helper()
	is := is.New(t)
	for _, m := range members {
		is.NoErr(m.Barrier(withTimeout(t, waitTimeout)))
		is.Equal(m.sm.all(), want)
	}
}

func (m *member) waitDone() {
	m.t.Helper()
	select {
	case <-m.Done():
	case <-time.After(waitTimeout):
		m.t.Fatalf("%s didn't stop", m.name)
	}
}
