package control

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstall/internal/catalogue"
	"bergamotstall/internal/distribution"
	"bergamotstall/internal/events"
	"bergamotstall/internal/keys"
	"bergamotstall/internal/replica"
)

const (
	// watchInterval is how often a VM checks for periodic tasks that are due.
	watchInterval = 250 * time.Millisecond
	// leaderTasksTimeout limits one run of the leader's tasks.
	leaderTasksTimeout = time.Second
	// quorumStaleAfter is the time without a quorum after which a VM logs that its state
	// may be outdated.
	quorumStaleAfter = 3 * time.Second
	// clockAheadTolerance is far longer than the difference of synchronized clocks and
	// the wait of a command in the log.
	clockAheadTolerance = 2 * time.Second
	// sweepTolerance leaves a new leader time for its first sweep.
	sweepTolerance = 20 * time.Second
	// clockDiffersChecks is the number of checks in 5 s.
	clockDiffersChecks = 20
	// adoptAfter is how long the leader must not have heard from a control VM before it
	// adopts the VM's subscribers. Subscribers leave a VM after two seconds without a
	// quorum, so those that are alive have left by then.
	adoptAfter = 3 * time.Second
)

// watch runs the periodic tasks until ctx is done.
func (c *Control) watch(ctx context.Context) {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	stale := false
	clockChecks := 0
	for {
		c.adoptSubscribers()
		if status := c.log.Status(); status.Leader == status.ID {
			c.runLeaderTasks(ctx)
		}
		stale = c.checkQuorumContact(stale)
		clockChecks = c.checkClock(clockChecks)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// runLeaderTasks runs the periodic tasks of the leader. A leader that was just replaced may
// run them too; the state machine applies each step only once.
func (c *Control) runLeaderTasks(ctx context.Context) {
	agents, balancers := c.catalogue.RemovableSuspects(time.Now())
	sweepDue := c.catalogue.SweepDue(time.Now())
	if !sweepDue && len(agents)+len(balancers) == 0 && len(c.catalogue.Keys()) > 0 {
		return
	}
	within, cancel := context.WithTimeout(ctx, leaderTasksTimeout)
	defer cancel()
	if c.log.Barrier(within) != nil {
		return
	}
	c.makeFirstKeys(within)
	if sweepDue {
		_, _ = c.registrar.submit(within, &catalogue.Command{Sweep: &catalogue.Sweep{}})
	}
	c.reportSuspects(within, agents, balancers)
}

// adoptSubscribers starts liveness tracking for subscribers whose control VM can't report
// them as silent: it is down, was removed, or is this VM before its restart. The loss of a
// data centre includes its control VM, and without adoption no VM would report its agents.
// The leader adopts the subscribers of lost VMs, every VM its own from before its restart.
// Package distribution gives them time to reconnect to any control VM.
func (c *Control) adoptSubscribers() {
	agents, balancers := c.subscribersToAdopt()
	if len(agents) > 0 {
		c.distributor.Adopt(distribution.RoleAgent, agents)
	}
	if len(balancers) > 0 {
		c.distributor.Adopt(distribution.RoleBalancer, balancers)
	}
}

// subscribersToAdopt returns the subscribers that this VM has to track.
func (c *Control) subscribersToAdopt() (agents, balancers []distribution.Silence) {
	status := c.log.Status()
	return c.catalogue.LiveVia(func(vm string) bool {
		return vm == c.settings.Name || (status.Leader == status.ID && isDownOrRemoved(status, vm))
	})
}

// isDownOrRemoved reports whether a control VM is silent for the leader or isn't a member.
func isDownOrRemoved(s replica.Status, vm string) bool {
	for _, m := range s.Members {
		if m.Name == vm {
			return m.Silence > adoptAfter
		}
	}
	return true
}

// reportSuspects reports again the suspects that are still silent and that may now be taken
// out of service.
func (c *Control) reportSuspects(ctx context.Context, agents, balancers []distribution.Silence) {
	for _, s := range agents {
		_ = c.registrar.AgentSilent(ctx, s)
	}
	for _, s := range balancers {
		_ = c.registrar.BalancerSilent(ctx, s)
	}
}

// checkClock logs an event when the state's clock, which the leader sets, has differed from
// this VM's clock for clockDiffersChecks checks in a row: one of the two is wrong. It
// returns the number of such checks so far. After a pause of all control VMs the clocks
// differ until the first sweep, so a single check isn't enough.
func (c *Control) checkClock(checks int) int {
	ahead := c.catalogue.ClockAhead(time.Now())
	if !clockDiffers(ahead, c.log.ContactAge()) {
		return 0
	}
	if checks+1 == clockDiffersChecks {
		events.Log(c.logger, events.ClockDiffers, logrus.Fields{"ahead": ahead.String()})
	}
	return checks + 1
}

// clockDiffers reports whether the state's clock differs too much from this VM's. The
// state's clock falls behind between two sweeps. A VM without contact to a quorum receives
// no sweeps, so for it only a clock that is ahead counts.
func clockDiffers(ahead, contactAge time.Duration) bool {
	if ahead > clockAheadTolerance {
		return true
	}
	inTouch := contactAge < quorumStaleAfter
	return inTouch && -ahead > catalogue.SweepInterval+sweepTolerance
}

// checkQuorumContact logs when contact with a quorum is lost and regained. It returns
// whether it is lost now.
func (c *Control) checkQuorumContact(wasStale bool) bool {
	age := c.log.ContactAge()
	staleNow := age > quorumStaleAfter
	if staleNow && !wasStale {
		events.Log(c.logger, events.QuorumLost, logrus.Fields{"age": age.String()})
	}
	if !staleNow && wasStale {
		events.Log(c.logger, events.QuorumRegained, nil)
	}
	return staleNow
}

// firstKeysID is the ID of the command for the first keys. It is the same on every VM, so
// that only one of several proposals is applied.
const firstKeysID = "first-cluster-keys"

// makeFirstKeys generates the first cluster keys if there are none.
func (c *Control) makeFirstKeys(ctx context.Context) {
	if len(c.catalogue.Keys()) > 0 {
		return
	}
	set, err := keys.NewKeySet(0, rand.Reader)
	if err != nil {
		c.logger.WithError(err).Error("cluster keys can't be generated; trying again")
		return
	}
	cmd := &catalogue.Command{
		ID: firstKeysID, Operator: "control",
		RotateKeys: &catalogue.RotateKeys{Step: catalogue.KeyStepFirst, Keys: &set},
	}
	if out, err := c.registrar.submit(ctx, cmd); err == nil && out.Err() == nil {
		events.Log(c.logger, events.FirstKeysMade, nil)
	}
}
