package flow

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// balancerSilence is how long a flow's answers go by one balancer without a
	// packet of the flow coming in. Callers acknowledge within 25 ms and a round
	// trip, so that more silence means that the balancer is gone, or the caller
	// far or quiet; all make another balancer as good. Until then each answer and
	// each of its retransmissions is lost to a dead one.
	balancerSilence = 100 * time.Millisecond
	// peerFresh is how recently a balancer must have been heard of, by any flow,
	// to be preferred for a flow whose own balancer fell silent.
	peerFresh = 2 * time.Second
	// pathIdle is how long a path without packets is kept: twice the time after
	// which QUIC has given the flow up.
	pathIdle = 2 * idleTimeout
	// pathLimit bounds the paths, as first packets can be sent by anyone.
	pathLimit = 1 << 16
)

// peer is a balancer, as this agent hears it.
type peer struct {
	address netip.AddrPort
	// heard is when its last packet came, in Unix nanoseconds.
	heard atomic.Int64
	// generation is the key generation of its last envelope. Answers are signed
	// under it, as a balancer behind in a key rotation knows no newer one.
	generation atomic.Uint32
}

// path is the way back to one caller.
type path struct {
	caller *net.UDPAddr
	// balancer brought the flow's last packet.
	balancer atomic.Pointer[peer]
	// heard is when that was, in Unix nanoseconds.
	heard atomic.Int64
	// refused is set while a new flow from this caller is to be refused.
	refused atomic.Bool
}

// paths holds the ways back by caller.
type paths struct {
	mu    sync.RWMutex
	paths map[netip.AddrPort]*path
	peers map[netip.AddrPort]*peer
	// live are the balancers of the table.
	live []*peer
	next atomic.Uint32
	// swept is when idle paths were last looked for, in Unix nanoseconds.
	swept int64
}

func newPaths() *paths {
	return &paths{paths: make(map[netip.AddrPort]*path), peers: make(map[netip.AddrPort]*peer)}
}

// setLive takes over the balancers of a new table.
func (p *paths) setLive(balancers []netip.AddrPort, generation uint8) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.live = p.live[:0:0]
	for _, b := range balancers {
		p.live = append(p.live, p.peerLocked(b, generation))
	}
}

func (p *paths) peerLocked(address netip.AddrPort, generation uint8) *peer {
	if x, ok := p.peers[address]; ok {
		return x
	}
	x := &peer{address: address}
	x.generation.Store(uint32(generation))
	p.peers[address] = x
	return x
}

// arrived notes that a packet of the caller came by a balancer, and returns the
// caller's path, nil where there are too many.
func (p *paths) arrived(now time.Time, caller, balancer netip.AddrPort, generation uint8) *path {
	p.mu.RLock()
	way, by := p.paths[caller], p.peers[balancer]
	p.mu.RUnlock()
	if way == nil || by == nil {
		way, by = p.add(now, caller, balancer, generation)
	}
	if way == nil {
		return nil
	}
	nanos := now.UnixNano()
	by.generation.Store(uint32(generation))
	by.heard.Store(nanos)
	way.heard.Store(nanos)
	way.balancer.Store(by)
	return way
}

func (p *paths) add(now time.Time, caller, balancer netip.AddrPort, generation uint8) (*path, *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	by := p.peerLocked(balancer, generation)
	way, ok := p.paths[caller]
	if ok {
		return way, by
	}
	if len(p.paths) >= pathLimit {
		return nil, by
	}
	way = &path{caller: net.UDPAddrFromAddrPort(caller)}
	way.heard.Store(now.UnixNano())
	p.paths[caller] = way
	return way, by
}

// find returns a caller's path, nil where there is none.
func (p *paths) find(caller netip.AddrPort) *path {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.paths[caller]
}

// back returns the balancer that a caller's answer goes by, and whether it
// isn't the one that the flow's last packet came by.
func (p *paths) back(now time.Time, way *path) (by *peer, replaced bool) {
	by = way.balancer.Load()
	if now.UnixNano()-way.heard.Load() < int64(balancerSilence) {
		return by, false
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	if other := p.pickLocked(now); other != nil {
		return other, other != by
	}
	return by, false
}

// pickLocked takes turns through the table's balancers, those heard of lately
// first, so that a dead one costs one packet in a turn and not the flow.
func (p *paths) pickLocked(now time.Time) *peer {
	count := uint32(len(p.live))
	if count == 0 {
		return nil
	}
	start := p.next.Add(1)
	oldest := now.Add(-peerFresh).UnixNano()
	for i := range count {
		if x := p.live[(start+i)%count]; x.heard.Load() > oldest {
			return x
		}
	}
	return p.live[start%count]
}

// sweep drops the paths and balancers that were idle too long. It looks at most
// once in a pathIdle.
func (p *paths) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	nanos := now.UnixNano()
	if nanos-p.swept < int64(pathIdle) {
		return
	}
	p.swept = nanos
	oldest := now.Add(-pathIdle).UnixNano()
	for caller, way := range p.paths {
		if way.heard.Load() < oldest {
			delete(p.paths, caller)
		}
	}
	for address, by := range p.peers {
		if by.heard.Load() < oldest {
			delete(p.peers, address)
		}
	}
	// Those of the table stay known, silent or not.
	for _, by := range p.live {
		p.peers[by.address] = by
	}
}

// counts returns the number of paths.
func (p *paths) count() int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return len(p.paths)
}
