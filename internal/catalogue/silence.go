package catalogue

import "time"

// A process that is silent for the damped time is taken out of new work, unless
// too many are. The load pattern is a wave: a partition of the control VM's own
// makes a third, a half or all of its processes fall silent in one moment while
// they go on serving. Without a bound, control would empty a service that works,
// and balancers that still hear control would have nowhere to send new flows.
const (
	// silenceShare is the part of a service, one in so many, that may be out on
	// silence alone within silenceWindow, rounded up. Users spread a service over
	// three data centres, so one in three is the loss of a whole data centre, the
	// largest ordinary failure. More than that at once is likelier to be control's
	// own fault, and the targets stay in; a dead one among them costs a caller
	// one handshake's retry, an empty service costs every caller.
	silenceShare = 3
	// silenceWindow is how long a target that went out counts. Three failures of
	// single hosts in a service are weeks apart; a partition hits at once.
	silenceWindow = 15 * time.Minute
	// retireSilent is how long a silent target keeps its open flows. Retiring
	// resets them, also where only the way to control is cut, and for good:
	// regions lose each other for minutes, and at the end of each such cut the
	// flows of a whole region would be reset. Of a target that is dead the data
	// path tells callers by itself, within about two seconds.
	retireSilent = 15 * time.Minute
	// retireLeaver is the same for one that had said it was leaving.
	retireLeaver = 20 * time.Second
	// RetiredKept is how long a retired number stays in the table, so that any
	// agent answers its packets with a stateless reset. Callers give a flow up
	// after their idle time-out, half a minute; the rest covers processes whose
	// table is behind. Its length equals silenceWindow: the count of what is out
	// reads these records. A service whose idempotency keys are valid for longer
	// keeps its retired numbers for longer.
	RetiredKept = silenceWindow
	// maxRetired bounds the retired numbers in the table. Oldest go first, and
	// the keys of their services wait. It leaves room for a rolling upgrade of
	// 12,000 agents within one key window: at 4,096 such an upgrade stopped the
	// keyed submissions of all 2,100 services until the window was over.
	maxRetired = 16384
)

// retireAfter is how long after its silence a target is retired.
func retireAfter(x *Agent) time.Duration {
	if x.Leaving {
		return retireLeaver
	}
	return retireSilent
}

// wave is what the silence decision looks at: the targets of one service that
// work, or those that are idle, or the balancers.
type wave struct {
	// live counts processes that are in, those under suspicion among them.
	live int
	// out counts those taken out on silence within the window.
	out int
	// idle targets get no new work in any case.
	idle bool
}

// believe decides whether one more silent process is taken out. It never takes
// the last one that works: with nothing else to send to, a silent target is the
// better bet. The share holds for idle ones too, because being out ends in being
// retired, and their open flows may well be alive.
func (w wave) believe() bool {
	if w.live <= 1 && !w.idle {
		return false
	}
	known := w.live + w.out
	allowed := (known + silenceShare - 1) / silenceShare
	return w.out+1 <= allowed
}
