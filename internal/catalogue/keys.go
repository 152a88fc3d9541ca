package catalogue

import (
	"fmt"
	"time"

	"bergamotstall/internal/keys"
	"bergamotstall/internal/table"
)

// A rotation takes three steps, each a separate command, so that no process receives
// packets signed with a key that it doesn't know: prepare distributes the new generation,
// sign starts its use, drop ends the acceptance of older generations. A single step would
// break flows at every balancer whose table is slightly behind. Package keys implements
// the steps; the catalogue records when each was taken.

// MinAcceptance is how long a generation is accepted after a newer one starts to sign:
// open flows carry connection IDs of their generation for hours.
const MinAcceptance = 24 * time.Hour

// String returns the step as operators type it.
func (s KeyStep) String() string {
	switch s {
	case KeyStepPrepare:
		return "prepare"
	case KeyStepSign:
		return "sign"
	case KeyStepDrop:
		return "drop"
	case KeyStepFirst:
		return "first"
	}
	return "unknown step"
}

func (c *Catalogue) rotateKeys(r *RotateKeys) Outcome {
	switch r.Step {
	case KeyStepPrepare:
		return c.prepareKeys(r.Keys)
	case KeyStepFirst:
		return c.firstKeys(r.Keys)
	case KeyStepSign:
		return c.signKeys()
	case KeyStepDrop:
		return c.dropKeys(r.Early)
	}
	return c.outcome(NotValid, "a step of a rotation is prepare, sign or drop")
}

// complete reports whether the generation has every key with its required size.
func complete(k *table.KeySet) bool {
	return k != nil && len(k.ConnID) == 16 && len(k.Envelope) > 0 && len(k.Reset) == 32 &&
		len(k.Token) == 32 && len(k.Hash) == 16
}

func (c *Catalogue) firstKeys(set *table.KeySet) Outcome {
	if len(c.state.Keys) > 0 {
		return c.outcome(Refused, "the cluster has keys; use prepare")
	}
	return c.addKeys(set)
}

func (c *Catalogue) prepareKeys(set *table.KeySet) Outcome {
	if len(c.state.Keys) == 0 {
		return c.outcome(Refused, "the cluster has no keys as yet")
	}
	return c.addKeys(set)
}

func (c *Catalogue) addKeys(set *table.KeySet) Outcome {
	if !complete(set) {
		return c.outcome(NotValid, "the new generation lacks a key")
	}
	next, err := keys.AddPending(c.keySets(), *set)
	if err != nil {
		return c.outcome(Refused, err.Error())
	}
	c.setKeys(next)
	return c.outcome(Done, fmt.Sprintf("generation %d handed out", next[len(next)-1].Generation))
}

func (c *Catalogue) signKeys() Outcome {
	next, err := keys.Promote(c.keySets())
	if err != nil {
		return c.outcome(Refused, err.Error())
	}
	c.setKeys(next)
	return c.outcome(Done, fmt.Sprintf("generation %d signs", next[len(next)-1].Generation))
}

func (c *Catalogue) dropKeys(early bool) Outcome {
	sets := c.keySets()
	n := len(sets)
	switch {
	case n < 2:
		return c.outcome(Refused, "only one generation is accepted")
	case sets[n-1].Pending:
		return c.outcome(Refused, keys.ErrRotationInProgress.Error())
	case !early && !c.elapsed(c.state.Keys[n-1].SignsSinceMS, MinAcceptance.Milliseconds()):
		return c.outcome(Refused, fmt.Sprintf("generation %d has signed for less than %v; open flows still carry older ones", sets[n-1].Generation, MinAcceptance))
	}
	for _, old := range sets[:n-1] {
		var err error
		if sets, err = keys.Retire(sets, old.Generation); err != nil {
			return c.outcome(Refused, err.Error())
		}
	}
	c.setKeys(sets)
	return c.outcome(Done, fmt.Sprintf("only generation %d is accepted", sets[0].Generation))
}

// keySets returns the generations as the table has them, oldest first.
func (c *Catalogue) keySets() []table.KeySet {
	out := make([]table.KeySet, 0, len(c.state.Keys))
	for _, k := range c.state.Keys {
		out = append(out, k.Set)
	}
	return out
}

// setKeys replaces the generations and records when a generation started to sign.
func (c *Catalogue) setKeys(sets []table.KeySet) {
	next := make([]KeyRecord, 0, len(sets))
	for _, set := range sets {
		record := KeyRecord{Set: set}
		for _, previous := range c.state.Keys {
			if previous.Set.Generation == set.Generation {
				record.PreparedAt, record.SignsSinceMS = previous.PreparedAt, previous.SignsSinceMS
			}
		}
		if !set.Pending && record.SignsSinceMS == 0 {
			record.SignsSinceMS = max(c.state.ClockMS, 1)
		}
		next = append(next, record)
	}
	c.state.Keys = next
	c.tableChanged = true
}

// recordPreparedAt records the first revision that contains each generation.
func (c *Catalogue) recordPreparedAt() {
	for i := range c.state.Keys {
		if k := &c.state.Keys[i]; k.PreparedAt == 0 {
			k.PreparedAt = c.state.Revision
		}
	}
}
