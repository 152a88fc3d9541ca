package catalogue

import (
	"cmp"
	"fmt"
	"slices"
)

// announceBalancer registers or updates a balancer, or removes one that announces its
// stop.
func (c *Catalogue) announceBalancer(cmd *Command) Outcome {
	a := cmd.AnnounceBalancer.Announcement
	if a.Name == "" || len(a.Name) > maxNameLength || len(a.DataCentre) > maxNameLength || !validAddress(a.Tunnel) {
		return c.outcome(NotValid, fmt.Sprintf("balancer %q with tunnel %q: names of at most %d bytes and ip:port", a.Name, a.Tunnel, maxNameLength))
	}
	at, known := c.balancerAt(a.Name)
	if known && c.state.Balancers[at].Incarnation == a.Incarnation && a.Attachment < c.state.Balancers[at].Attachment {
		return c.outcome(Done, "balancer "+a.Name+" has announced itself since")
	}
	if a.Draining {
		if known {
			c.state.Balancers = slices.Delete(c.state.Balancers, at, at+1)
			c.tableChanged = true
		}
		return c.outcome(Done, "balancer "+a.Name+" left as planned")
	}
	next := BalancerRecord{Name: a.Name, Incarnation: a.Incarnation, Attachment: a.Attachment, DataCentre: a.DataCentre, Tunnel: a.Tunnel, Via: cmd.ProposedBy}
	if !known && len(c.state.Balancers) >= maxBalancers {
		return c.outcome(Refused, fmt.Sprintf("%d balancers are known", maxBalancers))
	}
	if !known {
		c.state.Balancers = slices.Insert(c.state.Balancers, at, next)
		c.tableChanged = true
		return c.outcome(Done, "balancer "+a.Name+" registered")
	}
	old := c.state.Balancers[at]
	c.state.Balancers[at] = next
	if old.Liveness == OutOfService || old.Tunnel != next.Tunnel || old.DataCentre != next.DataCentre {
		c.tableChanged = true
	}
	return c.outcome(Done, "balancer "+a.Name+" announced again")
}

// balancerAt returns the index of the balancer, or the index to insert it at.
func (c *Catalogue) balancerAt(name string) (int, bool) {
	return slices.BinarySearchFunc(c.state.Balancers, name, func(b BalancerRecord, n string) int {
		return cmp.Compare(b.Name, n)
	})
}

// balancerSilent takes a silent balancer off the return path. The limit for targets
// applies to balancers too: without any listed balancer, agents couldn't answer callers.
func (c *Catalogue) balancerSilent(cmd *Command) Outcome {
	report := cmd.BalancerSilent
	at, known := c.balancerAt(report.Name)
	if !known {
		return c.outcome(Done, "gone already")
	}
	b := &c.state.Balancers[at]
	switch {
	case b.Incarnation != report.Incarnation || b.Attachment > report.Attachment:
		return c.outcome(Done, "heard since by "+b.Via)
	case b.Liveness == OutOfService:
		return c.outcome(Done, "out already")
	case !c.countBalancers(c.state.ClockMS).mayTakeOut():
		b.Liveness, b.SilentAtMS = Suspect, c.state.ClockMS
		return c.outcome(Refused, fmt.Sprintf("balancer %s is silent, but too many are; it stays in", b.Name))
	}
	b.Liveness, b.SilentAtMS = OutOfService, c.state.ClockMS
	c.tableChanged = true
	return c.outcome(Done, "balancer "+b.Name+" is off the return path")
}

func (c *Catalogue) countBalancers(nowMS int64) silenceCount {
	var n silenceCount
	for i := range c.state.Balancers {
		b := &c.state.Balancers[i]
		if b.Liveness != OutOfService {
			n.live++
			continue
		}
		if nowMS-b.SilentAtMS < silenceWindow.Milliseconds() {
			n.out++
		}
	}
	return n
}

// expireBalancers removes balancers that have been out of service for silenceWindow.
func (c *Catalogue) expireBalancers() {
	c.state.Balancers = slices.DeleteFunc(c.state.Balancers, func(b BalancerRecord) bool {
		return b.Liveness == OutOfService && c.elapsed(b.SilentAtMS, silenceWindow.Milliseconds())
	})
}
