package flow

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"bergamotstall/internal/monotonic"
)

const (
	// balancerSilenceTimeout is how long a flow's packets return through the same
	// balancer without a packet of the flow arriving. Callers acknowledge within 25 ms
	// and a round trip, so a longer silence means that the balancer is gone or the
	// caller is far away or idle; in all cases another balancer serves as well. Until
	// then every return packet through a dead balancer is lost, retransmissions too.
	balancerSilenceTimeout = 100 * time.Millisecond
	// balancerHeardRecently is the maximum time since a balancer's last packet, of any
	// flow, for it to be preferred when a flow's own balancer is silent.
	balancerHeardRecently = 2 * time.Second
	// pathIdleTimeout is how long a path without packets is kept: twice the time after
	// which QUIC ends the flow.
	pathIdleTimeout = 2 * idleTimeout
	// pathLimit bounds the paths, as anyone can send first packets.
	pathLimit = 1 << 16
)

// balancerPeer is a balancer and what its last packet told this agent.
type balancerPeer struct {
	address netip.AddrPort
	// lastHeard is the time of its last packet, see monotonic.Nanos.
	lastHeard atomic.Int64
	// generation is the key generation of its last envelope. Return packets are signed
	// with it, as a balancer that lags in a key rotation has no newer key.
	generation atomic.Uint32
}

// returnPath is the path back to one caller.
type returnPath struct {
	caller *net.UDPAddr
	// balancer delivered the flow's last packet.
	balancer atomic.Pointer[balancerPeer]
	// lastHeard is the time of that packet, see monotonic.Nanos.
	lastHeard atomic.Int64
	// refuseNewFlow is set while a new flow from this caller must be refused.
	refuseNewFlow atomic.Bool
}

// pathTable holds the return paths by caller.
type pathTable struct {
	mu       sync.RWMutex
	byCaller map[netip.AddrPort]*returnPath
	peers    map[netip.AddrPort]*balancerPeer
	// tableBalancers are the balancers listed in the routing table.
	tableBalancers []*balancerPeer
	nextBalancer   atomic.Uint32
	// lastSweep is the time of the last sweep, see monotonic.Nanos.
	lastSweep int64
}

func newPathTable() *pathTable {
	return &pathTable{byCaller: make(map[netip.AddrPort]*returnPath), peers: make(map[netip.AddrPort]*balancerPeer)}
}

// setTableBalancers sets the balancers listed in a new routing table.
func (p *pathTable) setTableBalancers(balancers []netip.AddrPort, generation uint8) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tableBalancers = p.tableBalancers[:0:0]
	for _, b := range balancers {
		p.tableBalancers = append(p.tableBalancers, p.peerLocked(b, generation))
	}
}

// peerLocked returns the peer with an address, and adds it if it is unknown.
func (p *pathTable) peerLocked(address netip.AddrPort, generation uint8) *balancerPeer {
	if peer, ok := p.peers[address]; ok {
		return peer
	}
	peer := &balancerPeer{address: address}
	peer.generation.Store(uint32(generation))
	p.peers[address] = peer
	return peer
}

// recordPacket records that a caller's packet came through a balancer. It returns the
// caller's path, or nil if there are too many paths.
func (p *pathTable) recordPacket(now time.Time, caller, balancer netip.AddrPort, generation uint8) *returnPath {
	p.mu.RLock()
	path, peer := p.byCaller[caller], p.peers[balancer]
	p.mu.RUnlock()
	if path == nil || peer == nil {
		path, peer = p.addPath(now, caller, balancer, generation)
	}
	if path == nil {
		return nil
	}
	nanos := monotonic.Nanos(now)
	peer.generation.Store(uint32(generation))
	peer.lastHeard.Store(nanos)
	path.lastHeard.Store(nanos)
	path.balancer.Store(peer)
	return path
}

func (p *pathTable) addPath(now time.Time, caller, balancer netip.AddrPort, generation uint8) (*returnPath, *balancerPeer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.peerLocked(balancer, generation)
	path, ok := p.byCaller[caller]
	if ok {
		return path, peer
	}
	if len(p.byCaller) >= pathLimit {
		return nil, peer
	}
	path = &returnPath{caller: net.UDPAddrFromAddrPort(caller)}
	path.lastHeard.Store(monotonic.Nanos(now))
	p.byCaller[caller] = path
	return path, peer
}

// find returns a caller's path, or nil if there is none.
func (p *pathTable) find(caller netip.AddrPort) *returnPath {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.byCaller[caller]
}

// returnBalancer returns the balancer for a packet to a caller, and whether it differs
// from the one that delivered the flow's last packet.
func (p *pathTable) returnBalancer(now time.Time, path *returnPath) (peer *balancerPeer, replaced bool) {
	peer = path.balancer.Load()
	if monotonic.Nanos(now)-path.lastHeard.Load() < int64(balancerSilenceTimeout) {
		return peer, false
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	if other := p.pickBalancerLocked(now); other != nil {
		return other, other != peer
	}
	return peer, false
}

// pickBalancerLocked picks the table's balancers in round-robin order, preferring
// those heard from recently, so that a dead one costs single packets, not the flow.
func (p *pathTable) pickBalancerLocked(now time.Time) *balancerPeer {
	count := uint32(len(p.tableBalancers))
	if count == 0 {
		return nil
	}
	start := p.nextBalancer.Add(1)
	oldest := monotonic.Nanos(now.Add(-balancerHeardRecently))
	for i := range count {
		if peer := p.tableBalancers[(start+i)%count]; peer.lastHeard.Load() > oldest {
			return peer
		}
	}
	return p.tableBalancers[start%count]
}

// sweep removes the paths and balancers that were idle too long. It runs at most once
// per pathIdleTimeout.
func (p *pathTable) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	nanos := monotonic.Nanos(now)
	if nanos-p.lastSweep < int64(pathIdleTimeout) {
		return
	}
	p.lastSweep = nanos
	oldest := monotonic.Nanos(now.Add(-pathIdleTimeout))
	for caller, path := range p.byCaller {
		if path.lastHeard.Load() < oldest {
			delete(p.byCaller, caller)
		}
	}
	for address, peer := range p.peers {
		if peer.lastHeard.Load() < oldest {
			delete(p.peers, address)
		}
	}
	// The table's balancers stay known even if they are silent.
	for _, peer := range p.tableBalancers {
		p.peers[peer.address] = peer
	}
}

// count returns the number of paths.
func (p *pathTable) count() int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return len(p.byCaller)
}
