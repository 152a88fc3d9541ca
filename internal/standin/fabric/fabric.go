// Package fabric stands in for the platform's network fabric, on loopback: it
// takes callers' packets on a service's address and hands each to a balancer
// picked at random, whatever flow it belongs to. For the demo and tests; nothing
// of the product depends on it.
package fabric

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	bufferSize   = 2048
	socketBuffer = 4 << 20
	// sessionIdle closes the socket of a caller that is gone.
	sessionIdle = time.Minute
	// sessionLimit bounds the callers, as each takes a socket.
	sessionLimit = 4096
)

// Faults are what the fabric does to packets, each way.
type Faults struct {
	// Loss, Duplicate and Reorder are probabilities for each packet. A reordered
	// packet is held back for Hold.
	Loss, Duplicate, Reorder float64
	Hold                     time.Duration
	// Delay is added to every packet, one way.
	Delay time.Duration
}

// Stats counts packets since the start.
type Stats struct {
	// FromCallers and ToCallers passed; Lost were dropped by a fault; NoBalancer
	// found no balancer to go to.
	FromCallers, ToCallers, Lost, NoBalancer int
}

// Fabric relays between callers and balancers. Its settings may change while
// it runs.
type Fabric struct {
	mu        sync.Mutex
	random    *rand.Rand
	faults    Faults
	balancers []netip.Addr
	blocked   map[netip.Addr]bool
	silent    map[netip.AddrPort]bool
	stats     Stats
	fronts    []*front
	closed    bool
	readers   sync.WaitGroup
}

// front is one service address.
type front struct {
	fabric   *Fabric
	address  netip.AddrPort
	socket   *net.UDPConn
	sessions map[netip.AddrPort]*session
}

// session is one caller's socket towards the balancers, so that they see one
// source address for each caller.
type session struct {
	caller netip.AddrPort
	socket *net.UDPConn
}

// ErrOpen is returned where a service address can't be opened.
var ErrOpen = errors.New("fabric: can't open address")

// New returns a fabric that picks balancers and faults by the seed.
func New(seed uint64) *Fabric {
	return &Fabric{
		random:  rand.New(rand.NewPCG(seed, seed)),
		blocked: make(map[netip.Addr]bool),
		silent:  make(map[netip.AddrPort]bool),
	}
}

// Open takes callers' packets on a service's address and hands them to the
// balancers' addresses, on the same port.
func (f *Fabric) Open(address netip.AddrPort) error {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return errors.Wrapf(ErrOpen, "%v: %v", address, err)
	}
	_ = socket.SetReadBuffer(socketBuffer)
	_ = socket.SetWriteBuffer(socketBuffer)
	x := &front{fabric: f, address: address, socket: socket, sessions: make(map[netip.AddrPort]*session)}
	f.mu.Lock()
	f.fronts = append(f.fronts, x)
	f.readers.Add(1)
	f.mu.Unlock()
	go x.read()
	return nil
}

// SetBalancers replaces the set of balancers.
func (f *Fabric) SetBalancers(all ...netip.Addr) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = slices.Clone(all)
}

// AddBalancer adds one to the set.
func (f *Fabric) AddBalancer(b netip.Addr) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = append(f.balancers, b)
}

// RemoveBalancer takes one out of the set.
func (f *Fabric) RemoveBalancer(b netip.Addr) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = slices.DeleteFunc(f.balancers, func(x netip.Addr) bool { return x == b })
}

// SetFaults replaces the faults.
func (f *Fabric) SetFaults(x Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = x
}

// Partition cuts a balancer off, both ways, while the fabric still hands it
// packets; Heal ends that.
func (f *Fabric) Partition(b netip.Addr) { f.setBlocked(b, true) }

// Heal ends a partition.
func (f *Fabric) Heal(b netip.Addr) { f.setBlocked(b, false) }

func (f *Fabric) setBlocked(b netip.Addr, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked[b] = on
}

// Silence loses everything of one caller from now on, both ways.
func (f *Fabric) Silence(caller netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[caller] = true
}

// Callers returns the addresses of all callers that the fabric has a socket for.
func (f *Fabric) Callers() []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []netip.AddrPort
	for _, x := range f.fronts {
		for caller := range x.sessions {
			out = append(out, caller)
		}
	}
	return out
}

// Stats returns the counts so far.
func (f *Fabric) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stats
}

// Close ends the fabric and returns once its goroutines have ended.
func (f *Fabric) Close() {
	f.mu.Lock()
	f.closed = true
	for _, x := range f.fronts {
		_ = x.socket.Close()
		for _, s := range x.sessions {
			_ = s.socket.Close()
		}
	}
	f.mu.Unlock()
	f.readers.Wait()
}

// fate is what becomes of one packet.
type fate struct {
	lost   bool
	copies int
	delay  time.Duration
}

// fateLocked draws a packet's fate.
func (f *Fabric) fateLocked(caller netip.AddrPort, balancer netip.Addr) fate {
	x := f.faults
	if f.silent[caller] || f.blocked[balancer] || x.Loss > 0 && f.random.Float64() < x.Loss {
		f.stats.Lost++
		return fate{lost: true}
	}
	out := fate{copies: 1, delay: x.Delay}
	if x.Duplicate > 0 && f.random.Float64() < x.Duplicate {
		out.copies = 2
	}
	if x.Reorder > 0 && f.random.Float64() < x.Reorder {
		out.delay += x.Hold
	}
	return out
}

// send carries out a packet's fate. The packet's memory is the caller's again
// when it returns.
func send(x fate, by *net.UDPConn, packet []byte, to netip.AddrPort) {
	if x.delay > 0 {
		held := slices.Clone(packet)
		copies := x.copies
		time.AfterFunc(x.delay, func() { write(by, held, to, copies) })
		return
	}
	write(by, packet, to, x.copies)
}

func write(by *net.UDPConn, packet []byte, to netip.AddrPort, copies int) {
	for range copies {
		_, _ = by.WriteToUDPAddrPort(packet, to)
	}
}

// read takes callers' packets.
func (x *front) read() {
	defer x.fabric.readers.Done()
	buffer := make([]byte, bufferSize)
	for {
		n, from, err := x.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			x.up(unmap(from), buffer[:n])
		}
	}
}

// up hands a caller's packet to a balancer.
func (x *front) up(caller netip.AddrPort, packet []byte) {
	f := x.fabric
	f.mu.Lock()
	s := x.sessionLocked(caller)
	if s == nil {
		f.mu.Unlock()
		return
	}
	if len(f.balancers) == 0 {
		f.stats.NoBalancer++
		f.mu.Unlock()
		return
	}
	balancer := f.balancers[f.random.IntN(len(f.balancers))]
	fate := f.fateLocked(caller, balancer)
	f.stats.FromCallers++
	f.mu.Unlock()
	if !fate.lost {
		send(fate, s.socket, packet, netip.AddrPortFrom(balancer, x.address.Port()))
	}
}

func (x *front) sessionLocked(caller netip.AddrPort) *session {
	if s := x.sessions[caller]; s != nil {
		return s
	}
	if x.fabric.closed || len(x.sessions) >= sessionLimit {
		return nil
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(x.address.Addr(), 0)))
	if err != nil {
		return nil
	}
	_ = socket.SetReadBuffer(socketBuffer)
	s := &session{caller: caller, socket: socket}
	x.sessions[caller] = s
	x.fabric.readers.Add(1)
	go x.back(s)
	return s
}

// back carries what balancers send for one caller.
func (x *front) back(s *session) {
	defer x.fabric.readers.Done()
	defer x.drop(s)
	buffer := make([]byte, bufferSize)
	for {
		_ = s.socket.SetReadDeadline(time.Now().Add(sessionIdle))
		n, from, err := s.socket.ReadFromUDPAddrPort(buffer)
		var timeout net.Error
		if errors.Is(err, net.ErrClosed) || errors.As(err, &timeout) && timeout.Timeout() {
			return
		}
		if err == nil {
			x.down(s, unmap(from), buffer[:n])
		}
	}
}

func (x *front) down(s *session, from netip.AddrPort, packet []byte) {
	f := x.fabric
	f.mu.Lock()
	fate := f.fateLocked(s.caller, from.Addr())
	f.stats.ToCallers++
	f.mu.Unlock()
	if !fate.lost {
		send(fate, x.socket, packet, s.caller)
	}
}

func (x *front) drop(s *session) {
	x.fabric.mu.Lock()
	defer x.fabric.mu.Unlock()
	_ = s.socket.Close()
	if x.sessions[s.caller] == s {
		delete(x.sessions, s.caller)
	}
}

func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
