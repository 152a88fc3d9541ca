package raft

import (
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

const keyCount = 3

// operation is one client request, as the linearizability check sees it.
type operation struct {
	client     int
	number     uint64 // 0 for a read
	key        int
	calledStep int
	startedAt  time.Duration
	tries      int
	refused    int
}

// client sends one operation at a time. Without a reply it resends a command under the
// same number, to any replica.
type client struct {
	number int
	op     *operation
}

// unknownOutcome is the output of an operation that got no reply.
const unknownOutcome = -1

func (w *simulation) clientStep() {
	c := w.clients[w.rng.IntN(len(w.clients))]
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if l := w.leader(); l != nil && w.rng.IntN(3) != 0 {
		n = l
	}
	if !n.up {
		return
	}
	if c.op == nil {
		w.startOperation(c, n)
		return
	}
	if w.now-c.op.startedAt < time.Duration(c.op.tries)*500*time.Millisecond {
		return
	}
	if c.op.number == 0 || c.op.tries > 3 {
		w.abandon(c.op)
		return
	}
	w.propose(c.op, n)
}

func (w *simulation) startOperation(c *client, n *node) {
	op := &operation{client: c.number, key: w.rng.IntN(keyCount), calledStep: w.step, startedAt: w.now}
	if w.rng.IntN(3) == 0 {
		w.nextCmd++
		context := w.nextCmd
		if n.core.Read(context) != nil {
			return
		}
		op.tries = 1
		n.reads[context] = op
		c.op = op
		w.maybeProcess(n)
		return
	}
	w.nextCmd++
	op.number = w.nextCmd
	c.op = op
	w.propose(op, n)
}

func (w *simulation) propose(op *operation, n *node) {
	data, _ := json.Marshal(command{Number: op.number, Key: op.key})
	pos, err := n.core.Propose(data)
	if err != nil {
		if op.tries == 0 {
			w.clients[op.client].op = nil // certainly not run
			w.checker.notRun[op.number] = true
		}
		return
	}
	op.tries++
	n.waiters[pos.Index] = waiter{term: pos.Term, op: op}
	w.maybeProcess(n)
}

// answerProposal replies to the client whose entry this replica proposed.
func (w *simulation) answerProposal(n *node, e Entry, cmd command, outcome int) {
	x, ok := n.waiters[e.Index]
	if !ok {
		return
	}
	delete(n.waiters, e.Index)
	if x.term == e.Term {
		if cmd.Number != x.op.number {
			w.checker.fail("%s: entry %d of term %d holds another command", n.name, e.Index, e.Term)
		}
		w.completeOperation(x.op, outcome)
		return
	}
	x.op.refused++
	if c := w.clients[x.op.client]; c.op == x.op && x.op.refused == x.op.tries {
		c.op = nil // no attempt can run any more
		w.checker.notRun[x.op.number] = true
	}
}

func (w *simulation) completeOperation(op *operation, outcome int) {
	c := w.clients[op.client]
	if c.op != op {
		return
	}
	c.op = nil
	w.checker.record(op, outcome, w.step)
}

func (w *simulation) abandon(op *operation) {
	w.clients[op.client].op = nil
	if op.number != 0 {
		w.checker.record(op, unknownOutcome, math.MaxInt)
	}
}

func sortedOps(m map[*operation]Index) []*operation {
	var out []*operation
	for op := range m {
		out = append(out, op)
	}
	slices.SortFunc(out, func(a, b *operation) int { return a.calledStep - b.calledStep })
	return out
}

// model is the sequential specification of one key's counter.
var model = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		n := state.(int)
		got := output.(int)
		if input.(operation).number == 0 {
			return got == n, n
		}
		return got == unknownOutcome || got == n+1, n + 1
	},
	Equal: func(a, b any) bool { return a == b },
}
