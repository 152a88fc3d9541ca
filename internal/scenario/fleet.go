package scenario

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"bergamotstall/agent"
	"bergamotstall/balancer"
	"bergamotstall/control"
	"bergamotstall/internal/keys"
	"bergamotstall/internal/metrics"
	"bergamotstall/internal/operator"
	"bergamotstall/internal/standin/fabric"
	"bergamotstall/internal/standin/target"
)

// Ports of the roles; each VM has an address of its own.
const (
	ReplicaPort    = 7001
	SubscriberPort = 7002
	OperatorPort   = 7003
	controlVars    = 7004
	tunnelPort     = 7101
	balancerVars   = 7104
	targetPort     = 7200
	agentTunnel    = 7201
	agentPeer      = 7202
	agentVars      = 7204
)

// Last octets of the VMs' addresses.
const (
	ControlFirst  = 11
	balancerFirst = 21
	hostFirst     = 31
)

const (
	controls  = 3
	balancers = 3
	// stopGrace bounds a planned stop of an agent.
	stopGrace = 20 * time.Second
	// balancerGrace lets packets in flight through; loopback needs no more.
	balancerGrace = 200 * time.Millisecond
	folderMode    = 0o700
)

// Config is what a fleet is made of.
type Config struct {
	Layout Layout
	Net    Net
	// Folder holds keys and the state of each VM.
	Folder string
	Seed   uint64
	Launch Launcher
	Log    logrus.FieldLogger
	// Via gives the address by which others reach a control VM's address, for
	// proxies on the links; nil for the address itself.
	Via func(address string) string
	// ProxyIPs are addresses of such proxies, for the certificates.
	ProxyIPs []string
}

// Host is one VM with a target and the agent beside it.
type Host struct {
	Name       string
	Service    Service
	DataCentre string
	Target     *target.Target
	Agent      Process
	last       int
	// past are the ledgers of the host's earlier targets.
	past []target.Run
}

// Entry is one VM with a balancer.
type Entry struct {
	Name       string
	DataCentre string
	last       int

	mu      sync.Mutex
	process Process
}

func (e *Entry) running() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process != nil
}

// take returns the entry's process and leaves none.
func (e *Entry) take() Process {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.process
	e.process = nil
	return p
}

// ControlVM is one control VM.
type ControlVM struct {
	Name    string
	Process Process
	last    int
}

// Fleet is the whole system with its stand-ins.
type Fleet struct {
	Config
	Fabric   *fabric.Fabric
	Controls []*ControlVM
	Entries  []*Entry
	Hosts    []*Host
	Client   *operator.Client
	Callers  *tls.Config
}

// Open starts the control VMs, the fabric, the balancers and the hosts. A fleet
// is returned with an error too, to be closed.
func Open(c Config) (*Fleet, error) {
	f := &Fleet{Config: c, Fabric: fabric.New(c.Seed)}
	if err := f.makeKeys(); err != nil {
		return f, err
	}
	for i := range controls {
		vm := &ControlVM{Name: fmt.Sprintf("control-%d", i+1), last: ControlFirst + i}
		f.Controls = append(f.Controls, vm)
		if err := f.StartControl(vm); err != nil {
			return f, err
		}
	}
	if err := f.openClient(); err != nil {
		return f, err
	}
	f.Fabric.SetFaults(fabric.Faults{Delay: c.Layout.Delay})
	for _, s := range c.Layout.Services {
		if err := f.Fabric.Open(netip.MustParseAddrPort(s.Address(f.Net))); err != nil {
			return f, errors.Wrap(err, "scenario: fabric")
		}
	}
	for i := range balancers {
		e := &Entry{Name: fmt.Sprintf("balancer-%d", i+1), DataCentre: f.dataCentre(i), last: balancerFirst + i}
		f.Entries = append(f.Entries, e)
		if err := f.StartBalancer(e); err != nil {
			return f, err
		}
	}
	return f, f.startHosts()
}

func (f *Fleet) dataCentre(i int) string { return f.Layout.DataCentres[i%len(f.Layout.DataCentres)] }

func (f *Fleet) startHosts() error {
	for _, s := range f.Layout.Services {
		for n := range s.Hosts {
			h := &Host{
				Name: fmt.Sprintf("%s-%d", s.Name, n+1), Service: s,
				DataCentre: f.dataCentre(n), last: hostFirst + len(f.Hosts),
			}
			f.Hosts = append(f.Hosts, h)
			if err := f.StartHost(h); err != nil {
				return err
			}
		}
	}
	return nil
}

// makeKeys makes the cluster's authority and the certificate that callers see.
func (f *Fleet) makeKeys() error {
	if err := os.MkdirAll(f.Folder, folderMode); err != nil {
		return errors.Wrap(err, "scenario: folder")
	}
	if err := keys.Init(f.path("keys")); err != nil {
		return errors.Wrap(err, "scenario: keys")
	}
	cert, pool, err := keys.SelfSigned(f.Net.IP(1), "localhost")
	if err != nil {
		return errors.Wrap(err, "scenario: callers' certificate")
	}
	f.Callers = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13, NextProtos: []string{"h3"}}
	return keys.WritePEM(cert, f.CallersCertificate(), f.path("callers-key.pem"))
}

// CallersCertificate is the file with the certificate that callers see.
func (f *Fleet) CallersCertificate() string { return f.path("callers.pem") }

func (f *Fleet) path(parts ...string) string {
	return filepath.Join(append([]string{f.Folder}, parts...)...)
}

// identity issues a certificate for one process.
func (f *Fleet) identity(role keys.Role, name string, last int) (keys.Settings, error) {
	ips := []net.IP{netip.MustParseAddr(f.Net.IP(last)).AsSlice()}
	if role == keys.Control {
		for _, ip := range f.ProxyIPs {
			ips = append(ips, netip.MustParseAddr(ip).AsSlice())
		}
	}
	files, err := keys.Issue(f.path("keys"), role, name, ips...)
	if err != nil {
		return keys.Settings{}, errors.Wrap(err, "scenario: issue")
	}
	return keys.Settings(files), nil
}

// OperatorIdentity issues an operator's certificate.
func (f *Fleet) OperatorIdentity(name string) (keys.Settings, error) {
	return f.identity(keys.Operator, name, 1)
}

func (f *Fleet) via(address string) string {
	if f.Via == nil {
		return address
	}
	return f.Via(address)
}

// ControlSettings are a control VM's as it is started.
func (f *Fleet) ControlSettings(vm *ControlVM) (control.Settings, error) {
	identity, err := f.identity(keys.Control, vm.Name, vm.last)
	if err != nil {
		return control.Settings{}, err
	}
	replica := f.Net.Address(vm.last, ReplicaPort)
	s := control.Settings{
		Name: vm.Name, DataCentre: f.dataCentre(vm.last - ControlFirst), Folder: f.ControlFolder(vm),
		Replica: control.ReplicaSettings{
			Listen: replica, Advertise: f.via(replica), Bootstrap: vm.last == ControlFirst,
		},
		Subscribers: f.Net.Address(vm.last, SubscriberPort), Operators: f.Net.Address(vm.last, OperatorPort),
		Metrics: f.Net.Address(vm.last, controlVars), TLS: identity,
	}
	for i := range controls {
		peer := f.via(f.Net.Address(ControlFirst+i, ReplicaPort))
		s.Replica.Peers = append(s.Replica.Peers, control.Peer{Name: fmt.Sprintf("control-%d", i+1), Address: peer})
	}
	return s, nil
}

// ControlFolder is where a control VM's durable state lies.
func (f *Fleet) ControlFolder(vm *ControlVM) string { return f.path(vm.Name) }

// StartControl starts a control VM on whatever its folder holds.
func (f *Fleet) StartControl(vm *ControlVM) error {
	s, err := f.ControlSettings(vm)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(s.Folder, folderMode); err != nil {
		return errors.Wrap(err, "scenario: folder")
	}
	vm.Process, err = f.Launch.Control(s)
	return err
}

func (f *Fleet) openClient() error {
	identity, err := f.OperatorIdentity("scenario-operator")
	if err != nil {
		return err
	}
	store, err := keys.Load(identity.Files(), f.Log, metrics.New())
	if err != nil {
		return errors.Wrap(err, "scenario: operator's identity")
	}
	f.Client = &operator.Client{Addresses: f.OperatorAddresses(), TLS: store.Client(keys.Control)}
	return nil
}

// OperatorAddresses are where the control VMs take operators.
func (f *Fleet) OperatorAddresses() []string {
	var out []string
	for i := range controls {
		out = append(out, f.Net.Address(ControlFirst+i, OperatorPort))
	}
	return out
}

func (f *Fleet) subscriberAddresses() []string {
	var out []string
	for i := range controls {
		out = append(out, f.via(f.Net.Address(ControlFirst+i, SubscriberPort)))
	}
	return out
}

// StartBalancer starts a balancer and adds it to the fabric.
func (f *Fleet) StartBalancer(e *Entry) error {
	identity, err := f.identity(keys.Balancer, e.Name, e.last)
	if err != nil {
		return err
	}
	process, err := f.Launch.Balancer(balancer.Settings{
		Name: e.Name, DataCentre: e.DataCentre, Bind: f.Net.IP(e.last), Tunnel: f.Net.Address(e.last, tunnelPort),
		Controls: f.subscriberAddresses(), Metrics: f.Net.Address(e.last, balancerVars),
		State: f.path(e.Name + ".table"), StopGrace: balancerGrace, TLS: identity,
	})
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.process = process
	e.mu.Unlock()
	f.Fabric.AddBalancer(f.ip(e))
	return nil
}

func (f *Fleet) ip(e *Entry) netip.Addr { return netip.MustParseAddr(f.Net.IP(e.last)) }

// StartHost starts a target and its agent.
func (f *Fleet) StartHost(h *Host) error {
	t, err := target.New(target.Config{
		Service: h.Service.Name, Host: h.Name, Address: f.Net.Address(h.last, targetPort),
		Faults: target.Faults{Slots: f.Layout.Slots, Work: h.Service.Work},
	})
	if err != nil {
		return errors.Wrap(err, "scenario: target")
	}
	h.Target = t
	return f.StartAgent(h)
}

// StartAgent starts the agent beside a running target.
func (f *Fleet) StartAgent(h *Host) error {
	identity, err := f.identity(keys.Agent, h.Service.Name+"."+h.Name, h.last)
	if err != nil {
		return err
	}
	h.Agent, err = f.Launch.Agent(agent.Settings{
		Service: h.Service.Name, Host: h.Name, DataCentre: h.DataCentre,
		Target: f.Net.Address(h.last, targetPort), Tunnel: f.Net.Address(h.last, agentTunnel), Peer: f.Net.Address(h.last, agentPeer),
		Slots: f.Layout.Slots, FlowLimit: f.Layout.Connections, Controls: f.subscriberAddresses(),
		CallerTLS: agent.CallerTLS{Certificate: f.CallersCertificate(), Key: f.path("callers-key.pem")},
		TLS:       identity, Metrics: f.Net.Address(h.last, agentVars), State: f.path(h.Name + ".table"), StopGrace: stopGrace,
	})
	return err
}

// Close stops everything, callers' side first. The processes of one kind stop
// at once, each as planned.
func (f *Fleet) Close() error {
	var agents, entries, controls []Process
	for _, h := range f.Hosts {
		agents = append(agents, h.Agent)
		if h.Target != nil {
			h.Target.EndFeeds()
		}
	}
	for _, e := range f.Entries {
		entries = append(entries, e.take())
	}
	for _, vm := range f.Controls {
		controls = append(controls, vm.Process)
	}
	err := errors.Join(stopAll(agents), stopAll(entries), stopAll(controls))
	for _, h := range f.Hosts {
		if h.Target != nil {
			h.Target.Kill()
		}
	}
	f.Fabric.Close()
	return err
}

func stopAll(all []Process) error {
	var group errgroup.Group
	for _, p := range all {
		if p != nil {
			group.Go(p.Stop)
		}
	}
	return group.Wait()
}
