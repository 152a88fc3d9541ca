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
	// silenceTick is how often the tracker is asked; a tenth of the grace.
	silenceTick = 100 * time.Millisecond
	// commitTimeout bounds one command to the replicated state.
	commitTimeout = 3 * time.Second
)

// subject is a subscriber across its streams.
type subject struct {
	role Role
	name string
}

// silence runs the liveness decisions of one server.
type silence struct {
	server *Server

	mu      sync.Mutex
	tracker *liveness.Tracker[subject]
	// numbers are the agents' last known numbers.
	numbers map[subject]table.AgentNumber
}

func newSilence(s *Server) *silence {
	return &silence{
		server:  s,
		tracker: liveness.New[subject](s.cfg.Liveness),
		numbers: map[subject]table.AgentNumber{},
	}
}

func attachmentOf(a Announcement) liveness.Attachment {
	return liveness.Attachment{Incarnation: a.Incarnation, Sequence: a.Attachment}
}

// attached returns how long the announcement must wait.
func (l *silence) attached(k subject, a Announcement) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.Attached(k, attachmentOf(a), time.Now())
}

func (l *silence) lost(k subject, a Announcement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tracker.StreamEnded(k, attachmentOf(a), time.Now())
}

func (l *silence) numbered(k subject, n table.AgentNumber) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.numbers[k] = n
}

func (l *silence) adopt(role Role, lost []Silence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, s := range lost {
		k := subject{role: role, name: s.Name}
		l.tracker.Adopt(k, liveness.Attachment{Incarnation: s.Incarnation, Sequence: s.Attachment}, now)
		if _, known := l.numbers[k]; !known {
			l.numbers[k] = s.Agent
		}
	}
}

func (l *silence) run() {
	defer l.server.running.Done()
	ticker := time.NewTicker(silenceTick)
	defer ticker.Stop()
	for {
		select {
		case <-l.server.ctx.Done():
			return
		case now := <-ticker.C:
			l.report(now)
		}
	}
}

// report hands what is due to the replicated state, several at once, because a
// lost data centre is hundreds.
func (l *silence) report(now time.Time) {
	l.mu.Lock()
	due := l.tracker.Due(now, l.server.cfg.Source.ContactAge())
	l.mu.Unlock()
	for _, r := range due {
		l.server.running.Add(1)
		go func() {
			defer l.server.running.Done()
			l.commit(r)
		}()
	}
}

func (l *silence) commit(r liveness.Report[subject]) {
	s := l.server
	select {
	case s.commits <- struct{}{}:
		defer func() { <-s.commits }()
	case <-s.ctx.Done():
		return
	}
	l.mu.Lock()
	message := Silence{
		Name:        r.Subject.name,
		Agent:       l.numbers[r.Subject],
		Incarnation: r.Attachment.Incarnation,
		Attachment:  r.Attachment.Sequence,
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, commitTimeout)
	defer cancel()
	if err := l.tell(ctx, r.Subject.role, message); err != nil {
		s.count.silentErrors.Add(1)
		l.mu.Lock()
		l.tracker.Failed(r, time.Now())
		l.mu.Unlock()
		return
	}
	s.count.silent.Add(1)
	events.Log(s.cfg.Log, events.SubscriberSilent, logrus.Fields{"role": r.Subject.role, "name": r.Subject.name, "agent": message.Agent})
}

func (l *silence) tell(ctx context.Context, role Role, m Silence) error {
	if role == RoleAgent {
		return l.server.cfg.Registrar.AgentSilent(ctx, m)
	}
	return l.server.cfg.Registrar.BalancerSilent(ctx, m)
}
