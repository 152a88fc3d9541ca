package proxy

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstall/internal/admission"
	"bergamotstall/internal/events"
)

const (
	healthPath  = "/health"
	healthEvery = time.Second
	// healthTime bounds one look at the health endpoint.
	healthTime = time.Second
	// complainEvery bounds the log lines about one standing trouble.
	complainEvery = 30 * time.Second
)

// condition guards the judgement of the target.
type condition struct {
	mu    sync.Mutex
	state admission.Condition
	ill   bool // as logged
	// contradicted is set while the endpoint and requests disagree.
	contradicted bool
}

// note takes the outcome of one request at the target.
func (x *Relay) note(answered bool) {
	x.condition.mu.Lock()
	defer x.condition.mu.Unlock()
	if answered {
		x.condition.state.Answered(x.now())
	} else {
		x.condition.state.Failed(x.now())
	}
	x.logCondition()
}

// logCondition logs a change. The caller holds the lock.
func (x *Relay) logCondition() {
	ill := x.condition.state.Ill(x.now())
	if ill == x.condition.ill {
		return
	}
	x.condition.ill = ill
	if ill {
		events.Log(x.log, events.TargetIll, logrus.Fields{"target": x.cfg.Target})
	} else {
		events.Log(x.log, events.TargetWell, logrus.Fields{"target": x.cfg.Target})
	}
}

func (x *Relay) ill() bool {
	x.condition.mu.Lock()
	defer x.condition.mu.Unlock()
	return x.condition.state.Ill(x.now())
}

// fit tells whether the target may get this request: it is well, or this is one
// of its trials. A trial takes a repeatable request, or any where the health
// endpoint says well again.
func (x *Relay) fit(c *call) bool {
	x.condition.mu.Lock()
	defer x.condition.mu.Unlock()
	now := x.now()
	if !x.condition.state.Ill(now) {
		return true
	}
	if !c.repeatable() && !x.healthWell.Load() {
		return false
	}
	return x.condition.state.Trial(now)
}

// watchHealth asks the health endpoint until ctx is done.
func (x *Relay) watchHealth(ctx context.Context) {
	tick := time.NewTicker(healthEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			x.lookAtHealth(ctx)
		}
	}
}

// lookAtHealth takes the endpoint's word as a hint. A target without such an
// endpoint gives none.
func (x *Relay) lookAtHealth(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, healthTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+x.cfg.Target+healthPath, nil)
	if err != nil {
		return
	}
	resp, err := x.target.fresh.RoundTrip(req)
	if err == nil {
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusNotFound {
			return
		}
	}
	x.hint(err == nil && resp.StatusCode < http.StatusInternalServerError)
}

func (x *Relay) hint(well bool) {
	x.healthWell.Store(well)
	x.condition.mu.Lock()
	defer x.condition.mu.Unlock()
	x.condition.state.Hint(well)
	x.logCondition()
	contradicted := well == x.condition.state.Ill(x.now())
	if contradicted && !x.condition.contradicted {
		events.Log(x.log, events.HealthContradicts, logrus.Fields{"endpoint_well": well})
	}
	if contradicted {
		x.count.add("health.contradicted")
	}
	x.condition.contradicted = contradicted
}

// complaints remembers when a standing trouble was last logged.
type complaints struct {
	mu   sync.Mutex
	last []complaint
}

type complaint struct {
	number int
	at     time.Duration
}

// complain logs a standing trouble now and then: once a request would fill the
// log with one line's worth of news.
func (x *Relay) complain(e events.Event) {
	x.complaints.mu.Lock()
	defer x.complaints.mu.Unlock()
	now := x.now()
	for i := range x.complaints.last {
		c := &x.complaints.last[i]
		if c.number != e.Number {
			continue
		}
		if now-c.at < complainEvery {
			return
		}
		c.at = now
		events.Log(x.log, e, nil)
		return
	}
	x.complaints.last = append(x.complaints.last, complaint{e.Number, now})
	events.Log(x.log, e, nil)
}
