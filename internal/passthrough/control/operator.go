package control

import (
	"context"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/passthrough/route"
)

const (
	// proposeTimeout bounds how long an operator's order waits for a quorum. An election
	// takes one to one and a half seconds.
	proposeTimeout = 2500 * time.Millisecond
	// readTimeout bounds how long a read waits; readers ask another VM after one second.
	readTimeout = 800 * time.Millisecond
)

// Put commits a definition. A nil error means that it, or one with the same or a higher
// version, is on the disks of a majority. An error of Definition.Validate means that it
// is invalid and nothing changed. ErrUnavailable means that it may come into force, now
// or later.
func (c *Control) Put(ctx context.Context, d *route.Definition) error {
	if err := d.Validate(); err != nil {
		c.logDefinition(d, "invalid", err)
		return err
	}
	// What this replica has applied is committed, so a version that isn't higher needs no
	// log entry: resends during a burst cost nothing.
	if d.Version <= c.store.Version() {
		c.logDefinition(d, "overtaken", nil)
		return nil
	}
	command, err := route.Command(d)
	if err != nil {
		return err
	}
	outcome, err := c.propose(ctx, command)
	if err != nil {
		c.logDefinition(d, "unavailable", err)
		return err
	}
	if outcome == route.Malformed {
		c.logDefinition(d, "unreadable", nil)
		return errors.New("control: replica could not decode the definition")
	}
	c.logDefinition(d, outcomeName(outcome), nil)
	return nil
}

// propose commits a command. ErrUnavailable means that it may come into force, now or
// later.
func (c *Control) propose(ctx context.Context, command []byte) (route.Outcome, error) {
	r := c.replica.Load()
	if r == nil {
		return 0, ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	began := time.Now()
	out, err := r.Propose(ctx, command)
	if err != nil {
		return 0, errors.Wrap(ErrUnavailable, err.Error())
	}
	c.cfg.Metrics.Histogram("order_agreed_after").Record(time.Since(began))
	if len(out) != 1 {
		return route.Malformed, nil
	}
	return route.Outcome(out[0]), nil
}

func outcomeName(o route.Outcome) string {
	if o == route.Accepted {
		return "accepted"
	}
	return "overtaken"
}

// logDefinition logs and counts an operator's definition with its outcome and cause.
func (c *Control) logDefinition(d *route.Definition, outcome string, cause error) {
	c.cfg.Metrics.Counter("definitions_" + outcome).Add(1)
	events.Log(c.cfg.Log, events.DefinitionDecided, logrus.Fields{
		"version": uint64(d.Version), "held": uint64(c.store.Version()), "outcome": outcome, "cause": events.ErrorText(cause),
		"contact_age_ms": c.ContactAge().Milliseconds(), "routes": len(d.Routes),
	})
}

// Get returns the document of the newest definition. It fails with ErrUnavailable if this
// VM can't confirm that it is the newest.
func (c *Control) Get(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := c.Barrier(ctx); err != nil {
		c.cfg.Metrics.Counter("reads_unavailable").Add(1)
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	state := c.store.Current()
	if state == nil {
		return nil, ErrNoDefinition
	}
	events.Log(c.cfg.Log, events.DefinitionRead, logrus.Fields{"version": uint64(state.Definition.Version)})
	return state.Definition.Document, nil
}

func portText(port uint16) string { return strconv.Itoa(int(port)) }
