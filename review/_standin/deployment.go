package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/platform/standin"
)

// Zones and settings of the deployment, like those of a small one.
const (
	zone        = "accra-a"
	heartbeat   = 1200 * time.Millisecond
	addrReuse   = 2 * time.Second
	drainBound  = 3 * time.Second
	setupLimit  = 20 * time.Second
	callTimeout = time.Second
)

// Kinds of VMs: the third octet of their addresses.
const (
	controlVM = iota + 1
	balancerVM
	targetVM
	clientVM
)

// ports are free ports of the deployment, the same on each VM.
type ports struct {
	packets, readiness, control, outbound, app, first uint16
}

// deployment is the processes and stand-ins of one run.
type deployment struct {
	program, folder string
	net             byte
	ports           ports
	start           time.Time
	ctx             context.Context
	cancel          context.CancelFunc
	fabric          *standin.Fabric
	ledger          *standin.Ledger

	mu        sync.Mutex
	record    *os.File
	processes map[string]*exec.Cmd
}

// newDeployment returns a deployment without VMs, on a random loopback network.
func newDeployment(program, record string) (*deployment, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &deployment{
		program: program, folder: folder, net: byte(60 + rand.IntN(150)), start: time.Now(), ctx: ctx, cancel: cancel,
		ledger: standin.NewLedger(drainBound), record: f, processes: map[string]*exec.Cmd{},
	}
	base := uint16(20_000 + 20*rand.IntN(500))
	d.ports = ports{packets: base, readiness: base + 1, control: base + 2, outbound: base + 3, app: base + 4, first: base + 5}
	d.fabric, err = standin.NewFabric(ctx, standin.Rendezvous, d.ip(clientVM, 250))
	return d, err
}

// note writes a line to the record.
func (d *deployment) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = d.record.WriteString(line)
}

// close ends all processes that the deployment started and removes its folder.
func (d *deployment) close() {
	d.mu.Lock()
	var names []string
	for name := range d.processes {
		names = append(names, name)
	}
	d.mu.Unlock()
	for _, name := range names {
		d.kill(name)
	}
	d.cancel()
	_ = os.RemoveAll(d.folder)
	_ = d.record.Close()
}

// runLimit bounds one run of a case.
const runLimit = 100 * time.Second

// closeOnSignal ends the processes when this program is told to end or runs for too long.
func (d *deployment) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(runLimit):
	}
	d.close()
	os.Exit(exitNotRun)
}

func (d *deployment) ip(kind, n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.net, kind, n})
}

func (d *deployment) at(kind, n byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(d.ip(kind, n), port)
}

// launch writes a VM's settings file and starts its role with the deploy file's command.
func (d *deployment) launch(name, role string, ip netip.Addr, extra ...string) error {
	var seeds []string
	for n := byte(1); n <= 3; n++ {
		seeds = append(seeds, d.at(controlVM, n, d.ports.control).String())
	}
	lines := append([]string{
		"nodeName=" + name, "role=" + role, "ip=" + ip.String(), "zone=" + zone, "region=accra", "zones." + zone + "=accra",
		fmt.Sprintf("internalPortRange=%d,%d", d.ports.first, d.ports.first+10),
		"seedNodes=" + strings.Join(seeds, ","), fmt.Sprintf("heartbeatMs=%d", heartbeat.Milliseconds()),
		"limits.linkMbps=1000.0", "bounds.addrReuseS=2", "bounds.drainMs=3000", "bounds.ackMs=5000", "bounds.stabilityWindowMs=4000",
		"hashScheme=steady", "deploymentMode=agent",
	}, extra...)
	path := filepath.Join(d.folder, name+".conf")
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	cmd := exec.Command(d.program, role, "-platform")
	cmd.Env = []string{"BERGAMOTSTALL_NODE_FILE=" + path}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	d.processes[name] = cmd
	d.mu.Unlock()
	return nil
}

// kill ends a process that this program started with SIGKILL, and waits for its end.
func (d *deployment) kill(name string) {
	d.mu.Lock()
	cmd := d.processes[name]
	delete(d.processes, name)
	d.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

// startCore starts three control VMs and two balancers.
func (d *deployment) startCore() error {
	for n := byte(1); n <= 3; n++ {
		data := filepath.Join(d.folder, fmt.Sprintf("disk-%d", n))
		if err := os.MkdirAll(data, 0o700); err != nil {
			return err
		}
		err := d.launch(fmt.Sprintf("control-%d", n), "control", d.ip(controlVM, n),
			"listenAddrs.controlPlane="+d.at(controlVM, n, d.ports.control).String(), "dataDir="+data, "bootstrap=true")
		if err != nil {
			return err
		}
	}
	for n := byte(1); n <= 2; n++ {
		packets, ready := d.at(balancerVM, n, d.ports.packets), d.at(balancerVM, n, d.ports.readiness)
		err := d.launch(fmt.Sprintf("balancer-%d", n), "balancer", d.ip(balancerVM, n),
			"listenAddrs.datagramAddr="+packets.String(), "listenAddrs.readinessAddr="+ready.String())
		if err != nil {
			return err
		}
		d.fabric.Add(packets, ready)
	}
	return nil
}

// awaitRotation waits until both balancers get packets.
func (d *deployment) awaitRotation() error {
	for end := time.Now().Add(setupLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if d.fabric.InRotation() == 2 {
			return nil
		}
	}
	return errors.New("the balancers didn't become ready")
}

// startAgent starts the agent of a target's VM and waits until it accepts check-ins.
func (d *deployment) startAgent(name string, n byte, service string) error {
	control := d.at(targetVM, n, d.ports.control)
	err := d.launch(name, "agent", d.ip(targetVM, n),
		"listenAddrs.datagramAddr="+d.at(targetVM, n, d.ports.packets).String(),
		"listenAddrs.outbound="+d.at(targetVM, n, d.ports.outbound).String(),
		"listenAddrs.readinessAddr="+d.at(targetVM, n, d.ports.readiness).String(),
		"listenAddrs.controlPlane="+control.String(), "app="+d.at(targetVM, n, d.ports.app).String(), "service="+service)
	if err != nil {
		return err
	}
	for end := time.Now().Add(setupLimit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp", control.String(), callTimeout)
		if err == nil {
			return conn.Close()
		}
	}
	return fmt.Errorf("%s doesn't accept check-ins", name)
}

// startTarget starts a target of a service, which checks in at its agent; crash ends it
// without notice.
func (d *deployment) startTarget(id string, n byte, service string) (t *standin.Target, crash func(), err error) {
	return d.startTargetAt(id, n, service, d.at(targetVM, n, d.ports.control))
}

// startTargetAt is startTarget with the address for check-ins.
func (d *deployment) startTargetAt(id string, n byte, service string, announce netip.AddrPort) (t *standin.Target, crash func(), err error) {
	ctx, cancel := context.WithCancel(d.ctx)
	t, err = standin.StartTarget(ctx, standin.TargetConfig{
		ID: id, Service: service, Zone: zone, App: d.at(targetVM, n, d.ports.app),
		Outbound: d.at(targetVM, n, d.ports.outbound), Announce: announce,
		Slots: 4, Work: 20 * time.Millisecond, Heartbeat: heartbeat, Ledger: d.ledger,
	})
	return t, cancel, err
}

// put sends a desired state to the control VMs until one acknowledges it.
func (d *deployment) put(version int, routes map[packet.Endpoint]string, services ...string) error {
	type backend struct {
		Service string `json:"service"`
		Weight  int    `json:"weight"`
	}
	type wireRoute struct {
		Name       string    `json:"name"`
		Host       string    `json:"host"`
		PathPrefix string    `json:"pathPrefix"`
		RouteType  string    `json:"routeType"`
		TimeoutMS  int       `json:"timeoutMs"`
		Priority   int       `json:"priority"`
		Backends   []backend `json:"backends"`
	}
	type wireService struct {
		Name       string `json:"name"`
		HealthPath string `json:"healthPath"`
		MaxConns   int    `json:"maxConns"`
	}
	doc := struct {
		Version  int              `json:"version"`
		Routes   []wireRoute      `json:"routes"`
		Services []wireService    `json:"services"`
		Limits   map[string]int64 `json:"limits"`
	}{Version: version, Limits: map[string]int64{"idleTimeoutMs": 15000}}
	for at, service := range routes {
		doc.Routes = append(doc.Routes, wireRoute{
			Name: "r-" + service, Host: netip.AddrFrom4(at.IP).String(), PathPrefix: fmt.Sprintf("/%d/", at.Port),
			RouteType: "idempotent", TimeoutMS: 2500, Priority: 2, Backends: []backend{{service, 100}},
		})
		d.note("desired state %d: flows to %s go to %s", version, at, service)
	}
	for _, s := range services {
		doc.Services = append(doc.Services, wireService{s, "/health", 2000})
	}
	body, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	err = errors.New("the desired state wasn't acknowledged")
	for end := time.Now().Add(setupLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for n := byte(1); n <= 3; n++ {
			if d.call(http.MethodPut, "http://"+d.at(controlVM, n, d.ports.control).String()+"/api/config", body) == nil {
				return nil
			}
		}
	}
	return err
}

// call makes an HTTP call and returns an error unless it is answered with 2xx in time.
func (d *deployment) call(method, url string, body []byte) error {
	ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	return nil
}
