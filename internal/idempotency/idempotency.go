// Package idempotency makes a request with an idempotency key run at most once,
// whichever agents the caller's resends meet. It holds the state machines of
// both sides, claimants (agents about to run a request) and keepers (agents that
// vote); it has no network and no clock.
//
// Load pattern: a caller loses an answer and resends, at once or minutes later,
// to another agent, while agents join, leave, die and hold tables of different
// revisions. Without claims the second agent runs the submission again: a parish
// billed twice, two conflicting notes.
//
// # The rule
//
// The rows of a service are its agents in the table, in whatever state. A key
// ranks them by rendezvous hash. Before a keyed request runs, the claimant needs
// two votes from the first three rows. A keeper votes once for a key: for the
// first try that asks, until that try gives the key back or the record's time is
// over. Any two pairs out of three share a keeper, so two tries can't both win
// while the first three are the same. The rest is about changes:
//
//   - A row joins and displaces one of the three. For the lookback time after,
//     a claimant must win among the rows with it and among those without it, for
//     each recent join. Agent numbers grow, so the earlier sets of rows are known
//     from the table alone, and a claimant whose table is a little old competes
//     on one of them. Two changes in a row need no overlap of their groups.
//   - A keeper crashes. Its row stays among the three as one that can't vote,
//     until control drops it. Control keeps a retired row longer than the
//     lookback, and a retired keeper doesn't vote, so no try that still counts
//     used its vote when it goes. A restarted agent is a new row under a new
//     number: it remembers nothing and nobody asks it to. While two of a key's
//     three are dead, its requests are refused as not run.
//   - A keeper closes as planned. It stops voting, then sends its records to
//     every other keeper. From then on it may be passed over, the next row takes
//     its place, but only keepers that merged its records have a valid vote in a
//     group that passes it over: they know each try that it ever voted for. A
//     rolling restart of all agents thus keeps keys usable throughout.
//   - A new service has no rows before its first, so there is nothing to look
//     back to: it accepts keys as soon as two agents are registered.
//   - A claimant or keeper whose table hasn't been confirmed for MaxTableAge
//     stands aside: it could be the last who hasn't heard of changes that are
//     older than the lookback.
//
// Why the earlier sets suffice. Call a set's live top the first three rows that
// haven't closed. Every winner has two votes of its set's live top, since rows
// that have closed or died give none. A later claimant has, on that same set,
// all votes of the live top but one, so both share a voter; or the winner used
// the vote of a keeper that has closed since, and every valid voter has that
// record. model_test.go explores this with planted faults.
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
	// group is the number of rows that a key's votes come from. Five would bear
	// two deaths, for two more messages per submission; with deaths of 53 VMs a
	// day in 13,200, two of one key's three within the lookback are rare.
	group = 3
	// quorum is what any two winners must share.
	quorum = 2

	// DefaultWindow is how long a key is valid where the service sets nothing.
	DefaultWindow = 10 * time.Minute
	// MaxTableAge is how old a confirmed table may be for a claimant or keeper.
	// It bounds how long keyed requests go on without any control.
	MaxTableAge = 3 * time.Minute
	// MaxHold is the longest time from a claim to the hand-over to the target,
	// queueing included. A claimant gives the key back afterwards.
	MaxHold = 30 * time.Second
	// skew covers clocks that differ from the control leader's, by which rows
	// are stamped, and the time of the claim itself.
	skew = 90 * time.Second

	// RowsKept is how much longer than a key's window control must keep retired
	// rows in the table.
	RowsKept = MaxTableAge + MaxHold + skew
)

// Lookback is how long a join matters and how long a keeper keeps a record, for
// keys that are valid for window.
func Lookback(window time.Duration) time.Duration {
	if window <= 0 {
		window = DefaultWindow
	}
	return window + RowsKept
}

// Row is one agent of the service as the table has it.
type Row struct {
	Agent    table.AgentNumber
	JoinedMS int64
}

// RowsOf returns the service's rows.
func RowsOf(t *table.Table, service table.ServiceID) []Row {
	var rows []Row
	for _, x := range t.Targets {
		if x.Service == service {
			rows = append(rows, Row{Agent: x.Agent, JoinedMS: x.JoinedAtMS})
		}
	}
	return rows
}

// MayVote tells whether an agent may claim and vote at nowMS: its table is
// recent, says that the agent is part of its service, and has all the retired
// rows that it needs. The age is how long ago control last confirmed the table.
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

// rank orders rows by the key's rendezvous hash, first to vote first.
func rank(rows []Row, key Key) []Row {
	score := func(r Row) uint64 {
		var b [20]byte
		copy(b[:], key[:])
		binary.BigEndian.PutUint32(b[16:], uint32(r.Agent))
		return xxhash.Sum64(b[:])
	}
	out := slices.Clone(rows)
	slices.SortFunc(out, func(a, b Row) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.Agent, b.Agent))
	})
	return out
}

// rowSets returns the ranked agents of each set of rows that a winner may have
// used within the lookback: the rows before the first recent join, and those
// after each. The last is the present set.
func rowSets(rows []Row, key Key, nowMS, lookbackMS int64) [][]table.AgentNumber {
	var settled table.AgentNumber // the highest number that isn't recent
	var ends []table.AgentNumber  // the highest number of each set
	for _, r := range rows {
		if r.JoinedMS > nowMS-lookbackMS {
			ends = append(ends, r.Agent)
		} else {
			settled = max(settled, r.Agent)
		}
	}
	// A row that joined before a settled one is settled too: numbers are given
	// out in order, stamps may repeat.
	ends = slices.DeleteFunc(ends, func(n table.AgentNumber) bool { return n < settled })
	if settled != 0 {
		ends = append(ends, settled)
	}
	slices.Sort(ends)
	ranked := rank(rows, key)
	sets := make([][]table.AgentNumber, 0, len(ends))
	for _, end := range ends {
		var set []table.AgentNumber
		for _, r := range ranked {
			if r.Agent <= end {
				set = append(set, r.Agent)
			}
		}
		sets = append(sets, set)
	}
	return sets
}
