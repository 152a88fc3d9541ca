package simulation

import "time"

// reference is what no balancer can be: one queue for all, which knows at every
// moment which requests wait, for how long already, and which slots are free, and
// needs no handshakes. What it gives callers is what a policy is measured against.
// Requests that can still be answered in time go first, the worthiest and then the
// newest of them; what is left of the slots goes to those that are late, the
// worthiest first and then the ones with the least time left.
type reference struct {
	w       *world
	waiting []*request
	// opensAt is when nodes have a table again after an outage.
	opensAt time.Duration
}

// add takes a request.
func (q *reference) add(r *request) {
	q.waiting = append(q.waiting, r)
	q.fill()
}

// fill gives free slots to those who wait.
func (q *reference) fill() {
	if q.w.now < q.opensAt {
		return
	}
	for _, a := range q.w.agents {
		t := a.target
		for t.up && !t.draining && t.running < int(q.w.d.Slots) {
			r := q.take(t)
			if r == nil {
				break
			}
			q.begin(t, r)
		}
	}
}

// take removes the request that goes next at a target; nil if there is none.
func (q *reference) take(t *target) *request {
	best := -1
	kept := q.waiting[:0]
	for _, r := range q.waiting {
		if r.over {
			continue
		}
		kept = append(kept, r)
		if !q.serves(t, r) {
			continue
		}
		if best < 0 || q.before(t, r, kept[best]) {
			best = len(kept) - 1
		}
	}
	q.waiting = kept
	if best < 0 {
		return nil
	}
	r := q.waiting[best]
	q.waiting = append(q.waiting[:best], q.waiting[best+1:]...)
	return r
}

func (q *reference) serves(t *target, r *request) bool {
	return (t.agent.service == archive) == q.w.d.Classes[r.class].Archive
}

func (q *reference) before(t *target, a, b *request) bool {
	inTime := q.inTime(t, a)
	if inTime != q.inTime(t, b) {
		return inTime
	}
	if x, y := q.w.d.Classes[a.class].Worth, q.w.d.Classes[b.class].Worth; x != y {
		return x > y
	}
	if inTime {
		return a.at > b.at
	}
	return a.deadline < b.deadline
}

// inTime tells whether a request that begins now is answered within its aim.
func (q *reference) inTime(t *target, r *request) bool {
	return q.w.now+t.takes(r)+2*q.w.d.CallerDelay <= r.at+q.w.d.Classes[r.class].Aim
}

func (q *reference) begin(t *target, r *request) {
	t.running++
	q.w.after(t.takes(r), func() {
		if !t.up {
			return
		}
		t.running--
		if !r.over {
			r.over = true
			r.servedAt = q.w.now + 2*q.w.d.CallerDelay
		}
		q.fill()
	})
}
