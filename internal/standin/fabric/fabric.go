// Package fabric is a stand-in for the platform's network fabric on loopback. It
// receives callers' packets on a service's address and forwards each one to a random
// balancer, regardless of its flow. It can inject network faults. It is used by the
// demo and by tests only.
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
	packetBufferSize = 2048
	socketBufferSize = 4 << 20
	// sessionIdleTimeout is after how long without packets from balancers a caller's
	// socket is closed.
	sessionIdleTimeout = time.Minute
	// sessionLimit bounds the number of callers, since each needs a socket.
	sessionLimit = 4096
)

// Faults are the network faults injected in each direction.
type Faults struct {
	// Loss, Duplicate and Reorder are probabilities for each packet. A reordered
	// packet is delayed by ReorderDelay.
	Loss, Duplicate, Reorder float64
	ReorderDelay             time.Duration
	// Delay is the one-way delay added to every packet.
	Delay time.Duration
}

// Stats counts packets since the start.
type Stats struct {
	// FromCallers and ToCallers are the packets received in each direction, lost ones
	// included; Lost were dropped by a fault; NoBalancer were dropped because the set
	// of balancers was empty.
	FromCallers, ToCallers, Lost, NoBalancer int
}

// Fabric forwards packets between callers and balancers. Its settings may change while
// it runs.
type Fabric struct {
	mu          sync.Mutex
	random      *rand.Rand
	faults      Faults
	balancers   []netip.Addr
	partitioned map[netip.Addr]bool
	silenced    map[netip.AddrPort]bool
	stats       Stats
	frontends   []*frontend
	closed      bool
	readers     sync.WaitGroup
}

// frontend is the socket of one service address.
type frontend struct {
	fabric   *Fabric
	address  netip.AddrPort
	socket   *net.UDPConn
	sessions map[netip.AddrPort]*session
}

// session is a caller's socket towards the balancers. With one socket per caller,
// balancers see one source address per caller.
type session struct {
	caller netip.AddrPort
	socket *net.UDPConn
}

// ErrOpen is returned if the fabric can't listen on a service address.
var ErrOpen = errors.New("fabric: can't listen on service address")

// New returns a fabric that draws balancers and faults from a random generator with the
// given seed.
func New(seed uint64) *Fabric {
	return &Fabric{
		random:      rand.New(rand.NewPCG(seed, seed)),
		partitioned: make(map[netip.Addr]bool),
		silenced:    make(map[netip.AddrPort]bool),
	}
}

// Listen listens for callers on a service's address and forwards their packets to the
// same port of the balancers' addresses.
func (f *Fabric) Listen(address netip.AddrPort) error {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return errors.Wrapf(ErrOpen, "%v: %v", address, err)
	}
	_ = socket.SetReadBuffer(socketBufferSize)
	_ = socket.SetWriteBuffer(socketBufferSize)
	fe := &frontend{fabric: f, address: address, socket: socket, sessions: make(map[netip.AddrPort]*session)}
	f.mu.Lock()
	f.frontends = append(f.frontends, fe)
	f.readers.Add(1)
	f.mu.Unlock()
	go fe.readCallers()
	return nil
}

// SetBalancers replaces the set of balancers.
func (f *Fabric) SetBalancers(all ...netip.Addr) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = slices.Clone(all)
}

// AddBalancer adds a balancer to the set.
func (f *Fabric) AddBalancer(b netip.Addr) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = append(f.balancers, b)
}

// RemoveBalancer removes a balancer from the set.
func (f *Fabric) RemoveBalancer(b netip.Addr) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = slices.DeleteFunc(f.balancers, func(x netip.Addr) bool { return x == b })
}

// SetFaults replaces the injected faults.
func (f *Fabric) SetFaults(x Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = x
}

// Partition drops all packets to and from a balancer that stays in the set; Heal ends
// that.
func (f *Fabric) Partition(b netip.Addr) { f.setPartitioned(b, true) }

// Heal ends a partition.
func (f *Fabric) Heal(b netip.Addr) { f.setPartitioned(b, false) }

func (f *Fabric) setPartitioned(b netip.Addr, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned[b] = on
}

// Silence drops all packets to and from a caller from now on.
func (f *Fabric) Silence(caller netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silenced[caller] = true
}

// Callers returns the addresses of all callers with a session.
func (f *Fabric) Callers() []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []netip.AddrPort
	for _, fe := range f.frontends {
		for caller := range fe.sessions {
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

// Close stops the fabric and returns once its goroutines have ended.
func (f *Fabric) Close() {
	f.mu.Lock()
	f.closed = true
	for _, fe := range f.frontends {
		_ = fe.socket.Close()
		for _, s := range fe.sessions {
			_ = s.socket.Close()
		}
	}
	f.mu.Unlock()
	f.readers.Wait()
}

// decision is how the faults affect one packet.
type decision struct {
	lost   bool
	copies int
	delay  time.Duration
}

// decideLocked draws the faults of one packet.
func (f *Fabric) decideLocked(caller netip.AddrPort, balancer netip.Addr) decision {
	x := f.faults
	if f.silenced[caller] || f.partitioned[balancer] || x.Loss > 0 && f.random.Float64() < x.Loss {
		f.stats.Lost++
		return decision{lost: true}
	}
	out := decision{copies: 1, delay: x.Delay}
	if x.Duplicate > 0 && f.random.Float64() < x.Duplicate {
		out.copies = 2
	}
	if x.Reorder > 0 && f.random.Float64() < x.Reorder {
		out.delay += x.ReorderDelay
	}
	return out
}

// send sends a packet as decided. It doesn't keep a reference to packet.
func send(d decision, by *net.UDPConn, packet []byte, to netip.AddrPort) {
	if d.delay > 0 {
		copied := slices.Clone(packet)
		copies := d.copies
		time.AfterFunc(d.delay, func() { write(by, copied, to, copies) })
		return
	}
	write(by, packet, to, d.copies)
}

func write(by *net.UDPConn, packet []byte, to netip.AddrPort, copies int) {
	for range copies {
		_, _ = by.WriteToUDPAddrPort(packet, to)
	}
}

// readCallers reads callers' packets until the socket is closed.
func (fe *frontend) readCallers() {
	defer fe.fabric.readers.Done()
	buffer := make([]byte, packetBufferSize)
	for {
		n, from, err := fe.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			fe.toBalancer(unmap(from), buffer[:n])
		}
	}
}

// toBalancer forwards a caller's packet to a random balancer.
func (fe *frontend) toBalancer(caller netip.AddrPort, packet []byte) {
	f := fe.fabric
	f.mu.Lock()
	s := fe.sessionLocked(caller)
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
	d := f.decideLocked(caller, balancer)
	f.stats.FromCallers++
	f.mu.Unlock()
	if !d.lost {
		send(d, s.socket, packet, netip.AddrPortFrom(balancer, fe.address.Port()))
	}
}

func (fe *frontend) sessionLocked(caller netip.AddrPort) *session {
	if s := fe.sessions[caller]; s != nil {
		return s
	}
	if fe.fabric.closed || len(fe.sessions) >= sessionLimit {
		return nil
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(fe.address.Addr(), 0)))
	if err != nil {
		return nil
	}
	_ = socket.SetReadBuffer(socketBufferSize)
	s := &session{caller: caller, socket: socket}
	fe.sessions[caller] = s
	fe.fabric.readers.Add(1)
	go fe.readBalancers(s)
	return s
}

// readBalancers forwards balancers' packets to one caller.
func (fe *frontend) readBalancers(s *session) {
	defer fe.fabric.readers.Done()
	defer fe.closeSession(s)
	buffer := make([]byte, packetBufferSize)
	for {
		_ = s.socket.SetReadDeadline(time.Now().Add(sessionIdleTimeout))
		n, from, err := s.socket.ReadFromUDPAddrPort(buffer)
		var timeout net.Error
		if errors.Is(err, net.ErrClosed) || errors.As(err, &timeout) && timeout.Timeout() {
			return
		}
		if err == nil {
			fe.toCaller(s, unmap(from), buffer[:n])
		}
	}
}

func (fe *frontend) toCaller(s *session, from netip.AddrPort, packet []byte) {
	f := fe.fabric
	f.mu.Lock()
	d := f.decideLocked(s.caller, from.Addr())
	f.stats.ToCallers++
	f.mu.Unlock()
	if !d.lost {
		send(d, fe.socket, packet, s.caller)
	}
}

func (fe *frontend) closeSession(s *session) {
	fe.fabric.mu.Lock()
	defer fe.fabric.mu.Unlock()
	_ = s.socket.Close()
	if fe.sessions[s.caller] == s {
		delete(fe.sessions, s.caller)
	}
}

func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
