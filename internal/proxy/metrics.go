package proxy

import (
	"io"

	"github.com/sirupsen/logrus"

	"bergamotstall/internal/idempotency"
	"bergamotstall/internal/metrics"
)

// counters counts by name: taken, answers.*, refused.REASON, unknown.REASON,
// retries.*, claims.* and peers.*.
type counters struct{ set *metrics.Set }

func (c counters) add(name string) { c.addN(name, 1) }

func (c counters) addN(name string, n int64) { c.set.Counter("requests." + name).Add(n) }

// publish shows the load of the moment.
func (x *Relay) publish() {
	set := x.cfg.Metrics
	set.Gauge("requests.in_flight", x.inFlight.Load)
	set.Gauge("requests.running", func() int64 { return int64(x.gate.load().Running) })
	set.Gauge("requests.waiting", func() int64 { return int64(x.gate.load().Waiting) })
	set.Gauge("requests.keys_held", func() int64 {
		held := 0
		x.keep(func(k *idempotency.Voter, _ int64) { held = k.RecordCount() })
		return int64(held)
	})
	set.Gauge("requests.slots", func() int64 { return int64(x.gate.load().Slots) })
}

func discard() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}
