package distribution

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/table"
	"bergamotstall/internal/wait"
)

const (
	announceRetryBase = 100 * time.Millisecond
	announceRetryCap  = 2 * time.Second
)

// announce takes an announcement towards the replicated state. One goroutine
// does so at a time for a stream, so that they arrive in order, and it always
// sends the latest.
func (sub *subscriber) announce(a Announcement) {
	a.Via = sub.server.cfg.Name
	hold := sub.server.silence.attached(subject{role: sub.role, name: a.Name}, a)
	sub.mu.Lock()
	sub.announcement = a
	running := sub.announcing
	sub.announcing = true
	sub.mu.Unlock()
	if running {
		sub.skipHoldFor(a)
		return
	}
	if a.Draining {
		hold = 0
	}
	if hold > 0 {
		sub.server.count.held.Add(1)
		events.Log(sub.server.cfg.Log, events.AnnouncementHeld, logrus.Fields{"role": sub.role, "name": a.Name, "wait": hold})
	}
	sub.server.running.Add(1)
	go func() {
		defer sub.server.running.Done()
		sub.announceLatest(hold)
	}()
}

// skipHoldFor ends a hold for an agent that is about to stop: a target that is
// leaving must get no new work after a few seconds, however often it came and
// went before.
func (sub *subscriber) skipHoldFor(a Announcement) {
	if !a.Draining {
		return
	}
	select {
	case sub.skipHold <- struct{}{}:
	default:
	}
}

func (sub *subscriber) announceLatest(hold time.Duration) {
	if !sub.waitHold(hold) {
		return
	}
	failures := 0
	for {
		a := sub.announced()
		n, err := sub.commit(a)
		if sub.ctx.Err() != nil {
			return
		}
		if err != nil {
			sub.announceFailed(a, err, failures)
			failures++
			if !wait.For(sub.ctx, announceWait(failures)) {
				return
			}
			continue
		}
		failures = 0
		if sub.announcedAs(a, n) {
			return
		}
	}
}

// waitHold returns false where the stream ended first.
func (sub *subscriber) waitHold(hold time.Duration) bool {
	timer := time.NewTimer(hold)
	defer timer.Stop()
	select {
	case <-sub.ctx.Done():
		return false
	case <-timer.C:
	case <-sub.skipHold:
	}
	return true
}

// announceWait is the full-jitter wait after so many failures.
func announceWait(failures int) time.Duration {
	bound := min(announceRetryCap, announceRetryBase<<min(failures, 10))
	return time.Duration(rand.Float64() * float64(bound))
}

func (sub *subscriber) announceFailed(a Announcement, err error, failures int) {
	sub.server.count.announceErrors.Add(1)
	if failures == 0 {
		events.Log(sub.server.cfg.Log, events.AnnouncementFailed, logrus.Fields{"role": sub.role, "name": a.Name, "error": err})
	}
}

// commit hands one announcement over; the number of commands under way is
// bounded, because a mass reconnect would else put thousands to the leader.
func (sub *subscriber) commit(a Announcement) (table.AgentNumber, error) {
	s := sub.server
	select {
	case s.commits <- struct{}{}:
		defer func() { <-s.commits }()
	case <-sub.ctx.Done():
		return 0, sub.ctx.Err()
	}
	ctx, cancel := context.WithTimeout(sub.ctx, commitTimeout)
	defer cancel()
	if sub.role == RoleAgent {
		return s.cfg.Registrar.AnnounceAgent(ctx, a)
	}
	return 0, s.cfg.Registrar.AnnounceBalancer(ctx, a)
}

// announcedAs notes the outcome; it returns false where a newer announcement has
// come meanwhile.
func (sub *subscriber) announcedAs(a Announcement, n table.AgentNumber) bool {
	sub.server.count.announced.Add(1)
	if sub.role == RoleAgent {
		sub.server.silence.numbered(subject{role: sub.role, name: a.Name}, n)
	}
	sub.mu.Lock()
	sub.number = n
	done := sub.announcement == a
	if done {
		sub.announcing = false
	}
	sub.mu.Unlock()
	sub.wakeWriter()
	return done
}
