package forward

import (
	"time"

	"bergamotstall/internal/passthrough/peer"
)

const (
	// burstShare is how much of a second's budget may be spent at once.
	burstShare = 0.25
	// wideReserve is the part of a burst that wide rounds leave to first ones, which
	// find nearly all flows and cost little.
	wideReserve = 0.5
)

// budget bounds the bytes of questions a second. A fleet that comes back from an outage
// is asked for all its flows at once; unbounded, the questions fill the link, answers
// come too late, callers send their packets again, and no flow gets through any more.
type budget struct {
	// rate is the bytes a second, 0 for no bound.
	rate     float64
	left     float64
	filledAt time.Duration
}

// refill lets time pass.
func (b *budget) refill(now time.Duration) {
	full := b.rate * burstShare
	if b.filledAt == 0 {
		b.left = full
	}
	b.left = min(full, b.left+b.rate*(now-b.filledAt).Seconds())
	b.filledAt = now
}

// allows tells whether a question of a first round, or of a wide one, may be asked now.
func (b *budget) allows(wide bool) bool {
	if b.rate == 0 {
		return true
	}
	reserve := float64(firstRound * peer.QuestionCost)
	if wide {
		reserve = b.rate * burstShare * wideReserve
	}
	return b.left >= reserve
}

// spend takes the cost of a question off. Questions to one agent at one moment share a
// datagram.
func (b *budget) spend(shared bool) {
	if shared {
		b.left -= peer.SharedQuestionCost
		return
	}
	b.left -= peer.QuestionCost
}
