package replica

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/journal"
	"bergamotstall/internal/raft"
)

// maxBatchInputs bounds the messages and requests that one sync covers.
const maxBatchInputs = 512

// transferTimeoutHeartbeats bounds how long a stopping leader waits for another to take
// over, in heartbeats.
const transferTimeoutHeartbeats = 5

// loop owns the core. It handles all pending input before the next sync, so that one sync
// covers many commands.
func (r *Replica) loop() {
	defer close(r.ended)
	defer r.shutDown()
	ticker := time.NewTicker(r.cfg.Heartbeat / 2)
	defer ticker.Stop()
	for {
		select {
		case <-r.wakeTimer():
			r.handlePending()
			r.core.Tick(r.now())
		case id := <-r.connected:
			r.core.PeerConnected(r.now(), id)
		case m := <-r.inbox:
			r.handleFrame(m)
		case q := <-r.requests:
			r.handleRequest(q)
		case b := <-r.barriers:
			r.newBarriers = append(r.newBarriers, b)
		case <-ticker.C:
			r.handlePending()
			r.core.Tick(r.now())
			r.expireReads()
			r.dropAbandonedForwards()
			r.join()
			r.evictSilentMember()
		case <-r.stopping:
			r.transferLeadership(ticker.C)
			return
		}
		r.handlePending()
		if err := r.processReady(); err != nil {
			r.fail(err)
			return
		}
	}
}

// wakeTimer fires when the core needs a tick before the regular one; nil if it doesn't.
func (r *Replica) wakeTimer() <-chan time.Time {
	at, presses := r.core.WakeAt()
	if !presses {
		return nil
	}
	return time.After(at - r.now())
}

// handlePending handles pending input, messages first: after a stall they often include
// the leader's heartbeats, without which a tick would start an election.
func (r *Replica) handlePending() {
	for range maxBatchInputs {
		select {
		case m := <-r.inbox:
			r.handleFrame(m)
			continue
		default:
		}
		select {
		case q := <-r.requests:
			r.handleRequest(q)
		case b := <-r.barriers:
			r.newBarriers = append(r.newBarriers, b)
		default:
			return
		}
	}
}

// processReady carries out all pending work of the core.
func (r *Replica) processReady() error {
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
	r.updateRoles()
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
		batch := journal.Batch{Hard: ready.Hard, Commit: ready.Commit, Entries: append(r.core.Tail(), ready.Entries...)}
		err = r.journal.SaveSnapshot(*ready.Snapshot, batch)
	} else {
		err = r.journal.Save(journal.Batch{Hard: ready.Hard, Commit: ready.Commit, Entries: ready.Entries})
	}
	r.recordSync(time.Since(began), len(ready.Entries))
	return err
}

func (r *Replica) recordSync(took time.Duration, entries int) {
	r.count.syncs.Add(1)
	r.count.syncMicros.Add(took.Microseconds())
	r.count.entries.Add(int64(entries))
	if took > r.cfg.Heartbeat {
		r.count.slowSyncs.Add(1)
		events.Log(r.cfg.Log, events.DiskSlow, logrus.Fields{"took": took.String(), "entries": entries})
	}
}

// apply applies committed commands and replies to whoever proposed them.
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
		r.completeRequest(e, outcome)
	}
	for _, read := range ready.Reads {
		r.recordReadIndex(read)
	}
	if ready.Snapshot != nil || len(ready.Committed) > 0 {
		r.notifyChanged()
	}
	return nil
}

func (r *Replica) install(s *raft.Snapshot) error {
	if err := r.sm.Restore(s.Data); err != nil {
		return errors.Wrap(err, "replica: restore snapshot")
	}
	r.applied = s.Index
	r.failWaiters(func(i raft.Index) bool { return i <= s.Index }, outcomeUnknown(ErrLostLeader))
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
		return errors.Wrap(err, "replica: take snapshot")
	}
	s, err := r.core.Compact(r.applied, data)
	if err != nil {
		return err
	}
	batch := journal.Batch{Hard: r.core.Hard(), Commit: r.applied, Entries: r.core.Tail()}
	if err := r.journal.SaveSnapshot(s, batch); err != nil {
		return err
	}
	r.count.snapshotsTaken.Add(1)
	events.Log(r.cfg.Log, events.SnapshotTaken, logrus.Fields{"index": uint64(s.Index), "bytes": len(data)})
	return nil
}

func (r *Replica) sendAll(ms []raft.Message) {
	for i := range ms {
		r.links.sendRaft(&ms[i])
	}
}

// updateRoles handles a change of leader or membership.
func (r *Replica) updateRoles() {
	if leader := r.core.Leader(); leader != r.leader {
		r.leader = leader
		r.failForwards(leader)
		r.count.leaderChanges.Add(1)
		events.Log(r.cfg.Log, events.LeaderChanged, logrus.Fields{"leader": leader.String(), "term": uint64(r.core.Term())})
	}
	if leads := r.core.IsLeader(); leads != r.wasLeader {
		r.wasLeader = leads
		if !leads {
			r.failWaiters(func(raft.Index) bool { return true }, outcomeUnknown(ErrLostLeader))
		}
	}
	if at := r.core.MembersIndex(); at != r.membersIndex {
		r.membersIndex = at
		events.Log(r.cfg.Log, events.ReplicaMembersChanged, logrus.Fields{"members": describeMembers(r.core.Members())})
	}
}

// fail stops the replica. It sends no more replies, and its contact age rises, so that
// its subscribers switch to another control VM.
func (r *Replica) fail(err error) {
	r.failure.Store(&err)
	r.count.failed.Add(1)
	events.Log(r.cfg.Log, events.ReplicaFailed, logrus.Fields{"error": err.Error()})
}

// transferLeadership lets a stopping leader transfer leadership to another voter.
func (r *Replica) transferLeadership(tick <-chan time.Time) {
	if !r.core.IsLeader() || !r.core.TransferLeadership() {
		return
	}
	deadline := r.now() + transferTimeoutHeartbeats*r.cfg.Heartbeat
	for r.core.IsLeader() && r.now() < deadline {
		if r.processReady() != nil {
			return
		}
		select {
		case m := <-r.inbox:
			r.handleFrame(m)
		case <-tick:
			r.core.Tick(r.now())
			r.core.TransferLeadership()
		}
	}
	_ = r.processReady() // commands committed by the last messages are answered
}

func (r *Replica) shutDown() {
	r.stopOnce.Do(func() { close(r.stopping) })
	reason := ErrClosed
	if r.Err() != nil {
		reason = ErrFailed
	}
	r.failWaiters(func(raft.Index) bool { return true }, outcomeUnknown(reason))
	r.failForwards(0)
	r.failReads(reason)
	r.server.close()
	r.links.close()
	if err := r.journal.Close(); err != nil && r.Err() == nil {
		r.cfg.Log.WithError(err).Warn("replica: close journal")
	}
	events.Log(r.cfg.Log, events.ReplicaStopped, logrus.Fields{"replica": r.ID().String()})
}
