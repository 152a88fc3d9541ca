package capacity

import (
	"slices"
	"time"

	"bergamotstall/internal/passthrough/packet"
)

// requests tells which of the requests sent to the target run and which wait in the target's
// queue: as many as it has slots run, and the others start in order of arrival.
type requests struct {
	slots   int
	list    []request
	running int
	// at is the time of the last change, busy the sum of running over time until then.
	at, busy time.Duration
	// recent are the means of the last few requests that ended.
	recent traits
	// occupying are requests that aren't learned from, which may or may not take a slot;
	// occupiedAt is when one last ended.
	occupying  []packet.Flow
	occupiedAt time.Duration
}

// request is one request at the target.
type request struct {
	flow   packet.Flow
	sentAt time.Duration
	// runs is set once it runs, since startedAt; busyBefore is requests.busy at that time.
	runs                  bool
	startedAt, busyBefore time.Duration
	// beside is how many requests ran when it started, itself included; before are the means
	// of those that had ended.
	beside int
	before traits
	// overdue is set once it has taken many times longer than usual.
	overdue bool
}

// concurrency returns the mean number of requests that ran while one did that ends now.
func (q *requests) concurrency(now time.Duration, r *request) float64 {
	if now <= r.startedAt {
		return 1
	}
	return float64(q.busy-r.busyBefore) / float64(now-r.startedAt)
}

// advance accounts for the time since the last change.
func (q *requests) advance(now time.Duration) {
	if now > q.at {
		q.busy += time.Duration(q.running) * (now - q.at)
		q.at = now
	}
}

func (q *requests) add(now time.Duration, f packet.Flow) {
	q.advance(now)
	q.list = append(q.list, request{flow: f, sentAt: now})
	q.startWaiting(now)
}

// remove takes a request out and returns it, and starts one that waited for it.
func (q *requests) remove(now time.Duration, f packet.Flow) (request, bool) {
	if i := slices.Index(q.occupying, f); i >= 0 {
		q.occupying, q.occupiedAt = slices.Delete(q.occupying, i, i+1), max(now, q.at)
		return request{}, false
	}
	i := slices.IndexFunc(q.list, func(r request) bool { return r.flow == f })
	if i < 0 {
		return request{}, false
	}
	now = max(now, q.at)
	q.advance(now)
	r := q.list[i]
	q.list = slices.Delete(q.list, i, i+1)
	if r.runs {
		q.running--
	}
	q.startWaiting(now)
	return r, true
}

// disturbed reports whether a request that ends was at the target beside an occupying one.
func (q *requests) disturbed(r *request) bool {
	return len(q.occupying) > 0 || q.occupiedAt > r.sentAt
}

// markOverdue marks a request as overdue, false if it already is or doesn't run. It keeps its
// slot, as a long request does at the target.
func (q *requests) markOverdue(f packet.Flow) bool {
	for i := range q.list {
		if r := &q.list[i]; r.flow == f && r.runs && !r.overdue {
			r.overdue = true
			return true
		}
	}
	return false
}

// freeOverdue takes out a request that is overdue, because the target has answered one that
// couldn't run without its slot: the target hangs on the former and has given its slot up.
func (q *requests) freeOverdue(now time.Duration) {
	if i := slices.IndexFunc(q.list, func(r request) bool { return r.overdue }); i >= 0 {
		q.remove(now, q.list[i].flow)
	}
}

func (q *requests) startWaiting(now time.Duration) {
	for i := range q.list {
		if q.running >= max(q.slots, 1) {
			return
		}
		if r := &q.list[i]; !r.runs {
			q.running++
			r.runs, r.startedAt, r.busyBefore = true, now, q.busy
			r.beside, r.before = q.running, q.recent
		}
	}
}
