package distribution

import (
	"expvar"

	"bergamotstall/internal/metrics"
)

// serverCounters are a server's counters.
type serverCounters struct {
	metrics *metrics.Set

	accepted, snapshots, deltas, resyncs *expvar.Int
	bytesOut, announced, announceErrors  *expvar.Int
	held, silent, silentErrors           *expvar.Int
	acceptErrors                         *expvar.Int
}

func newServerCounters(m *metrics.Set) serverCounters {
	return serverCounters{
		metrics:        m,
		accepted:       m.Counter("spread_accepted"),
		snapshots:      m.Counter("spread_snapshots"),
		deltas:         m.Counter("spread_deltas"),
		resyncs:        m.Counter("spread_resyncs"),
		bytesOut:       m.Counter("spread_bytes_out"),
		announced:      m.Counter("spread_announced"),
		announceErrors: m.Counter("spread_announce_errors"),
		acceptErrors:   m.Counter("spread_accept_errors"),
		held:           m.Counter("spread_announce_held"),
		silent:         m.Counter("spread_reported_silent"),
		silentErrors:   m.Counter("spread_report_errors"),
	}
}

func (c serverCounters) countRefusal(r refusalReason) {
	c.metrics.Counter("spread_refused_" + r.String()).Add(1)
}

func (c serverCounters) countEnd(err error) {
	c.metrics.Counter("spread_ended_" + endReason(err)).Add(1)
}
