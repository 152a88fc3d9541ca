package forward

import "time"

// burstShare is how much of a second's budget may be spent at once.
const burstShare = 0.25

// budget bounds how many questions are asked a second. A fleet that comes back from
// an outage is asked for all its flows at once; unbounded, the questions fill the
// link, answers come too late, callers send their packets again, and no flow gets
// through any more.
type budget struct {
	// rate is the questions a second, 0 for no bound.
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

// allows tells whether n questions may be asked now.
func (b *budget) allows(n int) bool { return b.rate == 0 || b.left >= float64(n) }

// spend takes n questions off.
func (b *budget) spend(n int) { b.left -= float64(n) }
