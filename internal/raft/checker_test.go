package raft

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// checker checks the invariants of one simulation run.
type checker struct {
	leaders map[Term]ID
	// terms and hashes are the entry's term and the state hash when an index was first
	// applied.
	terms  map[Index]Term
	hashes map[Index]uint64
	// firstCommit is when an entry of a term was first applied on any replica.
	firstCommit map[Term]time.Duration
	history     map[int][]porcupine.Operation
	notRun      map[uint64]bool
	failure     string
	leadTerms   map[ID]Term
}

func newChecker() *checker {
	return &checker{
		leaders:     map[Term]ID{},
		terms:       map[Index]Term{},
		hashes:      map[Index]uint64{},
		firstCommit: map[Term]time.Duration{},
		history:     map[int][]porcupine.Operation{},
		notRun:      map[uint64]bool{},
		leadTerms:   map[ID]Term{},
	}
}

func (k *checker) fail(format string, args ...any) {
	if k.failure == "" {
		k.failure = fmt.Sprintf(format, args...)
	}
}

func (k *checker) record(op *operation, outcome, returned int) {
	k.history[op.key] = append(k.history[op.key], porcupine.Operation{
		ClientId: op.client, Input: *op, Output: outcome,
		Call: int64(op.calledStep), Return: int64(returned),
	})
}

// applied checks that all replicas apply the same sequence, and have the same state after
// each index.
func (k *checker) applied(n *node, i Index, t Term) {
	if have, ok := k.terms[i]; !ok {
		k.terms[i] = t
		k.hashes[i] = n.sm.Hash
	} else if have != t {
		k.fail("one sequence: %s applies term %d at index %d, another applied term %d", n.name, t, i, have)
	}
	if k.hashes[i] != n.sm.Hash {
		k.fail("state equality: %s differs at index %d", n.name, i)
	}
}

func (k *checker) recordCommit(w *simulation, e Entry) {
	if _, ok := k.firstCommit[e.Term]; !ok {
		k.firstCommit[e.Term] = w.now
	}
}

// voterCount checks that there is at most one voter more than the leaders keep.
func (k *checker) voterCount(w *simulation, m Membership) {
	if limit, n := w.size.limit(), len(m.Voters()); limit > 0 && n > limit+1 {
		k.fail("number of voters: %d, for a limit of %d", n, limit)
	}
}

func (k *checker) afterReady(w *simulation, n *node) {
	k.electionSafety(n)
	k.contactAge(w, n)
}

// electionSafety checks that a term has one leader, and that a new leader has all
// committed entries.
func (k *checker) electionSafety(n *node) {
	if !n.core.IsLeader() {
		return
	}
	t, id := n.core.Term(), n.disk.id
	if other, ok := k.leaders[t]; ok && other != id {
		k.fail("election safety: %s and %s lead term %d", other, id, t)
	}
	k.leaders[t] = id
	if k.leadTerms[id] == t {
		return
	}
	k.leadTerms[id] = t
	for i, want := range k.terms {
		if i <= n.core.log.offset {
			continue
		}
		if have, ok := n.core.log.term(i); !ok || have != want {
			k.fail("committed entries kept: leader %s of term %d lacks entry %d of term %d", id, t, i, want)
		}
	}
}

// contactAge checks that a replica never reports contact with a quorum at a time after
// that quorum followed a later leader.
func (k *checker) contactAge(w *simulation, n *node) {
	at, ok := n.core.ContactAt()
	if !ok {
		return
	}
	claimed := at + n.clockStart
	for t, first := range k.firstCommit {
		if t > n.core.Term() && first < claimed {
			k.fail("contact age: %s of term %d claims contact at %v, term %d committed at %v", n.name, n.core.Term(), claimed, t, first)
		}
	}
}

// logMatching checks that logs which agree at one index agree at all earlier ones.
func (k *checker) logMatching(w *simulation) {
	for i, a := range w.nodes {
		for _, b := range w.nodes[i+1:] {
			if a.up && b.up {
				k.matchPair(a, b)
			}
		}
	}
}

func (k *checker) matchPair(a, b *node) {
	la, lb := &a.core.log, &b.core.log
	low, high := max(la.offset, lb.offset), min(la.last(), lb.last())
	agreed := false
	for i := high; i > low; i-- {
		ta, _ := la.term(i)
		tb, _ := lb.term(i)
		if ta == tb {
			agreed = true
		} else if agreed {
			k.fail("log matching: %s and %s differ at %d and agree after it", a.name, b.name, i)
		}
	}
}

// checkHistory checks the replies that clients received.
func (k *checker) checkHistory(w *simulation) {
	for _, c := range w.clients {
		if c.op != nil && c.op.number != 0 {
			k.record(c.op, unknownOutcome, math.MaxInt)
		}
	}
	for _, n := range w.nodes {
		if !n.up {
			continue
		}
		for number := range n.sm.Outcomes {
			if k.notRun[number] {
				k.fail("not run: command %d ran on %s after it was reported as not run", number, n.name)
			}
		}
	}
	for key := range keyCount {
		ops := slices.Clone(k.history[key])
		if porcupine.CheckOperationsTimeout(model, ops, 20*time.Second) == porcupine.Illegal {
			k.fail("linearizability: key %d, %d operations", key, len(ops))
		}
	}
}
