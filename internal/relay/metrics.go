package relay

import (
	"io"

	"github.com/sirupsen/logrus"

	"bergamotstall/internal/metrics"
)

// counters counts by name: taken, answers.*, refused.REASON, unknown.REASON,
// retries.*, claims.* and peers.*.
type counters struct{ set *metrics.Set }

func (c counters) add(name string) { c.set.Counter("requests." + name).Add(1) }

// publish shows the load of the moment.
func (x *Relay) publish() {
	set := x.cfg.Metrics
	set.Gauge("requests.in_flight", x.inFlight.Load)
	set.Gauge("requests.running", func() int64 { return int64(x.gate.load().Running) })
	set.Gauge("requests.waiting", func() int64 { return int64(x.gate.load().Waiting) })
	set.Gauge("requests.slots", func() int64 { return int64(x.gate.load().Slots) })
}

func discard() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}
