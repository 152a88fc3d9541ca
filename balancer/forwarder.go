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

// ErrTable is returned for a table that can't be used; the one before stays in
// force.
var ErrTable = errors.New("balancer: table refused")

// ForwarderConfig sets a forwarder up.
type ForwarderConfig struct {
	// Bind replaces the IP number of each service address, where this VM gets
	// the packets of the fabric on an address of its own.
	Bind netip.Addr
	// Tunnel is the UDP address for envelopes.
	Tunnel netip.AddrPort
	// Sockets is how many sockets share each address; 0 means 1.
	Sockets int
	Log     logrus.FieldLogger
	Metrics *metrics.Set
}

// Forwarder moves packets between callers and agents. It keeps nothing about
// flows, only the table.
type Forwarder struct {
	config  ForwarderConfig
	counts  *counts
	tunnels []*socket
	tunnel  netip.AddrPort
	view    atomic.Pointer[view]
	workers sync.WaitGroup
	done    chan struct{}

	mu     sync.Mutex
	closed bool
}

// view is a table in force with the sockets of its services.
type view struct {
	steering *steering.CompiledTable
	fronts   map[table.ServiceID]*front
}

// front is the sockets of one service address.
type front struct {
	id      table.ServiceID
	address netip.AddrPort
	sockets []*socket
}

// NewForwarder opens the tunnel. Service addresses are opened by Apply.
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
	f := &Forwarder{config: c, counts: newCounts(c.Metrics), tunnels: tunnels, done: make(chan struct{})}
	f.tunnel = unmap(tunnels[0].LocalAddr().(*net.UDPAddr).AddrPort())
	c.Metrics.Gauge("balancer_revision", f.revision)
	for i, s := range tunnels {
		f.start(func() { f.backward(i, s) })
	}
	f.start(f.watch)
	return f, nil
}

func (f *Forwarder) start(worker func()) {
	f.workers.Add(1)
	go func() {
		defer f.workers.Done()
		worker()
	}()
}

func (f *Forwarder) revision() int64 {
	v := f.view.Load()
	if v == nil {
		return 0
	}
	return int64(v.steering.Revision)
}

// Tunnel returns the UDP address that agents answer to.
func (f *Forwarder) Tunnel() netip.AddrPort { return f.tunnel }

// Front returns the address on which packets for a service are taken.
func (f *Forwarder) Front(service table.ServiceID) (netip.AddrPort, bool) {
	v := f.view.Load()
	if v == nil || v.fronts[service] == nil {
		return netip.AddrPort{}, false
	}
	return v.fronts[service].address, true
}

// Apply puts a table in force. One that isn't newer is ignored. It returns
// ErrTable for one that can't be steered by; a service whose address can't be
// opened is left out, logged, and tried again at the next table.
func (f *Forwarder) Apply(t *table.Table) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.view.Load()
	if f.closed || old != nil && old.steering.Revision >= t.Revision {
		return nil
	}
	var before *steering.CompiledTable
	if old != nil {
		before = old.steering
	}
	m, err := steering.Compile(t, time.Now(), before)
	if err != nil {
		f.counts.tableRefused.Add(1)
		events.Log(f.config.Log, events.BalancerTableRefused, logrus.Fields{"revision": t.Revision, "error": err})
		return errors.Wrapf(ErrTable, "revision %d: %v", t.Revision, err)
	}
	fresh := &view{steering: m, fronts: make(map[table.ServiceID]*front)}
	var opened []*front
	for _, s := range m.Services {
		if x := f.openFront(old, fresh, s); x != nil {
			opened = append(opened, x)
		}
	}
	f.view.Store(fresh)
	f.startFronts(opened)
	f.closeFronts(old, fresh)
	events.Log(f.config.Log, events.BalancerTableInForce, logrus.Fields{"revision": t.Revision, "preset": t.Preset})
	return nil
}

// openFront takes over the sockets of a service whose address hasn't changed,
// and opens others. It returns the front where it is a new one.
func (f *Forwarder) openFront(old, fresh *view, s *steering.Service) *front {
	address := s.Address
	if f.config.Bind.IsValid() {
		address = netip.AddrPortFrom(f.config.Bind, s.Address.Port())
	}
	if old != nil {
		if x := old.fronts[s.ID]; x != nil && x.address == address {
			fresh.fronts[s.ID] = x
			return nil
		}
	}
	sockets, err := openSockets(address, f.config.Sockets)
	if err != nil {
		f.counts.serviceFailed.Add(1)
		events.Log(f.config.Log, events.BalancerServiceFailed, logrus.Fields{"service": s.Name, "error": err})
		return nil
	}
	x := &front{id: s.ID, address: address, sockets: sockets}
	fresh.fronts[s.ID] = x
	events.Log(f.config.Log, events.BalancerServiceOpened, logrus.Fields{"service": s.Name, "address": address})
	return x
}

// startFronts starts the workers of new fronts, whose table is in force.
func (f *Forwarder) startFronts(opened []*front) {
	for _, x := range opened {
		for i, in := range x.sockets {
			f.start(func() { f.forward(x, in, f.tunnels[i]) })
		}
	}
}

func (f *Forwarder) closeFronts(old, fresh *view) {
	if old == nil {
		return
	}
	for id, x := range old.fronts {
		if fresh.fronts[id] == x {
			continue
		}
		closeSockets(x.sockets)
		events.Log(f.config.Log, events.BalancerServiceClosed, logrus.Fields{"address": x.address})
	}
}

// Close ends all workers and returns once they have.
func (f *Forwarder) Close() {
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		return
	}
	f.closed = true
	close(f.done)
	closeSockets(f.tunnels)
	if v := f.view.Load(); v != nil {
		for _, x := range v.fronts {
			closeSockets(x.sockets)
		}
	}
	f.mu.Unlock()
	f.workers.Wait()
}
