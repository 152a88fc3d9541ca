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

// Ports that the roles listen on. Each VM has its own address.
const (
	ReplicaPort         = 7001
	SubscriberPort      = 7002
	OperatorPort        = 7003
	controlMetricsPort  = 7004
	balancerTunnelPort  = 7101
	balancerMetricsPort = 7104
	targetPort          = 7200
	agentTunnelPort     = 7201
	agentPeerPort       = 7202
	agentMetricsPort    = 7204
)

// Last octet of the address of the first VM of each kind.
const (
	FirstControlOctet  = 11
	firstBalancerOctet = 21
	firstHostOctet     = 31
)

// AgentStopGrace bounds the graceful stop of an agent, which cuts requests that run longer: it
// must be no shorter than callers wait for the longest ones.
const AgentStopGrace = largeDownloadTimeout

const (
	controlCount  = 3
	balancerCount = 3
	// balancerStopGrace lets packets in flight arrive; on loopback this is long enough.
	balancerStopGrace = 200 * time.Millisecond
	folderMode        = 0o700
)

// Config describes a fleet.
type Config struct {
	Layout Layout
	Net    Net
	// Folder holds the keys and each VM's state.
	Folder   string
	Seed     uint64
	Launcher Launcher
	Log      logrus.FieldLogger
	// AdvertiseAddress maps a control VM's listen address to the address that the
	// other VMs connect to, for tests with proxies in between. If nil, they connect
	// to the listen address itself.
	AdvertiseAddress func(address string) string
	// ProxyIPs are the IP addresses of such proxies; control certificates include them.
	ProxyIPs []string
}

// Host is a VM that runs a target and its agent.
type Host struct {
	Name       string
	Service    Service
	DataCentre string
	Target     *target.Target
	Agent      Process
	octet      int
	// pastRuns are the ledger entries of the host's earlier targets.
	pastRuns []target.LedgerEntry
}

// Balancer is a VM that runs a balancer.
type Balancer struct {
	Name       string
	DataCentre string
	octet      int

	mu      sync.Mutex
	process Process
}

func (b *Balancer) running() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.process != nil
}

// takeProcess returns the balancer's process and sets it to nil.
func (b *Balancer) takeProcess() Process {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.process
	b.process = nil
	return p
}

// ControlVM is a VM that runs a control replica.
type ControlVM struct {
	Name    string
	Process Process
	octet   int
}

// Fleet is the whole system: all roles, the stand-in fabric and the stand-in targets.
type Fleet struct {
	Config
	Fabric    *fabric.Fabric
	Controls  []*ControlVM
	Balancers []*Balancer
	Hosts     []*Host
	Client    *operator.Client
	CallerTLS *tls.Config
}

// Open starts the control VMs, the fabric, the balancers and the hosts. The fleet is
// also returned with an error; the caller must close it in either case.
func Open(c Config) (*Fleet, error) {
	f := &Fleet{Config: c, Fabric: fabric.New(c.Seed)}
	if err := f.createKeys(); err != nil {
		return f, err
	}
	for i := range controlCount {
		vm := &ControlVM{Name: fmt.Sprintf("control-%d", i+1), octet: FirstControlOctet + i}
		f.Controls = append(f.Controls, vm)
		if err := f.StartControl(vm); err != nil {
			return f, err
		}
	}
	if err := f.createClient(); err != nil {
		return f, err
	}
	f.Fabric.SetFaults(fabric.Faults{Delay: c.Layout.Delay})
	for _, s := range c.Layout.Services {
		if err := f.Fabric.Listen(netip.MustParseAddrPort(s.Address(f.Net))); err != nil {
			return f, errors.Wrap(err, "scenario: fabric")
		}
	}
	for i := range balancerCount {
		b := &Balancer{Name: fmt.Sprintf("balancer-%d", i+1), DataCentre: f.dataCentre(i), octet: firstBalancerOctet + i}
		f.Balancers = append(f.Balancers, b)
		if err := f.StartBalancer(b); err != nil {
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
				DataCentre: f.dataCentre(n), octet: firstHostOctet + len(f.Hosts),
			}
			f.Hosts = append(f.Hosts, h)
			if err := f.StartHost(h); err != nil {
				return err
			}
		}
	}
	return nil
}

// createKeys creates the cluster's certificate authority and the certificate that
// callers verify.
func (f *Fleet) createKeys() error {
	if err := os.MkdirAll(f.Folder, folderMode); err != nil {
		return errors.Wrap(err, "scenario: folder")
	}
	if err := keys.Init(f.path("keys")); err != nil {
		return errors.Wrap(err, "scenario: keys")
	}
	cert, pool, err := keys.SelfSigned(f.Net.IP(1), "localhost")
	if err != nil {
		return errors.Wrap(err, "scenario: caller certificate")
	}
	f.CallerTLS = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13, NextProtos: []string{"h3"}}
	return keys.WritePEM(cert, f.CallerCertificateFile(), f.path("callers-key.pem"))
}

// CallerCertificateFile returns the path of the certificate that callers verify.
func (f *Fleet) CallerCertificateFile() string { return f.path("callers.pem") }

func (f *Fleet) path(parts ...string) string {
	return filepath.Join(append([]string{f.Folder}, parts...)...)
}

// issueCertificate issues a certificate for one process.
func (f *Fleet) issueCertificate(role keys.Role, name string, octet int) (keys.Settings, error) {
	ips := []net.IP{netip.MustParseAddr(f.Net.IP(octet)).AsSlice()}
	if role == keys.Control {
		for _, ip := range f.ProxyIPs {
			ips = append(ips, netip.MustParseAddr(ip).AsSlice())
		}
	}
	files, err := keys.Issue(f.path("keys"), role, name, ips...)
	if err != nil {
		return keys.Settings{}, errors.Wrap(err, "scenario: issue certificate")
	}
	return keys.Settings(files), nil
}

// IssueOperatorCertificate issues a certificate for an operator.
func (f *Fleet) IssueOperatorCertificate(name string) (keys.Settings, error) {
	return f.issueCertificate(keys.Operator, name, 1)
}

func (f *Fleet) advertisedAddress(address string) string {
	if f.AdvertiseAddress == nil {
		return address
	}
	return f.AdvertiseAddress(address)
}

// ControlSettings returns the settings that a control VM starts with.
func (f *Fleet) ControlSettings(vm *ControlVM) (control.Settings, error) {
	certificate, err := f.issueCertificate(keys.Control, vm.Name, vm.octet)
	if err != nil {
		return control.Settings{}, err
	}
	replica := f.Net.Address(vm.octet, ReplicaPort)
	s := control.Settings{
		Name: vm.Name, DataCentre: f.dataCentre(vm.octet - FirstControlOctet), Folder: f.ControlFolder(vm),
		Replica: control.ReplicaSettings{
			Listen: replica, Advertise: f.advertisedAddress(replica), Bootstrap: vm.octet == FirstControlOctet,
		},
		Subscribers: f.Net.Address(vm.octet, SubscriberPort), Operators: f.Net.Address(vm.octet, OperatorPort),
		Metrics: f.Net.Address(vm.octet, controlMetricsPort), TLS: certificate,
	}
	for i := range controlCount {
		peer := f.advertisedAddress(f.Net.Address(FirstControlOctet+i, ReplicaPort))
		s.Replica.Peers = append(s.Replica.Peers, control.Peer{Name: fmt.Sprintf("control-%d", i+1), Address: peer})
	}
	return s, nil
}

// ControlFolder returns the folder of a control VM's durable state.
func (f *Fleet) ControlFolder(vm *ControlVM) string { return f.path(vm.Name) }

// StartControl starts a control VM with the state in its folder, if there is any.
func (f *Fleet) StartControl(vm *ControlVM) error {
	s, err := f.ControlSettings(vm)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(s.Folder, folderMode); err != nil {
		return errors.Wrap(err, "scenario: folder")
	}
	vm.Process, err = f.Launcher.Control(s)
	return err
}

func (f *Fleet) createClient() error {
	certificate, err := f.IssueOperatorCertificate("scenario-operator")
	if err != nil {
		return err
	}
	store, err := keys.Load(certificate.Files(), f.Log, metrics.New())
	if err != nil {
		return errors.Wrap(err, "scenario: operator certificate")
	}
	f.Client = &operator.Client{Addresses: f.OperatorAddresses(), TLS: store.Client(keys.Control)}
	return nil
}

// OperatorAddresses returns the addresses at which control VMs accept operators.
func (f *Fleet) OperatorAddresses() []string {
	var out []string
	for i := range controlCount {
		out = append(out, f.Net.Address(FirstControlOctet+i, OperatorPort))
	}
	return out
}

func (f *Fleet) subscriberAddresses() []string {
	var out []string
	for i := range controlCount {
		out = append(out, f.advertisedAddress(f.Net.Address(FirstControlOctet+i, SubscriberPort)))
	}
	return out
}

// StartBalancer starts a balancer and adds it to the fabric's set.
func (f *Fleet) StartBalancer(b *Balancer) error {
	certificate, err := f.issueCertificate(keys.Balancer, b.Name, b.octet)
	if err != nil {
		return err
	}
	process, err := f.Launcher.Balancer(balancer.Settings{
		Name: b.Name, DataCentre: b.DataCentre, Bind: f.Net.IP(b.octet), Tunnel: f.Net.Address(b.octet, balancerTunnelPort),
		Controls: f.subscriberAddresses(), Metrics: f.Net.Address(b.octet, balancerMetricsPort),
		State: f.path(b.Name + ".table"), StopGrace: balancerStopGrace, TLS: certificate,
	})
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.process = process
	b.mu.Unlock()
	f.Fabric.AddBalancer(f.balancerIP(b))
	return nil
}

func (f *Fleet) balancerIP(b *Balancer) netip.Addr { return netip.MustParseAddr(f.Net.IP(b.octet)) }

// StartHost starts a target and its agent.
func (f *Fleet) StartHost(h *Host) error {
	t, err := target.New(target.Config{
		Service: h.Service.Name, Host: h.Name, Address: f.Net.Address(h.octet, targetPort),
		Faults: target.Faults{Slots: f.Layout.Slots, Work: h.Service.Work},
	})
	if err != nil {
		return errors.Wrap(err, "scenario: target")
	}
	h.Target = t
	return f.StartAgent(h)
}

// StartAgent starts the agent of a running target.
func (f *Fleet) StartAgent(h *Host) error {
	certificate, err := f.issueCertificate(keys.Agent, h.Service.Name+"."+h.Name, h.octet)
	if err != nil {
		return err
	}
	h.Agent, err = f.Launcher.Agent(agent.Settings{
		Service: h.Service.Name, Host: h.Name, DataCentre: h.DataCentre,
		Target: f.Net.Address(h.octet, targetPort), Tunnel: f.Net.Address(h.octet, agentTunnelPort), Peer: f.Net.Address(h.octet, agentPeerPort),
		Slots: f.Layout.Slots, FlowLimit: f.Layout.Connections, Controls: f.subscriberAddresses(),
		CallerTLS: agent.CallerTLS{Certificate: f.CallerCertificateFile(), Key: f.path("callers-key.pem")},
		TLS:       certificate, Metrics: f.Net.Address(h.octet, agentMetricsPort), State: f.path(h.Name + ".table"), StopGrace: AgentStopGrace,
	})
	return err
}

// Close stops the agents, then the balancers, then the control VMs, each gracefully.
// The processes of one role stop in parallel. It then ends the targets and the fabric.
func (f *Fleet) Close() error {
	var agents, balancers, controls []Process
	for _, h := range f.Hosts {
		agents = append(agents, h.Agent)
		if h.Target != nil {
			h.Target.EndFeeds()
		}
	}
	for _, b := range f.Balancers {
		balancers = append(balancers, b.takeProcess())
	}
	for _, vm := range f.Controls {
		controls = append(controls, vm.Process)
	}
	err := errors.Join(stopAll(agents), stopAll(balancers), stopAll(controls))
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
