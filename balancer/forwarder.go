package balancer

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/metrics"
	"bergamotstall/internal/steering"
	"bergamotstall/internal/table"
)

// ErrTable is returned for a table that can't be used. The previous one stays in force.
var ErrTable = errors.New("balancer: table refused")

// ForwarderConfig configures a Forwarder.
type ForwarderConfig struct {
	// Bind replaces the IP address of every service, for a VM that receives packets from
	// the fabric on its own address.
	Bind netip.Addr
	// Tunnel is the UDP address for envelopes.
	Tunnel netip.AddrPort
	// Sockets is the number of sockets for each address; 0 means 1.
	Sockets int
	Log     logrus.FieldLogger
	Metrics *metrics.Set
}

// Forwarder forwards packets between callers and agents. Its only state is the table; it
// keeps no state of flows.
type Forwarder struct {
	config   ForwarderConfig
	counters *counters
	tunnels  []*socket
	tunnel   netip.AddrPort
	state    atomic.Pointer[forwardingState]
	workers  sync.WaitGroup
	done     chan struct{}

	mu     sync.Mutex
	closed bool
}

// forwardingState is the table in force with the sockets of its services.
type forwardingState struct {
	steering  *steering.CompiledTable
	listeners map[table.ServiceID]*serviceListener
}

// serviceListener holds the sockets of one service address.
type serviceListener struct {
	id      table.ServiceID
	address netip.AddrPort
	sockets []*socket
}

// NewForwarder opens the tunnel. Apply opens the service addresses.
func NewForwarder(c ForwarderConfig) (*Forwarder, error) {
	if c.Sockets == 0 {
		c.Sockets = 1
	}
	if c.Metrics == nil {
		c.Metrics = metrics.New()
	}
	tunnels, err := openSockets(c.Tunnel, c.Sockets)
	if err != nil {
		return nil, err
	}
	f := &Forwarder{config: c, counters: newCounters(c.Metrics), tunnels: tunnels, done: make(chan struct{})}
	f.tunnel = unmap(tunnels[0].LocalAddr().(*net.UDPAddr).AddrPort())
	c.Metrics.Gauge("balancer_revision", f.revision)
	for i, s := range tunnels {
		f.startWorker(func() { f.returnToCallers(i, s) })
	}
	f.startWorker(f.watch)
	return f, nil
}

func (f *Forwarder) startWorker(worker func()) {
	f.workers.Add(1)
	go func() {
		defer f.workers.Done()
		worker()
	}()
}

func (f *Forwarder) revision() int64 {
	state := f.state.Load()
	if state == nil {
		return 0
	}
	return int64(state.steering.Revision)
}

// Tunnel returns the UDP address to which agents send answers.
func (f *Forwarder) Tunnel() netip.AddrPort { return f.tunnel }

// Front returns the address at which packets for a service are received.
func (f *Forwarder) Front(service table.ServiceID) (netip.AddrPort, bool) {
	state := f.state.Load()
	if state == nil || state.listeners[service] == nil {
		return netip.AddrPort{}, false
	}
	return state.listeners[service].address, true
}

// Apply puts a table in force. It ignores a table that isn't newer, and returns ErrTable
// for one that can't be compiled. A service whose address can't be opened is logged and
// left out until the next table.
func (f *Forwarder) Apply(t *table.Table) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.state.Load()
	if f.closed || old != nil && old.steering.Revision >= t.Revision {
		return nil
	}
	var previous *steering.CompiledTable
	if old != nil {
		previous = old.steering
	}
	compiled, err := steering.Compile(t, time.Now(), previous)
	if err != nil {
		f.counters.tableRefused.Add(1)
		events.Log(f.config.Log, events.BalancerTableRefused, logrus.Fields{"revision": t.Revision, "error": err})
		return errors.Wrapf(ErrTable, "revision %d: %v", t.Revision, err)
	}
	next := &forwardingState{steering: compiled, listeners: make(map[table.ServiceID]*serviceListener)}
	var opened []*serviceListener
	for _, s := range compiled.Services {
		if l := f.openListener(old, next, s); l != nil {
			opened = append(opened, l)
		}
	}
	f.state.Store(next)
	f.startListeners(opened)
	f.closeListeners(old, next)
	events.Log(f.config.Log, events.BalancerTableInForce, logrus.Fields{"revision": t.Revision, "preset": t.Preset})
	return nil
}

// openListener keeps the sockets of a service whose address hasn't changed, and opens new
// ones otherwise. It returns the listener if it is new.
func (f *Forwarder) openListener(old, next *forwardingState, s *steering.Service) *serviceListener {
	address := s.Address
	if f.config.Bind.IsValid() {
		address = netip.AddrPortFrom(f.config.Bind, s.Address.Port())
	}
	if old != nil {
		if l := old.listeners[s.ID]; l != nil && l.address == address {
			next.listeners[s.ID] = l
			return nil
		}
	}
	sockets, err := openSockets(address, f.config.Sockets)
	if err != nil {
		f.counters.serviceFailed.Add(1)
		events.Log(f.config.Log, events.BalancerServiceFailed, logrus.Fields{"service": s.Name, "error": err})
		return nil
	}
	l := &serviceListener{id: s.ID, address: address, sockets: sockets}
	next.listeners[s.ID] = l
	events.Log(f.config.Log, events.BalancerServiceOpened, logrus.Fields{"service": s.Name, "address": address})
	return l
}

// startListeners starts the workers of new listeners. Their table must be in force.
func (f *Forwarder) startListeners(opened []*serviceListener) {
	for _, l := range opened {
		for i, in := range l.sockets {
			f.startWorker(func() { f.forwardToAgents(l, in, f.tunnels[i]) })
		}
	}
}

func (f *Forwarder) closeListeners(old, next *forwardingState) {
	if old == nil {
		return
	}
	for id, l := range old.listeners {
		if next.listeners[id] == l {
			continue
		}
		closeSockets(l.sockets)
		events.Log(f.config.Log, events.BalancerServiceClosed, logrus.Fields{"address": l.address})
	}
}

// Close stops all workers and returns once they have ended.
func (f *Forwarder) Close() {
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		return
	}
	f.closed = true
	close(f.done)
	closeSockets(f.tunnels)
	if state := f.state.Load(); state != nil {
		for _, l := range state.listeners {
			closeSockets(l.sockets)
		}
	}
	f.mu.Unlock()
	f.workers.Wait()
}
