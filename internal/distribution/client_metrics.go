package distribution

import (
	"context"
	"expvar"
	"io"
	"net"
	"os"

	"github.com/go-faster/errors"

	"bergamotstall/internal/metrics"
)

// clientCounters are a subscriber's counters.
type clientCounters struct {
	metrics *metrics.Set

	attempts, attached               *expvar.Int
	snapshots, deltas, lowerRevision *expvar.Int
	resyncs, takenOut, tableRefused  *expvar.Int
	bytesIn, bytesOut                *expvar.Int
	stateFileErrors, refusedByState  *expvar.Int
}

func newClientCounters(m *metrics.Set) clientCounters {
	return clientCounters{
		metrics:         m,
		attempts:        m.Counter("control_attempts"),
		attached:        m.Counter("control_attached"),
		snapshots:       m.Counter("control_snapshots"),
		deltas:          m.Counter("control_deltas"),
		lowerRevision:   m.Counter("control_lower_revision_ignored"),
		resyncs:         m.Counter("control_resyncs"),
		tableRefused:    m.Counter("control_table_refused"),
		takenOut:        m.Counter("control_taken_out"),
		bytesIn:         m.Counter("control_bytes_in"),
		bytesOut:        m.Counter("control_bytes_out"),
		stateFileErrors: m.Counter("control_state_file_errors"),
		refusedByState:  m.Counter("control_state_file_refused"),
	}
}

// countEnd counts why a stream ended or couldn't be opened.
func (c clientCounters) countEnd(err error) {
	c.metrics.Counter("control_ended_" + endReason(err)).Add(1)
}

// endReason returns the reason in the names of the counters of ended streams.
func endReason(err error) string {
	var timeout net.Error
	var op *net.OpError
	switch {
	// A peer that rejects our certificate reports it after our side's handshake is done.
	case errors.Is(err, errTLS), errors.As(err, &op) && op.Op == "remote error":
		return "tls"
	case errors.Is(err, errStale):
		return "stale"
	case errors.Is(err, errBehind):
		return "behind"
	case errors.Is(err, errRefused):
		return "refused"
	case errors.Is(err, errRepeatedMismatch):
		return "mismatch"
	case errors.Is(err, errProtocol), errors.Is(err, errMalformedUpdate):
		return "protocol"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "closed"
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		return "silent"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "silent"
	}
	return "unreachable"
}
