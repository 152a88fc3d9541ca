package peer

import (
	"testing"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/fairshare"
)

// Guards against waiting callers that are counted at another urgency, or lost beyond the
// number that a report tells apart.
func TestWaitingRoundTrip(t *testing.T) {
	is := is.New(t)
	n := map[fairshare.Urgency]int{}
	for u := range fairshare.Urgency(maxUrgencies + 3) {
		n[u] = 2
	}
	sent := Report{Process: 1, WaitMS: 30, Waiting: AppendWaiting(nil, n)}
	is.Equal(len(sent.Waiting), 2*maxUrgencies)
	raw, err := sent.MarshalMsg(nil)
	is.NoErr(err)
	var got Report
	_, err = got.UnmarshalMsg(raw)
	is.NoErr(err)
	before, all := got.WaitingBefore(1)
	is.Equal(before, 4)
	is.Equal(all, 2*(maxUrgencies+3))
	before, all = (&Report{Waiting: []byte{1}}).WaitingBefore(9) // damaged
	is.Equal(before+all, 0)
}

// Guards against a client's usage that is read as the reason of a refusal, and against a
// delivery of the build before that states one.
func TestUsageTravelsWithDeliveriesOnly(t *testing.T) {
	is := is.New(t)
	h, _, err := DecodeHeader(Header{Kind: KindDeliver, Reason: Busy, Usage: 77, Service: 5}.Append(nil, nil))
	is.NoErr(err)
	is.Equal(h, Header{Kind: KindDeliver, Usage: 77, Service: 5})
	h, _, err = DecodeHeader(Header{Kind: KindRefused, Reason: Busy, Usage: 77}.Append(nil, nil))
	is.NoErr(err)
	is.Equal(h, Header{Kind: KindRefused, Reason: Busy})
}
