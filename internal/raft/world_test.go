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

// command is what clients ask of the test's state machine: add one to a key's
// count. The outcome is the new count, so that a command that ran twice or was
// lost shows in every later outcome.
type command struct {
	Number uint64
	Key    int
}

// ledger is the test's state machine. It remembers outcomes, so that a command
// sent again isn't run again.
type ledger struct {
	Counts   map[int]int
	Outcomes map[uint64]int
	// Hash covers all that was applied, in order.
	Hash uint64
}

func newLedger() *ledger { return &ledger{Counts: map[int]int{}, Outcomes: map[uint64]int{}} }

func (l *ledger) apply(e Entry) (command, int) {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, l.Hash, e.Index, e.Kind, string(e.Data))
	l.Hash = h.Sum64()
	var cmd command
	if e.Kind != EntryCommand {
		return cmd, 0
	}
	if json.Unmarshal(e.Data, &cmd) != nil {
		panic("ledger: no command")
	}
	if outcome, ok := l.Outcomes[cmd.Number]; ok {
		return cmd, outcome
	}
	l.Counts[cmd.Key]++
	l.Outcomes[cmd.Number] = l.Counts[cmd.Key]
	return cmd, l.Counts[cmd.Key]
}

func (l *ledger) snapshot(dropOutcomes bool) []byte {
	x := *l
	if dropOutcomes {
		x.Outcomes = map[uint64]int{}
	}
	data, _ := json.Marshal(x)
	return data
}

func restoreLedger(data []byte) *ledger {
	l := newLedger()
	if len(data) > 0 && json.Unmarshal(data, l) != nil {
		panic("ledger: no snapshot")
	}
	return l
}

// disk is what a replica has synced.
type disk struct {
	id     ID
	stored Stored
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
		panic(fmt.Sprintf("disk: entry %d beside %d entries from %d", e.Index, len(d.stored.Entries), first))
	}
	d.stored.Entries = append(slices.Clone(d.stored.Entries[:e.Index-first]), e)
}

func (d *disk) copy() disk {
	c := *d
	c.stored.Entries = slices.Clone(d.stored.Entries)
	return c
}

// node is one VM.
type node struct {
	name string
	disk disk
	core *Core
	sm   *ledger
	up   bool
	// stalled is when a stalled VM goes on; until then it neither ticks nor
	// receives, but what a client had sent it is handled first.
	stalled time.Duration
	begun   time.Duration
	// applied is the last entry in sm.
	applied Index
	waiters map[Index]waiter
	reads   map[uint64]*operation
	ready   map[*operation]Index
}

type waiter struct {
	term Term
	op   *operation
}

// worldFaults break a replica's surroundings rather than its core.
type worldFaults struct {
	// forgetVote loses the vote at each sync.
	forgetVote bool
	// wipeKeepsID gives a replica with a lost disk its old identity back.
	wipeKeepsID bool
	// dropOutcomes leaves command outcomes out of snapshots.
	dropOutcomes bool
	// hasty operators ask for several membership changes in a row.
	hasty bool
}

// world runs replicas, network and clients from one seed.
type world struct {
	rng    *rand.Rand
	now    time.Duration
	step   int
	nodes  []*node
	flight []Message
	cut    map[[2]ID]bool
	faults faults
	broken worldFaults
	// wiped is the identity whose disk was lost and that wasn't replaced yet.
	wiped ID
	quiet bool
	// installs counts snapshots that came from a leader.
	installs int

	profile profile
	clients []*client
	check   *checker
	nextID  ID
	nextCmd uint64
}

func newWorld(seed uint64, voters int, f faults, broken worldFaults) *world {
	w := &world{
		rng:    rand.New(rand.NewPCG(seed, uint64(voters))),
		cut:    map[[2]ID]bool{},
		faults: f, broken: broken,
		check: newChecker(),
	}
	first := w.newNode()
	stored, err := Bootstrap(Member{ID: first.disk.id, Name: first.name})
	if err != nil {
		panic(err)
	}
	first.disk.stored = stored
	for range voters - 1 {
		w.newNode()
	}
	for _, n := range w.nodes {
		w.start(n)
	}
	for i := range 4 {
		w.clients = append(w.clients, &client{number: i})
	}
	w.grow(voters)
	w.drawProfile()
	return w
}

// grow lets all replicas join in calm.
func (w *world) grow(voters int) {
	w.quiet = true
	for !w.hasVoters(voters) {
		w.deliver()
		w.tick()
		if l := w.leader(); l != nil {
			w.addSpare(l)
			w.process(l)
		}
	}
	w.quiet = false
}

func (w *world) hasVoters(voters int) bool {
	for _, n := range w.nodes {
		if len(n.core.Members().Voters()) != voters {
			return false
		}
	}
	return true
}

func (w *world) newNode() *node {
	w.nextID++
	n := &node{name: fmt.Sprint("vm", w.nextID), disk: disk{id: w.nextID}}
	w.nodes = append(w.nodes, n)
	return n
}

func (w *world) start(n *node) {
	n.up = true
	n.begun = w.now - time.Duration(1+w.rng.Int64N(int64(time.Hour)))
	n.sm = restoreLedger(n.disk.stored.Snapshot.Data)
	n.applied = n.disk.stored.Snapshot.Index
	n.waiters = map[Index]waiter{}
	n.reads = map[uint64]*operation{}
	n.ready = map[*operation]Index{}
	cfg := Config{
		ID: n.disk.id, Rand: rand.New(rand.NewPCG(w.rng.Uint64(), 1)),
		ElectionTimeout: 300 * time.Millisecond,
		AppendBytes:     50 + w.rng.IntN(200), ChunkBytes: 150, KeepEntries: 4,
	}
	n.core = newCore(cfg, n.disk.copy().stored, w.clock(n), w.faults)
	w.connect(n)
}

func (w *world) clock(n *node) time.Duration { return w.now - n.begun }

func (w *world) crash(n *node) {
	n.up = false
	n.core = nil
}

func (w *world) byID(id ID) *node {
	for _, n := range w.nodes {
		if n.disk.id == id {
			return n
		}
	}
	return nil
}

// process carries out the core's work; the power may fail between any two
// parts of it.
func (w *world) process(n *node) {
	for n.up {
		r, some := n.core.Ready()
		if !some {
			return
		}
		w.post(r.Early)
		if w.powerFails() {
			w.crash(n)
			return
		}
		n.disk.save(r, n.core.Tail(), w.broken.forgetVote)
		if w.powerFails() {
			w.crash(n)
			return
		}
		w.post(r.Messages)
		w.apply(n, r)
		n.core.Advance(r)
		w.check.afterReady(w, n)
	}
}

func (w *world) powerFails() bool { return !w.quiet && w.rng.IntN(3000) == 0 }

func (w *world) apply(n *node, r Ready) {
	if r.Snapshot != nil {
		w.installs++
		n.sm = restoreLedger(r.Snapshot.Data)
		n.applied = r.Snapshot.Index
		w.check.applied(n, r.Snapshot.Index, r.Snapshot.Term)
	}
	for _, e := range r.Committed {
		if e.Index <= n.applied {
			continue
		}
		if e.Index != n.applied+1 {
			w.check.fail("%s applies %d after %d", n.name, e.Index, n.applied)
		}
		cmd, outcome := n.sm.apply(e)
		n.applied = e.Index
		w.check.applied(n, e.Index, e.Term)
		w.check.committedIn(w, e)
		w.settle(n, e, cmd, outcome)
		w.noteMembers(e)
	}
	for _, x := range r.Reads {
		if op, ok := n.reads[x.Context]; ok {
			delete(n.reads, x.Context)
			n.ready[op] = x.Index
		}
	}
	for _, op := range sortedOps(n.ready) {
		if n.ready[op] <= n.applied {
			delete(n.ready, op)
			w.finish(op, n.sm.Counts[op.key])
		}
	}
}

// noteMembers sees when a lost disk's identity is removed for good.
func (w *world) noteMembers(e Entry) {
	if e.Kind != EntryMembers {
		return
	}
	if m, err := decodeMembers(e); err == nil && m.WasRemoved(w.wiped) {
		w.wiped = 0
	}
}

func (w *world) post(ms []Message) {
	w.flight = append(w.flight, ms...)
	const most = 400
	if extra := len(w.flight) - most; extra > 0 {
		w.flight = slices.Clone(w.flight[extra:])
	}
}

// deliver hands one message of those under way to its receiver, in any order,
// perhaps twice, perhaps never.
func (w *world) deliver() {
	if len(w.flight) == 0 {
		return
	}
	i := w.rng.IntN(min(len(w.flight), 20))
	m := w.flight[i]
	if w.quiet || w.rng.IntN(20) != 0 {
		w.flight = slices.Delete(w.flight, i, i+1)
	}
	to, from := w.byID(m.To), w.byID(m.From)
	lost := !w.quiet && w.rng.IntN(25) == 0
	if to != nil && w.now < to.stalled {
		return
	}
	if to == nil || from == nil || !to.up || lost || w.cut[[2]ID{m.From, m.To}] {
		return
	}
	to.core.Step(w.clock(to), m)
	w.maybeProcess(to)
}

// maybeProcess leaves some work to gather, as a busy replica does.
func (w *world) maybeProcess(n *node) {
	if w.rng.IntN(4) != 0 {
		w.process(n)
	}
}

func (w *world) tick() {
	w.now += time.Duration(w.rng.Int64N(int64(20 * time.Millisecond)))
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if !n.up || w.now < n.stalled {
		return
	}
	n.core.Tick(w.clock(n))
	w.process(n)
}

// leader returns a replica that thinks it leads, if there is one.
func (w *world) leader() *node {
	var found []*node
	for _, n := range w.nodes {
		if n.up && n.core.Leads() {
			found = append(found, n)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return found[w.rng.IntN(len(found))]
}

func (w *world) partition() {
	clear(w.cut)
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
				w.cut[[2]ID{a, b}] = true
			}
		}
	}
}

func (w *world) takeSnapshot() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if !n.up || n.applied <= n.core.SnapshotIndex() {
		return
	}
	w.process(n)
	if !n.up || n.applied <= n.core.SnapshotIndex() {
		return
	}
	s, err := n.core.Compact(n.applied, n.sm.snapshot(w.broken.dropOutcomes))
	if err != nil {
		w.check.fail("%s: %v", n.name, err)
		return
	}
	n.disk.stored.Snapshot = s
	n.disk.stored.Entries = n.core.Tail()
}

// change begins a membership change at a leader.
func (w *world) change() {
	l := w.leader()
	if l == nil {
		return
	}
	members := l.core.Members().Members
	switch x := members[w.rng.IntN(len(members))]; {
	case w.wiped != 0:
		w.replaceWiped(l)
	case w.rng.IntN(2) == 0:
		if x.Role == Learner || len(l.core.Members().Voters()) > 3 {
			_, _ = l.core.RemoveMember(x.ID)
		}
	default:
		w.addSpare(l)
	}
	w.maybeProcess(l)
}

// addSpare lets a VM that is no member join.
func (w *world) addSpare(l *node) {
	members := l.core.Members()
	for _, n := range w.nodes {
		if _, ok := members.Find(n.disk.id); !ok && !members.WasRemoved(n.disk.id) {
			_, _ = l.core.AddLearner(Member{ID: n.disk.id, Name: n.name})
			return
		}
	}
	if len(w.nodes) < 7 && !w.quiet {
		w.start(w.newNode())
	}
}

// wipe loses one VM's disk; the VM comes back with an empty one. A second disk
// isn't lost before the first is replaced: that would be more than is promised.
func (w *world) wipe() {
	if w.wiped != 0 {
		return
	}
	n, l := w.nodes[w.rng.IntN(len(w.nodes))], w.leader()
	if l == nil || l.core.membersIndex > l.core.log.commit || !l.core.members.isVoter(n.disk.id) {
		return
	}
	if n.up {
		w.crash(n)
	}
	w.wiped = n.disk.id
	w.nextID++
	id := w.nextID
	if w.broken.wipeKeepsID {
		id = w.wiped
		w.wiped = 0
	}
	n.disk = disk{id: id}
	w.start(n)
}

func (w *world) replaceWiped(l *node) {
	members := l.core.Members()
	old, ok := members.Find(w.wiped)
	if !ok {
		return
	}
	for _, n := range w.nodes {
		if n.name == old.Name {
			_, _ = l.core.AddLearner(Member{ID: n.disk.id, Name: n.name, Replaces: old.ID})
		}
	}
}
