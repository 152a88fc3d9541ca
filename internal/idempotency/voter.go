package idempotency

import (
	"slices"
	"time"

	"bergamotstall/internal/table"
)

// Limits bound a voter's memory.
type Limits struct {
	// Keys is the maximum number of records; 0 means DefaultKeys.
	Keys int
	// ResponseBytes is the maximum total size of the stored responses, headers and
	// bodies; 0 means DefaultResponseBytes.
	ResponseBytes int
}

const (
	// DefaultKeys is enough for 18 votes per second over the lookback of the default
	// window, at about 200 bytes each.
	DefaultKeys = 16384
	// DefaultResponseBytes allows 512 bytes for each of DefaultKeys.
	DefaultResponseBytes = 8 << 20
	// MaxResponseBytes is the maximum body size of a stored response. Receipts are small;
	// for a larger response, a resender only learns that the request has run.
	MaxResponseBytes = 16 << 10
	// callerKeysDivisor limits one caller to this fraction of the keys (a quarter): a
	// caller that never reuses a key could otherwise use up the voter's records for all
	// others.
	callerKeysDivisor = 4
	// mergedRetention is how long a closed voter is remembered. Forgetting it too early
	// loses votes, but is always safe.
	mergedRetention = time.Hour
	// releasedRetention is how long a claim that released its key is remembered, so that
	// its own delayed request doesn't take the key again.
	releasedRetention = time.Minute
)

// Voter holds one agent's votes and records. It isn't safe for concurrent use. Times are
// in milliseconds of any clock that doesn't go back.
type Voter struct {
	self          table.AgentNumber
	limits        Limits
	lookbackMS    int64
	closed        bool
	records       map[Key][]*record
	count         int
	responseBytes int
	perCaller     map[Hash]int
	merged        map[table.AgentNumber]int64 // expiry of each merged closed voter
	released      map[ClaimID]int64           // expiry of each claim that released its key
}

type record struct {
	request  Request
	state    KeyState
	response *Response
	untilMS  int64
}

// NewVoter returns a voter without records.
func NewVoter(self table.AgentNumber, limits Limits, lookback time.Duration) *Voter {
	if limits.Keys <= 0 {
		limits.Keys = DefaultKeys
	}
	if limits.ResponseBytes <= 0 {
		limits.ResponseBytes = DefaultResponseBytes
	}
	return &Voter{
		self:       self,
		limits:     limits,
		lookbackMS: lookback.Milliseconds(),
		records:    map[Key][]*record{},
		perCaller:  map[Hash]int{},
		merged:     map[table.AgentNumber]int64{},
		released:   map[ClaimID]int64{},
	}
}

// SetLookback sets how long new records are kept.
func (v *Voter) SetLookback(lookback time.Duration) { v.lookbackMS = lookback.Milliseconds() }

// RecordCount returns the number of records.
func (v *Voter) RecordCount() int { return v.count }

// HasRecord tells whether there is a record of the key.
func (v *Voter) HasRecord(key Key) bool { return len(v.records[key]) > 0 }

// Vote grants the vote for a key to a claim, or returns the key's state that prevents it.
func (v *Voter) Vote(nowMS int64, r Request) Reply {
	reply := Reply{State: v.vote(nowMS, r), MergedVoters: v.mergedVoters(nowMS)}
	if reply.State == Done {
		reply.Response = v.storedResponse(r.Key)
	}
	return reply
}

func (v *Voter) vote(nowMS int64, r Request) KeyState {
	if v.closed || v.released[r.ID] > nowMS {
		return Closed
	}
	v.expire(nowMS, r.Key)
	held := v.records[r.Key]
	if len(held) > 0 {
		return stateFor(held, r)
	}
	if v.count >= v.limits.Keys || v.perCaller[r.Caller] >= v.limits.Keys/callerKeysDivisor {
		return Full
	}
	v.add(&record{request: r, state: HeldByOtherClaim, untilMS: nowMS + v.lookbackMS})
	return Granted
}

// stateFor returns what a key's records mean for a claim.
func stateFor(held []*record, r Request) KeyState {
	state := Granted
	for _, x := range held {
		switch {
		case x.request.Caller != r.Caller:
			return OtherCaller
		case x.request.Body != r.Body:
			return OtherBody
		case x.request.ID == r.ID && x.state == HeldByOtherClaim:
		case x.state > state:
			state = x.state
		}
	}
	return state
}

func (v *Voter) storedResponse(key Key) *Response {
	for _, x := range v.records[key] {
		if x.response != nil {
			return x.response
		}
	}
	return nil
}

// Release withdraws the vote for a claim that hasn't run its request.
func (v *Voter) Release(nowMS int64, r Release) {
	if len(v.released) < v.limits.Keys {
		v.released[r.ID] = nowMS + releasedRetention.Milliseconds()
	}
	v.remove(r.Key, func(x *record) bool { return x.request.ID == r.ID && x.state == HeldByOtherClaim })
}

// Finish records how a claim's request ended. It also accepts claims that this voter
// didn't vote for: the more voters know a response, the better.
func (v *Voter) Finish(nowMS int64, f Finish) {
	if v.closed {
		return
	}
	before := v.count
	v.remove(f.Request.Key, func(x *record) bool { return x.request.ID == f.Request.ID })
	if v.count == before && v.count >= v.limits.Keys {
		return // at the limit, and it didn't vote for this claim
	}
	finished := &record{request: f.Request, state: f.State, untilMS: nowMS + v.lookbackMS}
	if v.responseBytes+f.Response.size() <= v.limits.ResponseBytes {
		finished.response = f.Response
	}
	v.add(finished)
}

// Close stops voting and returns the records that the other voters must merge.
func (v *Voter) Close(nowMS int64) Handover {
	v.closed = true
	h := Handover{From: v.self, MergedVoters: v.mergedVoters(nowMS)}
	for _, held := range v.records {
		for _, x := range held {
			remaining := x.untilMS - nowMS
			if remaining > 0 {
				h.Records = append(h.Records, Record{Request: x.request, State: x.state, Response: x.response, RemainingMS: remaining})
			}
		}
	}
	return h
}

// Merge adopts the records of a closed voter. It returns false without merging if they
// don't fit: after a partial merge, its vote would wrongly count as valid.
func (v *Voter) Merge(nowMS int64, h Handover) bool {
	v.Sweep(nowMS)
	if v.closed || v.count+len(h.Records) > 2*v.limits.Keys {
		return false
	}
	for i := range h.Records {
		v.mergeRecord(nowMS, &h.Records[i])
	}
	until := nowMS + mergedRetention.Milliseconds()
	v.merged[h.From] = until
	for _, n := range h.MergedVoters {
		v.merged[n] = until
	}
	return true
}

func (v *Voter) mergeRecord(nowMS int64, r *Record) {
	x := &record{request: r.Request, state: r.State, untilMS: nowMS + r.RemainingMS}
	for _, own := range v.records[r.Request.Key] {
		if own.request.ID == r.Request.ID {
			x.state = max(x.state, own.state)
			x.untilMS = max(x.untilMS, own.untilMS)
			if r.Response == nil {
				x.response = own.response
			}
		}
	}
	v.remove(r.Request.Key, func(own *record) bool { return own.request.ID == r.Request.ID })
	if r.Response != nil && v.responseBytes+r.Response.size() <= v.limits.ResponseBytes {
		x.response = r.Response
	}
	v.add(x)
}

// Sweep removes everything that has expired. It scans all records, so it is meant to be
// called every few seconds.
func (v *Voter) Sweep(nowMS int64) {
	for key := range v.records {
		v.expire(nowMS, key)
	}
	for n, until := range v.merged {
		if until <= nowMS {
			delete(v.merged, n)
		}
	}
	for id, until := range v.released {
		if until <= nowMS {
			delete(v.released, id)
		}
	}
}

func (v *Voter) mergedVoters(nowMS int64) []table.AgentNumber {
	var out []table.AgentNumber
	for n, until := range v.merged {
		if until > nowMS {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out
}

func (v *Voter) expire(nowMS int64, key Key) {
	v.remove(key, func(x *record) bool { return x.untilMS <= nowMS })
}

func (v *Voter) add(x *record) {
	v.records[x.request.Key] = append(v.records[x.request.Key], x)
	v.count++
	v.responseBytes += x.response.size()
	v.perCaller[x.request.Caller]++
}

func (v *Voter) remove(key Key, match func(*record) bool) {
	held := v.records[key]
	if len(held) == 0 {
		return
	}
	kept := held[:0]
	for _, x := range held {
		if !match(x) {
			kept = append(kept, x)
			continue
		}
		v.count--
		v.responseBytes -= x.response.size()
		v.perCaller[x.request.Caller]--
		if v.perCaller[x.request.Caller] == 0 {
			delete(v.perCaller, x.request.Caller)
		}
	}
	clear(held[len(kept):])
	v.records[key] = kept
	if len(kept) == 0 {
		delete(v.records, key)
	}
}

// size returns the bytes that a response counts towards Limits.ResponseBytes.
func (a *Response) size() int {
	if a == nil {
		return 0
	}
	n := len(a.Body)
	for _, f := range a.Header {
		n += len(f.Name) + len(f.Value)
	}
	return n
}
