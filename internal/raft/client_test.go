package raft

import (
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

const keys = 3

// operation is one wish of a client, as the linearizability check sees it.
type operation struct {
	client  int
	number  uint64 // 0 for a read
	key     int
	called  int
	began   time.Duration
	tries   int
	refused int
}

// client asks one thing at a time. It sends a command again, under its number
// and to any replica, when no answer comes.
type client struct {
	number int
	op     *operation
}

// unknown is the output of an operation whose answer never came.
const unknown = -1

func (w *world) clientTurn() {
	c := w.clients[w.rng.IntN(len(w.clients))]
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if l := w.leader(); l != nil && w.rng.IntN(3) != 0 {
		n = l
	}
	if !n.up {
		return
	}
	if c.op == nil {
		w.begin(c, n)
		return
	}
	if w.now-c.op.began < time.Duration(c.op.tries)*500*time.Millisecond {
		return
	}
	if c.op.number == 0 || c.op.tries > 3 {
		w.abandon(c.op)
		return
	}
	w.propose(c.op, n)
}

func (w *world) begin(c *client, n *node) {
	op := &operation{client: c.number, key: w.rng.IntN(keys), called: w.step, began: w.now}
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

func (w *world) propose(op *operation, n *node) {
	data, _ := json.Marshal(command{Number: op.number, Key: op.key})
	place, err := n.core.Propose(data)
	if err != nil {
		if op.tries == 0 {
			w.clients[op.client].op = nil // surely not run
			w.check.notRun[op.number] = true
		}
		return
	}
	op.tries++
	n.waiters[place.Index] = waiter{term: place.Term, op: op}
	w.maybeProcess(n)
}

// settle answers the client whose entry this replica proposed.
func (w *world) settle(n *node, e Entry, cmd command, outcome int) {
	x, ok := n.waiters[e.Index]
	if !ok {
		return
	}
	delete(n.waiters, e.Index)
	if x.term == e.Term {
		if cmd.Number != x.op.number {
			w.check.fail("%s: entry %d of term %d is another command", n.name, e.Index, e.Term)
		}
		w.finish(x.op, outcome)
		return
	}
	x.op.refused++
	if c := w.clients[x.op.client]; c.op == x.op && x.op.refused == x.op.tries {
		c.op = nil // every attempt is surely not run
		w.check.notRun[x.op.number] = true
	}
}

func (w *world) finish(op *operation, outcome int) {
	c := w.clients[op.client]
	if c.op != op {
		return
	}
	c.op = nil
	w.check.record(op, outcome, w.step)
}

func (w *world) abandon(op *operation) {
	w.clients[op.client].op = nil
	if op.number != 0 {
		w.check.record(op, unknown, math.MaxInt)
	}
}

func sortedOps(m map[*operation]Index) []*operation {
	var out []*operation
	for op := range m {
		out = append(out, op)
	}
	slices.SortFunc(out, func(a, b *operation) int { return a.called - b.called })
	return out
}

// model is what one key's counter must look like to clients.
var model = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		n := state.(int)
		got := output.(int)
		if input.(operation).number == 0 {
			return got == n, n
		}
		return got == unknown || got == n+1, n + 1
	},
	Equal: func(a, b any) bool { return a == b },
}
