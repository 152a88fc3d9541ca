package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/metrics"
	"bergamotstall/internal/passthrough/route"
	"bergamotstall/internal/raft"
)

const testTimeout = 30 * time.Second

func start(t *testing.T, net byte, n int) []*Control {
	t.Helper()
	vms, _ := startIn(t, t.TempDir(), net, n, nil)
	return vms
}

// startIn starts control VMs with their disks under a folder; stop ends them all. now is
// their time of day, nil for the machine's.
func startIn(t *testing.T, folder string, net byte, n int, now func() time.Time) (vms []*Control, stop func()) {
	t.Helper()
	vms, stops := startEach(t, folder, net, n, now)
	return vms, func() {
		for _, end := range stops {
			end()
		}
	}
}

// startEach is startIn with a function for each VM that ends it.
func startEach(t *testing.T, folder string, net byte, n int, now func() time.Time) (vms []*Control, stops []func()) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	seeds := []string{}
	for i := range n {
		seeds = append(seeds, fmt.Sprintf("127.%d.1.%d", net, i+1))
	}
	for i := range n {
		c := New(Config{
			Name: fmt.Sprint("control-", i+1), IP: netip.MustParseAddr(seeds[i]), Folder: filepath.Join(folder, fmt.Sprint(i)),
			ReplicaPort: 7941, StreamPort: 7942, Seeds: func() []string { return seeds }, Bootstrap: true, FaultTolerance: 1,
			ResendWindow: time.Second, Now: now, Log: log, Metrics: metrics.New(),
		})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- c.Run(ctx) }()
		stop := sync.OnceFunc(func() {
			cancel()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
		t.Cleanup(stop)
		vms, stops = append(vms, c), append(stops, stop)
	}
	return vms, stops
}

func definition(v route.Version) *route.Definition {
	return &route.Definition{Version: v, Document: []byte(fmt.Sprintf(`{"version":%d}`, v))}
}

// eventually repeats an operator's request until it is acknowledged.
func eventually(t *testing.T, do func() error) {
	t.Helper()
	var err error
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if err = do(); err == nil {
			return
		}
	}
	t.Fatal(err)
}

// Guards against several clusters, or none, when all seeds start at once. Operators at
// any VM must then read the highest version, and an invalid definition must change
// nothing.
func TestSeedsFormOneCluster(t *testing.T) {
	is := is.New(t)
	vms := start(t, 51, 3)
	eventually(t, func() error { return vms[2].Put(t.Context(), definition(5)) })
	eventually(t, func() error {
		if n := len(vms[0].Controls()); n != 3 {
			return fmt.Errorf("%d control VMs", n)
		}
		return nil
	})
	for _, c := range vms {
		eventually(t, func() error {
			document, err := c.Get(t.Context())
			if err == nil && string(document) != `{"version":5}` {
				t.Errorf("read back %s", document)
			}
			return err
		})
	}
	is.NoErr(vms[1].Put(t.Context(), definition(3))) // acknowledged; changes nothing
	bad := definition(9)
	bad.Routes = []route.Route{{Name: "r", TimeoutMS: 0}}
	is.True(errors.Is(vms[0].Put(t.Context(), bad), route.ErrNoTimeout))
	document, err := vms[0].Get(t.Context())
	is.NoErr(err)
	is.Equal(string(document), `{"version":5}`)
}

// Guards against a VM without a quorum that answers reads or writes as current: its state
// may be old, and its writes may never be committed.
func TestMinorityIsUnavailable(t *testing.T) {
	is := is.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := New(Config{
		Name: "control-2", IP: netip.MustParseAddr("127.52.1.2"), Folder: t.TempDir(), ReplicaPort: 7941, StreamPort: 7942,
		Seeds: func() []string { return []string{"127.52.1.1", "127.52.1.2"} }, Bootstrap: true, Log: log, Metrics: metrics.New(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	began := time.Now()
	_, err := c.Get(t.Context())
	is.True(errors.Is(err, ErrUnavailable))
	is.True(errors.Is(c.Put(t.Context(), definition(5)), ErrUnavailable))
	is.True(time.Since(began) < testTimeout)
	cancel()
	is.NoErr(<-ended)
}

// Guards against a control VM that stays without a replica after its replica ended, for
// example on a full disk. The process must reopen it from the folder, and operators must
// read what was accepted.
func TestFailedReplicaIsReopened(t *testing.T) {
	vms := start(t, 53, 1)
	c := vms[0]
	eventually(t, func() error { return c.Put(t.Context(), definition(5)) })
	first := c.replica.Load()
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	eventually(t, func() error {
		if c.replica.Load() == first {
			return errors.New("not reopened")
		}
		_, err := c.Get(t.Context())
		return err
	})
}

// countRole counts the members with a role, as a VM sees them.
func (c *Control) countRole(role raft.Role) int {
	n := 0
	if r := c.replica.Load(); r != nil {
		for _, m := range r.Status().Members {
			if m.Role == role {
				n++
			}
		}
	}
	return n
}

// votes reports whether a VM is a voter, as it sees it.
func (c *Control) votes() bool {
	r := c.replica.Load()
	return r != nil && slices.ContainsFunc(r.Status().Members, func(m raft.MemberStatus) bool {
		return m.ID == r.ID() && m.Role == raft.Voter
	})
}

// Guards against the end of control when two of three voters are gone right after each other:
// the first as planned and for good, beside a standby that could have replaced it.
func TestStoppedVMHandsOverItsVote(t *testing.T) {
	vms, stops := startEach(t, t.TempDir(), 60, 4, nil)
	eventually(t, func() error {
		for _, c := range vms {
			if v, s := c.countRole(raft.Voter), c.countRole(raft.Standby); v != 3 || s != 1 {
				return fmt.Errorf("%d voters, %d standbys", v, s)
			}
		}
		return vms[0].Put(t.Context(), definition(5))
	})
	var stopped int
	var left *Control
	for i, c := range vms {
		if c.votes() && stopped < 2 {
			stops[i]()
			stopped++
		} else {
			left = c
		}
	}
	eventually(t, func() error { return left.Put(t.Context(), definition(7)) })
}

// Guards against a VM that can't rejoin because it kept the folder of a removed replica.
// After any other failure the folder must be kept.
func TestFolderOfRemovedReplicaIsMovedAside(t *testing.T) {
	is := is.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := New(Config{Folder: t.TempDir(), Log: log, Metrics: metrics.New()})
	keep := func() { is.NoErr(os.MkdirAll(c.folder(), 0o700)) }
	keep()
	c.handleFailure(errors.New("disk full"))
	_, err := os.Stat(c.folder())
	is.NoErr(err)
	for range 2 { // also if an older .aside folder exists
		keep()
		c.handleFailure(raft.ErrRemoved)
		_, err = os.Stat(c.folder())
		is.True(os.IsNotExist(err))
	}
}
