package flow

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
)

// ErrFlowsLeft is returned by Shutdown if its context ends while flows are open.
var ErrFlowsLeft = errors.New("flow: shutdown timed out; open flows were closed")

func (e *Endpoint) draining() bool { return e.stopping.Load() || e.tableDraining.Load() }

// Drain starts draining and returns at once. New flows go to other agents; open
// flows get a GOAWAY and end after their last request.
func (e *Endpoint) Drain() {
	if e.stopping.Swap(true) {
		return
	}
	events.Log(e.config.Log, events.FlowDraining, logrus.Fields{"flows": e.Flows()})
	time.AfterFunc(goAwayDelay, e.servers.goAway)
}

// Shutdown drains the endpoint, waits until no flow is open or ctx is done, and
// closes it. It returns ErrFlowsLeft if open flows were closed.
func (e *Endpoint) Shutdown(ctx context.Context) error {
	e.Drain()
	defer e.close()
	tick := time.NewTicker(drainPollInterval)
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
