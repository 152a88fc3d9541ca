package idempotency

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/table"
)

func newTestVoter(n table.AgentNumber) *Voter {
	return NewVoter(n, Limits{Keys: 8, ResponseBytes: 100}, time.Minute)
}

func request(key byte, nonce uint64) Request {
	return Request{Key: Key{key}, ID: ClaimID{Agent: 1, Nonce: nonce}, Caller: Hash{1}, Body: Hash{1}}
}

func TestVoterVotesOnce(t *testing.T) {
	is := is.New(t)
	k := newTestVoter(1)
	first, second := request(1, 1), request(1, 2)
	is.Equal(k.Vote(0, first).State, Granted)
	is.Equal(k.Vote(0, first).State, Granted) // the same claim asks again
	is.Equal(k.Vote(0, second).State, HeldByOtherClaim)

	k.Release(0, Release{Key: first.Key, ID: first.ID})
	is.Equal(k.Vote(0, first).State, Closed) // its own delayed request isn't granted
	is.Equal(k.Vote(0, second).State, Granted)

	response := &Response{Status: 200, Body: []byte("noted")}
	k.Finish(1, Finish{Request: second, State: Done, Response: response})
	reply := k.Vote(2, request(1, 3))
	is.Equal(reply.State, Done)
	is.Equal(reply.Response, response)
	k.Release(2, Release{Key: second.Key, ID: second.ID}) // a release doesn't remove a finished request
	is.Equal(k.Vote(3, request(1, 3)).State, Done)
	is.Equal(k.Vote(60_002, request(1, 3)).State, Granted) // the record has expired
}

// Guards against replaying a stored response to a different request or a different caller
// that uses the same key. Both get an error without the response.
func TestKeyOfAnotherRequestOrCaller(t *testing.T) {
	is := is.New(t)
	k := newTestVoter(1)
	done := request(1, 1)
	k.Finish(0, Finish{Request: done, State: Done, Response: &Response{Status: 200, Body: []byte("secret")}})

	body := request(1, 2)
	body.Body = Hash{9}
	is.Equal(k.Vote(1, body), Reply{State: OtherBody})
	caller := request(1, 3)
	caller.Caller = Hash{9}
	is.Equal(k.Vote(1, caller), Reply{State: OtherCaller})
}

// Guards against a caller that never reuses a key and fills the voter: it gets at most a
// quarter of the keys. A full voter refuses new keys and keeps all its records.
func TestVoterMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	k := newTestVoter(1)
	var granted int
	for i := range 20 {
		if k.Vote(0, request(byte(i), uint64(i))).State == Granted {
			granted++
		}
	}
	is.Equal(granted, 2)
	for i := range 20 {
		r := request(byte(100+i), uint64(100+i))
		r.Caller = Hash{byte(i + 2)}
		k.Vote(0, r)
	}
	is.Equal(k.RecordCount(), 8)
	is.Equal(k.Vote(0, request(0, 99)).State, HeldByOtherClaim) // the first key is still held
	k.Finish(0, Finish{Request: request(0, 0), State: Done, Response: &Response{Body: make([]byte, 101)}})
	is.Equal(k.Vote(0, request(0, 99)), Reply{State: Done}) // known to have run; the response was too large to store
	k.Sweep(60_000)
	is.Equal(k.RecordCount(), 0)
	is.Equal(k.responseBytes, 0)
	is.Equal(len(k.perCaller), 0)
}

// cluster holds the voters of a service and runs claims against them in one process.
type cluster map[table.AgentNumber]*Voter

func (c cluster) runClaim(r Request, members []Member, nowMS int64) *Claim {
	x := NewClaim(r, members, nowMS, 60_000)
	for asked := x.NextVoters(); len(asked) > 0; asked = x.NextVoters() {
		for _, n := range asked {
			k, ok := c[n]
			if !ok {
				x.RecordReply(n, nil)
				continue
			}
			reply := k.Vote(nowMS, r)
			x.RecordReply(n, &reply)
		}
	}
	if x.Verdict() != Won {
		for _, k := range c {
			k.Release(nowMS, Release{Key: r.Key, ID: r.ID})
		}
	}
	return x
}

func members(first, last table.AgentNumber, joinedMS int64) []Member {
	var out []Member
	for n := first; n <= last; n++ {
		out = append(out, Member{Agent: n, JoinedMS: joinedMS})
	}
	return out
}

// Guards against a new service refusing keys until the lookback is over. All its voters
// are new; keys are accepted from the second agent on. With a single agent there is no
// quorum.
func TestNewServiceAcceptsKeysAtOnce(t *testing.T) {
	is := is.New(t)
	c := cluster{}
	for n := table.AgentNumber(1); n <= 7; n++ {
		c[n] = newTestVoter(n)
		want := Won
		if n == 1 {
			want = NoQuorum
		}
		r := Request{Key: Key{byte(n)}, ID: ClaimID{Agent: n}, Caller: Hash{byte(n)}}
		is.Equal(c.runClaim(r, members(1, n, int64(n)), int64(n)).Verdict(), want)
	}
}

// Guards against a second run when a key's voters restart, and so lose their records,
// between a request and its resend. After one or two restarts the resend still finds that
// the request has run; after three it is refused as not run until the lookback is over.
func TestVotersRestartedBetweenClaimAndResend(t *testing.T) {
	for restarts, want := range map[int]Verdict{1: Completed, 2: Completed, 3: NoQuorum} {
		t.Run(fmt.Sprint(restarts), func(t *testing.T) {
			is := is.New(t)
			c := cluster{}
			for n := table.AgentNumber(1); n <= 5; n++ {
				c[n] = newTestVoter(n)
			}
			all := members(1, 5, 0)
			first := c.runClaim(request(1, 1), all, 100_000)
			is.Equal(first.Verdict(), Won)
			for _, n := range first.Asked() {
				c[n].Finish(100_000, Finish{Request: request(1, 1), State: Done})
			}
			for i, n := range first.Asked()[:restarts] {
				delete(c, n)
				fresh := table.AgentNumber(6 + i)
				c[fresh] = newTestVoter(fresh)
				all = append(all, Member{Agent: fresh, JoinedMS: 101_000})
			}
			is.Equal(c.runClaim(request(1, 2), all, 102_000).Verdict(), want)
			if want == NoQuorum { // unused keys of these voters are refused too: they can't be told apart
				is.Equal(c.runClaim(request(1, 3), all, 150_000).Verdict(), NoQuorum)
			}
		})
	}
}

// Guards against losing keys in a rolling restart in which each agent closes and hands
// over its records before the next one stops. Old keys stay known, and new keys are
// granted throughout.
func TestRollingRestartKeepsKeys(t *testing.T) {
	is := is.New(t)
	c := cluster{}
	all := members(1, 3, 0)
	for n := table.AgentNumber(1); n <= 3; n++ {
		c[n] = NewVoter(n, Limits{}, time.Minute)
	}
	first := c.runClaim(request(1, 1), all, 100_000)
	is.Equal(first.Verdict(), Won)
	for i := table.AgentNumber(1); i <= 3; i++ {
		now := 100_000 + int64(i)*1000
		h := c[i].Close(now)
		delete(c, i)
		for _, k := range c {
			is.True(k.Merge(now, h))
		}
		is.Equal(c.runClaim(request(1, 100+uint64(i)), all, now).Verdict(), Running)
		c[3+i] = NewVoter(3+i, Limits{}, time.Minute)
		all = append(all, Member{Agent: 3 + i, JoinedMS: now})
		fresh := c.runClaim(request(10+byte(i), 200+uint64(i)), all, now)
		is.Equal(fresh.Verdict(), Won)
	}
	is.Equal(c.runClaim(request(1, 300), all, 104_000).Verdict(), Running)
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
	is.True(!MayVote(tab, 4, 0, 4999)) // retired voters were removed from the table too early
	is.True(MayVote(tab, 4, 0, 5000))
}
