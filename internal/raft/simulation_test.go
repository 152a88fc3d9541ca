package raft

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// command is a client's command to the test state machine: increment a key's counter. The
// outcome is the new count, so every later outcome shows a command that ran twice or was
// lost.
type command struct {
	Number uint64
	Key    int
}

// counterMachine is the test's state machine. It remembers outcomes, so a resent command
// doesn't run again.
type counterMachine struct {
	Counts   map[int]int
	Outcomes map[uint64]int
	// Hash covers everything applied so far, in order.
	Hash uint64
}

func newCounterMachine() *counterMachine {
	return &counterMachine{Counts: map[int]int{}, Outcomes: map[uint64]int{}}
}

func (m *counterMachine) apply(e Entry) (command, int) {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, m.Hash, e.Index, e.Kind, string(e.Data))
	m.Hash = h.Sum64()
	var cmd command
	if e.Kind != EntryCommand {
		return cmd, 0
	}
	if json.Unmarshal(e.Data, &cmd) != nil {
		panic("state machine: bad command")
	}
	if outcome, ok := m.Outcomes[cmd.Number]; ok {
		return cmd, outcome
	}
	m.Counts[cmd.Key]++
	m.Outcomes[cmd.Number] = m.Counts[cmd.Key]
	return cmd, m.Counts[cmd.Key]
}

func (m *counterMachine) snapshot(dropOutcomes bool) []byte {
	x := *m
	if dropOutcomes {
		x.Outcomes = map[uint64]int{}
	}
	data, _ := json.Marshal(x)
	return data
}

func restoreCounterMachine(data []byte) *counterMachine {
	m := newCounterMachine()
	if len(data) > 0 && json.Unmarshal(data, m) != nil {
		panic("state machine: bad snapshot")
	}
	return m
}

// disk holds what a replica has synced.
type disk struct {
	id     ID
	stored StoredState
}

func (d *disk) save(r Ready, tail []Entry, forgetVote bool) {
	d.stored.Hard = r.Hard
	if forgetVote {
		d.stored.Hard.Vote = 0
	}
	d.stored.Commit = max(d.stored.Commit, r.Commit)
	if r.Snapshot != nil {
		d.stored.Snapshot = *r.Snapshot
		d.stored.Entries = slices.Clone(tail)
	}
	for _, e := range r.Entries {
		d.put(e)
	}
}

func (d *disk) put(e Entry) {
	first := d.stored.Snapshot.Index + 1
	if e.Index < first || e.Index > first+Index(len(d.stored.Entries)) {
		panic(fmt.Sprintf("disk: entry %d doesn't follow the %d entries from %d", e.Index, len(d.stored.Entries), first))
	}
	d.stored.Entries = append(slices.Clone(d.stored.Entries[:e.Index-first]), e)
}

func (d *disk) copy() disk {
	c := *d
	c.stored.Entries = slices.Clone(d.stored.Entries)
	return c
}

// node is one simulated VM.
type node struct {
	name string
	zone string
	disk disk
	core *Core
	sm   *counterMachine
	up   bool
	// stalledUntil is when a stalled VM resumes. Until then it neither ticks nor
	// receives, but client requests are still handled.
	stalledUntil time.Duration
	clockStart   time.Duration
	// applied is the last entry applied to sm.
	applied       Index
	waiters       map[Index]waiter
	reads         map[uint64]*operation
	releasedReads map[*operation]Index
}

type waiter struct {
	term Term
	op   *operation
}

// environmentFaults break a replica's environment rather than its core.
type environmentFaults struct {
	// forgetVote loses the vote at each sync.
	forgetVote bool
	// lostDiskKeepsID gives a replica whose disk was lost its old ID back.
	lostDiskKeepsID bool
	// dropOutcomes leaves command outcomes out of snapshots.
	dropOutcomes bool
	// consecutiveChanges makes operators request several membership changes in a row.
	consecutiveChanges bool
}

// simulation runs replicas, network and clients, all driven by one seed.
type simulation struct {
	rng       *rand.Rand
	size      clusterSize
	now       time.Duration
	step      int
	nodes     []*node
	inFlight  []Message
	blocked   map[[2]ID]bool
	faults    faults
	envFaults environmentFaults
	// lostDiskID is the ID whose disk was lost and that hasn't been replaced yet.
	lostDiskID ID
	faultFree  bool
	// installs counts snapshots received from a leader.
	installs int

	rates   faultRates
	clients []*client
	checker *checker
	nextID  ID
	nextCmd uint64
}

func newSimulation(seed uint64, size clusterSize, f faults, broken environmentFaults) *simulation {
	w := &simulation{
		rng:     rand.New(rand.NewPCG(seed, uint64(size.voters))),
		size:    size,
		blocked: map[[2]ID]bool{},
		faults:  f, envFaults: broken,
		checker: newChecker(),
	}
	first := w.newNode()
	stored, err := Bootstrap(first.member())
	if err != nil {
		panic(err)
	}
	first.disk.stored = stored
	for range size.voters - 1 {
		w.newNode()
	}
	for _, n := range w.nodes {
		w.start(n)
	}
	for i := range 4 {
		w.clients = append(w.clients, &client{number: i})
	}
	w.addVoters(size.voters)
	w.drawFaultRates()
	return w
}

// addVoters adds all replicas as voters, without faults.
func (w *simulation) addVoters(voters int) {
	w.faultFree = true
	for !w.hasVoters(voters) {
		w.deliver()
		w.tick()
		if l := w.leader(); l != nil {
			w.addNonMember(l)
			w.process(l)
		}
	}
	w.faultFree = false
}

func (w *simulation) hasVoters(voters int) bool {
	for _, n := range w.nodes {
		if len(n.core.Members().Voters()) != voters {
			return false
		}
	}
	return true
}

func (w *simulation) newNode() *node {
	w.nextID++
	n := &node{name: fmt.Sprint("vm", w.nextID), zone: fmt.Sprint("zone", w.nextID%3), disk: disk{id: w.nextID}}
	w.nodes = append(w.nodes, n)
	return n
}

func (n *node) member() Member { return Member{ID: n.disk.id, Name: n.name, Zone: n.zone} }

func (w *simulation) start(n *node) {
	n.up = true
	n.clockStart = w.now - time.Duration(1+w.rng.Int64N(int64(time.Hour)))
	n.sm = restoreCounterMachine(n.disk.stored.Snapshot.Data)
	n.applied = n.disk.stored.Snapshot.Index
	n.waiters = map[Index]waiter{}
	n.reads = map[uint64]*operation{}
	n.releasedReads = map[*operation]Index{}
	cfg := Config{
		ID: n.disk.id, Rand: rand.New(rand.NewPCG(w.rng.Uint64(), 1)),
		ElectionTimeout: 300 * time.Millisecond,
		AppendBytes:     50 + w.rng.IntN(200), ChunkBytes: 150, KeepEntries: 4,
		Voters: w.size.limit(),
	}
	n.core = newCore(cfg, n.disk.copy().stored, w.clock(n), w.faults)
	w.connect(n)
}

func (w *simulation) clock(n *node) time.Duration { return w.now - n.clockStart }

func (w *simulation) crash(n *node) {
	n.up = false
	n.core = nil
}

func (w *simulation) byID(id ID) *node {
	for _, n := range w.nodes {
		if n.disk.id == id {
			return n
		}
	}
	return nil
}

// process sends, saves and applies what the core returns until it returns nothing more.
// The power may fail before and after each save.
func (w *simulation) process(n *node) {
	for n.up {
		r, some := n.core.Ready()
		if !some {
			return
		}
		w.enqueue(r.Early)
		if w.powerFails() {
			w.crash(n)
			return
		}
		n.disk.save(r, n.core.Tail(), w.envFaults.forgetVote)
		if w.powerFails() {
			w.crash(n)
			return
		}
		w.enqueue(r.Messages)
		w.apply(n, r)
		n.core.Advance(r)
		w.checker.afterReady(w, n)
	}
}

func (w *simulation) powerFails() bool { return !w.faultFree && w.rng.IntN(3000) == 0 }

func (w *simulation) apply(n *node, r Ready) {
	if r.Snapshot != nil {
		w.installs++
		n.sm = restoreCounterMachine(r.Snapshot.Data)
		n.applied = r.Snapshot.Index
		w.checker.applied(n, r.Snapshot.Index, r.Snapshot.Term)
	}
	for _, e := range r.Committed {
		if e.Index <= n.applied {
			continue
		}
		if e.Index != n.applied+1 {
			w.checker.fail("%s applies entry %d after entry %d", n.name, e.Index, n.applied)
		}
		cmd, outcome := n.sm.apply(e)
		n.applied = e.Index
		w.checker.applied(n, e.Index, e.Term)
		w.checker.recordCommit(w, e)
		w.answerProposal(n, e, cmd, outcome)
		w.observeMembers(e)
	}
	for _, x := range r.Reads {
		if op, ok := n.reads[x.Context]; ok {
			delete(n.reads, x.Context)
			n.releasedReads[op] = x.Index
		}
	}
	for _, op := range sortedOps(n.releasedReads) {
		if n.releasedReads[op] <= n.applied {
			delete(n.releasedReads, op)
			w.completeOperation(op, n.sm.Counts[op.key])
		}
	}
}

// observeMembers clears lostDiskID once that ID has been removed.
func (w *simulation) observeMembers(e Entry) {
	if e.Kind != EntryMembers {
		return
	}
	m, err := decodeMembers(e)
	if err != nil {
		return
	}
	if m.WasRemoved(w.lostDiskID) {
		w.lostDiskID = 0
	}
	w.checker.voterCount(w, m)
}

func (w *simulation) enqueue(ms []Message) {
	w.inFlight = append(w.inFlight, ms...)
	const most = 400
	if extra := len(w.inFlight) - most; extra > 0 {
		w.inFlight = slices.Clone(w.inFlight[extra:])
	}
}

// deliver delivers one message in random order; it may be duplicated or lost.
func (w *simulation) deliver() {
	if len(w.inFlight) == 0 {
		return
	}
	i := w.rng.IntN(min(len(w.inFlight), 20))
	m := w.inFlight[i]
	if w.faultFree || w.rng.IntN(20) != 0 {
		w.inFlight = slices.Delete(w.inFlight, i, i+1)
	}
	to, from := w.byID(m.To), w.byID(m.From)
	lost := !w.faultFree && w.rng.IntN(25) == 0
	if to != nil && w.now < to.stalledUntil {
		return
	}
	if to == nil || from == nil || !to.up || lost || w.blocked[[2]ID{m.From, m.To}] {
		return
	}
	to.core.Step(w.clock(to), m)
	w.maybeProcess(to)
}

// maybeProcess sometimes leaves work pending, as a busy replica does.
func (w *simulation) maybeProcess(n *node) {
	if w.rng.IntN(4) != 0 {
		w.process(n)
	}
}

func (w *simulation) tick() {
	w.now += time.Duration(w.rng.Int64N(int64(20 * time.Millisecond)))
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if !n.up || w.now < n.stalledUntil {
		return
	}
	n.core.Tick(w.clock(n))
	w.process(n)
}

// leader returns a random replica that considers itself the leader, or nil.
func (w *simulation) leader() *node {
	var found []*node
	for _, n := range w.nodes {
		if n.up && n.core.IsLeader() {
			found = append(found, n)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return found[w.rng.IntN(len(found))]
}

func (w *simulation) partition() {
	clear(w.blocked)
	if w.rng.IntN(2) == 0 {
		return
	}
	side := map[ID]bool{}
	for _, n := range w.nodes {
		side[n.disk.id] = w.rng.IntN(2) == 0
	}
	oneWay := w.rng.IntN(3) == 0
	for _, a := range slices.Sorted(maps.Keys(side)) {
		for b := range side {
			if side[a] != side[b] && !(oneWay && side[a]) {
				w.blocked[[2]ID{a, b}] = true
			}
		}
	}
}

func (w *simulation) takeSnapshot() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if !n.up || n.applied <= n.core.SnapshotIndex() {
		return
	}
	w.process(n)
	if !n.up || n.applied <= n.core.SnapshotIndex() {
		return
	}
	s, err := n.core.Compact(n.applied, n.sm.snapshot(w.envFaults.dropOutcomes))
	if err != nil {
		w.checker.fail("%s: %v", n.name, err)
		return
	}
	n.disk.stored.Snapshot = s
	n.disk.stored.Entries = n.core.Tail()
}
