package catalogue

import "time"

// A process that is reported silent gets no new work, unless too many are silent. A
// partition between a control VM and its subscribers makes a third, a half or all of them
// fall silent at once while they still serve. Without a limit, control would take every
// target of a working service out of service, and balancers that still receive tables
// would have no target for new flows.
const (
	// silentShareDivisor limits the targets of a service that are taken out for silence
	// within silenceWindow to one in silentShareDivisor, rounded up. Services run in
	// three data centres, so a third is the loss of a whole data centre, the largest
	// ordinary failure. More at once is more likely a fault of control's own
	// connections, so the other targets stay in service: a dead one costs a caller one
	// retried handshake, whereas a service without targets fails every caller.
	silentShareDivisor = 3
	// silenceWindow is how long a target that was taken out counts towards the limit.
	// Failures of single hosts in a service are weeks apart; a partition affects its
	// targets at once.
	silenceWindow = 15 * time.Minute
	// retireSilentAfter is how long a silent target keeps its open flows. Retiring it
	// resets them permanently, even if only its connection to control is lost. Regions
	// lose contact with each other for minutes; a shorter time would reset the flows of
	// a whole region after each such partition. The data path itself resets flows of a
	// dead target, within about two seconds.
	retireSilentAfter = 15 * time.Minute
	// retireLeavingAfter is the same time for a target that announced its stop.
	retireLeavingAfter = 20 * time.Second
	// RetiredRetention is how long a retired agent number stays in the table, so that
	// any agent answers its packets with a stateless reset. Callers abandon a flow after
	// an idle timeout of 30 seconds; the rest covers processes whose table is behind. It
	// can't be shorter than silenceWindow, because countAgents reads these records. A
	// service whose idempotency keys are valid for longer keeps retired numbers longer.
	RetiredRetention = silenceWindow
	// maxRetiredAgents limits the retired numbers in the table. The oldest are dropped
	// first, and their services accept no idempotency keys meanwhile. It exceeds the
	// 12,000 agents that a rolling upgrade restarts within one key window: a limit of
	// 4,096 would stop requests with keys for all 2,100 services until the window ends.
	maxRetiredAgents = 16384
)

// retireAfter returns how long after it fell silent a target is retired.
func retireAfter(x *Agent) time.Duration {
	if x.Leaving {
		return retireLeavingAfter
	}
	return retireSilentAfter
}

// silenceCount counts the members of one group for the decision on a silent process. A
// group is the working targets of a service, its idle targets, or all balancers.
type silenceCount struct {
	// live counts processes in service, including suspects.
	live int
	// out counts processes taken out for silence within silenceWindow.
	out int
	// idle is set for a group of targets that get no new work.
	idle bool
}

// mayTakeOut decides whether one more silent process is taken out of service. The last
// working one stays: a silent target is better than none. The limit applies to idle
// targets too, because a target that is out is retired later, which resets its open
// flows, and these may still work.
func (s silenceCount) mayTakeOut() bool {
	if s.live <= 1 && !s.idle {
		return false
	}
	total := s.live + s.out
	allowed := (total + silentShareDivisor - 1) / silentShareDivisor
	return s.out+1 <= allowed
}
