package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/peer"
)

// All VMs lost power; the fabric hands first packets to a balancer that has no
// table yet. The caller's packet waits and is placed as soon as table and agents
// are there: dropped, it would come again 200 ms later, which is its whole aim.
func TestFirstPacketWaitsForTheTable(t *testing.T) {
	is := is.New(t)
	r := startedRig(t)
	r.send(syn(9))
	r.pass(100 * time.Millisecond)
	is.Equal(len(r.resets), 0)
	r.table(1, desk)
	r.pass(20 * time.Millisecond)
	is.Equal(len(r.delivered), 0) // no agent has reported
	a := r.agentAt(1, desk)
	r.pass(20 * time.Millisecond)
	is.Equal(len(r.delivered), 1)
	is.Equal(r.delivered[0].to, a)
}

// A balancer restarts among agents that know their flows. A caller's packet came
// before the table; it goes to its holder at the first answer, without waiting
// until every agent has reported.
func TestEarlyPacketIsSearchedAtOnce(t *testing.T) {
	is := is.New(t)
	r := startedRig(t)
	r.send(data(9, 77))
	r.table(1, desk)
	a := r.agentAt(1, desk)
	r.pass(20 * time.Millisecond)
	r.answer(a, peer.Holds)
	is.Equal(len(r.delivered), 1)
}

// A balancer restarts, and one agent's first report is late. The others lack the
// caller's flow; the late one holds it. A reset at that moment would break an
// open flow, so the packet is searched once more when all have had time.
func TestNothingIsResetBeforeAllAgentsHadTime(t *testing.T) {
	is := is.New(t)
	r := startedRig(t)
	r.table(1, desk)
	a := r.agentAt(1, desk)
	r.send(data(9, 77))
	r.answer(a, peer.Lacks)
	is.Equal(len(r.resets), 0)
	late := r.agentAt(2, desk)
	r.pass(DefaultPolicy().Youth + 20*time.Millisecond)
	is.Equal(r.askedOf(late), 1)
	r.answer(late, peer.Holds)
	is.Equal(len(r.resets), 0)
	is.Equal(len(r.delivered), 1)
	is.Equal(r.delivered[0].to, late)
}

// No table comes for longer than callers wait. What waited is forgotten; handing
// it to a target then would open flows that nobody wants.
func TestEarlyPacketsAreForgotten(t *testing.T) {
	is := is.New(t)
	r := startedRig(t)
	r.send(syn(9))
	r.pass(earlyKept + 100*time.Millisecond)
	r.table(1, desk)
	r.agentAt(1, desk)
	r.pass(DefaultPolicy().Youth)
	is.Equal(len(r.delivered), 0)
}

// All VMs lost power, and 40 callers' first packets came before the table. The
// target has slots for a few: what reaches it first is what it admits, so the
// newest callers' packets are handed on first; the oldest are late in any order.
func TestEarlyPacketsGoNewestFirst(t *testing.T) {
	is := is.New(t)
	r := startedRig(t)
	for port := range uint16(40) {
		r.send(syn(port))
		r.now += time.Millisecond
	}
	second := syn(40) // a second copy is 600 ms older than it looks
	second.Ack = 2
	r.send(second)
	r.table(1, desk)
	r.agentAt(1, desk)
	r.pass(20 * time.Millisecond)
	is.Equal(len(r.delivered), 41)
	for i := 1; i < 40; i++ {
		is.True(r.delivered[i].age > r.delivered[i-1].age)
	}
	is.Equal(r.delivered[40].raw, rawOf(2))
}
