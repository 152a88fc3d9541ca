package idempotency

import (
	"slices"
	"time"

	"bergamotstall/internal/table"
)

// Limits bound a keeper's memory.
type Limits struct {
	// Keys is how many keys it holds; 0 means DefaultKeys.
	Keys int
	// AnswerBytes bounds the kept answers' bodies and headers in all; 0 means
	// DefaultAnswerBytes.
	AnswerBytes int
}

const (
	// DefaultKeys lets one agent vote for 18 submissions a second over the
	// lookback of the default window, at about 200 bytes each.
	DefaultKeys = 16384
	// DefaultAnswerBytes is 512 bytes for each of DefaultKeys.
	DefaultAnswerBytes = 8 << 20
	// MaxAnswer bounds one kept answer, in bytes. Receipts are small; a larger
	// answer is told to a resender as run, without its text.
	MaxAnswer = 16 << 10
	// callerPart is the share of keys, one in so many, that one caller may hold:
	// a caller that never reuses a key could fill the keeper for all others.
	callerPart = 4
	// mergedKept is how long a closed keeper is remembered. Forgetting it early
	// costs votes, never safety.
	mergedKept = time.Hour
	// releasedKept is how long a try that gave its key back is remembered, so
	// that its own claim, overtaken on the way, doesn't take the key again.
	releasedKept = time.Minute
)

// Keeper is one agent's votes. It isn't safe for concurrent use. Times are
// milliseconds of any clock that doesn't go back.
type Keeper struct {
	self        table.AgentNumber
	limits      Limits
	lookbackMS  int64
	closed      bool
	records     map[Key][]*record
	count       int
	answerBytes int
	perCaller   map[Sum]int
	merged      map[table.AgentNumber]int64 // until
	released    map[ID]int64                // until
}

type record struct {
	request  Request
	standing Standing
	answer   *Answer
	untilMS  int64
}

// NewKeeper returns a keeper that has voted for nothing.
func NewKeeper(self table.AgentNumber, limits Limits, lookback time.Duration) *Keeper {
	if limits.Keys <= 0 {
		limits.Keys = DefaultKeys
	}
	if limits.AnswerBytes <= 0 {
		limits.AnswerBytes = DefaultAnswerBytes
	}
	return &Keeper{
		self:       self,
		limits:     limits,
		lookbackMS: lookback.Milliseconds(),
		records:    map[Key][]*record{},
		perCaller:  map[Sum]int{},
		merged:     map[table.AgentNumber]int64{},
		released:   map[ID]int64{},
	}
}

// SetLookback changes how long new records are kept.
func (k *Keeper) SetLookback(lookback time.Duration) { k.lookbackMS = lookback.Milliseconds() }

// Keys returns how many records are held.
func (k *Keeper) Keys() int { return k.count }

// Knows tells whether there is a record of the key.
func (k *Keeper) Knows(key Key) bool { return len(k.records[key]) > 0 }

// Claim votes for a try, or says what stands against it.
func (k *Keeper) Claim(nowMS int64, r Request) Reply {
	reply := Reply{Standing: k.claim(nowMS, r), Merged: k.mergedNow(nowMS)}
	if reply.Standing == Done {
		reply.Answer = k.answerTo(r.Key)
	}
	return reply
}

func (k *Keeper) claim(nowMS int64, r Request) Standing {
	if k.closed || k.released[r.ID] > nowMS {
		return Closed
	}
	k.expire(nowMS, r.Key)
	held := k.records[r.Key]
	if len(held) > 0 {
		return standingOf(held, r)
	}
	if k.count >= k.limits.Keys || k.perCaller[r.Caller] >= k.limits.Keys/callerPart {
		return Full
	}
	k.add(&record{request: r, standing: Held, untilMS: nowMS + k.lookbackMS})
	return Granted
}

// standingOf says what a key's records mean for a try.
func standingOf(held []*record, r Request) Standing {
	standing := Granted
	for _, x := range held {
		switch {
		case x.request.Caller != r.Caller:
			return OtherCaller
		case x.request.Body != r.Body:
			return OtherBody
		case x.request.ID == r.ID && x.standing == Held:
		case x.standing > standing:
			standing = x.standing
		}
	}
	return standing
}

func (k *Keeper) answerTo(key Key) *Answer {
	for _, x := range k.records[key] {
		if x.answer != nil {
			return x.answer
		}
	}
	return nil
}

// Release takes back a vote for a try that has run nothing.
func (k *Keeper) Release(nowMS int64, r Release) {
	if len(k.released) < k.limits.Keys {
		k.released[r.ID] = nowMS + releasedKept.Milliseconds()
	}
	k.drop(r.Key, func(x *record) bool { return x.request.ID == r.ID && x.standing == Held })
}

// Finish notes how a try ended. It is taken also from a try that this keeper
// didn't vote for: the more keepers know an answer the better.
func (k *Keeper) Finish(nowMS int64, f Finish) {
	if k.closed {
		return
	}
	before := k.count
	k.drop(f.Request.Key, func(x *record) bool { return x.request.ID == f.Request.ID })
	if k.count == before && k.count >= k.limits.Keys {
		return // full, and it didn't vote for this try
	}
	done := &record{request: f.Request, standing: f.Standing, untilMS: nowMS + k.lookbackMS}
	if k.answerBytes+f.Answer.size() <= k.limits.AnswerBytes {
		done.answer = f.Answer
	}
	k.add(done)
}

// Close ends the voting and returns what the other keepers must merge.
func (k *Keeper) Close(nowMS int64) Handover {
	k.closed = true
	h := Handover{From: k.self, Merged: k.mergedNow(nowMS)}
	for _, held := range k.records {
		for _, x := range held {
			left := x.untilMS - nowMS
			if left > 0 {
				h.Records = append(h.Records, Record{Request: x.request, Standing: x.standing, Answer: x.answer, LeftMS: left})
			}
		}
	}
	return h
}

// Merge takes over what a closed keeper knew. It refuses, with false, where the
// records don't fit: merged in part, they would make its vote look valid.
func (k *Keeper) Merge(nowMS int64, h Handover) bool {
	k.Sweep(nowMS)
	if k.closed || k.count+len(h.Records) > 2*k.limits.Keys {
		return false
	}
	for i := range h.Records {
		k.mergeRecord(nowMS, &h.Records[i])
	}
	until := nowMS + mergedKept.Milliseconds()
	k.merged[h.From] = until
	for _, n := range h.Merged {
		k.merged[n] = until
	}
	return true
}

func (k *Keeper) mergeRecord(nowMS int64, r *Record) {
	x := &record{request: r.Request, standing: r.Standing, untilMS: nowMS + r.LeftMS}
	for _, own := range k.records[r.Request.Key] {
		if own.request.ID == r.Request.ID {
			x.standing = max(x.standing, own.standing)
			x.untilMS = max(x.untilMS, own.untilMS)
			if r.Answer == nil {
				x.answer = own.answer
			}
		}
	}
	k.drop(r.Request.Key, func(own *record) bool { return own.request.ID == r.Request.ID })
	if r.Answer != nil && k.answerBytes+r.Answer.size() <= k.limits.AnswerBytes {
		x.answer = r.Answer
	}
	k.add(x)
}

// Sweep forgets what is out of date. It looks at everything, so its caller
// calls it every few seconds.
func (k *Keeper) Sweep(nowMS int64) {
	for key := range k.records {
		k.expire(nowMS, key)
	}
	for n, until := range k.merged {
		if until <= nowMS {
			delete(k.merged, n)
		}
	}
	for id, until := range k.released {
		if until <= nowMS {
			delete(k.released, id)
		}
	}
}

func (k *Keeper) mergedNow(nowMS int64) []table.AgentNumber {
	var out []table.AgentNumber
	for n, until := range k.merged {
		if until > nowMS {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out
}

func (k *Keeper) expire(nowMS int64, key Key) {
	k.drop(key, func(x *record) bool { return x.untilMS <= nowMS })
}

func (k *Keeper) add(x *record) {
	k.records[x.request.Key] = append(k.records[x.request.Key], x)
	k.count++
	k.answerBytes += x.answer.size()
	k.perCaller[x.request.Caller]++
}

func (k *Keeper) drop(key Key, gone func(*record) bool) {
	held := k.records[key]
	if len(held) == 0 {
		return
	}
	kept := held[:0]
	for _, x := range held {
		if !gone(x) {
			kept = append(kept, x)
			continue
		}
		k.count--
		k.answerBytes -= x.answer.size()
		k.perCaller[x.request.Caller]--
		if k.perCaller[x.request.Caller] == 0 {
			delete(k.perCaller, x.request.Caller)
		}
	}
	clear(held[len(kept):])
	k.records[key] = kept
	if len(kept) == 0 {
		delete(k.records, key)
	}
}

// size is what an answer takes of the limit, in bytes.
func (a *Answer) size() int {
	if a == nil {
		return 0
	}
	n := len(a.Body)
	for _, f := range a.Header {
		n += len(f.Name) + len(f.Value)
	}
	return n
}
