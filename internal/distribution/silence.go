package distribution

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/liveness"
	"bergamotstall/internal/table"
)

const (
	// silenceCheckInterval is a tenth of the liveness grace period.
	silenceCheckInterval = 100 * time.Millisecond
	// commitTimeout bounds one command to the replicated state.
	commitTimeout = 3 * time.Second
)

// subscriberKey identifies a subscriber across its streams.
type subscriberKey struct {
	role Role
	name string
}

// silenceReporter tracks the liveness of a server's subscribers and reports silent ones.
type silenceReporter struct {
	server *Server

	mu      sync.Mutex
	tracker *liveness.Tracker[subscriberKey]
	// numbers are the agents' last known numbers.
	numbers map[subscriberKey]table.AgentNumber
}

func newSilenceReporter(s *Server) *silenceReporter {
	return &silenceReporter{
		server:  s,
		tracker: liveness.New[subscriberKey](s.cfg.Liveness),
		numbers: map[subscriberKey]table.AgentNumber{},
	}
}

func attachmentOf(a Announcement) liveness.Attachment {
	return liveness.Attachment{Incarnation: a.Incarnation, Sequence: a.Attachment}
}

// streamAttached records a stream, and returns the damping delay of its announcement.
func (r *silenceReporter) streamAttached(k subscriberKey, a Announcement) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Attached(k, attachmentOf(a), time.Now())
}

func (r *silenceReporter) streamLost(k subscriberKey, a Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.StreamEnded(k, attachmentOf(a), time.Now())
}

func (r *silenceReporter) setNumber(k subscriberKey, n table.AgentNumber) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.numbers[k] = n
}

func (r *silenceReporter) adopt(role Role, lost []Silence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, s := range lost {
		k := subscriberKey{role: role, name: s.Name}
		r.tracker.Adopt(k, liveness.Attachment{Incarnation: s.Incarnation, Sequence: s.Attachment}, now)
		if _, known := r.numbers[k]; !known {
			r.numbers[k] = s.Agent
		}
	}
}

func (r *silenceReporter) run() {
	defer r.server.goroutines.Done()
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.server.ctx.Done():
			return
		case now := <-ticker.C:
			r.reportDue(now)
		}
	}
}

// reportDue reports the subscribers that are due as silent, several concurrently, as the
// loss of a data centre makes hundreds of reports.
func (r *silenceReporter) reportDue(now time.Time) {
	r.mu.Lock()
	reports := r.tracker.Due(now, r.server.cfg.Source.ContactAge())
	r.mu.Unlock()
	for _, due := range reports {
		r.server.goroutines.Add(1)
		go func() {
			defer r.server.goroutines.Done()
			r.reportSilent(due)
		}()
	}
}

// reportSilent reports one subscriber as silent. A failed report is due again later.
func (r *silenceReporter) reportSilent(report liveness.Report[subscriberKey]) {
	s := r.server
	select {
	case s.commitSlots <- struct{}{}:
		defer func() { <-s.commitSlots }()
	case <-s.ctx.Done():
		return
	}
	r.mu.Lock()
	message := Silence{
		Name:        report.Subject.name,
		Agent:       r.numbers[report.Subject],
		Incarnation: report.Attachment.Incarnation,
		Attachment:  report.Attachment.Sequence,
	}
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, commitTimeout)
	defer cancel()
	if err := r.register(ctx, report.Subject.role, message); err != nil {
		s.counters.silentErrors.Add(1)
		r.mu.Lock()
		r.tracker.Failed(report, time.Now())
		r.mu.Unlock()
		return
	}
	s.counters.silent.Add(1)
	events.Log(s.cfg.Log, events.SubscriberSilent, logrus.Fields{"role": report.Subject.role, "name": report.Subject.name, "agent": message.Agent})
}

func (r *silenceReporter) register(ctx context.Context, role Role, m Silence) error {
	if role == RoleAgent {
		return r.server.cfg.Registrar.AgentSilent(ctx, m)
	}
	return r.server.cfg.Registrar.BalancerSilent(ctx, m)
}
