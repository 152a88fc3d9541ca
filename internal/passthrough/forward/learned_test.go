package forward

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/overload"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

// placeAmong has two agents report, with the given service times in microseconds, and returns
// how many of 200 flows the second one gets. Each flow is placed by fresh reports.
func placeAmong(t *testing.T, learned bool, micros [2]uint32) int {
	r := &testEngine{t: t, now: 1}
	r.engine = New(Config{
		Zone: zone, Rand: rand.New(rand.NewPCG(1, 2)), Policy: DefaultPolicy(), Out: r, Overload: overload.Settings{LearnedCapacity: learned},
	})
	r.table(1, caseworkService)
	r.advance(DefaultPolicy().Youth)
	n := 0
	for port := range uint16(200) {
		for i, service := range micros {
			at := r.list(byte(i+1), caseworkService)
			r.report(at, peer.Report{
				Process: uint64(i + 1), Service: uint64(route.IDOf(caseworkService)), Zone: zone, AcceptsFlows: true, Slots: 4,
				Running: 1, Load: 100, ServiceMicros: service,
			})
		}
		r.send(syn(port))
		if r.delivered[len(r.delivered)-1].to.Addr().As4()[3] == 2 {
			n++
		}
	}
	return n
}

// Guards against callers of a slow target beside an equally loaded fast one; and against
// decisions by service times where an agent of an older build states none, or where learning
// is switched off.
func TestFlowsGoWhereTheAnswerIsExpectedFirst(t *testing.T) {
	is := is.New(t)
	is.Equal(placeAmong(t, true, [2]uint32{18_000, 44_000}), 0)
	plain := placeAmong(t, false, [2]uint32{0, 0})
	is.True(plain > 60 && plain < 140)
	is.Equal(placeAmong(t, false, [2]uint32{18_000, 44_000}), plain)
	is.Equal(placeAmong(t, true, [2]uint32{18_000, 0}), plain)
	is.Equal(placeAmong(t, true, [2]uint32{18_000, 20_000}), plain)
}
