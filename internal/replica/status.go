package replica

import (
	"expvar"
	"time"

	"bergamotstall/internal/metrics"
	"bergamotstall/internal/raft"
)

// Status is one replica's view of the cluster.
type Status struct {
	raft.Status
	// Cluster is the cluster's ID; 0 until the replica has joined one.
	Cluster uint64
	Name    string
	// PendingReplacements lists new replicas that have the name of a member and wait for
	// an operator to replace that member. Only the leader knows them.
	PendingReplacements []raft.Member
}

// Lag returns how many entries a member lacks, as the leader knows it.
func (s Status) Lag(m raft.MemberStatus) uint64 {
	if m.Match >= s.Last {
		return 0
	}
	return uint64(s.Last - m.Match)
}

// Status returns the view after the loop's last iteration. It doesn't block, even while
// the disk hangs.
func (r *Replica) Status() Status { return *r.status.Load() }

// publish makes the loop's view available to other goroutines.
func (r *Replica) publish() {
	s := &Status{Status: r.core.Status(), Cluster: r.cluster.Load(), Name: r.cfg.Name}
	s.Applied = r.applied
	for _, w := range r.replacements {
		s.PendingReplacements = append(s.PendingReplacements, w.member)
	}
	r.status.Store(s)
	if at, ok := r.core.ContactAt(); ok {
		r.contactAt.Store(int64(at))
	}
}

// counters holds the replica's metrics.
type counters struct {
	applied, entries, syncs, syncMicros, slowSyncs              *expvar.Int
	refusedBusy, refusedLarge, refusedNoLeader, refusedByCore   *expvar.Int
	retries, unknown, forwarded                                 *expvar.Int
	reads, readsRetried, readsTimedOut                          *expvar.Int
	snapshotsTaken, snapshotsInstalled                          *expvar.Int
	leaderChanges, failed, joinsRefused                         *expvar.Int
	sent, received, bytesSent, dropped, connections, reconnects *expvar.Int
	peersRefused                                                *expvar.Int
}

func newCounters(s *metrics.Set) counters {
	return counters{
		applied:            s.Counter("replica_commands_applied"),
		entries:            s.Counter("replica_entries_synced"),
		syncs:              s.Counter("replica_syncs"),
		syncMicros:         s.Counter("replica_sync_microseconds"),
		slowSyncs:          s.Counter("replica_syncs_slow"),
		refusedBusy:        s.Counter("replica_refused_queue_full"),
		refusedLarge:       s.Counter("replica_refused_too_large"),
		refusedNoLeader:    s.Counter("replica_refused_no_leader"),
		refusedByCore:      s.Counter("replica_refused_by_leader"),
		retries:            s.Counter("replica_retries_not_run"),
		unknown:            s.Counter("replica_outcomes_unknown"),
		forwarded:          s.Counter("replica_forwarded"),
		reads:              s.Counter("replica_reads"),
		readsRetried:       s.Counter("replica_reads_retried"),
		readsTimedOut:      s.Counter("replica_reads_timed_out"),
		snapshotsTaken:     s.Counter("replica_snapshots_taken"),
		snapshotsInstalled: s.Counter("replica_snapshots_installed"),
		leaderChanges:      s.Counter("replica_leader_changes"),
		failed:             s.Counter("replica_failed"),
		joinsRefused:       s.Counter("replica_joins_refused"),
		sent:               s.Counter("replica_frames_sent"),
		received:           s.Counter("replica_frames_received"),
		bytesSent:          s.Counter("replica_bytes_sent"),
		dropped:            s.Counter("replica_frames_dropped"),
		connections:        s.Counter("replica_connections"),
		reconnects:         s.Counter("replica_reconnects"),
		peersRefused:       s.Counter("replica_peers_refused"),
	}
}

// countVoters counts the voters for which the predicate holds, in this replica's view.
func (r *Replica) countVoters(which func(raft.ID) bool) int {
	n := 0
	for _, m := range r.status.Load().Members {
		if m.Role == raft.Voter && which(m.ID) {
			n++
		}
	}
	return n
}

func (r *Replica) registerGauges() {
	m := r.cfg.Metrics
	m.Gauge("replica_term", func() int64 { return int64(r.status.Load().Term) })
	m.Gauge("replica_commit", func() int64 { return int64(r.status.Load().Commit) })
	m.Gauge("replica_applied", func() int64 { return int64(r.status.Load().Applied) })
	m.Gauge("replica_votes", func() int64 { return int64(r.countVoters(func(m raft.ID) bool { return m == r.ID() })) })
	m.Gauge("replica_voters", func() int64 { return int64(r.countVoters(func(raft.ID) bool { return true })) })
	m.Gauge("replica_contact_age_milliseconds", func() int64 { return int64(r.ContactAge() / time.Millisecond) })
	m.Text("replica_state", func() string { return r.status.Load().State.String() })
	m.Text("replica_leader", func() string { return r.status.Load().Leader.String() })
}
