// Package fairshare decides whose first packets wait, and whose are refused, while a service
// has fewer slots than its callers ask for. It does no network I/O and reads no clock.
//
// The load that it answers: callers ask for more than all targets of a service can run, and
// some clients ask for much more than others. In order of arrival, or with the newest first,
// slots go to whoever sends most. Fairness at each agent alone doesn't help: a client whose
// flows are spread over all agents takes a small share of each and a large one of the
// service. And a first packet that is held until its caller gives up costs the caller more
// than a refusal at once.
//
//   - A client's usage (Usage) is its recent admitted flows. The fabric hashes flows over the
//     balancers, so each balancer sees a sample of all that a client does, wherever its flows
//     were placed. Balancers stamp first packets with it (Stamp), and agents go by the
//     highest that they know.
//   - Among equally urgent callers those go first whose clients are furthest below their
//     share (Rank). Nothing is reserved: what some leave is given to the others.
//   - While callers wait at all targets, a balancer refuses some first packets at once (Visit):
//     the more, the longer callers wait, and those of clients above their share first.
package fairshare

import (
	"math"
	"time"
)

// Client is the source of flows at one urgency. Ports change with each flow, so a client is
// its address.
type Client struct {
	IP [4]byte
	// Priority is that of the route; 0 is the most urgent. What a client uses of one urgency
	// doesn't count at another.
	Priority uint32
}

const (
	// usageTime is the time constant with which usage decays. Clients of a few requests a
	// second must be told from clients of many by what a single balancer sees of them; and a
	// client that was quiet may use its share of some seconds at once.
	usageTime = 10 * time.Second
	// activeFor is how long after its last flow a client counts as one that wants a share: a
	// refused caller has come again by then.
	activeFor = 2 * time.Second
	// shareInterval is the time between two calculations of the share.
	shareInterval = 50 * time.Millisecond
	// maxClients bounds the clients that are counted, some 60 B each. Those beyond it count
	// as unknown.
	maxClients = 8_192
	// forgetBelow is the usage, in flows, below which an inactive client is forgotten.
	forgetBelow = 0.1
	// sweepInterval is the time between two removals of forgotten clients.
	sweepInterval = time.Second
)

// Usage counts the clients' recent admitted flows, as far as one node knows them. The zero
// value is not usable; see NewUsage.
type Usage struct {
	clients     map[Client]*usage
	shares      map[uint32]share
	nextSweepAt time.Duration
}

// usage is a client's count of flows, decayed until at.
type usage struct {
	flows      float64
	at, seenAt time.Duration
}

// share is the mean usage of the active clients of one urgency.
type share struct {
	flows float64
	until time.Duration
}

// NewUsage returns an empty count.
func NewUsage() *Usage { return &Usage{clients: map[Client]*usage{}, shares: map[uint32]share{}} }

// See records that a client asks for a slot.
func (u *Usage) See(now time.Duration, c Client) {
	if x := u.entry(now, c); x != nil {
		x.seenAt = now
	}
}

// Add counts an admitted flow of a client, or a request over an open one.
func (u *Usage) Add(now time.Duration, c Client) {
	if x := u.entry(now, c); x != nil {
		x.flows++
	}
}

// Raise records that another node counts at least as many flows of a client.
func (u *Usage) Raise(now time.Duration, c Client, flows float64) {
	if x := u.entry(now, c); x != nil {
		x.flows = max(x.flows, min(flows, maxStated))
	}
}

// Of returns a client's usage in flows; 0 if it isn't known.
func (u *Usage) Of(now time.Duration, c Client) float64 {
	x := u.clients[c]
	if x == nil {
		return 0
	}
	x.decay(now)
	return x.flows
}

// Share returns the usage at which all active clients of an urgency would be equal.
func (u *Usage) Share(now time.Duration, priority uint32) float64 {
	if s, ok := u.shares[priority]; ok && now < s.until {
		return s.flows
	}
	sum, n := 0.0, 0
	for c, x := range u.clients {
		if c.Priority == priority && now-x.seenAt < activeFor {
			x.decay(now)
			sum += x.flows
			n++
		}
	}
	s := share{flows: sum / float64(max(1, n)), until: now + shareInterval}
	u.shares[priority] = s
	return s.flows
}

// Excess returns a client's usage as a multiple of its share, at least 1.
func (u *Usage) Excess(now time.Duration, c Client) float64 {
	return max(1, atLeast(u.Of(now, c))/max(1, u.Share(now, c.Priority)))
}

const (
	// WithinShare is the highest rank of a client that isn't above its share.
	WithinShare = 1
	// maxRank bounds the ranks: beyond it, further excess makes no difference.
	maxRank = 16
	// ranksPerDoubling is how many ranks a doubling of usage makes. A client can exceed its
	// share by one rank before all others of its urgency go first.
	ranksPerDoubling = 2
	// doubt is how many standard deviations of a random sample a count of flows may differ
	// from the share: of clients with equal usage, one in fifteen is found above it.
	doubt = 1.5
)

// Rank returns a client's place in the order of admission, 0 for those that go first: who has
// certainly had less than half of its share, then all who may have had no more than it, then
// the others by how far they are above it. Callers of one rank are left to another order, such
// as that of their goals, which is why there aren't more ranks.
func (u *Usage) Rank(now time.Duration, c Client) uint32 {
	if u.clients[c] == nil && len(u.clients) >= maxClients {
		return WithinShare // it may have used any amount
	}
	s := max(1, u.Share(now, c.Priority))
	flows := u.Of(now, c)
	switch {
	case atMost(flows) < s/2:
		return 0
	case atLeast(flows) <= s:
		return WithinShare
	}
	return min(maxRank, WithinShare+uint32(math.Ceil(ranksPerDoubling*math.Log2(atLeast(flows)/s))))
}

// Urgency orders callers by the priority of their routes and, at one priority, those below
// their share first and those above it last; the lowest is the most urgent.
type Urgency uint32

const (
	// urgenciesPerPriority is how many urgencies there are at one priority: one for rank 0, one
	// for WithinShare and one for all ranks above.
	urgenciesPerPriority = 3
	maxPriority          = math.MaxUint32/urgenciesPerPriority - 1
)

// UrgencyOf returns the urgency of a caller whose client has the given rank.
func UrgencyOf(priority, rank uint32) Urgency {
	return urgenciesPerPriority*Urgency(min(priority, maxPriority)) + Urgency(min(rank, WithinShare+1))
}

// atLeast and atMost bound the mean of which a count of flows is a sample.
func atLeast(flows float64) float64 { return flows - doubt*math.Sqrt(flows) }
func atMost(flows float64) float64  { return flows + doubt*math.Sqrt(flows+1) }

// Clients returns the number of clients that are counted.
func (u *Usage) Clients() int { return len(u.clients) }

// entry returns a client's entry, decayed until now; nil if there is no room for it.
func (u *Usage) entry(now time.Duration, c Client) *usage {
	x := u.clients[c]
	if x == nil {
		u.sweep(now)
		if len(u.clients) >= maxClients {
			return nil
		}
		x = &usage{at: now, seenAt: now}
		u.clients[c] = x
	}
	x.decay(now)
	return x
}

// sweep forgets the clients that have used next to nothing lately.
func (u *Usage) sweep(now time.Duration) {
	if now < u.nextSweepAt {
		return
	}
	u.nextSweepAt = now + sweepInterval
	for c, x := range u.clients {
		if x.decay(now); x.flows < forgetBelow && now-x.seenAt >= activeFor {
			delete(u.clients, c)
		}
	}
}

func (x *usage) decay(now time.Duration) {
	if now > x.at {
		x.flows *= math.Exp(-float64(now-x.at) / float64(usageTime))
		x.at = now
	}
}
