package forward

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

// replaceVM has the address of agent n reused by a VM of another service, "" if its target
// hasn't announced itself yet.
func (r *testEngine) replaceVM(n byte, service string) netip.AddrPort {
	at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7000)
	report := peer.Report{Process: 100 + uint64(n), Zone: zone}
	if service != "" {
		report.Service, report.AcceptsFlows, report.Slots = uint64(route.IDOf(service)), true, 4
	}
	r.report(at, report)
	return at
}

// sendFirst has the client send a first packet or a copy of it, which must go to the given
// agent for casework.
func (r *testEngine) sendFirst(port uint16, to netip.AddrPort) {
	r.t.Helper()
	is := is.New(r.t)
	n := len(r.delivered)
	r.send(syn(port))
	is.Equal(len(r.delivered), n+1)
	is.Equal(r.delivered[n].to, to)
	is.Equal(r.delivered[n].service, route.IDOf(caseworkService))
}

// Guards against retransmits sent to another service that reuses the address.
func TestRetransmitDoesNotFollowAddressToAnotherService(t *testing.T) {
	r := newTestEngine(t)
	r.agentAt(1, caseworkService)
	r.send(syn(9))
	r.replaceVM(1, mapdocsService)
	b := r.agentAt(2, caseworkService)
	r.sendFirst(9, b)
}

// Guards against retransmits to a restarted agent that name no service.
func TestRetransmitToRestartedAgentNamesService(t *testing.T) {
	r := newTestEngine(t)
	a := r.agentAt(1, caseworkService)
	r.send(syn(9))
	r.replaceVM(1, "")
	r.sendFirst(9, a)
}

// Guards against a first packet that follows a found flow to another service.
func TestFirstPacketDoesNotFollowFoundFlowToAnotherService(t *testing.T) {
	r := newTestEngine(t)
	a := r.agentAt(1, caseworkService)
	r.send(data(9, 77))
	r.answerAs(a, peer.Holds)
	r.replaceVM(1, mapdocsService)
	b := r.agentAt(2, caseworkService)
	r.sendFirst(9, b)
}

// Guards against a first packet from a reused port sent to a service that its route lacks.
func TestFirstPacketFromReusedPortFollowsPresentRoute(t *testing.T) {
	r := newTestEngine(t)
	r.table(2, mapdocsService)
	r.agentAt(1, mapdocsService)
	r.send(syn(9))
	r.table(3, caseworkService)
	r.advance(5 * time.Second)
	r.agentAt(1, mapdocsService)
	b := r.agentAt(2, caseworkService)
	r.sendFirst(9, b)
}

// Guards against callers that wait for probes after their route was removed.
func TestWaitingFirstPacketIsResetWhenItsRouteIsRemoved(t *testing.T) {
	is := is.New(t)
	r := newTestEngine(t)
	r.list(1, caseworkService)
	r.replaceVM(2, "")
	r.now += reportFreshFor
	r.send(syn(9))
	is.Equal(len(r.delivered), 0)
	r.table(2)
	r.advance(10 * time.Millisecond)
	is.Equal(r.resets, []reset{{flowOf(9), 0}})
	is.Equal(r.lastDecision().Verdict, RefusedNoRoute)
}

// addressReuse plays VMs whose addresses are reused, route changes, and clients, all in a
// random order.
type addressReuse struct {
	*testEngine
	rng *rand.Rand
	// services are those that the VMs belong to; processes count their replacements.
	services  [6]string
	processes [6]uint64
	version   route.Version
	checked   int
}

// Guards against first packets for services that the table doesn't allow, in random orders.
func TestFirstPacketsNameAllowedServices(t *testing.T) {
	for seed := range uint64(50) {
		w := &addressReuse{testEngine: newTestEngine(t), rng: rand.New(rand.NewPCG(seed, 1)), version: 1}
		for n := range w.services {
			w.replace(n)
		}
		for step := range 2000 {
			w.step()
			if err := w.check(); err != nil {
				t.Fatalf("seed %d, step %d: %v", seed, step, err)
			}
		}
	}
}

func (w *addressReuse) step() {
	n := w.rng.IntN(len(w.services))
	port := uint16(1 + w.rng.IntN(8))
	switch w.rng.IntN(12) {
	case 0:
		w.replace(n)
	case 1:
		w.version++
		w.table(w.version, [][]string{{caseworkService}, {mapdocsService}, {caseworkService, mapdocsService}, {}}[w.rng.IntN(4)]...)
	case 2:
		w.engine.ListAgent(w.now, AgentInfo{Address: fleetAddress(n), Zone: zone, Service: route.IDOf(w.services[n]), Process: w.processes[n]})
	case 3, 4:
		w.reportOf(n, true)
	case 5:
		w.reportOf(n, false)
	case 6:
		w.send(data(port, 77))
	case 7:
		w.answerAs(fleetAddress(n), []peer.FlowStatus{peer.Holds, peer.Lacks, peer.Unsure}[w.rng.IntN(3)])
	case 8:
		w.engine.HandleRefused(w.now, fleetAddress(n), peer.Header{Reason: peer.NoTarget}, syn(port), rawOf(0))
	case 9:
		w.advance(time.Duration(w.rng.IntN(200)) * time.Millisecond)
	default:
		w.send(syn(port))
	}
}

// replace has another VM take over the address of VM n. Balancers don't learn of it yet.
func (w *addressReuse) replace(n int) {
	w.services[n] = []string{caseworkService, mapdocsService, "deposits"}[w.rng.IntN(3)]
	w.processes[n]++
}

// reportOf has the present agent at the address of VM n report, with or without a target.
func (w *addressReuse) reportOf(n int, withTarget bool) {
	x := peer.Report{Process: w.processes[n], Zone: zone}
	if withTarget {
		x.Service, x.AcceptsFlows, x.Slots = uint64(route.IDOf(w.services[n])), true, 4
	}
	w.report(fleetAddress(n), x)
}

// check returns an error if a first packet was delivered for a service that the table
// doesn't allow.
func (w *addressReuse) check() error {
	for _, d := range w.delivered[w.checked:] {
		if string(d.raw) == string(rawOf(0)) && !w.engine.table.Allows(service, d.service) {
			return fmt.Errorf("first packet to %s names service %x", d.to, d.service)
		}
	}
	w.checked = len(w.delivered)
	w.asked = w.asked[max(0, len(w.asked)-100):]
	return nil
}
