package fabric

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

const patience = 30 * time.Second

// echo is a balancer that sends back what it gets.
func echo(is *is.I, at netip.AddrPort) *net.UDPConn {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	is.NoErr(err)
	go func() {
		buffer := make([]byte, bufferSize)
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

type bench struct {
	*Fabric
	caller  *net.UDPConn
	service netip.AddrPort
	first   netip.Addr
	second  netip.Addr
}

func newBench(t *testing.T) (*is.I, *bench) {
	is := is.New(t)
	probe, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	port := probe.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	is.NoErr(probe.Close())
	b := &bench{
		Fabric:  New(1),
		service: netip.AddrPortFrom(netip.MustParseAddr("127.0.3.1"), port),
		first:   netip.MustParseAddr("127.0.3.2"),
		second:  netip.MustParseAddr("127.0.3.3"),
	}
	t.Cleanup(b.Close)
	is.NoErr(b.Open(b.service))
	for _, ip := range []netip.Addr{b.first, b.second} {
		c := echo(is, netip.AddrPortFrom(ip, port))
		t.Cleanup(func() { _ = c.Close() })
	}
	b.caller, err = net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(b.service))
	is.NoErr(err)
	t.Cleanup(func() { _ = b.caller.Close() })
	return is, b
}

// send sends packets one after another and returns how many came back, waiting
// for each only as long as quiet says.
func (b *bench) send(is *is.I, count int, quiet time.Duration) (back int) {
	buffer := make([]byte, bufferSize)
	for range count {
		_, err := b.caller.Write([]byte("packet"))
		is.NoErr(err)
		is.NoErr(b.caller.SetReadDeadline(time.Now().Add(quiet)))
		if _, err := b.caller.Read(buffer); err == nil {
			back++
		}
	}
	return back
}

// Packets of one caller go to all balancers and come back from the service's
// address, under one source address for each caller.
func TestPacketsAreSprayed(t *testing.T) {
	is, b := newBench(t)
	b.SetBalancers(b.first, b.second)
	is.Equal(b.send(is, 40, patience), 40)
	is.Equal(len(b.Callers()), 1)
	b.Partition(b.second)
	is.True(b.send(is, 10, 20*time.Millisecond) < 10)
	b.RemoveBalancer(b.second)
	is.Equal(b.send(is, 10, patience), 10)
	b.AddBalancer(b.second)
	b.Heal(b.second)
	is.Equal(b.send(is, 10, patience), 10)
}

// Each fault does what it says.
func TestFaults(t *testing.T) {
	is, b := newBench(t)
	b.SetBalancers(b.first)
	b.SetFaults(Faults{Loss: 1})
	is.Equal(b.send(is, 5, 10*time.Millisecond), 0)
	is.Equal(b.Stats().Lost, 5)
	b.SetFaults(Faults{Delay: 20 * time.Millisecond})
	start := time.Now()
	is.Equal(b.send(is, 1, patience), 1)
	is.True(time.Since(start) >= 40*time.Millisecond)
	b.SetFaults(Faults{Duplicate: 1})
	is.Equal(b.send(is, 4, patience), 4) // one packet makes four answers
	b.SetFaults(Faults{Reorder: 1, Hold: 20 * time.Millisecond})
	b.SetFaults(Faults{})
	b.Silence(b.Callers()[0])
	_ = b.send(is, 20, 10*time.Millisecond) // what was on its way
	is.Equal(b.send(is, 5, 10*time.Millisecond), 0)
}

// Without balancers packets are counted as such.
func TestNoBalancer(t *testing.T) {
	is, b := newBench(t)
	is.Equal(b.send(is, 3, 10*time.Millisecond), 0)
	is.Equal(b.Stats().NoBalancer, 3)
}
