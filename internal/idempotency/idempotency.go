// Package idempotency ensures that a request with an idempotency key runs at most once,
// whichever agents the caller's resends reach. It implements both sides as state machines
// without network or clock: claims (made by an agent that is about to run a request) and
// voters (one for each agent).
//
// The problem: a caller loses a response and resends the request, at once or minutes
// later, to another agent, while agents join, leave, crash and use tables of different
// revisions. Without claims, the second agent runs the request again: a parish is billed
// twice, or two conflicting notes exist.
//
// # Protocol
//
// The members of a service are its agents in the table, in any state. Each key ranks them
// by rendezvous hashing. Before a request with a key runs, its claim needs two votes from
// the first three members. A voter votes once for a key: for the first claim that asks,
// until that claim releases the key or the voter's record expires. Any two pairs out of
// three share a voter, so two claims can't both win while the first three members are the
// same. The other rules cover membership changes:
//
//   - A member joins and displaces one of the three. For the lookback time afterwards, a
//     claim must win in the membership before and after each recent join. Agent numbers
//     only grow, so the table alone is enough to reconstruct earlier memberships, and a
//     claim made with a slightly old table competes in one of them. Consecutive changes
//     need no overlap between their groups of three.
//   - A voter crashes. Its member remains one of the three but can't vote, until control
//     removes it from the table. Control keeps a retired member for longer than the
//     lookback, and a retired voter doesn't vote. So when the member is removed, no claim
//     that still counts has used its vote. A restarted agent is a new member with a new
//     number, has no records, and isn't expected to have any. While two of a key's three
//     members are dead, requests with the key are refused as not run.
//   - A voter shuts down as planned. It stops voting, then sends its records to all other
//     voters. From then on claims may skip it and the next member takes its place, but in
//     a group that skips it only voters that have merged its records have a valid vote:
//     they know every claim that it ever voted for. Keys therefore stay usable during a
//     rolling restart of all agents.
//   - A new service has no members before its first one, so there is no earlier
//     membership to check: it accepts keys as soon as two agents are registered.
//   - An agent whose table hasn't been confirmed for MaxTableAge neither claims nor
//     votes: it could be the last agent that hasn't heard of changes older than the
//     lookback.
//
// Why checking earlier memberships is sufficient: let the open voters of a membership be
// its first three members that haven't closed. Every winner has two votes of its
// membership's open voters, since closed and dead members grant none. A later claim has,
// in that same membership, the votes of all open voters but one, so the two share a
// voter. Otherwise the winner used the vote of a voter that has closed since, and every
// valid voter has that record. model_test.go checks this by random exploration, also with
// injected faults.
package idempotency

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotstall/internal/table"
)

const (
	// groupSize is the number of members that vote on a key. Five would tolerate two dead
	// voters at the cost of two more messages per request; at 53 VM failures a day among
	// 13,200 VMs, two failures among one key's three voters within the lookback are rare.
	groupSize = 3
	// quorum is the number of votes that a claim needs; any two quorums of a group share
	// a voter.
	quorum = 2

	// DefaultWindow is how long a key is valid if the service doesn't set a window.
	DefaultWindow = 10 * time.Minute
	// MaxTableAge is the maximum time since control last confirmed an agent's table for
	// the agent to claim and vote. It bounds how long requests with keys are accepted
	// while no control VM is reachable.
	MaxTableAge = 3 * time.Minute
	// MaxClaimAge is the maximum time from the start of a claim until its request is sent
	// to the target, time in the queue included. Afterwards the claim releases the key.
	MaxClaimAge = 30 * time.Second
	// clockSkew allows for clock differences from the control leader, which sets the
	// members' join times, and for the duration of the claim itself.
	clockSkew = 90 * time.Second

	// RetiredRetention is how much longer than a key's window control must keep retired members
	// in the table.
	RetiredRetention = MaxTableAge + MaxClaimAge + clockSkew
)

// Lookback returns how long a join affects claims and how long a voter keeps a record,
// for keys that are valid for window.
func Lookback(window time.Duration) time.Duration {
	if window <= 0 {
		window = DefaultWindow
	}
	return window + RetiredRetention
}

// Member is one agent of a service as listed in the table.
type Member struct {
	Agent    table.AgentNumber
	JoinedMS int64
}

// MembersOf returns the members of a service.
func MembersOf(t *table.Table, service table.ServiceID) []Member {
	var members []Member
	for _, x := range t.Targets {
		if x.Service == service {
			members = append(members, Member{Agent: x.Agent, JoinedMS: x.JoinedAtMS})
		}
	}
	return members
}

// MayVote tells whether an agent may claim and vote at nowMS: its table is recent, lists
// the agent as a member that isn't retired, and has all the retired members that voting
// relies on. age is the time since control last confirmed the table.
func MayVote(t *table.Table, agent table.AgentNumber, age time.Duration, nowMS int64) bool {
	if t == nil || age > MaxTableAge {
		return false
	}
	own, ok := t.Target(agent)
	if !ok || own.State == table.Retired {
		return false
	}
	service, ok := t.Service(own.Service)
	return ok && nowMS >= service.KeysFromMS
}

// rank sorts members by the key's rendezvous hash, the first voter first.
func rank(members []Member, key Key) []Member {
	score := func(m Member) uint64 {
		var b [20]byte
		copy(b[:], key[:])
		binary.BigEndian.PutUint32(b[16:], uint32(m.Agent))
		return xxhash.Sum64(b[:])
	}
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b Member) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.Agent, b.Agent))
	})
	return out
}

// recentMemberships returns the ranked agents of each membership in which a claim may
// have won within the lookback: the members before the first recent join, and those after
// each recent join. The last one is the current membership.
func recentMemberships(members []Member, key Key, nowMS, lookbackMS int64) [][]table.AgentNumber {
	var settled table.AgentNumber // the highest agent number that didn't join recently
	var ends []table.AgentNumber  // the highest agent number of each membership
	for _, m := range members {
		if m.JoinedMS > nowMS-lookbackMS {
			ends = append(ends, m.Agent)
		} else {
			settled = max(settled, m.Agent)
		}
	}
	// A member with a lower number than a settled one is settled too: numbers are
	// assigned in order, while join times may be equal.
	ends = slices.DeleteFunc(ends, func(n table.AgentNumber) bool { return n < settled })
	if settled != 0 {
		ends = append(ends, settled)
	}
	slices.Sort(ends)
	ranked := rank(members, key)
	memberships := make([][]table.AgentNumber, 0, len(ends))
	for _, end := range ends {
		var membership []table.AgentNumber
		for _, m := range ranked {
			if m.Agent <= end {
				membership = append(membership, m.Agent)
			}
		}
		memberships = append(memberships, membership)
	}
	return memberships
}
