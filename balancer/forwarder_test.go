package balancer

import (
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/connid"
	"bergamotstall/internal/envelope"
	"bergamotstall/internal/metrics"
	"bergamotstall/internal/steering"
	"bergamotstall/internal/table"
)

const receiveTimeout = 30 * time.Second

func discardLogger() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

func listen(is *is.I) (*net.UDPConn, netip.AddrPort) {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	return c, unmap(c.LocalAddr().(*net.UDPAddr).AddrPort())
}

// freePort returns an address on which nothing listens.
func freePort(is *is.I) netip.AddrPort {
	c, address := listen(is)
	_ = c.Close()
	return address
}

func keySet() table.KeySet {
	fill := make([]byte, 32)
	return table.KeySet{Generation: 1, ConnID: fill[:16], Envelope: fill, Reset: fill, Token: fill, Hash: fill[:16]}
}

// oneService returns a table with one service and one agent with the given tunnel address.
func oneService(address, tunnel netip.AddrPort) *table.Table {
	return &table.Table{
		Revision: 1,
		Keys:     []table.KeySet{keySet()},
		Services: []table.Service{{ID: 1, Name: "desk", Address: address.String()}},
		Targets:  []table.Target{{Agent: 1, Service: 1, Tunnel: tunnel.String(), Weight: 1, State: table.Active}},
	}
}

func newForwarder(tb testing.TB, sockets int) (*Forwarder, *metrics.Set) {
	set := metrics.New()
	f, err := NewForwarder(ForwarderConfig{
		Tunnel: netip.MustParseAddrPort("127.0.0.1:0"), Sockets: sockets, Log: discardLogger(), Metrics: set,
	})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(f.Close)
	return f, set
}

// testEndpoints holds the sockets of an agent and a caller, and the service's address.
type testEndpoints struct {
	agent, caller         *net.UDPConn
	tunnel, callerAddress netip.AddrPort
	service               netip.AddrPort
}

func newTestEndpoints(t *testing.T, is *is.I) *testEndpoints {
	endpoints := &testEndpoints{service: freePort(is)}
	endpoints.agent, endpoints.tunnel = listen(is)
	endpoints.caller, endpoints.callerAddress = listen(is)
	t.Cleanup(func() {
		_ = endpoints.agent.Close()
		_ = endpoints.caller.Close()
	})
	return endpoints
}

// receive waits for a datagram and returns it with its sender.
func receive(is *is.I, at *net.UDPConn) ([]byte, netip.AddrPort) {
	buffer := make([]byte, bufferSize)
	is.NoErr(at.SetReadDeadline(time.Now().Add(receiveTimeout)))
	n, from, err := at.ReadFromUDPAddrPort(buffer)
	is.NoErr(err)
	return buffer[:n], unmap(from)
}

func shortPacket(m *steering.CompiledTable, agent table.AgentNumber, size int) []byte {
	id, _ := m.ConnIDs.Encode(1, agent, connid.Entropy{})
	out := make([]byte, size)
	out[0] = 0x40
	copy(out[1:], id[:])
	return out
}

// Guards against packets that reach the wrong agent, and answers that don't come from the
// service's address: callers accept no other.
func TestPacketReachesAgentAndAnswerComesFromService(t *testing.T) {
	is := is.New(t)
	endpoints := newTestEndpoints(t, is)
	f, set := newForwarder(t, 2)
	is.NoErr(f.Apply(oneService(endpoints.service, endpoints.tunnel)))
	m := f.state.Load().steering
	packet := shortPacket(m, 1, 1200)
	_, err := endpoints.caller.WriteToUDPAddrPort(packet, endpoints.service)
	is.NoErr(err)

	datagram, from := receive(is, endpoints.agent)
	var h envelope.Header
	body, err := m.Envelopes.Open(datagram, &h)
	is.NoErr(err)
	is.Equal(body, packet)
	is.Equal(from, f.Tunnel())
	is.Equal(h, envelope.Header{Kind: envelope.Forward, Generation: 1, Service: 1, Agent: 1, Caller: endpoints.callerAddress, Revision: 1})

	answer := envelope.Header{Kind: envelope.Return, Generation: 1, Service: 1, Agent: 1, Caller: endpoints.callerAddress}
	out, err := m.Envelopes.Append(nil, &answer, []byte("answer"))
	is.NoErr(err)
	_, err = endpoints.agent.WriteToUDPAddrPort(out, f.Tunnel())
	is.NoErr(err)
	got, from := receive(is, endpoints.caller)
	is.Equal(string(got), "answer")
	is.Equal(from, endpoints.service)
	waitForCounter(t, set, "balancer_forward_named", 1)
}

// waitForCounter waits until a counter has the value: workers count after they send.
func waitForCounter(t *testing.T, set *metrics.Set, counter string, want int64) {
	t.Helper()
	for end := time.Now().Add(receiveTimeout); set.Value(counter) != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s is %d, want %d", counter, set.Value(counter), want)
		}
	}
}

// Guards against drops that no counter shows: packets too large for an envelope, which the
// caller's path MTU discovery treats as lost probes, malformed packets, and answers for a
// service that isn't in the table.
func TestDropsAreCounted(t *testing.T) {
	is := is.New(t)
	endpoints := newTestEndpoints(t, is)
	f, set := newForwarder(t, 1)
	is.NoErr(f.Apply(oneService(endpoints.service, endpoints.tunnel)))
	m := f.state.Load().steering
	for _, packet := range [][]byte{shortPacket(m, 1, envelope.MaxPayload+1), {1}, shortPacket(m, 1, 18)[:17]} {
		_, err := endpoints.caller.WriteToUDPAddrPort(packet, endpoints.service)
		is.NoErr(err)
	}
	out, err := m.Envelopes.Append(nil, &envelope.Header{Kind: envelope.Return, Generation: 1, Service: 9, Caller: endpoints.callerAddress}, nil)
	is.NoErr(err)
	_, err = endpoints.agent.WriteToUDPAddrPort(out, f.Tunnel())
	is.NoErr(err)
	for counter, want := range map[string]int64{
		"balancer_forward_drop_oversize": 1, "balancer_forward_drop_malformed": 2, "balancer_return_no_service": 1,
	} {
		waitForCounter(t, set, counter, want)
	}
}

// Guards against a table that is older or can't be used but is applied, and against a
// service that moves to another address but stays at the old one.
func TestTableUpdates(t *testing.T) {
	is := is.New(t)
	tunnel := netip.MustParseAddrPort("127.0.0.1:9")
	f, _ := newForwarder(t, 1)
	first, second := freePort(is), freePort(is)
	is.NoErr(f.Apply(oneService(first, tunnel)))
	bad := oneService(first, tunnel)
	bad.Revision, bad.Keys = 2, nil
	is.True(f.Apply(bad) != nil)
	is.Equal(f.revision(), int64(1))

	moved := oneService(second, tunnel)
	moved.Revision = 3
	is.NoErr(f.Apply(moved))
	at, ok := f.Front(1)
	is.True(ok)
	is.Equal(at, second)
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(first)) // the old address is closed
	is.NoErr(err)
	_ = c.Close()
	is.NoErr(f.Apply(oneService(first, tunnel)))
	is.Equal(f.revision(), int64(3))
}

// Guards against allocations per packet in steering and wrapping. The batched read of
// golang.org/x/net makes two for the sender's address; see docs/DATAPATH.md.
func TestSteerAndWrapDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	f, _ := newForwarder(t, 1)
	is.NoErr(f.Apply(oneService(freePort(is), netip.MustParseAddrPort("127.0.0.1:9"))))
	state := f.state.Load()
	service, _ := state.steering.ServiceByID(1)
	w := &forwardWorker{forwarder: f, batch: newWriteBatch()}
	packet := shortPacket(state.steering, 1, 1200)
	is.Equal(testing.AllocsPerRun(100, func() {
		out, agent, _ := w.steerAndWrap(state.steering, service, f.Tunnel(), packet)
		w.batch.add(out, agent.Tunnel)
		w.batch.count = 0
	}), 0.0)
}

// BenchmarkForward compares one balancer worker with a bare relay, with 1,200-byte packets
// over loopback. The ratio of the two is the cost of steering and envelopes.
func BenchmarkForward(b *testing.B) {
	b.Run("balancer", func(b *testing.B) {
		is := is.New(b)
		sink, tunnel := listen(is)
		f, _ := newForwarder(b, 1)
		service := freePort(is)
		is.NoErr(f.Apply(oneService(service, tunnel)))
		sendUntilReceived(b, service, sink, shortPacket(f.state.Load().steering, 1, 1200))
	})
	b.Run("bare-relay-batched", func(b *testing.B) {
		is := is.New(b)
		sink, to := listen(is)
		sockets, err := openSockets(netip.MustParseAddrPort("127.0.0.1:0"), 1)
		is.NoErr(err)
		defer closeSockets(sockets)
		go relayBatched(sockets[0], to)
		sendUntilReceived(b, unmap(sockets[0].LocalAddr().(*net.UDPAddr).AddrPort()), sink, make([]byte, 1200))
	})
	b.Run("bare-relay-single", func(b *testing.B) {
		is := is.New(b)
		sink, to := listen(is)
		in, address := listen(is)
		_ = in.SetReadBuffer(socketBuffer)
		defer in.Close()
		go relaySingle(in, to)
		sendUntilReceived(b, address, sink, make([]byte, 1200))
	})
}

func relayBatched(s *socket, to netip.AddrPort) {
	in, out := newBatchReader(), newWriteBatch()
	for {
		messages, ok := in.read(s)
		if !ok {
			return
		}
		for i := range messages {
			out.add(append(out.nextBuffer(), messages[i].Buffers[0][:messages[i].N]...), to)
		}
		out.flush(s)
	}
}

func relaySingle(in *net.UDPConn, to netip.AddrPort) {
	buffer := make([]byte, bufferSize)
	for {
		n, _, err := in.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		_, _ = in.WriteToUDPAddrPort(buffer[:n], to)
	}
}

// sendUntilReceived sends packets faster than one worker forwards them until b.N have been
// received, so that the worker is the bottleneck.
func sendUntilReceived(b *testing.B, to netip.AddrPort, sink *net.UDPConn, packet []byte) {
	const senders = 3
	_ = sink.SetReadBuffer(socketBuffer)
	defer sink.Close()
	var done atomic.Bool
	defer done.Store(true)
	for range senders {
		conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(to))
		if err != nil {
			b.Fatal(err)
		}
		go func() {
			defer conn.Close()
			for !done.Load() {
				_, _ = conn.Write(packet)
			}
		}()
	}
	s := newSocket(sink, unmap(sink.LocalAddr().(*net.UDPAddr).AddrPort()))
	in := newBatchReader()
	b.SetBytes(int64(len(packet)))
	b.ResetTimer()
	for received := 0; received < b.N; {
		messages, ok := in.read(s)
		if !ok {
			b.Fatal("the receiving socket was closed")
		}
		received += len(messages)
	}
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "packets/s")
}
