package balancer

import (
	"expvar"

	"github.com/go-faster/errors"

	"bergamotstall/internal/envelope"
	"bergamotstall/internal/metrics"
	"bergamotstall/internal/steering"
)

// counters holds a forwarder's metrics.
type counters struct {
	outcomes                            [steering.Outcomes]*expvar.Int
	bytes, returned, returnedBytes      *expvar.Int
	malformed, forged, unknownKey       *expvar.Int
	noService, sendFailed               *expvar.Int
	tableRefused, serviceFailed, probes *expvar.Int
}

func newCounters(s *metrics.Set) *counters {
	c := &counters{
		bytes:         s.Counter("balancer_forward_bytes"),
		returned:      s.Counter("balancer_return_packets"),
		returnedBytes: s.Counter("balancer_return_bytes"),
		malformed:     s.Counter("balancer_return_malformed"),
		forged:        s.Counter("balancer_return_forged"),
		unknownKey:    s.Counter("balancer_return_unknown_key"),
		noService:     s.Counter("balancer_return_no_service"),
		sendFailed:    s.Counter("balancer_send_failed"),
		tableRefused:  s.Counter("balancer_table_refused"),
		probes:        s.Counter("balancer_probes"),
		serviceFailed: s.Counter("balancer_service_failed"),
	}
	for i := range c.outcomes {
		c.outcomes[i] = s.Counter("balancer_forward_" + steering.Outcome(i).String())
	}
	return c
}

// batchCounts collects a worker's counts for a batch, so that workers contend for the
// shared counters once per batch instead of once per packet.
type batchCounts struct {
	outcomes                       [steering.Outcomes]int64
	bytes, returned, returnedBytes int64
	malformed, forged, unknownKey  int64
	noService, sendFailed          int64
}

// countInvalid counts a datagram that isn't a valid envelope.
func (b *batchCounts) countInvalid(err error) {
	switch {
	case errors.Is(err, envelope.ErrForged):
		b.forged++
	case errors.Is(err, envelope.ErrGeneration):
		b.unknownKey++
	default:
		b.malformed++
	}
}

func (b *batchCounts) flush(c *counters) {
	for i, n := range b.outcomes {
		addNonZero(c.outcomes[i], n)
	}
	addNonZero(c.bytes, b.bytes)
	addNonZero(c.returned, b.returned)
	addNonZero(c.returnedBytes, b.returnedBytes)
	addNonZero(c.malformed, b.malformed)
	addNonZero(c.forged, b.forged)
	addNonZero(c.unknownKey, b.unknownKey)
	addNonZero(c.noService, b.noService)
	addNonZero(c.sendFailed, b.sendFailed)
	*b = batchCounts{}
}

func addNonZero(c *expvar.Int, n int64) {
	if n != 0 {
		c.Add(n)
	}
}
