package demo

import (
	"crypto/tls"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/agent"
	"bergamotstall/balancer"
	"bergamotstall/control"
	"bergamotstall/internal/keys"
	"bergamotstall/internal/metrics"
	"bergamotstall/internal/operator"
	"bergamotstall/internal/standin/fabric"
	"bergamotstall/internal/standin/target"
)

// Ports of the roles; each VM has an address of its own in 127.0.0.0/8.
const (
	replicaPort    = 7001
	subscriberPort = 7002
	operatorPort   = 7003
	controlMetrics = 7004
	tunnelPort     = 7101
	balancerVars   = 7104
	targetPort     = 7200
	agentTunnel    = 7201
	agentPeer      = 7202
	agentVars      = 7204

	controlFirst  = 11
	balancerFirst = 21
	hostFirst     = 31

	controls  = 3
	balancers = 3
	// stopGrace bounds a planned stop of an agent.
	stopGrace = 20 * time.Second
	// balancerGrace lets packets in flight through; loopback needs no more.
	balancerGrace = 200 * time.Millisecond
	folderMode    = 0o700
)

// Net is the /24 of 127.0.0.0/8 that a run uses, so that several can run beside
// each other on one machine.
type Net uint8

func (n Net) ip(last int) string { return fmt.Sprintf("127.0.%d.%d", n, last) }

func (n Net) address(last, port int) string { return fmt.Sprintf("%s:%d", n.ip(last), port) }

// host is one VM with a target and the agent beside it.
type host struct {
	name       string
	service    LayoutService
	dataCentre string
	last       int
	target     *target.Target
	agent      *process
	// past are the ledgers of the host's earlier targets.
	past []target.Run
}

// entry is one VM with a balancer.
type entry struct {
	name       string
	dataCentre string
	last       int
	role       *balancer.Balancer
	process    *process
}

func (f *fleet) ip(e *entry) netip.Addr { return netip.MustParseAddr(f.net.ip(e.last)) }

// fleet is everything that the demo runs.
type fleet struct {
	layout   Layout
	net      Net
	folder   string
	log      logrus.FieldLogger
	fabric   *fabric.Fabric
	controls []*process
	entries  []*entry
	hosts    []*host
	client   *operator.Client
	callers  *tls.Config
}

// open starts the control VMs, the fabric, the balancers and the hosts.
func open(l Layout, n Net, folder string, seed uint64, log logrus.FieldLogger) (*fleet, error) {
	f := &fleet{layout: l, net: n, folder: folder, log: log, fabric: fabric.New(seed)}
	if err := f.makeKeys(); err != nil {
		return nil, err
	}
	for i := range controls {
		if err := f.startControl(i); err != nil {
			return f, err
		}
	}
	if err := f.openClient(); err != nil {
		return f, err
	}
	f.fabric.SetFaults(fabric.Faults{Delay: l.Delay})
	for _, s := range l.Services {
		if err := f.fabric.Open(netip.MustParseAddrPort(s.Address(f.net))); err != nil {
			return f, errors.Wrap(err, "demo: fabric")
		}
	}
	for i := range balancers {
		e := &entry{name: fmt.Sprintf("balancer-%d", i+1), dataCentre: l.DataCentres[i%len(l.DataCentres)], last: balancerFirst + i}
		f.entries = append(f.entries, e)
		if err := f.startBalancer(e); err != nil {
			return f, err
		}
	}
	return f, f.startHosts()
}

func (f *fleet) startHosts() error {
	for _, s := range f.layout.Services {
		for n := range s.Hosts {
			h := &host{
				name: fmt.Sprintf("%s-%d", s.Name, n+1), service: s,
				dataCentre: f.layout.DataCentres[n%len(f.layout.DataCentres)], last: hostFirst + len(f.hosts),
			}
			f.hosts = append(f.hosts, h)
			if err := f.startHost(h); err != nil {
				return err
			}
		}
	}
	return nil
}

// makeKeys makes the cluster's authority and the certificate that callers see.
func (f *fleet) makeKeys() error {
	if err := keys.Init(f.path("keys")); err != nil {
		return errors.Wrap(err, "demo: keys")
	}
	cert, pool, err := keys.SelfSigned(f.net.ip(1), "localhost")
	if err != nil {
		return errors.Wrap(err, "demo: callers' certificate")
	}
	f.callers = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13, NextProtos: []string{"h3"}}
	return keys.WritePEM(cert, f.path("callers.pem"), f.path("callers-key.pem"))
}

func (f *fleet) path(parts ...string) string {
	return filepath.Join(append([]string{f.folder}, parts...)...)
}

// identity issues a certificate for one process of the demo.
func (f *fleet) identity(role keys.Role, name string, last int) (keys.Settings, error) {
	ip := netip.MustParseAddr(f.net.ip(last))
	files, err := keys.Issue(f.path("keys"), role, name, ip.AsSlice())
	if err != nil {
		return keys.Settings{}, errors.Wrap(err, "demo: issue")
	}
	return keys.Settings(files), nil
}

func (f *fleet) startControl(i int) error {
	name := fmt.Sprintf("control-%d", i+1)
	last := controlFirst + i
	identity, err := f.identity(keys.Control, name, last)
	if err != nil {
		return err
	}
	s := control.Settings{
		Name: name, DataCentre: f.layout.DataCentres[i%len(f.layout.DataCentres)],
		Folder:      f.path(name),
		Replica:     control.ReplicaSettings{Listen: f.net.address(last, replicaPort), Bootstrap: i == 0},
		Subscribers: f.net.address(last, subscriberPort), Operators: f.net.address(last, operatorPort),
		Metrics: f.net.address(last, controlMetrics), TLS: identity,
	}
	for n := range controls {
		s.Replica.Peers = append(s.Replica.Peers, control.Peer{Name: fmt.Sprintf("control-%d", n+1), Address: f.net.address(controlFirst+n, replicaPort)})
	}
	if err := os.MkdirAll(s.Folder, folderMode); err != nil {
		return errors.Wrap(err, "demo: folder")
	}
	role, err := control.New(s, f.log)
	if err != nil {
		return errors.Wrap(err, "demo: control")
	}
	f.controls = append(f.controls, start(name, role))
	return nil
}

func (f *fleet) openClient() error {
	identity, err := f.identity(keys.Operator, "demo-operator", 1)
	if err != nil {
		return err
	}
	store, err := keys.Load(identity.Files(), f.log, metrics.New())
	if err != nil {
		return errors.Wrap(err, "demo: operator's identity")
	}
	f.client = &operator.Client{Addresses: f.operatorAddresses(), TLS: store.Client(keys.Control)}
	return nil
}

func (f *fleet) operatorAddresses() []string { return f.controlAddresses(operatorPort) }

func (f *fleet) controlAddresses(port int) []string {
	var out []string
	for i := range controls {
		out = append(out, f.net.address(controlFirst+i, port))
	}
	return out
}

func (f *fleet) startBalancer(e *entry) error {
	identity, err := f.identity(keys.Balancer, e.name, e.last)
	if err != nil {
		return err
	}
	role, err := balancer.New(balancer.Settings{
		Name: e.name, DataCentre: e.dataCentre, Bind: f.ip(e).String(), Tunnel: f.net.address(e.last, tunnelPort),
		Controls: f.controlAddresses(subscriberPort), Metrics: f.net.address(e.last, balancerVars),
		State: f.path(e.name + ".table"), StopGrace: balancerGrace, TLS: identity,
	}, f.log)
	if err != nil {
		return errors.Wrap(err, "demo: balancer")
	}
	e.role = role
	e.process = start(e.name, role)
	f.fabric.AddBalancer(f.ip(e))
	return nil
}

func (f *fleet) startHost(h *host) error {
	t, err := target.New(target.Config{
		Service: h.service.Name, Host: h.name, Address: f.net.address(h.last, targetPort),
		Faults: target.Faults{Slots: f.layout.Slots, Work: h.service.Work},
	})
	if err != nil {
		return errors.Wrap(err, "demo: target")
	}
	h.target = t
	identity, err := f.identity(keys.Agent, h.service.Name+"."+h.name, h.last)
	if err != nil {
		return err
	}
	role, err := agent.New(agent.Settings{
		Service: h.service.Name, Host: h.name, DataCentre: h.dataCentre,
		Target: f.net.address(h.last, targetPort), Tunnel: f.net.address(h.last, agentTunnel), Peer: f.net.address(h.last, agentPeer),
		Slots: f.layout.Slots, Connections: f.layout.Connections, Controls: f.controlAddresses(subscriberPort),
		CallerTLS: agent.CallerTLS{Certificate: f.path("callers.pem"), Key: f.path("callers-key.pem")},
		TLS:       identity, Metrics: f.net.address(h.last, agentVars), State: f.path(h.name + ".table"), StopGrace: stopGrace,
	}, f.log)
	if err != nil {
		return errors.Wrap(err, "demo: agent")
	}
	h.agent = start(h.name, role)
	return nil
}

// close stops everything, callers' side first.
func (f *fleet) close() error {
	var last error
	for _, h := range f.hosts {
		if h.agent != nil {
			last = errors.Join(last, h.agent.stop())
		}
		if h.target != nil {
			h.target.Kill()
		}
	}
	for _, e := range f.entries {
		if e.process != nil {
			last = errors.Join(last, e.process.stop())
		}
	}
	for _, c := range f.controls {
		last = errors.Join(last, c.stop())
	}
	f.fabric.Close()
	return last
}
