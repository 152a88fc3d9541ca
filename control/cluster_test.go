package control

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/catalogue"
	"bergamotstall/internal/operator"
)

// eventuallyTimeout limits the wait for a condition that must become true. No test result
// depends on it being short.
const eventuallyTimeout = 30 * time.Second

var subnet atomic.Uint32

// cluster is a group of control VMs in this process, each on its own loopback address.
type cluster struct {
	t       testing.TB
	network *network
	vms     []*vm
}

// vm is a control VM of a test. It can be stopped and started again.
type vm struct {
	cluster  *cluster
	settings Settings
	control  *Control
	cancel   context.CancelFunc
	ended    chan error
}

// startCluster starts n control VMs and waits until all of them are voters.
func startCluster(t testing.TB, n int) *cluster {
	t.Helper()
	c := newCluster(t, n)
	c.start()
	return c
}

// newCluster prepares n control VMs without starting them.
func newCluster(t testing.TB, n int) *cluster {
	t.Helper()
	c := &cluster{t: t, network: &network{cut: map[string]bool{}}}
	net := fmt.Sprintf("127.%d.%d", 10+os.Getpid()%200, subnet.Add(1)%250)
	var peers []Peer
	for i := range n {
		peers = append(peers, Peer{Name: fmt.Sprint("control-", i+1), Address: fmt.Sprintf("%s.%d:7101", net, i+1)})
	}
	for i, p := range peers {
		ip := fmt.Sprintf("%s.%d", net, i+1)
		c.vms = append(c.vms, &vm{cluster: c, settings: Settings{
			Name: p.Name, DataCentre: "accra-a", Folder: filepath.Join(t.TempDir(), p.Name),
			Replica:     ReplicaSettings{Listen: p.Address, Bootstrap: i == 0, Peers: peers},
			Subscribers: ip + ":7102", Operators: ip + ":7103",
		}})
	}
	t.Cleanup(func() {
		for _, v := range c.vms {
			v.stop()
		}
	})
	return c
}

// start starts all VMs and waits until all of them are voters and the first keys exist.
func (c *cluster) start() {
	c.t.Helper()
	for _, v := range c.vms {
		v.start()
	}
	c.eventually("all VMs are voters", func() bool { return c.voters() == len(c.vms) })
	c.eventually("the first keys exist", func() bool { return len(c.vms[0].control.catalogue.Keys()) == 1 })
}

func (v *vm) start() {
	v.cluster.t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	var dial dialFunc // nil with TLS, for the VM's own dialer
	if v.settings.TLS.Absent() {
		dial = v.cluster.network.dialer(v.settings.Name, v.settings.Replica.Peers)
	}
	control, err := newWithDialer(v.settings, log, dial)
	if err != nil {
		v.cluster.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	v.control, v.cancel, v.ended = control, cancel, make(chan error, 1)
	go func() { v.ended <- control.Run(ctx) }()
}

func (v *vm) stop() {
	if v.cancel == nil {
		return
	}
	v.cancel()
	if err := <-v.ended; err != nil {
		v.cluster.t.Errorf("%s: %v", v.settings.Name, err)
	}
	v.cancel = nil
}

func (v *vm) running() bool { return v.cancel != nil }

// loseDisk stops the VM and empties its folder.
func (v *vm) loseDisk() {
	v.stop()
	if err := os.RemoveAll(v.settings.Folder); err != nil {
		v.cluster.t.Fatal(err)
	}
}

func (c *cluster) eventually(what string, ok func() bool) {
	c.t.Helper()
	end := time.Now().Add(eventuallyTimeout)
	for !ok() {
		if time.Now().After(end) {
			c.t.Fatalf("condition not reached within %v: %s", eventuallyTimeout, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// leader returns the leader, nil if there is none.
func (c *cluster) leader() *vm {
	for _, v := range c.vms {
		if !v.running() {
			continue
		}
		if s := v.control.log.Status(); s.Leader == s.ID && v.control.ContactAge() < time.Second {
			return v
		}
	}
	return nil
}

func (c *cluster) awaitLeader() *vm {
	c.t.Helper()
	var found *vm
	c.eventually("there is a leader", func() bool {
		found = c.leader()
		return found != nil
	})
	return found
}

// voters returns the number of voters that the leader knows.
func (c *cluster) voters() int {
	v := c.leader()
	if v == nil {
		return 0
	}
	n := 0
	for _, m := range listReplicas(v.control.log.Status()) {
		if m.Role == operator.RoleVoter {
			n++
		}
	}
	return n
}

// client returns a client that asks the VMs in the given order.
func client(vms ...*vm) *operator.Client {
	c := &operator.Client{Operator: "ama"}
	for _, v := range vms {
		c.Addresses = append(c.Addresses, v.settings.Operators)
	}
	return c
}

// othersThan returns all VMs except the given one.
func (c *cluster) othersThan(not *vm) []*vm {
	var out []*vm
	for _, v := range c.vms {
		if v != not {
			out = append(out, v)
		}
	}
	return out
}

func definition() catalogue.Definition {
	return catalogue.Definition{
		Services: []catalogue.ServiceSpec{{Name: "casework", Address: "127.0.0.1:8443"}},
		Presets:  []catalogue.Preset{{Name: "ordinary"}, {Name: "peak"}, {Name: "maintenance"}},
	}
}

func applyCommand(id string) catalogue.Command {
	return catalogue.Command{ID: id, Apply: &catalogue.ApplyCatalogue{Definition: definition()}}
}

// mustApplyDefinition applies the test's definition.
func (c *cluster) mustApplyDefinition() catalogue.Outcome {
	c.t.Helper()
	out, err := client(c.vms...).Command(c.t.Context(), applyCommand(""))
	if err != nil {
		c.t.Fatal(err)
	}
	return out
}

func switchTo(preset, id string, expected uint64) catalogue.Command {
	return catalogue.Command{ID: id, Expected: expected, Switch: &catalogue.SwitchPreset{Preset: preset}}
}

// network can isolate a VM from the other control VMs. Operators and subscribers still
// reach it.
type network struct {
	mu    sync.Mutex
	cut   map[string]bool
	conns []trackedConn
}

type trackedConn struct {
	from, to string
	conn     net.Conn
}

var errIsolated = errors.New("control VM is isolated")

func (n *network) dialer(from string, peers []Peer) dialFunc {
	names := map[string]string{}
	for _, p := range peers {
		names[p.Address] = p.Name
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		to := names[address]
		n.mu.Lock()
		closed := n.cut[from] || n.cut[to]
		n.mu.Unlock()
		if closed {
			return nil, errIsolated
		}
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns = append(n.conns, trackedConn{from, to, conn})
		if n.cut[from] || n.cut[to] {
			_ = conn.Close()
		}
		return conn, nil
	}
}

// setIsolated isolates a VM from the other control VMs, or ends the isolation.
func (n *network) setIsolated(v *vm, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	name := v.settings.Name
	n.cut[name] = cut
	for _, c := range n.conns {
		if cut && (c.from == name || c.to == name) {
			_ = c.conn.Close()
		}
	}
}
