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

const patience = 30 * time.Second

func quiet() logrus.FieldLogger {
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

// oneService has a service with one agent, whose tunnel is the given address.
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
		Tunnel: netip.MustParseAddrPort("127.0.0.1:0"), Sockets: sockets, Log: quiet(), Metrics: set,
	})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(f.Close)
	return f, set
}

// far is the sockets around a balancer: an agent's tunnel and a caller's.
type far struct {
	agent, caller         *net.UDPConn
	tunnel, callerAddress netip.AddrPort
	service               netip.AddrPort
}

func newFar(t *testing.T, is *is.I) *far {
	x := &far{service: freePort(is)}
	x.agent, x.tunnel = listen(is)
	x.caller, x.callerAddress = listen(is)
	t.Cleanup(func() {
		_ = x.agent.Close()
		_ = x.caller.Close()
	})
	return x
}

// receive waits for a datagram at one of the sockets.
func receive(is *is.I, at *net.UDPConn) ([]byte, netip.AddrPort) {
	buffer := make([]byte, bufferSize)
	is.NoErr(at.SetReadDeadline(time.Now().Add(patience)))
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

// A packet reaches the agent that it names, in an envelope that says whose it is,
// and the answer comes from the service's address, as callers take no other.
func TestPacketGoesToAgentAndAnswerComesFromService(t *testing.T) {
	is := is.New(t)
	x := newFar(t, is)
	f, set := newForwarder(t, 2)
	is.NoErr(f.Apply(oneService(x.service, x.tunnel)))
	m := f.view.Load().steering
	packet := shortPacket(m, 1, 1200)
	_, err := x.caller.WriteToUDPAddrPort(packet, x.service)
	is.NoErr(err)

	datagram, from := receive(is, x.agent)
	var h envelope.Header
	body, err := m.Envelopes.Open(datagram, &h)
	is.NoErr(err)
	is.Equal(body, packet)
	is.Equal(from, f.Tunnel())
	is.Equal(h, envelope.Header{Kind: envelope.Forward, Generation: 1, Service: 1, Agent: 1, Caller: x.callerAddress, Revision: 1})

	answer := envelope.Header{Kind: envelope.Return, Generation: 1, Service: 1, Agent: 1, Caller: x.callerAddress}
	out, err := m.Envelopes.Append(nil, &answer, []byte("answer"))
	is.NoErr(err)
	_, err = x.agent.WriteToUDPAddrPort(out, f.Tunnel())
	is.NoErr(err)
	got, from := receive(is, x.caller)
	is.Equal(string(got), "answer")
	is.Equal(from, x.service)
	reaches(t, set, "balancer_forward_named", 1)
}

// reaches waits for a counter, as workers count after they have sent.
func reaches(t *testing.T, set *metrics.Set, counter string, want int64) {
	t.Helper()
	for end := time.Now().Add(patience); set.Value(counter) != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s is %d, want %d", counter, set.Value(counter), want)
		}
	}
}

// A packet too large for the envelope is dropped and counted; the caller's path
// MTU discovery takes it for a lost probe. Answers for a service that the table
// no longer has are dropped and counted too.
func TestDropsAreCounted(t *testing.T) {
	is := is.New(t)
	x := newFar(t, is)
	f, set := newForwarder(t, 1)
	is.NoErr(f.Apply(oneService(x.service, x.tunnel)))
	m := f.view.Load().steering
	for _, packet := range [][]byte{shortPacket(m, 1, envelope.MaxPayload+1), {1}, shortPacket(m, 1, 18)[:17]} {
		_, err := x.caller.WriteToUDPAddrPort(packet, x.service)
		is.NoErr(err)
	}
	out, err := m.Envelopes.Append(nil, &envelope.Header{Kind: envelope.Return, Generation: 1, Service: 9, Caller: x.callerAddress}, nil)
	is.NoErr(err)
	_, err = x.agent.WriteToUDPAddrPort(out, f.Tunnel())
	is.NoErr(err)
	for counter, want := range map[string]int64{
		"balancer_forward_drop_oversize": 1, "balancer_forward_drop_malformed": 2, "balancer_return_no_service": 1,
	} {
		reaches(t, set, counter, want)
	}
}

// A table that is older, or can't be used, changes nothing; a service that moves
// to another address is served there and no longer at the old one.
func TestTablesInForce(t *testing.T) {
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
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(first)) // free again
	is.NoErr(err)
	_ = c.Close()
	is.NoErr(f.Apply(oneService(first, tunnel)))
	is.Equal(f.revision(), int64(3))
}

// Steering and envelope cost no allocation a packet. The library's batched read
// has two of its own for the sender's address; docs/DATAPATH.md weighs them.
func TestWrapAllocatesNothing(t *testing.T) {
	is := is.New(t)
	f, _ := newForwarder(t, 1)
	is.NoErr(f.Apply(oneService(freePort(is), netip.MustParseAddrPort("127.0.0.1:9"))))
	v := f.view.Load()
	service, _ := v.steering.ServiceByID(1)
	w := &forwardWorker{forwarder: f, batch: newOutBatch()}
	packet := shortPacket(v.steering, 1, 1200)
	is.Equal(testing.AllocsPerRun(100, func() {
		out, agent, _ := w.wrap(v.steering, service, f.Tunnel(), packet)
		w.batch.add(out, agent.Tunnel)
		w.batch.count = 0
	}), 0.0)
}

// BenchmarkForward measures one balancer worker against a bare relay of the same
// packets: senders, the relay and a receiver on loopback, 1,200-byte packets. The
// ratio of the two is the cost of steering and envelope.
func BenchmarkForward(b *testing.B) {
	b.Run("balancer", func(b *testing.B) {
		is := is.New(b)
		sink, tunnel := listen(is)
		f, _ := newForwarder(b, 1)
		service := freePort(is)
		is.NoErr(f.Apply(oneService(service, tunnel)))
		blast(b, service, sink, shortPacket(f.view.Load().steering, 1, 1200))
	})
	b.Run("bare-relay-batched", func(b *testing.B) {
		is := is.New(b)
		sink, to := listen(is)
		sockets, err := openSockets(netip.MustParseAddrPort("127.0.0.1:0"), 1)
		is.NoErr(err)
		defer closeSockets(sockets)
		go relayBatched(sockets[0], to)
		blast(b, unmap(sockets[0].LocalAddr().(*net.UDPAddr).AddrPort()), sink, make([]byte, 1200))
	})
	b.Run("bare-relay-single", func(b *testing.B) {
		is := is.New(b)
		sink, to := listen(is)
		in, address := listen(is)
		_ = in.SetReadBuffer(socketBuffer)
		defer in.Close()
		go relaySingle(in, to)
		blast(b, address, sink, make([]byte, 1200))
	})
}

func relayBatched(s *socket, to netip.AddrPort) {
	in, out := newReader(), newOutBatch()
	for {
		messages, ok := in.read(s)
		if !ok {
			return
		}
		for i := range messages {
			out.add(append(out.next(), messages[i].Buffers[0][:messages[i].N]...), to)
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

// blast sends packets faster than one worker moves them, until b.N have come
// through, so that what is measured is the worker.
func blast(b *testing.B, to netip.AddrPort, sink *net.UDPConn, packet []byte) {
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
	in := newReader()
	b.SetBytes(int64(len(packet)))
	b.ResetTimer()
	for received := 0; received < b.N; {
		messages, ok := in.read(s)
		if !ok {
			b.Fatal("sink closed")
		}
		received += len(messages)
	}
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "packets/s")
}
