package main

import (
	"context"
	"crypto/rand"
	"fmt"

	"bergamotstall/internal/catalogue"
	"bergamotstall/internal/keys"
)

const keysHelp = `usage: bergamotctl keys rotate -step prepare|sign|drop

A rotation of the cluster keys takes three steps:
  prepare  hands a new generation to every process; none signs with it yet
  sign     starts its use; older generations stay accepted
  drop     ends the acceptance of the older ones, a day later at the earliest:
           open flows carry them for hours (-early drops at once)
`

func runKeys(ctx context.Context, c *call) int {
	if len(c.args) == 0 {
		fmt.Fprint(c.errOut, keysHelp)
		return exitUsage
	}
	action := c.args[0]
	c.args = c.args[1:]
	switch action {
	case "rotate":
		return runRotate(ctx, c)
	case "-h", "-help", "--help":
		fmt.Fprint(c.out, keysHelp)
		return exitOK
	}
	fmt.Fprint(c.errOut, keysHelp)
	return exitUsage
}

func runRotate(ctx context.Context, c *call) int {
	o := c.options()
	f := o.change()
	name := o.flags.String("step", "", "`step` to take: prepare, sign or drop")
	early := o.flags.Bool("early", false, "drop before a day has passed; breaks flows that are older than the last sign")
	if code, done := o.parse(c, 0); done {
		return code
	}
	rotate := &catalogue.RotateKeys{Early: *early}
	switch *name {
	case "prepare":
		set, err := keys.NewKeySet(0, rand.Reader)
		if err != nil {
			return c.failed(o, err)
		}
		rotate.Step, rotate.Keys = catalogue.KeyPrepare, &set
	case "sign":
		rotate.Step = catalogue.KeySign
	case "drop":
		rotate.Step = catalogue.KeyDrop
	default:
		fmt.Fprint(c.errOut, keysHelp)
		return exitUsage
	}
	return c.submit(ctx, o, f, catalogue.Command{RotateKeys: rotate})
}
