package main

import (
	"context"
	"fmt"

	"bergamotstall/internal/operator"
)

const membersHelp = `usage: bergamotctl members list
       bergamotctl members add NAME IP:PORT
       bergamotctl members remove NAME
       bergamotctl members replace OLD NEW IP:PORT

A VM whose disk was lost is replaced under a new name: an empty disk under the
old one would vote as a replica that forgot what it promised.
`

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
		return c.changeMembers(ctx, o, 2, func(a []string) operator.MembersChange {
			return operator.MembersChange{Action: operator.AddMember, New: a[0], Address: a[1]}
		})
	case "remove":
		return c.changeMembers(ctx, o, 1, func(a []string) operator.MembersChange {
			return operator.MembersChange{Action: operator.RemoveMember, Old: a[0]}
		})
	case "replace":
		return c.changeMembers(ctx, o, 3, func(a []string) operator.MembersChange {
			return operator.MembersChange{Action: operator.ReplaceMember, Old: a[0], New: a[1], Address: a[2]}
		})
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

func (c *call) changeMembers(ctx context.Context, o *options, arguments int, change func([]string) operator.MembersChange) int {
	if code, done := o.parse(c, arguments); done {
		return code
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	local, err := o.client.ChangeMembers(ctx, change(o.args))
	if err != nil {
		return c.failed(o, err)
	}
	if o.json {
		c.printJSON(local.Replicas)
		return exitOK
	}
	c.replicas(&operator.Fleet{VMs: []operator.VMStatus{{Local: &local}}})
	return exitOK
}
