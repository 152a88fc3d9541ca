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
	healthPath     = "/health"
	healthInterval = time.Second
	// healthTimeout bounds one request to the health endpoint.
	healthTimeout = time.Second
	// repeatLogInterval is the minimum time between log lines about the same ongoing
	// problem.
	repeatLogInterval = 30 * time.Second
)

// targetHealth is the health state of the target, as derived from the outcome of requests
// and from the health endpoint. mu guards all fields.
type targetHealth struct {
	mu        sync.Mutex
	state     admission.TargetHealth
	unhealthy bool // as last logged
	// contradicted is set while the health endpoint and the outcome of requests disagree.
	contradicted bool
}

// recordOutcome records whether the target responded to a request.
func (x *Proxy) recordOutcome(responded bool) {
	x.health.mu.Lock()
	defer x.health.mu.Unlock()
	if responded {
		x.health.state.RecordSuccess(x.now())
	} else {
		x.health.state.RecordFailure(x.now())
	}
	x.logHealthChange()
}

// logHealthChange logs a change of the target's health. The caller must hold the lock.
func (x *Proxy) logHealthChange() {
	unhealthy := x.health.state.Unhealthy(x.now())
	if unhealthy == x.health.unhealthy {
		return
	}
	x.health.unhealthy = unhealthy
	if unhealthy {
		events.Log(x.log, events.TargetUnhealthy, logrus.Fields{"target": x.cfg.Target})
	} else {
		events.Log(x.log, events.TargetHealthy, logrus.Fields{"target": x.cfg.Target})
	}
}

func (x *Proxy) unhealthy() bool {
	x.health.mu.Lock()
	defer x.health.mu.Unlock()
	return x.health.state.Unhealthy(x.now())
}

// mayUseTarget tells whether the target may get this request: it is healthy, or the
// request is one of its trials. Trials use repeatable requests, or any request if the
// health endpoint reports the target as healthy.
func (x *Proxy) mayUseTarget(c *call) bool {
	x.health.mu.Lock()
	defer x.health.mu.Unlock()
	now := x.now()
	if !x.health.state.Unhealthy(now) {
		return true
	}
	if !c.repeatable() && !x.endpointHealthy.Load() {
		return false
	}
	return x.health.state.AllowTrial(now)
}

// watchHealth polls the health endpoint until ctx is done.
func (x *Proxy) watchHealth(ctx context.Context) {
	tick := time.NewTicker(healthInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			x.checkHealth(ctx)
		}
	}
}

// checkHealth queries the health endpoint and uses the result as a hint. A target without
// such an endpoint gives no hint.
func (x *Proxy) checkHealth(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+x.cfg.Target+healthPath, nil)
	if err != nil {
		return
	}
	resp, err := x.target.unpooled.RoundTrip(req)
	if err == nil {
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusNotFound {
			return
		}
	}
	x.recordHealthCheck(err == nil && resp.StatusCode < http.StatusInternalServerError)
}

// recordHealthCheck records a result of the health endpoint, and logs when it contradicts
// the outcome of requests.
func (x *Proxy) recordHealthCheck(healthy bool) {
	x.endpointHealthy.Store(healthy)
	x.health.mu.Lock()
	defer x.health.mu.Unlock()
	x.health.state.RecordEndpoint(healthy)
	x.logHealthChange()
	contradicted := healthy == x.health.state.Unhealthy(x.now())
	if contradicted && !x.health.contradicted {
		events.Log(x.log, events.HealthEndpointContradictsRequests, logrus.Fields{"endpoint_well": healthy})
	}
	if contradicted {
		x.counters.add("health.contradicted")
	}
	x.health.contradicted = contradicted
}

// repeatLog holds when each ongoing problem was last logged.
type repeatLog struct {
	mu   sync.Mutex
	last []loggedEvent
}

type loggedEvent struct {
	number int
	at     time.Duration
}

// logRepeated logs an ongoing problem at most once every repeatLogInterval: a line for
// each affected request would flood the log.
func (x *Proxy) logRepeated(e events.Event) {
	x.repeatLog.mu.Lock()
	defer x.repeatLog.mu.Unlock()
	now := x.now()
	for i := range x.repeatLog.last {
		logged := &x.repeatLog.last[i]
		if logged.number != e.Number {
			continue
		}
		if now-logged.at < repeatLogInterval {
			return
		}
		logged.at = now
		events.Log(x.log, e, nil)
		return
	}
	x.repeatLog.last = append(x.repeatLog.last, loggedEvent{e.Number, now})
	events.Log(x.log, e, nil)
}
