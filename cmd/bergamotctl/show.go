package main

import (
	"context"
	"fmt"
	"time"

	"bergamotstall/internal/catalogue"
	"bergamotstall/internal/operator"
)

// readPart reads one part of the catalogue from control. If the command ends here, because
// of an error or because -json has printed the part, ok is false and code is the exit code.
func (c *invocation) readPart(ctx context.Context, o *options, part operator.Part) (view *operator.View, code int, ok bool) {
	if code, done := o.parse(c, 0); done {
		return nil, code, false
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	view, err := o.client.Read(ctx, part)
	if err != nil {
		return nil, c.printError(o, err), false
	}
	if o.json {
		c.printJSON(view)
		return nil, exitOK, false
	}
	return view, exitOK, true
}

func (c *invocation) printHeading(v *operator.View) {
	fmt.Fprintf(c.out, "version %d, table revision %d, preset in force: %s\n", v.Version, v.Revision, orNone(v.InForce))
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

func runServices(ctx context.Context, c *invocation) int {
	view, code, ok := c.readPart(ctx, c.newOptions(), operator.PartServices)
	if !ok {
		return code
	}
	c.printHeading(view)
	c.printTable(func(row func(...any)) {
		row("SERVICE", "ID", "ADDRESS", "FLOWS", "QUEUE", "RETRY %", "KEY WINDOW")
		for _, s := range view.Services {
			row(s.Spec.Name, s.ID, s.Spec.Address, s.Spec.FlowLimit, s.Spec.QueueLimit, s.Spec.RetryPercent, s.Spec.KeyWindow)
		}
	})
	return exitOK
}

func runPresets(ctx context.Context, c *invocation) int {
	view, code, ok := c.readPart(ctx, c.newOptions(), operator.PartServices)
	if !ok {
		return code
	}
	c.printHeading(view)
	for _, p := range view.Presets {
		mark := " "
		if p.Name == view.InForce {
			mark = "*"
		}
		fmt.Fprintf(c.out, "%s %s\n", mark, p.Name)
		for _, s := range p.Services {
			fmt.Fprintf(c.out, "    %s:%s\n", s.Service, formatWeights(s))
		}
	}
	return exitOK
}

func formatWeights(s catalogue.PresetService) string {
	var out string
	for _, d := range s.DataCentres {
		out += fmt.Sprintf(" %s=%d", d.Name, d.Weight)
	}
	for _, h := range s.Hosts {
		out += fmt.Sprintf(" host %s=%d", h.Host, h.Weight)
	}
	return out
}

func runTargets(ctx context.Context, c *invocation) int {
	view, code, ok := c.readPart(ctx, c.newOptions(), operator.PartTargets)
	if !ok {
		return code
	}
	c.printHeading(view)
	c.printTable(func(row func(...any)) {
		row("SERVICE", "HOST", "DATA CENTRE", "AGENT", "STATE", "WEIGHT", "SLOTS", "FLOWS", "TUNNEL", "WHY")
		for _, t := range view.Targets {
			row(t.Service, t.Host, t.DataCentre, t.Agent, t.State, t.Weight, t.Slots, t.Connections, t.Tunnel, t.Why)
		}
	})
	for _, host := range view.Drains {
		fmt.Fprintf(c.out, "drained: %s\n", host)
	}
	return exitOK
}

func runHistory(ctx context.Context, c *invocation) int {
	o := c.newOptions()
	fleet := o.flags.Bool("fleet", false, "show announcements and silences instead of operators' commands")
	last := o.flags.Int("n", 50, "show the last `count` records")
	if code, done := o.parse(c, 0); done {
		return code
	}
	part := operator.PartAudit
	if *fleet {
		part = operator.PartFleet
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	view, err := o.client.Read(ctx, part)
	if err != nil {
		return c.printError(o, err)
	}
	view.Records = view.Records[max(0, len(view.Records)-max(0, *last)):]
	if o.json {
		c.printJSON(view)
		return exitOK
	}
	c.printTable(func(row func(...any)) {
		row("WHEN", "WHO", "WHAT", "OUTCOME", "VERSION", "VIA", "COMMAND")
		for _, r := range view.Records {
			row(time.UnixMilli(r.AtMS).UTC().Format(time.RFC3339), r.Who, r.What, r.Outcome, r.Version, r.ProposedBy, r.ID)
		}
	})
	return exitOK
}

func runStatus(ctx context.Context, c *invocation) int {
	o := c.newOptions()
	if code, done := o.parse(c, 0); done {
		return code
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	fleet := o.client.Fleet(ctx)
	code := exitOK
	if fleet.View == nil {
		code = exitUnreachable
	}
	if o.json {
		c.printJSON(fleet)
		return code
	}
	if fleet.View != nil {
		c.printHeading(fleet.View)
	} else {
		fmt.Fprintf(c.out, "NOT CURRENT: %s\nwhat follows is each VM's own last word\n", fleet.NoQuorum)
	}
	c.printControlVMs(fleet)
	c.printBalancers(fleet)
	return code
}

func (c *invocation) printControlVMs(fleet *operator.Fleet) {
	c.printTable(func(row func(...any)) {
		row("CONTROL VM", "ADDRESS", "LEADER", "QUORUM HEARD", "VERSION", "REVISION", "SUBSCRIBERS")
		for _, vm := range fleet.VMs {
			if vm.Local == nil {
				row("?", vm.Address, vm.Err)
				continue
			}
			l := vm.Local
			row(l.VM, vm.Address, orNone(l.Leader), fmt.Sprintf("%d ms ago", l.ContactAgeMS), l.Version, l.Revision, len(l.Subscribers))
		}
	})
	c.printReplicas(fleet)
}

// printReplicas prints the replicas as the leader sees them. Only the leader knows how far
// the others are behind.
func (c *invocation) printReplicas(fleet *operator.Fleet) {
	for _, vm := range fleet.VMs {
		if vm.Local == nil || vm.Local.Leader != vm.Local.VM {
			continue
		}
		c.printReplicaTable(vm.Local.Replicas)
		return
	}
}

func (c *invocation) printReplicaTable(replicas []operator.Replica) {
	c.printTable(func(row func(...any)) {
		row("REPLICA", "IDENTITY", "ADDRESS", "ROLE", "ENTRIES BEHIND", "SILENT")
		for _, r := range replicas {
			row(r.Name, r.ID, r.Address, r.Role, orUnknown(r.Lag, ""), orUnknown(r.SilentMS, " ms"))
		}
	})
}

func orUnknown(n int64, unit string) string {
	if n < 0 {
		return "unknown"
	}
	return fmt.Sprint(n, unit)
}

func (c *invocation) printBalancers(fleet *operator.Fleet) {
	if fleet.View == nil {
		return
	}
	c.printTable(func(row func(...any)) {
		row("BALANCER", "DATA CENTRE", "STATE", "REVISION", "BEHIND", "HEARD")
		for _, b := range fleet.Balancers {
			if !b.Heard {
				row(b.Name, b.DataCentre, b.State, "unknown", "", "no asked control VM has its stream")
				continue
			}
			behind := max(0, int64(fleet.View.Revision)-int64(b.Revision))
			row(b.Name, b.DataCentre, b.State, b.Revision, behind, fmt.Sprintf("%d ms ago", b.AgeMS))
		}
	})
}
