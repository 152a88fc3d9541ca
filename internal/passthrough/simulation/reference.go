package simulation

import "time"

// reference is an ideal that policies are compared with and that no balancer can reach:
// one queue for all requests, which always knows the waiting requests and the free slots
// and needs no handshakes. Requests that can still be answered in time go first, by
// worth and then the newest first. The remaining slots go to late requests, by worth and
// then by the earliest deadline.
type reference struct {
	w       *world
	waiting []*request
	// availableAt is when balancers and agents have a table again after an outage.
	availableAt time.Duration
}

// add adds a request to the queue.
func (q *reference) add(r *request) {
	q.waiting = append(q.waiting, r)
	q.assignSlots()
}

// assignSlots assigns free slots to waiting requests.
func (q *reference) assignSlots() {
	if q.w.now < q.availableAt {
		return
	}
	for _, a := range q.w.agents {
		t := a.target
		for t.up && !t.draining && t.running < int(q.w.d.Slots) {
			r := q.next(t)
			if r == nil {
				break
			}
			q.start(t, r)
		}
	}
}

// next removes and returns the next request for a target, or nil if there is none.
func (q *reference) next(t *target) *request {
	best := -1
	remaining := q.waiting[:0]
	for _, r := range q.waiting {
		if r.done {
			continue
		}
		remaining = append(remaining, r)
		if !q.canServe(t, r) {
			continue
		}
		if best < 0 || q.hasPriority(t, r, remaining[best]) {
			best = len(remaining) - 1
		}
	}
	q.waiting = remaining
	if best < 0 {
		return nil
	}
	r := q.waiting[best]
	q.waiting = append(q.waiting[:best], q.waiting[best+1:]...)
	return r
}

func (q *reference) canServe(t *target, r *request) bool {
	return (t.agent.service == archive) == q.w.d.Classes[r.class].Archive
}

func (q *reference) hasPriority(t *target, a, b *request) bool {
	inTime := q.meetsGoal(t, a)
	if inTime != q.meetsGoal(t, b) {
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

// meetsGoal reports whether a request that starts now is answered within its latency
// goal.
func (q *reference) meetsGoal(t *target, r *request) bool {
	return q.w.now+t.serviceTime(r)+2*q.w.d.CallerDelay <= r.at+q.w.d.Classes[r.class].LatencyGoal
}

func (q *reference) start(t *target, r *request) {
	t.running++
	q.w.after(t.serviceTime(r), func() {
		if !t.up {
			return
		}
		t.running--
		if !r.done {
			r.done = true
			r.servedAt = q.w.now + 2*q.w.d.CallerDelay
		}
		q.assignSlots()
	})
}
