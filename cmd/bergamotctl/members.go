package main

import (
	"context"
	"fmt"
	"time"

	"bergamotstall/internal/operator"
)

const membersHelp = `usage: bergamotctl members list
       bergamotctl members add VM
       bergamotctl members remove VM
       bergamotctl members replace VM

A new VM asks its peers to be taken in once it is started, so add only waits
until it has caught up and votes. A VM whose disk was lost is started again with
an empty folder under its old name and waits; replace lets it take the old
one's place, and waits like add.
`

// memberStep is the pause between two looks at the membership.
const memberStep = 100 * time.Millisecond

func runMembers(ctx context.Context, c *call) int {
	if len(c.args) == 0 {
		fmt.Fprint(c.errOut, membersHelp)
		return exitUsage
	}
	action := c.args[0]
	c.args = c.args[1:]
	o := c.options()
	switch action {
	case "list":
		return runMembersList(ctx, c, o)
	case "add":
		return c.addMember(ctx, o)
	case "remove":
		return c.changeMembers(ctx, o, operator.RemoveMember)
	case "replace":
		return c.changeMembers(ctx, o, operator.ReplaceMember)
	case "-h", "-help", "--help":
		fmt.Fprint(c.out, membersHelp)
		return exitOK
	}
	fmt.Fprint(c.errOut, membersHelp)
	return exitUsage
}

func runMembersList(ctx context.Context, c *call, o *options) int {
	if code, done := o.parse(c, 0); done {
		return code
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	fleet := o.client.Fleet(ctx)
	if o.json {
		c.printJSON(fleet.VMs)
	} else {
		c.controlVMs(fleet)
	}
	if fleet.View == nil {
		fmt.Fprintln(c.errOut, fleet.NoQuorum)
		return exitUnreachable
	}
	return exitOK
}

func (c *call) addMember(ctx context.Context, o *options) int {
	if code, done := o.parse(c, 1); done {
		return code
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	return c.awaitVoter(ctx, o, o.args[0])
}

func (c *call) changeMembers(ctx context.Context, o *options, action operator.MemberAction) int {
	if code, done := o.parse(c, 1); done {
		return code
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	local, err := o.client.ChangeMembers(ctx, operator.MembersChange{Action: action, Name: o.args[0]})
	if err != nil {
		return c.failed(o, err)
	}
	if action == operator.ReplaceMember {
		return c.awaitVoter(ctx, o, o.args[0])
	}
	return c.printMembers(o, local)
}

func (c *call) printMembers(o *options, local operator.LocalStatus) int {
	if o.json {
		c.printJSON(local.Replicas)
		return exitOK
	}
	c.replicaRows(local.Replicas)
	return exitOK
}

// awaitVoter waits until exactly one replica has the name, and votes.
func (c *call) awaitVoter(ctx context.Context, o *options, name string) int {
	for {
		for _, vm := range o.client.Fleet(ctx).VMs {
			if vm.Local != nil && vm.Local.Leader == vm.Local.VM && votes(vm.Local.Replicas, name) {
				return c.printMembers(o, *vm.Local)
			}
		}
		select {
		case <-ctx.Done():
			fmt.Fprintf(c.errOut, "%s doesn't vote yet: see that it runs, has these control VMs as its peers and reaches them\n", name)
			return exitLagging
		case <-time.After(memberStep):
		}
	}
}

func votes(replicas []operator.Replica, name string) bool {
	named, voters := 0, 0
	for _, r := range replicas {
		if r.Name != name {
			continue
		}
		named++
		if r.Role == operator.RoleVoter {
			voters++
		}
	}
	return named == 1 && voters == 1
}
