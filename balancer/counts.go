package balancer

import (
	"expvar"

	"github.com/go-faster/errors"

	"bergamotstall/internal/envelope"
	"bergamotstall/internal/metrics"
	"bergamotstall/internal/steering"
)

// counts are a forwarder's counters.
type counts struct {
	outcomes                            [steering.Outcomes]*expvar.Int
	bytes, returned, returnedBytes      *expvar.Int
	malformed, forged, unknownKey       *expvar.Int
	noService, sendFailed               *expvar.Int
	tableRefused, serviceFailed, probes *expvar.Int
}

func newCounts(s *metrics.Set) *counts {
	c := &counts{
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

// tally gathers a worker's counts over a batch, so that the workers meet at the
// shared counters once a batch and not once a packet.
type tally struct {
	outcomes                       [steering.Outcomes]int64
	bytes, returned, returnedBytes int64
	malformed, forged, unknownKey  int64
	noService, sendFailed          int64
}

// refused counts a datagram that is no valid answer of an agent.
func (t *tally) refused(err error) {
	switch {
	case errors.Is(err, envelope.ErrForged):
		t.forged++
	case errors.Is(err, envelope.ErrGeneration):
		t.unknownKey++
	default:
		t.malformed++
	}
}

func (t *tally) flush(c *counts) {
	for i, n := range t.outcomes {
		add(c.outcomes[i], n)
	}
	add(c.bytes, t.bytes)
	add(c.returned, t.returned)
	add(c.returnedBytes, t.returnedBytes)
	add(c.malformed, t.malformed)
	add(c.forged, t.forged)
	add(c.unknownKey, t.unknownKey)
	add(c.noService, t.noService)
	add(c.sendFailed, t.sendFailed)
	*t = tally{}
}

func add(c *expvar.Int, n int64) {
	if n != 0 {
		c.Add(n)
	}
}
