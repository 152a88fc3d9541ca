package peer

import (
	"math"
	"slices"

	"bergamotstall/internal/passthrough/fairshare"
)

// maxUrgencies bounds the urgencies that a report tells apart; the least urgent ones are
// counted together.
const maxUrgencies = 9

// AppendWaiting encodes how many callers wait at each urgency: two bytes each, urgency and
// number, the most urgent first.
func AppendWaiting(to []byte, n map[fairshare.Urgency]int) []byte {
	urgencies := make([]fairshare.Urgency, 0, len(n))
	for u := range n {
		urgencies = append(urgencies, u)
	}
	slices.Sort(urgencies)
	for i, u := range urgencies {
		if i >= maxUrgencies {
			last := &to[len(to)-1]
			*last = oneByte(int(*last) + n[u])
			continue
		}
		to = append(to, oneByte(u), oneByte(n[u]))
	}
	return to
}

func oneByte[N int | fairshare.Urgency](n N) byte { return byte(min(n, math.MaxUint8)) }

// WaitingBefore returns how many callers wait that are at least as urgent as the given
// urgency, and how many wait in all.
func (r *Report) WaitingBefore(urgency fairshare.Urgency) (before, all int) {
	for i := 0; i+1 < len(r.Waiting); i += 2 {
		n := int(r.Waiting[i+1])
		all += n
		if fairshare.Urgency(r.Waiting[i]) <= urgency {
			before += n
		}
	}
	return before, all
}
