// Command review-2 runs the cases of the second review that are scripts. It starts the
// project's own programs as separate processes on loopback addresses, plays the operator,
// and records what was sent and answered.
package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports on every machine; each machine has a loopback address of its own.
const (
	controlPort   = 8166
	firstFreePort = 7720
	lastFreePort  = 7735
)

// stopGrace is how long a process has to end after SIGTERM.
const stopGrace = 6 * time.Second

// bounds are the limits that an installation's settings state.
type bounds struct {
	machines                           int // faultTolerance.machines
	catchUp, recovery, stabilityWindow time.Duration
	// lines are the bounds in the form of the settings file.
	lines []string
}

// smallBounds are those of an installation with three control machines, grownBounds those of
// one with five.
var (
	smallBounds = bounds{
		machines: 1, catchUp: 4 * time.Second, recovery: 12 * time.Second, stabilityWindow: 4 * time.Second,
		lines: []string{
			"faultTolerance.machines=1", "bounds.stabilityWindowMs=4000", "bounds.ackMs=5000", "bounds.catchUpS=4",
			"bounds.drainMs=3000", "bounds.configApplyMs=3000", "bounds.maxStretchMs=12000", "bounds.recoveryS=12",
		},
	}
	grownBounds = bounds{
		machines: 2, catchUp: 6 * time.Second, recovery: 15 * time.Second, stabilityWindow: 5 * time.Second,
		lines: []string{
			"faultTolerance.machines=2", "bounds.stabilityWindowMs=5000", "bounds.ackMs=6000", "bounds.catchUpS=6",
			"bounds.drainMs=4000", "bounds.configApplyMs=4000", "bounds.maxStretchMs=15000", "bounds.recoveryS=15",
		},
	}
)

// deployment is the set of processes that a case has started.
type deployment struct {
	folder string
	octet  int
	record *record
	bounds bounds

	mu      sync.Mutex
	running map[string]*exec.Cmd
}

func newDeployment(r *record, b bounds) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{folder: folder, record: r, bounds: b, running: map[string]*exec.Cmd{}}
	for d.octet = 64 + os.Getpid()%100; d.octet < 250; d.octet++ {
		if d.portsFree() {
			return d, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

// portsFree tells whether the ports of the first machines are free.
func (d *deployment) portsFree() bool {
	for n := 1; n <= 6; n++ {
		for port := firstFreePort; port <= lastFreePort; port++ {
			if !canListen(fmt.Sprintf("%s:%d", d.ip(n), port)) {
				return false
			}
		}
		if !canListen(d.control(n)) {
			return false
		}
	}
	return true
}

func canListen(address string) bool {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = ln.Close()
	return true
}

// ip returns the address of the core machine with the given number.
func (d *deployment) ip(n int) string { return fmt.Sprintf("127.%d.1.%d", d.octet, n) }

// control returns the operator's address at a core machine.
func (d *deployment) control(n int) string { return fmt.Sprintf("%s:%d", d.ip(n), controlPort) }

func name(n int) string { return fmt.Sprintf("core-accra-%c-%d", 'a'+(n-1)%3, 1+(n-1)/3) }

// disk returns the data folder of a core machine.
func (d *deployment) disk(n int) string { return filepath.Join(d.folder, name(n), "disk") }

// startControl starts the control role on a core machine with the settings of DEPLOY.md.
func (d *deployment) startControl(n int, bootstrap bool) error {
	if err := os.MkdirAll(d.disk(n), 0o700); err != nil {
		return err
	}
	zone := fmt.Sprintf("accra-%c", 'a'+(n-1)%3)
	lines := []string{
		"nodeName=" + name(n), "role=control", "machineClass=core", "serves=control", "ip=" + d.ip(n),
		"zone=" + zone, "region=accra", "zones.accra-a=accra", "zones.accra-b=accra", "zones.accra-c=accra",
		"listenAddrs.controlPlane=" + d.control(n),
		fmt.Sprintf("internalPortRange=%d,%d", firstFreePort, lastFreePort),
		"seedNodes=" + d.control(1) + "," + d.control(2) + "," + d.control(3),
		fmt.Sprintf("bootstrap=%t", bootstrap), "faultCounted=true", "dataDir=" + d.disk(n),
		"limits.cpuShare=0.24", "limits.cpuCores=1", "limits.memoryMb=280", "limits.maxFds=4096",
		"limits.linkMbps=1000.0", "limits.diskMb=128", "discovery=local", "entryMode=announce", "heartbeatMs=1200",
		"contracts=base,drain,config,cost,recover,flows", "faultTolerance.zones=0", "faultTolerance.regions=0",
		"bounds.seedLagS=3", "bounds.addrReuseS=2", "bounds.graceS=6", "bounds.lossSlackMs=200", "bounds.downgradeSlackMs=250",
		"bounds.flowReorderMs=2000", "bounds.flowMaxS=60", "config_mode=highest", "hashScheme=steady", "deploymentMode=agent",
	}
	lines = append(lines, d.bounds.lines...)
	settings := filepath.Join(d.folder, name(n), "settings.conf")
	if err := os.WriteFile(settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, name(n)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/bergamotstall", "control", "-platform")
	cmd.Env = []string{"BERGAMOTSTALL_NODE_FILE=" + settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	d.running[name(n)] = cmd
	d.mu.Unlock()
	d.record.printf("%s starts at %s, bootstrap %t", name(n), d.ip(n), bootstrap)
	return nil
}

// take removes a process from those that run.
func (d *deployment) take(n int) *exec.Cmd {
	d.mu.Lock()
	defer d.mu.Unlock()
	cmd := d.running[name(n)]
	delete(d.running, name(n))
	return cmd
}

// kill ends a process with SIGKILL.
func (d *deployment) kill(n int) {
	cmd := d.take(n)
	_ = cmd.Process.Signal(syscall.SIGKILL)
	_ = cmd.Wait()
	d.record.printf("%s is killed", name(n))
}

// stop ends a process with SIGTERM, and with SIGKILL after the grace period.
func (d *deployment) stop(n int) {
	cmd := d.take(n)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	timer := time.AfterFunc(stopGrace, func() { _ = cmd.Process.Kill() })
	_ = cmd.Wait()
	timer.Stop()
	d.record.printf("%s has ended after SIGTERM", name(n))
}

// loseDisk removes everything in a machine's data folder.
func (d *deployment) loseDisk(n int) error {
	d.record.printf("%s loses its disk", name(n))
	return os.RemoveAll(d.disk(n))
}

// close ends all processes and removes the folder unless KEEP is set.
func (d *deployment) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, cmd := range d.running {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("logs are in", d.folder)
	}
}
