package forward

import (
	"time"

	"bergamotstall/internal/passthrough/peer"
)

const (
	// burstSeconds is the size of the token bucket, in seconds of its rate.
	burstSeconds = 0.25
	// wideReserveShare is the part of a full bucket that questions to all agents leave to
	// first rounds, which find nearly all flows at little cost.
	wideReserveShare = 0.5
	// trialOverhead is the bytes of the headers of a packet that is sent as a trial.
	trialOverhead = 36
)

// questionBudget is a token bucket that bounds the bytes of questions a second. After an
// outage all flows of a fleet are searched at once; unbounded, the questions fill the
// link, answers come too late, callers retransmit, and no flow gets through any more.
type questionBudget struct {
	// rate is in bytes a second, 0 for no bound.
	rate      float64
	available float64
	filledAt  time.Duration
}

// refill adds the tokens for the time since the last call; spare is the part of the rate
// that the link's queue leaves to questions.
func (b *questionBudget) refill(now time.Duration, spare float64) {
	full := b.rate * burstSeconds
	if b.filledAt == 0 {
		b.available = full
	}
	b.available = min(full, b.available+spare*b.rate*(now-b.filledAt).Seconds())
	b.filledAt = now
}

// allows tells whether a question of a first round, or of a wide search, may be sent now.
func (b *questionBudget) allows(wide bool) bool {
	if b.rate == 0 {
		return true
	}
	reserve := float64(firstRoundSize * peer.QuestionCost)
	if wide {
		reserve = b.rate * burstSeconds * wideReserveShare
	}
	return b.available >= reserve
}

// spendBytes takes the cost of a packet that is sent as a trial.
func (b *questionBudget) spendBytes(n int) { b.available -= float64(n) }

// spend takes the cost of a question. Questions to one agent at the same time share a
// datagram.
func (b *questionBudget) spend(shared bool) {
	if shared {
		b.available -= peer.SharedQuestionCost
		return
	}
	b.available -= peer.QuestionCost
}
