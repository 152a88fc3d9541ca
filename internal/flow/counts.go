package flow

import (
	"expvar"

	"github.com/go-faster/errors"

	"bergamotstall/internal/envelope"
	"bergamotstall/internal/metrics"
)

// counters are the endpoint's counters.
type counters struct {
	malformed, forged, unknownKey                *expvar.Int
	wrongKind, wrongService, wrongAgent          *expvar.Int
	noTransport, tooManyPaths, queueFull, noPath *expvar.Int
	oversize, sendFailed, handOverLost           *expvar.Int
	pathReplaced, tableRefused                   *expvar.Int
	opened, refused, probes                      *expvar.Int
	direct, directFailed, addressValidations     *expvar.Int

	delivered, handedOver, reset, refuse, dropped [reasonCount]*expvar.Int
}

func newCounters(s *metrics.Set) *counters {
	c := &counters{
		malformed:          s.Counter("flow_envelope_malformed"),
		forged:             s.Counter("flow_envelope_forged"),
		unknownKey:         s.Counter("flow_envelope_unknown_key"),
		wrongKind:          s.Counter("flow_envelope_wrong_kind"),
		wrongService:       s.Counter("flow_envelope_wrong_service"),
		wrongAgent:         s.Counter("flow_envelope_other_agent"),
		noTransport:        s.Counter("flow_drop_no_key_generation"),
		tooManyPaths:       s.Counter("flow_drop_too_many_paths"),
		queueFull:          s.Counter("flow_drop_queue_full"),
		noPath:             s.Counter("flow_answer_drop_no_path"),
		oversize:           s.Counter("flow_answer_drop_oversize"),
		sendFailed:         s.Counter("flow_send_failed"),
		handOverLost:       s.Counter("flow_hand_over_lost"),
		pathReplaced:       s.Counter("flow_path_replaced"),
		tableRefused:       s.Counter("flow_table_refused"),
		opened:             s.Counter("flow_opened"),
		probes:             s.Counter("flow_probes"),
		direct:             s.Counter("flow_answers_direct"),
		directFailed:       s.Counter("flow_direct_failed"),
		addressValidations: s.Counter("flow_address_proof_asked"),
		refused:            s.Counter("flow_refused"),
	}
	for r := range reasonCount {
		c.delivered[r] = s.Counter("flow_deliver_" + r.String())
		c.handedOver[r] = s.Counter("flow_hand_over_" + r.String())
		c.reset[r] = s.Counter("flow_reset_" + r.String())
		c.refuse[r] = s.Counter("flow_refuse_" + r.String())
		c.dropped[r] = s.Counter("flow_drop_" + r.String())
	}
	return c
}

// countEnvelopeError counts a datagram that isn't a valid envelope.
func (c *counters) countEnvelopeError(err error) {
	switch {
	case errors.Is(err, envelope.ErrForged):
		c.forged.Add(1)
	case errors.Is(err, envelope.ErrGeneration):
		c.unknownKey.Add(1)
	default:
		c.malformed.Add(1)
	}
}

func (c *counters) countDecision(d Decision) {
	switch d.Action {
	case Deliver:
		c.delivered[d.Reason].Add(1)
	case HandOver:
		c.handedOver[d.Reason].Add(1)
	case Reset:
		c.reset[d.Reason].Add(1)
	case Refuse:
		c.refuse[d.Reason].Add(1)
	case Drop:
		c.dropped[d.Reason].Add(1)
	}
}
