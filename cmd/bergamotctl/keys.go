package main

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"net"
	"strings"

	"github.com/go-faster/errors"

	"bergamotstall/internal/catalogue"
	"bergamotstall/internal/keys"
)

const keysHelp = `usage: bergamotctl keys init -folder FOLDER
       bergamotctl keys issue -folder FOLDER -role ROLE -name NAME [-ip IP,IP]
       bergamotctl keys rotate -step prepare|sign|drop

init makes the authority; keep its folder where only operators reach it.
issue makes or renews a certificate; ROLE is balancer, agent, control or
operator, and the IP numbers are those that others reach the process by.

rotate renews the keys that balancers and agents share, in three steps:
  prepare  hands a new generation to every process; none signs with it yet
  sign     starts its use, once every process has it (-early doesn't look);
           older generations stay accepted
  drop     ends the acceptance of the older ones, a day later at the earliest:
           open flows carry them for hours (-early drops at once)
`

func runKeys(ctx context.Context, c *invocation) int {
	if len(c.args) == 0 {
		fmt.Fprint(c.errOut, keysHelp)
		return exitUsage
	}
	action := c.args[0]
	c.args = c.args[1:]
	switch action {
	case "init":
		return runKeysInit(c)
	case "issue":
		return runKeysIssue(c)
	case "rotate":
		return runRotate(ctx, c)
	case "-h", "-help", "--help":
		fmt.Fprint(c.out, keysHelp)
		return exitOK
	}
	fmt.Fprint(c.errOut, keysHelp)
	return exitUsage
}

// parseLocal parses the flags of a command that contacts no control VM. If the command
// ends here, because of -h or wrong usage, it returns the exit code and true.
func (c *invocation) parseLocal(flags *flag.FlagSet) (code int, done bool) {
	flags.SetOutput(c.errOut)
	flags.Usage = func() { fmt.Fprint(c.errOut, keysHelp) }
	switch err := flags.Parse(c.args); {
	case errors.Is(err, flag.ErrHelp):
		return exitOK, true
	case err != nil:
		return exitUsage, true
	case flags.NArg() > 0:
		flags.Usage()
		return exitUsage, true
	}
	return exitOK, false
}

func runKeysInit(c *invocation) int {
	flags := flag.NewFlagSet("bergamotctl keys init", flag.ContinueOnError)
	folder := flags.String("folder", "", "`folder` of the authority")
	if code, done := c.parseLocal(flags); done {
		return code
	}
	if *folder == "" {
		flags.Usage()
		return exitUsage
	}
	if err := keys.Init(*folder); err != nil {
		return c.printKeysError(err)
	}
	fmt.Fprintf(c.out, "authority made in %s\n", *folder)
	return exitOK
}

func runKeysIssue(c *invocation) int {
	flags := flag.NewFlagSet("bergamotctl keys issue", flag.ContinueOnError)
	folder := flags.String("folder", "", "`folder` of the authority")
	role := flags.String("role", "", "balancer, agent, control or operator")
	name := flags.String("name", "", "the process's or operator's `name`")
	addresses := flags.String("ip", "", "`IP` numbers that others reach the process by, with commas between")
	if code, done := c.parseLocal(flags); done {
		return code
	}
	ips, err := parseIPs(*addresses)
	if err != nil || *folder == "" || *role == "" || *name == "" {
		if err != nil {
			fmt.Fprintln(c.errOut, err)
		}
		flags.Usage()
		return exitUsage
	}
	files, err := keys.Issue(*folder, keys.Role(*role), *name, ips...)
	if err != nil {
		return c.printKeysError(err)
	}
	fmt.Fprintf(c.out, "authority: %s\ncertificate: %s\nkey: %s\n", files.Authority, files.Certificate, files.Key)
	return exitOK
}

func parseIPs(addresses string) ([]net.IP, error) {
	if addresses == "" {
		return nil, nil
	}
	var out []net.IP
	for _, n := range strings.Split(addresses, ",") {
		ip := net.ParseIP(n)
		if ip == nil {
			return nil, errors.Errorf("%q is no IP number", n)
		}
		out = append(out, ip)
	}
	return out, nil
}

// printKeysError prints err and returns its exit code: exitUsage for invalid arguments,
// exitRefused if the folder has no authority or already has the files.
func (c *invocation) printKeysError(err error) int {
	fmt.Fprintln(c.errOut, err)
	switch {
	case errors.Is(err, keys.ErrRole), errors.Is(err, keys.ErrName):
		return exitUsage
	case errors.Is(err, keys.ErrExists), errors.Is(err, keys.ErrNoAuthority):
		return exitRefused
	}
	return exitFailed
}

// runRotate takes one step of a rotation of the cluster keys. "sign" is refused unless
// every known process has the prepared generation, as flows break at a process that
// doesn't know the key; -early skips this check.
func runRotate(ctx context.Context, c *invocation) int {
	o := c.newOptions()
	f := o.addChangeFlags()
	name := o.flags.String("step", "", "`step` to take: prepare, sign or drop")
	early := o.flags.Bool("early", false, "don't look whether the step breaks flows")
	if code, done := o.parse(c, 0); done {
		return code
	}
	rotate := &catalogue.RotateKeys{Early: *early}
	switch *name {
	case "prepare":
		set, err := keys.NewKeySet(0, rand.Reader)
		if err != nil {
			return c.printError(o, err)
		}
		rotate.Step, rotate.Keys = catalogue.KeyStepPrepare, &set
	case "sign":
		rotate.Step = catalogue.KeyStepSign
		if !*early && !c.preparedEverywhere(ctx, o) {
			return exitRefused
		}
	case "drop":
		rotate.Step = catalogue.KeyStepDrop
	default:
		fmt.Fprint(c.errOut, keysHelp)
		return exitUsage
	}
	return c.submit(ctx, o, f, catalogue.Command{RotateKeys: rotate})
}

// preparedEverywhere reports whether every known process has the prepared generation of the
// keys, and prints those that may not have it. It returns true if no generation is
// prepared: the catalogue then refuses the step.
func (c *invocation) preparedEverywhere(ctx context.Context, o *options) bool {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	fleet := o.client.Fleet(ctx)
	revision, ok := fleet.Prepared()
	if !ok {
		return true
	}
	behind := fleet.Behind(revision)
	if len(behind) == 0 {
		return true
	}
	fmt.Fprintf(c.errOut, "the prepared generation (revision %d) isn't known everywhere; signing with it would break flows\n", revision)
	for _, who := range behind {
		fmt.Fprintf(c.errOut, "  %s\n", who)
	}
	return false
}
