package replica

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/journal"
	"bergamotstall/internal/raft"
)

// maxBatch bounds how much input one sync covers.
const maxBatch = 512

// handOverPatience bounds how long a stopping leader waits to be followed.
const handOverPatience = 5

// loop owns the core. All input that waits is taken before the next sync, so
// that one sync covers many commands.
func (r *Replica) loop() {
	defer close(r.ended)
	defer r.shutDown()
	ticker := time.NewTicker(r.cfg.Heartbeat / 2)
	defer ticker.Stop()
	for {
		select {
		case <-r.soon():
			r.drain()
			r.core.Tick(r.now())
		case id := <-r.met:
			r.core.PeerConnected(r.now(), id)
		case m := <-r.inbox:
			r.receive(m)
		case q := <-r.requests:
			r.take(q)
		case b := <-r.barriers:
			r.fresh = append(r.fresh, b)
		case <-ticker.C:
			r.drain()
			r.core.Tick(r.now())
			r.expireReads()
			r.dropForwards()
			r.join()
			r.upkeep()
		case <-r.stopping:
			r.handOver(ticker.C)
			return
		}
		r.drain()
		if err := r.process(); err != nil {
			r.fail(err)
			return
		}
	}
}

// soon ends when the core has something to do that doesn't wait for a tick; nil,
// and so never, if nothing presses.
func (r *Replica) soon() <-chan time.Time {
	at, presses := r.core.WakeAt()
	if !presses {
		return nil
	}
	return time.After(at - r.now())
}

// drain takes what waits, messages first: after a stall they often hold the
// leader's heartbeats, and without them a tick would begin an election.
func (r *Replica) drain() {
	for range maxBatch {
		select {
		case m := <-r.inbox:
			r.receive(m)
			continue
		default:
		}
		select {
		case q := <-r.requests:
			r.take(q)
		case b := <-r.barriers:
			r.fresh = append(r.fresh, b)
		default:
			return
		}
	}
}

// process carries out all work of the core.
func (r *Replica) process() error {
	r.startReads()
	for {
		ready, some := r.core.Ready()
		if !some {
			break
		}
		r.sendAll(ready.Early)
		if err := r.persist(ready); err != nil {
			return err
		}
		r.sendAll(ready.Messages)
		if err := r.apply(ready); err != nil {
			return err
		}
		r.core.Advance(ready)
		if err := r.maybeSnapshot(); err != nil {
			return err
		}
	}
	r.noteRoles()
	r.finishReads()
	r.publish()
	return r.core.Err()
}

func (r *Replica) persist(ready raft.Ready) error {
	if !ready.Sync() {
		return nil
	}
	began := time.Now()
	var err error
	if ready.Snapshot != nil {
		whole := journal.Batch{Hard: ready.Hard, Commit: ready.Commit, Entries: append(r.core.Tail(), ready.Entries...)}
		err = r.journal.SaveSnapshot(*ready.Snapshot, whole)
	} else {
		err = r.journal.Save(journal.Batch{Hard: ready.Hard, Commit: ready.Commit, Entries: ready.Entries})
	}
	r.noteSync(time.Since(began), len(ready.Entries))
	return err
}

func (r *Replica) noteSync(took time.Duration, entries int) {
	r.count.syncs.Add(1)
	r.count.syncMicros.Add(took.Microseconds())
	r.count.entries.Add(int64(entries))
	if took > r.cfg.Heartbeat {
		r.count.slowSyncs.Add(1)
		events.Log(r.cfg.Log, events.DiskSlow, logrus.Fields{"took": took.String(), "entries": entries})
	}
}

// apply runs committed commands and answers whoever proposed them.
func (r *Replica) apply(ready raft.Ready) error {
	if ready.Snapshot != nil {
		if err := r.install(ready.Snapshot); err != nil {
			return err
		}
	}
	for _, e := range ready.Committed {
		if e.Index <= r.applied {
			continue
		}
		var outcome []byte
		if e.Kind == raft.EntryCommand {
			outcome = r.sm.Apply(uint64(e.Index), e.Data)
			r.count.applied.Add(1)
		}
		r.applied = e.Index
		r.settle(e, outcome)
	}
	for _, read := range ready.Reads {
		r.releaseRead(read)
	}
	if ready.Snapshot != nil || len(ready.Committed) > 0 {
		r.noteChange()
	}
	return nil
}

func (r *Replica) install(s *raft.Snapshot) error {
	if err := r.sm.Restore(s.Data); err != nil {
		return errors.Wrap(err, "replica: restore snapshot")
	}
	r.applied = s.Index
	r.failWaiters(func(i raft.Index) bool { return i <= s.Index }, unknown(ErrLostLeader))
	r.count.snapshotsInstalled.Add(1)
	events.Log(r.cfg.Log, events.SnapshotInstalled, logrus.Fields{"index": uint64(s.Index), "bytes": len(s.Data)})
	return nil
}

func (r *Replica) maybeSnapshot() error {
	if r.applied < r.core.SnapshotIndex()+raft.Index(r.cfg.SnapshotEvery) {
		return nil
	}
	data, err := r.sm.Snapshot()
	if err != nil {
		return errors.Wrap(err, "replica: snapshot")
	}
	s, err := r.core.Compact(r.applied, data)
	if err != nil {
		return err
	}
	whole := journal.Batch{Hard: r.core.Hard(), Commit: r.applied, Entries: r.core.Tail()}
	if err := r.journal.SaveSnapshot(s, whole); err != nil {
		return err
	}
	r.count.snapshotsTaken.Add(1)
	events.Log(r.cfg.Log, events.SnapshotTaken, logrus.Fields{"index": uint64(s.Index), "bytes": len(data)})
	return nil
}

func (r *Replica) sendAll(ms []raft.Message) {
	for i := range ms {
		r.links.sendQuorum(&ms[i])
	}
}

// noteRoles reacts to a change of leader or membership.
func (r *Replica) noteRoles() {
	if leader := r.core.Leader(); leader != r.leader {
		r.leader = leader
		r.failForwards(leader)
		r.count.leaderChanges.Add(1)
		events.Log(r.cfg.Log, events.LeaderChanged, logrus.Fields{"leader": leader.String(), "term": uint64(r.core.Term())})
	}
	if leads := r.core.IsLeader(); leads != r.leading {
		r.leading = leads
		if !leads {
			r.failWaiters(func(raft.Index) bool { return true }, unknown(ErrLostLeader))
		}
	}
	if at := r.core.MembersIndex(); at != r.members {
		r.members = at
		events.Log(r.cfg.Log, events.ReplicaMembersChanged, logrus.Fields{"members": describe(r.core.Members())})
	}
}

// fail ends the replica's part. It answers nothing more; its contact age rises,
// so that subscribers leave it.
func (r *Replica) fail(err error) {
	r.failure.Store(&err)
	r.count.failed.Add(1)
	events.Log(r.cfg.Log, events.ReplicaFailed, logrus.Fields{"error": err.Error()})
}

// handOver lets a stopping leader pass the lead on.
func (r *Replica) handOver(tick <-chan time.Time) {
	if !r.core.IsLeader() || !r.core.TransferLeadership() {
		return
	}
	deadline := r.now() + handOverPatience*r.cfg.Heartbeat
	for r.core.IsLeader() && r.now() < deadline {
		if r.process() != nil {
			return
		}
		select {
		case m := <-r.inbox:
			r.receive(m)
		case <-tick:
			r.core.Tick(r.now())
		}
	}
	_ = r.process() // the answer that ends this lead may hold others
}

func (r *Replica) shutDown() {
	r.stopOnce.Do(func() { close(r.stopping) })
	reason := ErrClosed
	if r.Err() != nil {
		reason = ErrFailed
	}
	r.failWaiters(func(raft.Index) bool { return true }, unknown(reason))
	r.failForwards(0)
	r.failReads(reason)
	r.server.close()
	r.links.close()
	if err := r.journal.Close(); err != nil && r.Err() == nil {
		r.cfg.Log.WithError(err).Warn("replica: close journal")
	}
	events.Log(r.cfg.Log, events.ReplicaStopped, logrus.Fields{"replica": r.ID().String()})
}
