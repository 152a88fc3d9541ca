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

// memberPollInterval is the pause between two queries of the membership.
const memberPollInterval = 100 * time.Millisecond

func runMembers(ctx context.Context, c *invocation) int {
	if len(c.args) == 0 {
		fmt.Fprint(c.errOut, membersHelp)
		return exitUsage
	}
	action := c.args[0]
	c.args = c.args[1:]
	o := c.newOptions()
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

func runMembersList(ctx context.Context, c *invocation, o *options) int {
	if code, done := o.parse(c, 0); done {
		return code
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	fleet := o.client.Fleet(ctx)
	if o.json {
		c.printJSON(fleet.VMs)
	} else {
		c.printControlVMs(fleet)
	}
	if fleet.View == nil {
		fmt.Fprintln(c.errOut, fleet.NoQuorum)
		return exitUnreachable
	}
	return exitOK
}

func (c *invocation) addMember(ctx context.Context, o *options) int {
	if code, done := o.parse(c, 1); done {
		return code
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	return c.waitForVoter(ctx, o, o.args[0])
}

func (c *invocation) changeMembers(ctx context.Context, o *options, action operator.MemberAction) int {
	if code, done := o.parse(c, 1); done {
		return code
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	status, err := o.client.ChangeMembers(ctx, operator.MembersChange{Action: action, Name: o.args[0]})
	if err != nil {
		return c.printError(o, err)
	}
	if action == operator.ReplaceMember {
		return c.waitForVoter(ctx, o, o.args[0])
	}
	return c.printMembers(o, status)
}

func (c *invocation) printMembers(o *options, status operator.LocalStatus) int {
	if o.json {
		c.printJSON(status.Replicas)
		return exitOK
	}
	c.printReplicaTable(status.Replicas)
	return exitOK
}

// waitForVoter waits until the leader lists exactly one replica with the name, and that is
// a voter. It returns exitLagging if the command times out first.
func (c *invocation) waitForVoter(ctx context.Context, o *options, name string) int {
	for {
		for _, vm := range o.client.Fleet(ctx).VMs {
			if vm.Local != nil && vm.Local.Leader == vm.Local.VM && isOnlyVoter(vm.Local.Replicas, name) {
				return c.printMembers(o, *vm.Local)
			}
		}
		select {
		case <-ctx.Done():
			fmt.Fprintf(c.errOut, "%s doesn't vote yet: see that it runs, has these control VMs as its peers and reaches them\n", name)
			return exitLagging
		case <-time.After(memberPollInterval):
		}
	}
}

// isOnlyVoter reports whether exactly one replica has the name, and is a voter.
func isOnlyVoter(replicas []operator.Replica, name string) bool {
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
