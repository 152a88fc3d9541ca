package flow

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
)

// ErrFlowsLeft is returned where a stop ran out of time with flows open.
var ErrFlowsLeft = errors.New("flow: flows left open at the end of the stop")

func (e *Endpoint) draining() bool { return e.stopping.Load() || e.tableDraining.Load() }

// Drain begins a stop: new flows go to other agents at once, open ones get a
// GOAWAY and end when their last request has. It returns at once.
func (e *Endpoint) Drain() {
	if e.stopping.Swap(true) {
		return
	}
	events.Log(e.config.Log, events.FlowDraining, logrus.Fields{"flows": e.Flows()})
	time.AfterFunc(goAwayDelay, e.serving.goAway)
}

// Shutdown drains, waits until no flow is left or ctx is done, and closes the
// endpoint. It returns ErrFlowsLeft where flows were cut.
func (e *Endpoint) Shutdown(ctx context.Context) error {
	e.Drain()
	defer e.close()
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for e.Flows() > 0 {
		select {
		case <-ctx.Done():
			events.Log(e.config.Log, events.FlowsCut, logrus.Fields{"flows": e.Flows()})
			return ErrFlowsLeft
		case <-e.closed:
			return nil
		case <-tick.C:
		}
	}
	return nil
}
