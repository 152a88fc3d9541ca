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
	announceRetryBaseDelay = 100 * time.Millisecond
	announceRetryMaxDelay  = 2 * time.Second
)

// commitAnnouncement commits an announcement to the replicated state. One goroutine per
// stream does so at a time and always commits the latest one, so that they arrive in order.
func (sub *subscriber) commitAnnouncement(a Announcement) {
	a.Via = sub.server.cfg.Name
	dampingDelay := sub.server.silenceReporter.streamAttached(subscriberKey{role: sub.role, name: a.Name}, a)
	sub.mu.Lock()
	sub.announcement = a
	running := sub.announcing
	sub.announcing = true
	sub.mu.Unlock()
	if running {
		sub.skipDampingIfDraining(a)
		return
	}
	if a.Draining {
		dampingDelay = 0
	}
	if dampingDelay > 0 {
		sub.server.counters.held.Add(1)
		events.Log(sub.server.cfg.Log, events.AnnouncementHeld, logrus.Fields{"role": sub.role, "name": a.Name, "wait": dampingDelay})
	}
	sub.server.goroutines.Add(1)
	go func() {
		defer sub.server.goroutines.Done()
		sub.announceLatest(dampingDelay)
	}()
}

// skipDampingIfDraining ends the damping delay of an agent that is about to stop. A
// leaving target must get no new flows after a few seconds, however much it flapped.
func (sub *subscriber) skipDampingIfDraining(a Announcement) {
	if !a.Draining {
		return
	}
	select {
	case sub.skipDamping <- struct{}{}:
	default:
	}
}

// announceLatest waits for the damping delay and commits the latest announcement, with
// retries, until none is newer or the stream ends.
func (sub *subscriber) announceLatest(dampingDelay time.Duration) {
	if !sub.waitDamping(dampingDelay) {
		return
	}
	failures := 0
	for {
		a := sub.currentAnnouncement()
		n, err := sub.commit(a)
		if sub.ctx.Err() != nil {
			return
		}
		if err != nil {
			sub.recordAnnounceFailure(a, err, failures)
			failures++
			if !wait.For(sub.ctx, announceRetryDelay(failures)) {
				return
			}
			continue
		}
		failures = 0
		if sub.recordAnnounced(a, n) {
			return
		}
	}
}

// waitDamping waits for the damping delay. It returns false if the stream ends first.
func (sub *subscriber) waitDamping(dampingDelay time.Duration) bool {
	timer := time.NewTimer(dampingDelay)
	defer timer.Stop()
	select {
	case <-sub.ctx.Done():
		return false
	case <-timer.C:
	case <-sub.skipDamping:
	}
	return true
}

// announceRetryDelay returns the delay after the given number of failures, with full jitter.
func announceRetryDelay(failures int) time.Duration {
	bound := min(announceRetryMaxDelay, announceRetryBaseDelay<<min(failures, 10))
	return time.Duration(rand.Float64() * float64(bound))
}

func (sub *subscriber) recordAnnounceFailure(a Announcement, err error, failures int) {
	sub.server.counters.announceErrors.Add(1)
	if failures == 0 {
		events.Log(sub.server.cfg.Log, events.AnnouncementFailed, logrus.Fields{"role": sub.role, "name": a.Name, "error": err})
	}
}

// commit commits one announcement. The number of concurrent commands is bounded, as a
// mass reconnect would otherwise send thousands to the leader at once.
func (sub *subscriber) commit(a Announcement) (table.AgentNumber, error) {
	s := sub.server
	select {
	case s.commitSlots <- struct{}{}:
		defer func() { <-s.commitSlots }()
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

// recordAnnounced records a committed announcement and its agent number. It returns false
// if a newer announcement arrived meanwhile.
func (sub *subscriber) recordAnnounced(a Announcement, n table.AgentNumber) bool {
	sub.server.counters.announced.Add(1)
	if sub.role == RoleAgent {
		sub.server.silenceReporter.setNumber(subscriberKey{role: sub.role, name: a.Name}, n)
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
