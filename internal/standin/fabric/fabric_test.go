package fabric

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

const replyTimeout = 30 * time.Second

// echo starts a balancer that returns every packet to its sender.
func echo(is *is.I, at netip.AddrPort) *net.UDPConn {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	is.NoErr(err)
	go func() {
		buffer := make([]byte, packetBufferSize)
		for {
			n, from, err := c.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			_, _ = c.WriteToUDPAddrPort(buffer[:n], from)
		}
	}()
	return c
}

type fixture struct {
	*Fabric
	caller  *net.UDPConn
	service netip.AddrPort
	first   netip.Addr
	second  netip.Addr
}

func newFixture(t *testing.T) (*is.I, *fixture) {
	is := is.New(t)
	probe, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	port := probe.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	is.NoErr(probe.Close())
	f := &fixture{
		Fabric:  New(1),
		service: netip.AddrPortFrom(netip.MustParseAddr("127.0.3.1"), port),
		first:   netip.MustParseAddr("127.0.3.2"),
		second:  netip.MustParseAddr("127.0.3.3"),
	}
	t.Cleanup(f.Close)
	is.NoErr(f.Listen(f.service))
	for _, ip := range []netip.Addr{f.first, f.second} {
		c := echo(is, netip.AddrPortFrom(ip, port))
		t.Cleanup(func() { _ = c.Close() })
	}
	f.caller, err = net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(f.service))
	is.NoErr(err)
	t.Cleanup(func() { _ = f.caller.Close() })
	return is, f
}

// send sends packets one after another and returns how many came back, waiting at most
// timeout for each.
func (f *fixture) send(is *is.I, count int, timeout time.Duration) (returned int) {
	buffer := make([]byte, packetBufferSize)
	for range count {
		_, err := f.caller.Write([]byte("packet"))
		is.NoErr(err)
		is.NoErr(f.caller.SetReadDeadline(time.Now().Add(timeout)))
		if _, err := f.caller.Read(buffer); err == nil {
			returned++
		}
	}
	return returned
}

// Guards against packets that skip a balancer, reach a removed one, or use more than one
// source address per caller.
func TestPacketsGoToRandomBalancers(t *testing.T) {
	is, f := newFixture(t)
	f.SetBalancers(f.first, f.second)
	is.Equal(f.send(is, 40, replyTimeout), 40)
	is.Equal(len(f.Callers()), 1)
	f.Partition(f.second)
	is.True(f.send(is, 10, 20*time.Millisecond) < 10)
	f.RemoveBalancer(f.second)
	is.Equal(f.send(is, 10, replyTimeout), 10)
	f.AddBalancer(f.second)
	f.Heal(f.second)
	is.Equal(f.send(is, 10, replyTimeout), 10)
}

// Guards against faults that aren't applied.
func TestFaults(t *testing.T) {
	is, f := newFixture(t)
	f.SetBalancers(f.first)
	f.SetFaults(Faults{Loss: 1})
	is.Equal(f.send(is, 5, 10*time.Millisecond), 0)
	is.Equal(f.Stats().Lost, 5)
	f.SetFaults(Faults{Delay: 20 * time.Millisecond})
	start := time.Now()
	is.Equal(f.send(is, 1, replyTimeout), 1)
	is.True(time.Since(start) >= 40*time.Millisecond)
	f.SetFaults(Faults{Duplicate: 1})
	is.Equal(f.send(is, 4, replyTimeout), 4) // one packet makes four answers
	f.SetFaults(Faults{Reorder: 1, ReorderDelay: 20 * time.Millisecond})
	f.SetFaults(Faults{})
	f.Silence(f.Callers()[0])
	_ = f.send(is, 20, 10*time.Millisecond) // discards packets in flight
	is.Equal(f.send(is, 5, 10*time.Millisecond), 0)
}

// Guards against packets that aren't counted when there is no balancer.
func TestNoBalancer(t *testing.T) {
	is, f := newFixture(t)
	is.Equal(f.send(is, 3, 10*time.Millisecond), 0)
	is.Equal(f.Stats().NoBalancer, 3)
}
