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
	// putPatience bounds how long an operator's order waits for a quorum.
	// An election takes one to one and a half seconds.
	putPatience = 2500 * time.Millisecond
	// getPatience bounds how long a reader waits; readers ask another VM after
	// a second.
	getPatience = 800 * time.Millisecond
)

// Put has a definition agreed on. nil means that it, or one with the same or a
// higher version, is on the disks of a majority; an error that matches
// route.Problem's kinds, that it is invalid and nothing changed; ErrUnavailable,
// that it may come into force, now or later.
func (c *Control) Put(ctx context.Context, d *route.Definition) error {
	if err := d.Validate(); err != nil {
		c.decided(d, "invalid", err)
		return err
	}
	// What this replica has applied is agreed on, so a version that isn't higher
	// needs no entry of its own: resends of a storm cost nothing.
	if d.Version <= c.store.Version() {
		c.decided(d, "overtaken", nil)
		return nil
	}
	command, err := route.Command(d)
	if err != nil {
		return err
	}
	outcome, err := c.propose(ctx, command)
	if err != nil {
		c.decided(d, "unavailable", err)
		return err
	}
	if outcome == route.Malformed {
		c.decided(d, "unreadable", nil)
		return errors.New("control: the log could not read the definition")
	}
	c.decided(d, outcomeText(outcome), nil)
	return nil
}

// propose has a command agreed on. ErrUnavailable means that it may come into force, now
// or later.
func (c *Control) propose(ctx context.Context, command []byte) (route.Outcome, error) {
	r := c.replica.Load()
	if r == nil {
		return 0, ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, putPatience)
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

func outcomeText(o route.Outcome) string {
	if o == route.Accepted {
		return "accepted"
	}
	return "overtaken"
}

// decided logs an operator's definition with what decided on it.
func (c *Control) decided(d *route.Definition, outcome string, cause error) {
	c.cfg.Metrics.Counter("definitions_" + outcome).Add(1)
	events.Log(c.cfg.Log, events.DefinitionDecided, logrus.Fields{
		"version": uint64(d.Version), "held": uint64(c.store.Version()), "outcome": outcome, "cause": events.ErrorText(cause),
		"contact_age_ms": c.ContactAge().Milliseconds(), "routes": len(d.Routes),
	})
}

// Get returns the newest definition's document. It fails with ErrUnavailable
// where this VM can't be sure that it is the newest.
func (c *Control) Get(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, getPatience)
	defer cancel()
	if err := c.Barrier(ctx); err != nil {
		c.cfg.Metrics.Counter("reads_unavailable").Add(1)
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	state := c.store.Current()
	if state == nil {
		return nil, ErrNone
	}
	events.Log(c.cfg.Log, events.DefinitionRead, logrus.Fields{"version": uint64(state.Definition.Version)})
	return state.Definition.Document, nil
}

func portText(port uint16) string { return strconv.Itoa(int(port)) }
