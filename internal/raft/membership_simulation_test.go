package raft

// clusterSize is the number of voters at the start. If standbys is set, further replicas
// become standbys; otherwise all vote.
type clusterSize struct {
	voters   int
	standbys bool
}

// maxNodes bounds the number of VMs, those that were removed included.
func (s clusterSize) maxNodes() int {
	if s.standbys {
		return s.voters + 4
	}
	return 7
}

// limit returns the number of voters that leaders keep; 0 means all members.
func (s clusterSize) limit() int {
	if !s.standbys {
		return 0
	}
	return s.voters
}

// changeMembership starts a membership change at a leader.
func (w *simulation) changeMembership() {
	l := w.leader()
	if l == nil {
		return
	}
	members := l.core.Members().Members
	switch x := members[w.rng.IntN(len(members))]; {
	case w.lostDiskID != 0:
		w.replaceLostDisk(l)
	case w.size.standbys && w.rng.IntN(3) == 0:
		_, _ = l.core.ReplaceByStandby(x.ID)
	case w.rng.IntN(2) == 0:
		if x.Role != Voter || len(l.core.Members().Voters()) > max(3, w.size.limit()) {
			_, _ = l.core.RemoveMember(x.ID)
		}
	default:
		w.addNonMember(l)
	}
	w.maybeProcess(l)
}

// addNonMember adds a VM that isn't a member.
func (w *simulation) addNonMember(l *node) {
	members := l.core.Members()
	for _, n := range w.nodes {
		if _, ok := members.Find(n.disk.id); !ok && !members.WasRemoved(n.disk.id) {
			_, _ = l.core.AddLearner(n.member())
			return
		}
	}
	if len(w.nodes) < w.size.maxNodes() && !w.faultFree {
		w.start(w.newNode())
	}
}

// loseDisk restarts one VM with an empty disk. A second disk isn't lost before the first
// is replaced, since the cluster doesn't guarantee to survive that.
func (w *simulation) loseDisk() {
	if w.lostDiskID != 0 {
		return
	}
	n, l := w.nodes[w.rng.IntN(len(w.nodes))], w.leader()
	if l == nil || l.core.membersIndex > l.core.log.commit || !l.core.members.isVoter(n.disk.id) {
		return
	}
	if n.up {
		w.crash(n)
	}
	w.lostDiskID = n.disk.id
	w.nextID++
	id := w.nextID
	if w.envFaults.lostDiskKeepsID {
		id = w.lostDiskID
		w.lostDiskID = 0
	}
	n.disk = disk{id: id}
	w.start(n)
}

func (w *simulation) replaceLostDisk(l *node) {
	members := l.core.Members()
	old, ok := members.Find(w.lostDiskID)
	if !ok {
		return
	}
	for _, n := range w.nodes {
		if n.name == old.Name {
			m := n.member()
			m.Replaces = old.ID
			_, _ = l.core.AddLearner(m)
		}
	}
}
