package flowtable

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/fairshare"
	"bergamotstall/internal/passthrough/overload"
	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

func newSharesRig(t *testing.T) *rig {
	r := newRig(t)
	r.engine.cfg.Overload = overload.Settings{FairShares: true}
	r.engine.latencies.service = 40 * time.Millisecond
	return r
}

// synOf has a client open a flow whose balancer states its usage.
func (r *rig) synOf(client byte, port uint16, usage float64) {
	p := packet.Packet{Src: packet.Endpoint{IP: [4]byte{100, 64, 1, client}, Port: port}, Dst: service, Flags: packet.SYN, Seq: 10}
	h := peer.Header{Kind: peer.KindDeliver, Service: route.IDOf(serviceName), Usage: fairshare.StampOf(usage)}
	r.engine.FromBalancer(r.now, balancer, h, p, rawOf(port))
}

// Guards against a client whose many flows go first here because most of them went to other
// agents, and against an order that changes where shares aren't in force.
func TestClientAboveItsShareIsAdmittedLast(t *testing.T) {
	for _, fair := range []bool{true, false} {
		is := is.New(t)
		r := newSharesRig(t)
		r.engine.cfg.Overload.FairShares = fair
		fillTarget(r)
		for n := byte(1); n <= 3; n++ {
			r.synOf(n, uint16(n), 5)
			r.now += time.Millisecond
		}
		r.synOf(9, 9, 200) // the newest
		r.sendAnswer(100, 0)
		is.Equal(r.toTarget[len(r.toTarget)-1] == 9, !fair)
	}
}

// Guards against a shortage that balancers hear of late or at each short queue, and against
// one that never ends for them.
func TestShortageIsToldWhenItBeginsAndEnds(t *testing.T) {
	is := is.New(t)
	r := newSharesRig(t)
	fillTarget(r)
	r.engine.cfg.Policy.MaxWait = 300 * time.Millisecond
	before := r.reports
	r.syn(9)
	is.Equal(r.report().Waiting, []byte{byte(fairshare.UrgencyOf(0, fairshare.WithinShare)), 1})
	r.advance(shortAfter * 40 * time.Millisecond)
	is.Equal(r.reports, before)
	r.advance(20 * time.Millisecond)
	is.Equal(r.reports, before+1)
	is.Equal(r.decisions[len(r.decisions)-1].Verdict, ShortageBegan)
	r.announce("i-1", 0, 2)
	r.advance(calmAfter + 300*time.Millisecond) // nobody waits any more
	is.Equal(r.reports, before+2)
	is.Equal(r.decisions[len(r.decisions)-1].Verdict, ShortageEnded)
	is.Equal(len(r.report().Waiting), 0)
}

// Guards against a held request that counts as one of the clients furthest below their share.
func TestHeldRequestHasItsClientsRank(t *testing.T) {
	r := newSharesRig(t)
	idleFlow(r, 9)
	fillTarget(r)
	c := r.engine.clientOf(flowOf(9))
	r.engine.shares.usage.See(r.now, c)
	r.sendRequest(9, 1)
	is.New(t).Equal(r.engine.admission.queue[0].caller.Share, r.engine.shareRank(r.now, flowOf(9)))
}
