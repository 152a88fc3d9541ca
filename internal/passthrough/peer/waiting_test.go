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
	for _, damaged := range [][]byte{{1}, {1, 128}} {
		before, all = (&Report{Waiting: damaged}).WaitingBefore(9)
		is.Equal(before+all, 0)
	}
}

// Guards against callers told that less urgent ones are ahead of them, and against a part of
// the wait that seems longer because the number of the others isn't stated in full.
func TestWaitingKeepsOrderAndProportions(t *testing.T) {
	is := is.New(t)
	n := map[fairshare.Urgency]int{0: 100, 1: 900}
	before, all := (&Report{Waiting: AppendWaiting(nil, n)}).WaitingBefore(0)
	is.Equal(before, 100)
	is.Equal(all, 1000)

	clear(n)
	for u := range fairshare.Urgency(maxUrgencies + 3) {
		n[u] = 2
	}
	r := Report{Waiting: AppendWaiting(nil, n)}
	before, _ = r.WaitingBefore(maxUrgencies)
	is.Equal(before, 2*(maxUrgencies-1))
	before, all = r.WaitingBefore(maxUrgencies + 2)
	is.Equal(before, all)
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
