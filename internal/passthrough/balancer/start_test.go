package balancer

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/metrics"
	"bergamotstall/internal/passthrough/flowlog"
	"bergamotstall/internal/passthrough/membership"
	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
	"bergamotstall/internal/wait"
)

const (
	streamPort  = 7941
	fabricPort  = 7942
	nodePort    = 7943
	testTimeout = 20 * time.Second
)

var desk = packet.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}

// testCodec encodes a packet of an open flow as its client's port.
type testCodec struct{ client [4]byte }

func (c testCodec) Decode(raw []byte) (packet.Packet, error) {
	return packet.Packet{Src: packet.Endpoint{IP: c.client, Port: binary.BigEndian.Uint16(raw)}, Dst: desk, Flags: packet.ACK, Ack: 1}, nil
}
func (testCodec) SetTag([]byte, uint16) {}
func (testCodec) AppendReset(to []byte, _ packet.Flow, _ uint32) []byte {
	return append(to, "reset"...)
}

// testControl is a control VM without a replica. It names no other VMs, so that nodes stay
// at their seeds.
type testControl struct{ ip string }

func (testControl) Barrier(context.Context) error { return nil }
func (testControl) ContactAge() time.Duration     { return 0 }
func (testControl) Controls() []string            { return nil }

// gate is a listener that accepts no connections while it is closed.
type gate struct {
	net.Listener
	closed sync.Mutex
}

func (g *gate) Accept() (net.Conn, error) {
	conn, err := g.Listener.Accept()
	g.closed.Lock()
	defer g.closed.Unlock()
	return conn, err
}

func discardLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// run runs a function with a context that ends with the test, and waits for its end.
func run(t *testing.T, f func(context.Context)) {
	running := wait.Start(t.Context(), f)
	t.Cleanup(running.Wait)
}

func (c testControl) start(t *testing.T) *gate {
	ln, err := net.Listen("tcp", netip.AddrPortFrom(netip.MustParseAddr(c.ip), streamPort).String())
	is.New(t).NoErr(err)
	store := route.NewReplicatedStore()
	command, err := route.Command(&route.Definition{Version: 1, Services: []route.Service{{Name: "desk"}}, Routes: []route.Route{
		{Name: "r", IP: desk.IP, Port: desk.Port, TimeoutMS: 1000, Backends: []route.Backend{{Service: "desk", Weight: 1}}},
	}})
	is.New(t).NoErr(err)
	store.Apply(1, command)
	server := membership.NewServer(membership.ServerConfig{Store: store, Source: c, Flows: flowlog.NewStore(), Log: discardLog(), Metrics: metrics.New()})
	g := &gate{Listener: ln}
	run(t, func(ctx context.Context) { _ = server.Serve(ctx, g) })
	return g
}

// testAgent answers each question with the same status, and passes on what it is given.
type testAgent struct {
	client    *membership.Client
	delivered chan struct{}
}

func startAgent(t *testing.T, ip, control string, status peer.FlowStatus) *testAgent {
	at := netip.AddrPortFrom(netip.MustParseAddr(ip), nodePort)
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = socket.Close() })
	a := &testAgent{delivered: make(chan struct{}, 100)}
	go func() {
		raw := make([]byte, 2000)
		for {
			n, from, err := socket.ReadFromUDPAddrPort(raw)
			if err != nil {
				return
			}
			switch peer.KindOf(raw[:n]) {
			case peer.KindAsk:
				var answers []peer.Answer
				_ = peer.ReadAsk(raw[:n], func(q peer.Question) { answers = append(answers, peer.Answer{Question: q, Status: status}) })
				_, _ = socket.WriteToUDPAddrPort(peer.AppendAnswer(nil, answers), from)
			case peer.KindDeliver:
				a.delivered <- struct{}{}
			}
		}
	}()
	a.client = membership.NewClient(membership.ClientConfig{
		Node: membership.Node{Role: membership.Agent, Address: at.String(), Zone: "a", Service: uint64(route.IDOf("desk")), Process: 1},
		Port: streamPort, Log: discardLog(), Meter: peer.NewMeter(metrics.New()), Seeds: func() []string { return []string{control} },
		OnTable: func(*route.Table) {}, OnEvacuations: func([]string) {}, OnFlowRecords: func(flowlog.Update) {},
	})
	run(t, a.client.Run)
	return a
}

// Guards against a balancer that starts and resets an open flow because its agent is on the
// list of a control VM that answers late.
func TestStartingBalancerResetsNoFlowOfAgentListedLate(t *testing.T) {
	is := is.New(t)
	early, late := testControl{"127.141.1.1"}, testControl{"127.141.1.2"}
	early.start(t)
	lateGate := late.start(t)
	other := startAgent(t, "127.141.2.1", early.ip, peer.Lacks)
	holder := startAgent(t, "127.141.2.2", late.ip, peer.Holds)
	for _, a := range []*testAgent{other, holder} {
		for end := time.Now().Add(testTimeout); a.client.LiveControls() == 0; time.Sleep(time.Millisecond) {
			is.True(time.Now().Before(end)) // the agent is listed
		}
	}

	client, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 141, 4, 1), Port: fabricPort})
	is.NoErr(err)
	defer client.Close()
	reset := make(chan struct{}, 100)
	go func() {
		for {
			if _, _, err := client.ReadFromUDPAddrPort(make([]byte, 100)); err != nil {
				return
			}
			reset <- struct{}{}
		}
	}()

	lateGate.closed.Lock()
	release := sync.OnceFunc(lateGate.closed.Unlock)
	defer release()
	fabric := netip.MustParseAddrPort("127.141.3.1:7942")
	b, err := New(Config{
		Zone: "a", Fabric: fabric, Nodes: netip.AddrPortFrom(fabric.Addr(), nodePort), Seeds: func() []string { return []string{early.ip, late.ip} },
		ControlPort: streamPort, Codec: testCodec{[4]byte{127, 141, 4, 1}}, Log: discardLog(), Metrics: metrics.New(),
	})
	is.NoErr(err)
	run(t, func(ctx context.Context) { _ = b.Run(ctx) })
	for sent := time.Now(); ; {
		_, err := client.WriteToUDPAddrPort(binary.BigEndian.AppendUint16(nil, 4000), fabric)
		is.NoErr(err)
		select {
		case <-reset:
			t.Fatal("the open flow was reset")
		case <-holder.delivered:
			return
		case <-time.After(50 * time.Millisecond):
		}
		if b.client.Version() > 0 && time.Since(sent) > time.Second {
			release()
		}
		if time.Since(sent) > testTimeout {
			t.Fatal("the packet didn't reach the flow's agent")
		}
	}
}
