package proxy

import (
	"io"

	"github.com/sirupsen/logrus"

	"bergamotstall/internal/idempotency"
	"bergamotstall/internal/metrics"
)

// counters adds to the counters named "requests." followed by taken, answers.*,
// refused.REASON, unknown.REASON, retries.*, claims.*, health.* and peers.*.
type counters struct{ set *metrics.Set }

func (c counters) add(name string) { c.addN(name, 1) }

func (c counters) addN(name string, n int64) { c.set.Counter("requests." + name).Add(n) }

// registerGauges exports the current load as gauges.
func (x *Proxy) registerGauges() {
	set := x.cfg.Metrics
	set.Gauge("requests.in_flight", x.inFlight.Load)
	set.Gauge("requests.running", func() int64 { return int64(x.admitter.load().Running) })
	set.Gauge("requests.waiting", func() int64 { return int64(x.admitter.load().Waiting) })
	set.Gauge("requests.keys_held", func() int64 {
		n := 0
		x.withVoter(func(v *idempotency.Voter, _ int64) { n = v.RecordCount() })
		return int64(n)
	})
	set.Gauge("requests.slots", func() int64 { return int64(x.admitter.load().Slots) })
}

func discardLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}
