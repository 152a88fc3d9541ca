package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a script.
const (
	held     = 0
	broken   = 1
	notRun   = 2
	startMax = 20 * time.Second
)

// script is a case: it returns an exit code, and what was seen.
type script struct {
	bounds bounds
	run    func(d *deployment, r *record, trouble bool) (int, string)
}

var cases = map[string]script{
	"all-replaced":            {smallBounds, allReplaced},
	"replaced-then-disk-lost": {smallBounds, replacedThenDiskLost},
	"two-dark-two-disks-lost": {grownBounds, twoDarkTwoDisksLost},
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]].run == nil {
		fmt.Println("usage: review-2 CASE RECORD")
		os.Exit(notRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(s script, path string, trouble bool) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Println(err)
		return notRun
	}
	d, err := newDeployment(r, s.bounds)
	if err != nil {
		fmt.Println(err)
		return notRun
	}
	defer d.close()
	code, text := s.run(d, r, trouble)
	r.printf("%s", text)
	fmt.Println(text)
	return code
}

// start starts the system for the first time with control machines 1 to n, and has the
// operator's first desired state accepted.
func start(d *deployment, o *operator, n int) (machines []int, err error) {
	for i := 1; i <= n; i++ {
		if err := d.startControl(i, true); err != nil {
			return nil, err
		}
		machines = append(machines, i)
	}
	if !o.put(7, startMax, machines...) {
		return nil, fmt.Errorf("the system didn't start")
	}
	time.Sleep(d.bounds.catchUp)
	return machines, nil
}

// returnEmpty starts machines that have lost their disks, at their old addresses.
func returnEmpty(d *deployment, machines ...int) error {
	for _, n := range machines {
		if err := d.loseDisk(n); err != nil {
			return err
		}
		if err := d.startControl(n, false); err != nil {
			return err
		}
	}
	return nil
}

// readBack judges whether the acknowledged version is read back once all machines are back.
func readBack(d *deployment, o *operator, acknowledged int, machines []int) (int, string) {
	within := 2*d.bounds.recovery + d.bounds.stabilityWindow
	got := o.read(acknowledged, within, machines...)
	if got >= acknowledged {
		return held, fmt.Sprintf("held: version %d is read back", got)
	}
	further := o.put(acknowledged+3, 5*time.Second, machines...)
	return broken, fmt.Sprintf("BROKEN: version %d was acknowledged; in the %v since all machines are back, the newest version read is %d (0: only 5xx or no response); a further change is acknowledged: %t", acknowledged, within, got, further)
}

// replacedThenDiskLost replaces a core machine as planned: the new one starts first, has the
// time that it needs to catch up, and then the old one gets SIGTERM and is gone for good. Two
// seconds later another core machine loses its disk and comes back empty.
func replacedThenDiskLost(d *deployment, r *record, trouble bool) (int, string) {
	const leaves, loses, newcomer = 3, 2, 4
	o := newOperator(d, r)
	machines, err := start(d, o, 3)
	if err != nil {
		return notRun, err.Error()
	}
	if trouble {
		if err := d.startControl(newcomer, false); err != nil {
			return notRun, err.Error()
		}
		time.Sleep(d.bounds.catchUp + time.Second)
		if got := o.read(7, 2*time.Second, newcomer); got != 7 {
			return notRun, fmt.Sprintf("the new machine read back version %d after its time to catch up", got)
		}
		d.stop(leaves)
		machines = []int{1, loses, newcomer}
		time.Sleep(time.Second)
	}
	if !o.put(12, 10*time.Second, machines...) {
		return notRun, "version 12 was not acknowledged"
	}
	if trouble {
		time.Sleep(time.Second)
		d.kill(loses)
		time.Sleep(time.Second)
		if err := returnEmpty(d, loses); err != nil {
			return notRun, err.Error()
		}
	}
	return readBack(d, o, 12, machines)
}

// twoDarkTwoDisksLost has two of five control machines lose power for seven seconds. While
// they are dark, a change is acknowledged, and two of the others lose their disks and come
// back empty.
func twoDarkTwoDisksLost(d *deployment, r *record, trouble bool) (int, string) {
	o := newOperator(d, r)
	machines, err := start(d, o, 5)
	if err != nil {
		return notRun, err.Error()
	}
	if trouble {
		d.kill(4)
		d.kill(5)
		time.Sleep(6 * time.Second)
	}
	if !o.put(12, 10*time.Second, 1, 2, 3) {
		return notRun, "version 12 was not acknowledged"
	}
	if trouble {
		d.kill(1)
		d.kill(2)
		time.Sleep(time.Second)
		for n := 4; n <= 5; n++ {
			if err := d.startControl(n, false); err != nil {
				return notRun, err.Error()
			}
		}
		if err := returnEmpty(d, 1, 2); err != nil {
			return notRun, err.Error()
		}
	}
	return readBack(d, o, 12, machines)
}

// allReplaced replaces all core machines as planned: three new ones start and have more than
// the time that they need to catch up, a change is acknowledged, and then the old ones get
// SIGTERM in turn, a second apart, and are gone for good. No disk is lost.
func allReplaced(d *deployment, r *record, trouble bool) (int, string) {
	o := newOperator(d, r)
	machines, err := start(d, o, 3)
	if err != nil {
		return notRun, err.Error()
	}
	if trouble {
		machines = []int{4, 5, 6}
		for _, n := range machines {
			if err := d.startControl(n, false); err != nil {
				return notRun, err.Error()
			}
		}
		time.Sleep(2 * d.bounds.catchUp)
		for _, n := range machines {
			if got := o.read(7, 2*time.Second, n); got != 7 {
				return notRun, fmt.Sprintf("%s read back version %d after its time to catch up", name(n), got)
			}
		}
	}
	if !o.put(12, 10*time.Second, machines...) {
		return notRun, "version 12 was not acknowledged"
	}
	if trouble {
		for n := 1; n <= 3; n++ {
			d.stop(n)
			time.Sleep(time.Second)
		}
	}
	return readBack(d, o, 12, machines)
}
