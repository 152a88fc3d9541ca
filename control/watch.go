package control

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstall/internal/catalogue"
	"bergamotstall/internal/events"
	"bergamotstall/internal/keys"
)

const (
	// watchStep is how often a VM looks whether time has made a step due.
	watchStep = time.Second
	// staleAfter is when a VM logs that its word is no longer current.
	staleAfter = 3 * time.Second
)

// watch lets time pass in the replicated state and makes the first cluster
// keys. Several VMs may propose the same step; the state takes it once.
func (c *Control) watch(ctx context.Context) {
	tick := time.NewTicker(watchStep)
	defer tick.Stop()
	stale := false
	for {
		c.makeFirstKeys(ctx)
		if c.catalogue.SweepDue(time.Now()) {
			_, _ = c.registrar.submit(ctx, &catalogue.Command{Sweep: &catalogue.Sweep{}})
		}
		stale = c.noteContact(stale)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
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
	within, cancel := context.WithTimeout(ctx, watchStep)
	defer cancel()
	cmd := &catalogue.Command{
		ID: firstKeysID, Operator: "control",
		RotateKeys: &catalogue.RotateKeys{Step: catalogue.KeyFirst, Keys: &set},
	}
	if out, err := c.registrar.submit(within, cmd); err == nil && out.Err() == nil {
		events.Log(c.logger, events.FirstKeysMade, nil)
	}
}
