// Command standin plays a small deployment of the users' platform on loopback for the
// cases of the review. It starts the built programs as processes, plays clients, targets,
// routers and the operator, and reports whether a rule was broken.
//
//	standin route|drain -program PATH -record FILE [-trouble=false]
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases are the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(d *deployment, trouble bool) (broken bool, err error){
	"route": routeCase,
	"drain": drainCase,
}

func main() {
	if len(os.Args) < 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin route|drain -program PATH -record FILE [-trouble=false]")
		os.Exit(exitNotRun)
	}
	flags := flag.NewFlagSet(os.Args[1], flag.ExitOnError)
	program := flags.String("program", "target/bergamotstall", "the built program")
	record := flags.String("record", "record.txt", "the file to record events in")
	trouble := flags.Bool("trouble", true, "cause the disruption")
	if err := flags.Parse(os.Args[2:]); err != nil {
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], *program, *record, *trouble))
}

// run plays one case and returns its exit code.
func run(play func(*deployment, bool) (bool, error), program, record string, trouble bool) int {
	d, err := newDeployment(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.close()
	go d.closeOnSignal()
	d.note("disruption: %v", trouble)
	broken, err := play(d, trouble)
	if err != nil {
		d.note("the case couldn't run: %v", err)
		return exitNotRun
	}
	if broken {
		d.note("result: the rule was broken")
		return exitBroken
	}
	d.note("result: the rule held")
	return exitHeld
}
