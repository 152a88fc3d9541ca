package idempotency

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/table"
)

func keeperOf(n table.AgentNumber) *Keeper {
	return NewKeeper(n, Limits{Keys: 8, AnswerBytes: 100}, time.Minute)
}

func request(key byte, nonce uint64) Request {
	return Request{Key: Key{key}, ID: ID{Agent: 1, Nonce: nonce}, Caller: Sum{1}, Body: Sum{1}}
}

func TestKeeperVotesOnce(t *testing.T) {
	is := is.New(t)
	k := keeperOf(1)
	first, second := request(1, 1), request(1, 2)
	is.Equal(k.Claim(0, first).Standing, Granted)
	is.Equal(k.Claim(0, first).Standing, Granted) // the same try asks again
	is.Equal(k.Claim(0, second).Standing, Held)

	k.Release(0, Release{Key: first.Key, ID: first.ID})
	is.Equal(k.Claim(0, first).Standing, Closed) // its own late claim takes nothing
	is.Equal(k.Claim(0, second).Standing, Granted)

	answer := &Answer{Status: 200, Body: []byte("noted")}
	k.Finish(1, Finish{Request: second, Standing: Done, Answer: answer})
	reply := k.Claim(2, request(1, 3))
	is.Equal(reply.Standing, Done)
	is.Equal(reply.Answer, answer)
	k.Release(2, Release{Key: second.Key, ID: second.ID}) // nothing undoes a run
	is.Equal(k.Claim(3, request(1, 3)).Standing, Done)
	is.Equal(k.Claim(60_002, request(1, 3)).Standing, Granted) // its time is over
}

// A key that comes again with another body or from another caller is an error;
// the answer of the first request isn't shown.
func TestKeyOfAnotherRequestOrCaller(t *testing.T) {
	is := is.New(t)
	k := keeperOf(1)
	done := request(1, 1)
	k.Finish(0, Finish{Request: done, Standing: Done, Answer: &Answer{Status: 200, Body: []byte("secret")}})

	body := request(1, 2)
	body.Body = Sum{9}
	is.Equal(k.Claim(1, body), Reply{Standing: OtherBody})
	caller := request(1, 3)
	caller.Caller = Sum{9}
	is.Equal(k.Claim(1, caller), Reply{Standing: OtherCaller})
}

// Few heavy callers: one that never reuses a key gets a quarter of the keeper;
// others go on. A full keeper refuses and forgets nothing.
func TestKeeperIsBounded(t *testing.T) {
	is := is.New(t)
	k := keeperOf(1)
	var granted int
	for i := range 20 {
		if k.Claim(0, request(byte(i), uint64(i))).Standing == Granted {
			granted++
		}
	}
	is.Equal(granted, 2)
	for i := range 20 {
		r := request(byte(100+i), uint64(100+i))
		r.Caller = Sum{byte(i + 2)}
		k.Claim(0, r)
	}
	is.Equal(k.Keys(), 8)
	is.Equal(k.Claim(0, request(0, 99)).Standing, Held) // the first is still known
	k.Finish(0, Finish{Request: request(0, 0), Standing: Done, Answer: &Answer{Body: make([]byte, 101)}})
	is.Equal(k.Claim(0, request(0, 99)), Reply{Standing: Done}) // known to have run; text too large
	k.Sweep(60_000)
	is.Equal(k.Keys(), 0)
	is.Equal(k.answerBytes, 0)
	is.Equal(len(k.perCaller), 0)
}

// cluster asks keepers in one process for one try.
type cluster map[table.AgentNumber]*Keeper

func (c cluster) try(r Request, rows []Row, nowMS int64) *Claimant {
	x := NewClaimant(r, rows, nowMS, 60_000)
	for asked := x.Ask(); len(asked) > 0; asked = x.Ask() {
		for _, n := range asked {
			k, ok := c[n]
			if !ok {
				x.Hear(n, nil)
				continue
			}
			reply := k.Claim(nowMS, r)
			x.Hear(n, &reply)
		}
	}
	if x.Verdict() != Won {
		for _, k := range c {
			k.Release(nowMS, Release{Key: r.Key, ID: r.ID})
		}
	}
	return x
}

func rows(first, last table.AgentNumber, joinedMS int64) []Row {
	var out []Row
	for n := first; n <= last; n++ {
		out = append(out, Row{Agent: n, JoinedMS: joinedMS})
	}
	return out
}

// A new service: its keepers are all new, and keyed submissions run from the
// second agent on. One agent alone can't promise anything to a resender.
func TestNewServiceAcceptsKeysAtOnce(t *testing.T) {
	is := is.New(t)
	c := cluster{}
	for n := table.AgentNumber(1); n <= 7; n++ {
		c[n] = keeperOf(n)
		want := Won
		if n == 1 {
			want = NoQuorum
		}
		r := Request{Key: Key{byte(n)}, ID: ID{Agent: n}, Caller: Sum{byte(n)}}
		is.Equal(c.try(r, rows(1, n, int64(n)), int64(n)).Verdict(), want)
	}
}

// The caller lost its answer and resends. Meanwhile one of the key's three
// keepers has restarted, or two: with one the resend finds the run, with two it
// is refused as not run, until the lookback is over; it never runs again.
func TestKeepersRestartedBetweenClaimAndResend(t *testing.T) {
	for restarts, want := range map[int]Verdict{1: Known, 2: Known, 3: NoQuorum} {
		t.Run(fmt.Sprint(restarts), func(t *testing.T) {
			is := is.New(t)
			c := cluster{}
			for n := table.AgentNumber(1); n <= 5; n++ {
				c[n] = keeperOf(n)
			}
			all := rows(1, 5, 0)
			first := c.try(request(1, 1), all, 100_000)
			is.Equal(first.Verdict(), Won)
			for _, n := range first.Asked() {
				c[n].Finish(100_000, Finish{Request: request(1, 1), Standing: Done})
			}
			for i, n := range first.Asked()[:restarts] {
				delete(c, n)
				fresh := table.AgentNumber(6 + i)
				c[fresh] = keeperOf(fresh)
				all = append(all, Row{Agent: fresh, JoinedMS: 101_000})
			}
			is.Equal(c.try(request(1, 2), all, 102_000).Verdict(), want)
			if want == NoQuorum { // also for a key that nobody used: it can't be told apart
				is.Equal(c.try(request(1, 3), all, 150_000).Verdict(), NoQuorum)
			}
		})
	}
}

// A rolling restart as planned: each agent closes and hands its records over
// before the next goes. Old keys stay known and new ones run throughout.
func TestRollingRestartKeepsKeys(t *testing.T) {
	is := is.New(t)
	c := cluster{}
	all := rows(1, 3, 0)
	for n := table.AgentNumber(1); n <= 3; n++ {
		c[n] = NewKeeper(n, Limits{}, time.Minute)
	}
	first := c.try(request(1, 1), all, 100_000)
	is.Equal(first.Verdict(), Won)
	for i := table.AgentNumber(1); i <= 3; i++ {
		now := 100_000 + int64(i)*1000
		h := c[i].Close(now)
		delete(c, i)
		for _, k := range c {
			is.True(k.Merge(now, h))
		}
		is.Equal(c.try(request(1, 100+uint64(i)), all, now).Verdict(), Running)
		c[3+i] = NewKeeper(3+i, Limits{}, time.Minute)
		all = append(all, Row{Agent: 3 + i, JoinedMS: now})
		fresh := c.try(request(10+byte(i), 200+uint64(i)), all, now)
		is.Equal(fresh.Verdict(), Won)
	}
	is.Equal(c.try(request(1, 300), all, 104_000).Verdict(), Running)
}

func TestOldOrRetiredAgentsDontVote(t *testing.T) {
	is := is.New(t)
	tab := &table.Table{
		Services: []table.Service{{ID: 1}, {ID: 2, KeysFromMS: 5000}},
		Targets: []table.Target{
			{Agent: 1, Service: 1, State: table.Active},
			{Agent: 2, Service: 1, State: table.Draining},
			{Agent: 3, Service: 1, State: table.Retired},
			{Agent: 4, Service: 2, State: table.Active},
		},
	}
	is.True(MayVote(tab, 1, 0, 1))
	is.True(MayVote(tab, 2, MaxTableAge, 1))
	is.True(!MayVote(tab, 3, 0, 1))
	is.True(!MayVote(tab, 5, 0, 1))
	is.True(!MayVote(tab, 1, MaxTableAge+1, 1))
	is.True(!MayVote(nil, 1, 0, 1))
	is.True(!MayVote(tab, 4, 0, 4999)) // retired keepers were dropped early
	is.True(MayVote(tab, 4, 0, 5000))
}
