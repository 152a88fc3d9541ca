// Command bergamotstall runs one role of the load balancer, or a demo of all roles in one
// process.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes, and the usage text around the list of roles.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	usageHeading = `bergamotstall runs one role of the load balancer.

usage: bergamotstall ROLE [flags]

roles:
`
	usageTail = `
exit codes: 0 graceful stop, 1 failed, 2 bad usage or settings.
bergamotstall ROLE -h explains a role's flags.
`
)

// role is one subcommand.
type role struct {
	name string
	help string
	// run runs the role until ctx is done and returns the exit code.
	run func(ctx context.Context, args []string, out, errOut io.Writer) int
}

// roles are the subcommands.
var roles = []role{
	{"demo", "every role on loopback in one process, with callers", runDemo},
	{"balancer", "an entry VM: sends each packet to the agent it names", runBalancer},
	{"agent", "beside each target: flows and requests", runAgent},
	{"control", "a control VM: replicated catalogue, distribution, operators", runControl},
}

func main() {
	// The first signal stops the process gracefully and restores the default handling, so
	// that a second one ends it at once.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, stop)
	os.Exit(dispatch(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// dispatch runs the role that the first argument names, and returns the exit code.
func dispatch(ctx context.Context, args []string, out, errOut io.Writer) int {
	if len(args) == 0 {
		usage(errOut)
		return exitUsage
	}
	for _, r := range roles {
		if r.name == args[0] {
			return r.run(ctx, args[1:], out, errOut)
		}
	}
	if args[0] == "-h" || args[0] == "-help" || args[0] == "--help" || args[0] == "help" {
		usage(out)
		return exitOK
	}
	fmt.Fprintf(errOut, "bergamotstall: no role %q\n\n", args[0])
	usage(errOut)
	return exitUsage
}

func usage(w io.Writer) {
	fmt.Fprint(w, usageHeading)
	for _, r := range roles {
		fmt.Fprintf(w, "  %-10s %s\n", r.name, r.help)
	}
	fmt.Fprint(w, usageTail)
}
