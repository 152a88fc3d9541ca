package replica

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/journal"
	"bergamotstall/internal/raft"
)

// Guards against one sync per command: commands that arrive during a sync must share the
// next one. Otherwise a disk that takes 5 ms per sync would allow only 200 commands a
// second.
func TestOneSyncCoversManyCommands(t *testing.T) {
	is := is.New(t)
	m := newMember(t, newNetwork(), "a")
	m.cfg.Bootstrap, m.cfg.FS = true, &hookDisk{}
	m.start()
	mustPropose(t, m, "before")
	release := m.hangDisk()
	const callers = 64
	var done sync.WaitGroup
	for i := range callers {
		done.Add(1)
		go func() {
			defer done.Done()
			mustPropose(t, m, fmt.Sprint(i))
		}()
	}
	waitFor(t, "callers to queue", func() bool { return len(m.requests) == callers })
	before := m.cfg.Metrics.Value("replica_syncs")
	release()
	done.Wait()
	is.True(m.cfg.Metrics.Value("replica_syncs")-before <= 4) // far less than one per command
}

func benchPropose(b *testing.B, members []*member, callers int) {
	leader := members[0]
	for _, m := range members {
		if m.Status().State == raft.Leader {
			leader = m
		}
	}
	before := leader.cfg.Metrics.Value("replica_syncs")
	work := make(chan int)
	var done sync.WaitGroup
	b.ResetTimer()
	for range callers {
		done.Add(1)
		go func() {
			defer done.Done()
			for i := range work {
				if _, err := leader.Propose(context.Background(), []byte(fmt.Sprint("command ", i))); err != nil {
					b.Error(err)
				}
			}
		}()
	}
	for i := range b.N {
		work <- i
	}
	close(work)
	done.Wait()
	b.ReportMetric(float64(leader.cfg.Metrics.Value("replica_syncs")-before)/float64(b.N), "syncs/op")
}

// BenchmarkPropose measures a command from call to reply on the machine's disk, for one
// caller (one sync each) and for many (group commit).
func BenchmarkPropose(b *testing.B) {
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("replicas=1/callers=%d", callers), func(b *testing.B) {
			m := newMember(b, newNetwork(), "a")
			m.cfg.Bootstrap = true
			m.start()
			mustPropose(b, m, "before")
			benchPropose(b, []*member{m}, callers)
		})
		b.Run(fmt.Sprintf("replicas=3/callers=%d", callers), func(b *testing.B) {
			members := startThree(b, nil)
			mustPropose(b, members[0], "before")
			benchPropose(b, members, callers)
		})
	}
}

// BenchmarkProposeSlowDisk is BenchmarkPropose with 5 ms per sync, as on a network disk.
func BenchmarkProposeSlowDisk(b *testing.B) {
	for _, callers := range []int{1, 128} {
		b.Run(fmt.Sprintf("replicas=3/callers=%d", callers), func(b *testing.B) {
			members := startThree(b, withHooks)
			for _, m := range members {
				m.disk().set(&m.disk().beforeSync, func() error { time.Sleep(5 * time.Millisecond); return nil })
			}
			mustPropose(b, members[0], "before")
			benchPropose(b, members, callers)
		})
	}
}

// BenchmarkFailover measures the time from the leader's sudden loss to the next accepted
// command, with the default timeouts. Run it with -benchtime 30x.
func BenchmarkFailover(b *testing.B) {
	members := startThree(b, func(c *Config) { c.Heartbeat = 0 })
	var took []time.Duration
	for i := range b.N {
		old := leaderOf(b, members)
		mustPropose(b, old, fmt.Sprint("before ", i))
		rest := others(members, old)
		old.net.isolate(old, members, true) // no leadership transfer gets through
		began := time.Now()
		for {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := rest[0].Propose(ctx, []byte(fmt.Sprint("after ", i)))
			cancel()
			if err == nil {
				break
			}
		}
		took = append(took, time.Since(began))
		_ = old.Close()
		old.net.isolate(old, members, false)
		old.start()
		waitForSameCommands(b, members, rest[0])
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(took[len(took)-1].Milliseconds()), "max-ms")
}

func waitForSameCommands(t testing.TB, members []*member, like *member) {
	t.Helper()
	waitFor(t, "equal states", func() bool {
		for _, m := range members {
			if len(m.sm.all()) != len(like.sm.all()) {
				return false
			}
		}
		return true
	})
}

// BenchmarkRestartCatchUp measures the time from a replica's restart until it has applied
// the commands that it missed.
func BenchmarkRestartCatchUp(b *testing.B) {
	for _, missed := range []int{1_000, 100_000} {
		b.Run(fmt.Sprintf("missed=%d", missed), func(b *testing.B) {
			members := startThree(b, func(c *Config) { c.Heartbeat = 0 })
			mustPropose(b, members[0], "first")
			leader := leaderOf(b, members)
			away := others(members, leader)[0]
			for i := range b.N {
				b.StopTimer()
				_ = away.Close()
				proposeMany(b, leader, i, missed)
				b.StartTimer()
				away.start()
				waitForSameCommands(b, []*member{away}, leader)
			}
			b.ReportMetric(float64(away.cfg.Metrics.Value("replica_snapshots_installed")), "snapshots")
		})
	}
}

func proposeMany(t testing.TB, m *member, round, n int) {
	t.Helper()
	var done sync.WaitGroup
	for caller := range 200 {
		done.Add(1)
		go func() {
			defer done.Done()
			for i := caller; i < n; i += 200 {
				mustPropose(t, m, fmt.Sprint("round ", round, " command ", i))
			}
		}()
	}
	done.Wait()
}

// BenchmarkIdleTraffic measures the bytes that the leader and a follower of three idle
// replicas send, with the default heartbeat. One operation is one second.
func BenchmarkIdleTraffic(b *testing.B) {
	members := startThree(b, func(c *Config) { c.Heartbeat = 0 })
	leader := leaderOf(b, members)
	follower := others(members, leader)[0]
	bytes := func(m *member) int64 { return m.cfg.Metrics.Value("replica_bytes_sent") }
	time.Sleep(2 * time.Second) // lets the connections used for joining close
	fromLeader, fromFollower := bytes(leader), bytes(follower)
	b.ResetTimer()
	for range b.N {
		time.Sleep(time.Second)
	}
	b.ReportMetric(float64(bytes(leader)-fromLeader)/b.Elapsed().Seconds(), "leader-B/s")
	b.ReportMetric(float64(bytes(follower)-fromFollower)/b.Elapsed().Seconds(), "follower-B/s")
}

// BenchmarkJournalOpen measures opening a folder with 100,000 commands of 100 bytes each
// in its segments.
func BenchmarkJournalOpen(b *testing.B) {
	const entries, batch = 100_000, 100
	o := journal.Options{FS: journal.Disk{}, Folder: b.TempDir(), NewID: newID}
	j, _, err := journal.Open(o)
	if err != nil {
		b.Fatal(err)
	}
	for at := 1; at <= entries; at += batch {
		var es []raft.Entry
		for i := range batch {
			es = append(es, raft.Entry{Index: raft.Index(at + i), Term: 1, Kind: raft.EntryCommand, Data: make([]byte, 100)})
		}
		if err := j.Save(journal.Batch{Hard: raft.HardState{Term: 1}, Entries: es}); err != nil {
			b.Fatal(err)
		}
	}
	_ = j.Close()
	saved := o.Folder + ".saved"
	if err := os.CopyFS(saved, os.DirFS(o.Folder)); err != nil {
		b.Fatal(err)
	}
	b.ResetTimer()
	for range b.N {
		b.StopTimer()
		_ = os.RemoveAll(o.Folder)
		if err := os.CopyFS(o.Folder, os.DirFS(saved)); err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
		j, stored, err := journal.Open(o)
		if err != nil || len(stored.Entries) != entries {
			b.Fatalf("%d entries: %v", len(stored.Entries), err)
		}
		_ = j.Close()
	}
	b.ReportMetric(entries*float64(b.N)/b.Elapsed().Seconds(), "entries/s")
}
