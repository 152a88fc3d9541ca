// Command bergamotctl is the command-line tool for operators of bergamotstall, and for
// sending requests and load as a caller.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes. usageTail explains them to operators.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitRefused     = 3
	exitConflict    = 4
	exitUnreachable = 5
	exitLagging     = 6
)

const (
	usageHeading = `bergamotctl drives bergamotstall.

usage: bergamotctl COMMAND [arguments] [flags]

commands:
`
	usageTail = `
bergamotctl COMMAND -h explains a command's flags.

exit codes:
  0  done
  1  failed in another way
  2  bad usage, bad settings or a bad catalogue file; nothing was sent
  3  refused: the state doesn't allow it, or a name is unknown
  4  conflict: another change came first; the current version is printed
  5  unreachable: no control VM with a quorum answered; a command may have been
     accepted, and is safe to send again with its printed -command-id
  6  accepted, but not yet in force on every balancer; those that lag are named
`
)

// command is one subcommand.
type command struct {
	name string
	// args are the arguments as usage lines show them.
	args string
	help string
	run  func(ctx context.Context, c *invocation) int
}

// invocation is one execution of a command, with its arguments and outputs.
type invocation struct {
	command command
	args    []string
	out     io.Writer
	errOut  io.Writer
}

// commands are the subcommands. Each group of them is implemented in its own file.
var commands = []command{
	{"apply", "-f FILE", "replace all services and presets by the file's", runApply},
	{"services", "", "list the services", runServices},
	{"presets", "", "list the presets and the one in force", runPresets},
	{"switch", "PRESET", "put another preset in force", runSwitch},
	{"targets", "", "list the targets that announced themselves", runTargets},
	{"drain", "HOST", "take a host out of new work", runDrain},
	{"undrain", "HOST", "give a host new work again", runUndrain},
	{"members", "list|add|remove|replace VM", "list or change the control VMs", runMembers},
	{"keys", "init|issue|rotate", "make certificates, rotate the cluster keys", runKeys},
	{"history", "", "show the audit record", runHistory},
	{"call", "URL", "send one HTTP/3 request as a caller", runCall},
	{"load", "IP:PORT", "play callers against a service and report what they got", runLoad},
	{"explain", "-flow FLOW|-worst FILE ...", "tell from logs what happened to pass-through flows; -where: where a new one would go", runExplain},
	{"evacuate", "[DATA_CENTRE]", "keep new pass-through flows out of a data centre, or list those", runEvacuate},
	{"experiment", "placement|sweeps|slots|retries|pass", "play the decisions under load in simulated time", runExperiment},
	{"status", "", "show control VMs, balancers and what is in force", runStatus},
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := dispatch(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// dispatch runs the named command and returns the exit code.
func dispatch(ctx context.Context, args []string, out, errOut io.Writer) int {
	if len(args) == 0 {
		usage(errOut)
		return exitUsage
	}
	for _, c := range commands {
		if c.name == args[0] {
			return c.run(ctx, &invocation{command: c, args: args[1:], out: out, errOut: errOut})
		}
	}
	switch args[0] {
	case "-h", "-help", "--help", "help":
		usage(out)
		return exitOK
	}
	fmt.Fprintf(errOut, "bergamotctl: no command %q\n\n", args[0])
	usage(errOut)
	return exitUsage
}

func usage(w io.Writer) {
	fmt.Fprint(w, usageHeading)
	for _, c := range commands {
		fmt.Fprintf(w, "  %-10s %-35s %s\n", c.name, c.args, c.help)
	}
	fmt.Fprint(w, usageTail)
}
