package catalogue

import (
	"fmt"
	"time"

	"bergamotstall/internal/table"
)

// Rotation takes three steps, each a command of its own, so that no process
// ever meets a key it doesn't know: prepare hands the new generation to all,
// sign starts its use, drop ends the acceptance of older ones. One step that
// did all would break flows at every balancer whose table is a moment behind.
const (
	// maxGenerations bounds the generations accepted at once; three bits of a
	// connection ID tell eight apart, and one is kept free to be prepared.
	maxGenerations = 7
	// MinAcceptance is how long a generation is accepted after another signs:
	// open flows carry connection IDs of their generation for hours.
	MinAcceptance = 24 * time.Hour
)

// String returns the step as operators type it.
func (s KeyStep) String() string {
	switch s {
	case KeyPrepare:
		return "prepare"
	case KeySign:
		return "sign"
	case KeyDrop:
		return "drop"
	case KeyFirst:
		return "first"
	}
	return "unknown step"
}

func (c *Catalogue) rotateKeys(r *RotateKeys) Outcome {
	switch r.Step {
	case KeyPrepare:
		return c.prepareKeys(r.Keys)
	case KeyFirst:
		return c.firstKeys(r.Keys)
	case KeySign:
		return c.signKeys()
	case KeyDrop:
		return c.dropKeys(r.Early)
	}
	return c.outcome(NotValid, "a step of a rotation is prepare, sign or drop")
}

// whole tells whether a generation has every key at its size.
func whole(k *table.KeySet) bool {
	return k != nil && len(k.ConnID) == 16 && len(k.Envelope) > 0 && len(k.Reset) == 32 &&
		len(k.Token) == 32 && len(k.Hash) == 16
}

func (c *Catalogue) firstKeys(keys *table.KeySet) Outcome {
	if !whole(keys) {
		return c.outcome(NotValid, "the first generation lacks a key")
	}
	if len(c.state.Keys) > 0 {
		return c.outcome(Refused, "the cluster has keys; use prepare")
	}
	first := KeyRecord{Set: *keys, SignsSinceMS: max(c.state.ClockMS, 1)}
	first.Set.Generation, first.Set.Pending = 1, false
	c.state.Keys = append(c.state.Keys, first)
	c.altered = true
	return c.outcome(Done, "generation 1 handed out and signs")
}

func (c *Catalogue) prepareKeys(keys *table.KeySet) Outcome {
	n := len(c.state.Keys)
	switch {
	case !whole(keys):
		return c.outcome(NotValid, "the new generation lacks a key")
	case n == 0:
		return c.outcome(Refused, "the cluster has no keys as yet")
	case c.pendingKeys() != nil:
		return c.outcome(Refused, "a generation is prepared already; sign with it first")
	case n >= maxGenerations:
		return c.outcome(Refused, fmt.Sprintf("%d generations are accepted; drop the old ones first", n))
	}
	next := KeyRecord{Set: *keys}
	next.Set.Generation = c.state.Keys[n-1].Set.Generation + 1
	next.Set.Pending = true
	c.state.Keys = append(c.state.Keys, next)
	c.altered = true
	return c.outcome(Done, fmt.Sprintf("generation %d handed out", next.Set.Generation))
}

// pendingKeys is the generation that was prepared and doesn't sign yet.
func (c *Catalogue) pendingKeys() *KeyRecord {
	n := len(c.state.Keys)
	if n == 0 || !c.state.Keys[n-1].Set.Pending {
		return nil
	}
	return &c.state.Keys[n-1]
}

func (c *Catalogue) signKeys() Outcome {
	pending := c.pendingKeys()
	if pending == nil {
		return c.outcome(Refused, "no generation is prepared")
	}
	pending.Set.Pending = false
	pending.SignsSinceMS = max(c.state.ClockMS, 1)
	c.altered = true
	return c.outcome(Done, fmt.Sprintf("generation %d signs", pending.Set.Generation))
}

func (c *Catalogue) dropKeys(early bool) Outcome {
	n := len(c.state.Keys)
	if c.pendingKeys() != nil {
		return c.outcome(Refused, "a generation is prepared; sign with it first")
	}
	if n < 2 {
		return c.outcome(Refused, "only one generation is accepted")
	}
	signing := c.state.Keys[n-1]
	if !early && !c.due(signing.SignsSinceMS, MinAcceptance.Milliseconds()) {
		return c.outcome(Refused, fmt.Sprintf("generation %d has signed for less than %v; open flows still carry older ones", signing.Set.Generation, MinAcceptance))
	}
	c.state.Keys = []KeyRecord{signing}
	c.altered = true
	return c.outcome(Done, fmt.Sprintf("only generation %d is accepted", signing.Set.Generation))
}

// stampKeys notes the revision that first carries a prepared generation.
func (c *Catalogue) stampKeys() {
	for i := range c.state.Keys {
		if k := &c.state.Keys[i]; k.PreparedAt == 0 {
			k.PreparedAt = c.state.Revision
		}
	}
}
