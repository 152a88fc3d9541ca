package peer

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"

	"bergamotstall/internal/passthrough/fairshare"
)

const (
	// maxUrgencies bounds the urgencies that a report tells apart; the least urgent ones are
	// counted together.
	maxUrgencies = 9
	// maxWaiting bounds the number of callers that is read for one urgency.
	maxWaiting = 1 << 20
)

// AppendWaiting encodes how many callers wait at each urgency: a byte for the urgency and a
// uvarint for the number, the most urgent first. What is counted together is stated as the
// least urgent of it, so that nobody less urgent seems to be ahead of others.
func AppendWaiting(to []byte, n map[fairshare.Urgency]int) []byte {
	merged := 0
	urgencies := slices.Sorted(maps.Keys(n))
	for i, u := range urgencies {
		merged += n[u]
		if i >= maxUrgencies-1 && i < len(urgencies)-1 {
			continue
		}
		to = append(to, byte(min(u, math.MaxUint8)))
		to = binary.AppendUvarint(to, uint64(merged))
		merged = 0
	}
	return to
}

// WaitingBefore returns how many callers wait that are at least as urgent as the given
// urgency, and how many wait in all.
func (r *Report) WaitingBefore(urgency fairshare.Urgency) (before, all int) {
	for rest := r.Waiting; len(rest) > 1; {
		number, size := binary.Uvarint(rest[1:])
		if size <= 0 {
			break
		}
		n := int(min(number, maxWaiting))
		all += n
		if fairshare.Urgency(rest[0]) <= urgency {
			before += n
		}
		rest = rest[1+size:]
	}
	return before, all
}
