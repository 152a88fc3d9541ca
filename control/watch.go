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
	// watchStep is how often a VM looks whether time has made a step due.
	watchStep = 250 * time.Millisecond
	// leadLimit bounds the steps that a leader takes at one look.
	leadLimit = time.Second
	// staleAfter is when a VM logs that its word is no longer current.
	staleAfter = 3 * time.Second
	// clockTolerance is far over what synchronized clocks differ by, and over the
	// wait of a command in the log.
	clockTolerance = 2 * time.Second
	// beatTolerance leaves a new leader the time for its first beat.
	beatTolerance = 20 * time.Second
	// clockLooks is five seconds of looks.
	clockLooks = 20
	// orphanAfter is the leader's silence of a control VM after which its
	// subscribers are taken over: its own subscribers leave it after two seconds
	// without a quorum.
	orphanAfter = 3 * time.Second
)

// watch takes the steps that only time brings about.
func (c *Control) watch(ctx context.Context) {
	tick := time.NewTicker(watchStep)
	defer tick.Stop()
	stale := false
	differs := 0
	for {
		c.adoptOrphans()
		if status := c.log.Status(); status.Leader == status.ID {
			c.lead(ctx)
		}
		stale = c.noteContact(stale)
		differs = c.noteClock(differs)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// lead takes the steps that one VM takes for all. A leader that was replaced a
// moment ago may take one too; the state takes each once.
func (c *Control) lead(ctx context.Context) {
	agents, balancers := c.catalogue.RemovableSuspects(time.Now())
	beat := c.catalogue.SweepDue(time.Now())
	if !beat && len(agents)+len(balancers) == 0 && len(c.catalogue.Keys()) > 0 {
		return
	}
	within, cancel := context.WithTimeout(ctx, leadLimit)
	defer cancel()
	if c.log.Barrier(within) != nil {
		return
	}
	c.makeFirstKeys(within)
	if beat {
		_, _ = c.registrar.submit(within, &catalogue.Command{Sweep: &catalogue.Sweep{}})
	}
	c.reportSuspects(within, agents, balancers)
}

// adoptOrphans watches over subscribers whose control VM can't report them: it
// died, was removed, or is this one before its restart. A data centre that is
// lost takes the control VM in it along, and nobody else would report its
// agents. The leader takes over the dead VMs', each VM its own; the distribution
// gives them time to come back anywhere.
func (c *Control) adoptOrphans() {
	agents, balancers := c.orphans()
	if len(agents) > 0 {
		c.spread.Adopt(distribution.RoleAgent, agents)
	}
	if len(balancers) > 0 {
		c.spread.Adopt(distribution.RoleBalancer, balancers)
	}
}

// orphans are the subscribers that this VM has to watch over.
func (c *Control) orphans() (agents, balancers []distribution.Silence) {
	status := c.log.Status()
	return c.catalogue.LiveVia(func(vm string) bool {
		return vm == c.settings.Name || (status.Leader == status.ID && gone(status, vm))
	})
}

// gone tells whether a control VM is silent for the leader, or no member.
func gone(s replica.Status, vm string) bool {
	for _, m := range s.Members {
		if m.Name == vm {
			return m.Silence > orphanAfter
		}
	}
	return true
}

// reportSuspects reports processes again that are still silent and that the
// state would now believe to be gone.
func (c *Control) reportSuspects(ctx context.Context, agents, balancers []distribution.Silence) {
	for _, s := range agents {
		_ = c.registrar.AgentSilent(ctx, s)
	}
	for _, s := range balancers {
		_ = c.registrar.BalancerSilent(ctx, s)
	}
}

// noteClock logs once the state's clock, the leader's, has differed from this
// VM's for clockLooks looks: one of the two is wrong. It returns for how many
// looks they have differed. After a pause of all control VMs they differ until
// the first beat.
func (c *Control) noteClock(looks int) int {
	by := c.catalogue.ClockAhead(time.Now())
	if !clockDiffers(by, c.log.ContactAge()) {
		return 0
	}
	if looks+1 == clockLooks {
		events.Log(c.logger, events.ClockDiffers, logrus.Fields{"ahead": by.String()})
	}
	return looks + 1
}

// clockDiffers judges by how much the state's clock is ahead. Between two beats
// it falls behind; a VM out of touch sees no beats at all.
func clockDiffers(ahead, contactAge time.Duration) bool {
	if ahead > clockTolerance {
		return true
	}
	inTouch := contactAge < staleAfter
	return inTouch && -ahead > catalogue.SweepInterval+beatTolerance
}

// noteContact logs the moments at which contact with a quorum ends and returns.
func (c *Control) noteContact(stale bool) bool {
	age := c.log.ContactAge()
	now := age > staleAfter
	if now && !stale {
		events.Log(c.logger, events.QuorumLost, logrus.Fields{"age": age.String()})
	}
	if !now && stale {
		events.Log(c.logger, events.QuorumRegained, nil)
	}
	return now
}

// firstKeysID makes the first keys one command, whichever VM proposes it.
const firstKeysID = "first-cluster-keys"

// makeFirstKeys hands out the first cluster keys where there are none.
func (c *Control) makeFirstKeys(ctx context.Context) {
	if len(c.catalogue.Keys()) > 0 {
		return
	}
	set, err := keys.NewKeySet(0, rand.Reader)
	if err != nil {
		c.logger.WithError(err).Error("make cluster keys")
		return
	}
	cmd := &catalogue.Command{
		ID: firstKeysID, Operator: "control",
		RotateKeys: &catalogue.RotateKeys{Step: catalogue.KeyFirst, Keys: &set},
	}
	if out, err := c.registrar.submit(ctx, cmd); err == nil && out.Err() == nil {
		events.Log(c.logger, events.FirstKeysMade, nil)
	}
}
