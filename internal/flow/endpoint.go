// Package flow is the agent's end of callers' flows: it takes packets from
// balancers, decides for each whether it is this agent's, and ends QUIC and
// HTTP/3 for those that are. Answers go back by the balancer that the flow's
// last packet came by.
//
// Pattern of load it answers: flows open for hours while balancers and targets
// change, and tables that reach each process at another time. The agent decides
// by what it knows of itself, so that it drains at once whatever table the
// balancers have.
package flow

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/connid"
	"bergamotstall/internal/envelope"
	"bergamotstall/internal/events"
	"bergamotstall/internal/metrics"
	"bergamotstall/internal/steering"
	"bergamotstall/internal/table"
)

const (
	// idleTimeout ends a flow that nothing was heard of. It bounds how long a
	// flow that went silent can look alive at either end.
	idleTimeout = 15 * time.Second
	// keepAlives within an idle timeout: two lost in a row don't end an open
	// feed. At 2,000 flows it costs an agent 400 packets a second.
	keepAlives = 3
	// handshakeIdle bounds a handshake of which nothing is heard.
	handshakeIdle = 5 * time.Second
	// provenAbove is how many handshakes may be under way before callers have to
	// prove their address by QUIC Retry, which costs them a round trip. A handshake
	// costs the agent about 2 ms of processor time, and anyone can start one under
	// a made-up address. A host gets some 10 new flows a second, each under way for
	// a few round trips, so that a hundred are a flood or a great reconnecting.
	provenAbove = 100
	// packetSize is the smallest that QUIC allows. The envelope is added to it
	// on the way through the data centre, and any path carries it.
	packetSize = 1200
	// defaultConnections is the flow limit where neither service nor host says.
	defaultConnections = 2000
	// socketBuffer holds what arrives while the reader is not running: 4 MB is
	// about 15 ms of a 2 Gbit/s link.
	socketBuffer = 4 << 20
)

// Config sets an endpoint up.
type Config struct {
	// Service is the name of the service that the agent's target serves.
	Service string
	// Tunnel is the UDP address for envelopes, "ip:port".
	Tunnel string
	// Handler answers the requests.
	Handler http.Handler
	// TLS has the service's certificate. HTTP/3's protocol name is added.
	TLS *tls.Config
	// Connections bounds the open flows; 0 means 2,000.
	Connections int
	// Direct sends answers straight to callers, from the service's address. The
	// VM must hold that address, without the fabric handing it packets for it.
	Direct bool
	// IdleTimeout ends a flow of which nothing is heard; 0 means 15 s, which is
	// the most: the way back to a silent caller is forgotten after twice that.
	IdleTimeout time.Duration
	Log         logrus.FieldLogger
	Metrics     *metrics.Set
}

var (
	// ErrConfig is returned for a config that lacks something.
	ErrConfig = errors.New("flow: incomplete config")
	// ErrTunnel is returned where the tunnel address can't be opened.
	ErrTunnel = errors.New("flow: can't open the tunnel")
	// ErrTable is returned for a table that can't be used; the one before stays
	// in force.
	ErrTable = errors.New("flow: table refused")
)

// Endpoint is one agent's end of its flows.
type Endpoint struct {
	config Config
	socket *net.UDPConn
	tunnel netip.AddrPort
	counts *counts
	paths  *paths

	self          atomic.Uint32
	view          atomic.Pointer[view]
	flows         atomic.Int64
	handshakes    atomic.Int64
	stopping      atomic.Bool
	tableDraining atomic.Bool

	// mu guards the changes of view and ends.
	mu   sync.Mutex
	ends [generations]atomic.Pointer[end]
	// signing is the key generation of new flows.
	signing atomic.Uint32
	serving *serving
	direct  direct

	inquiries inquiries

	// decide judges each packet; it is a Deflector's but in measurements of what
	// deflection brings.
	decide func(*Standing, *Arrival) Verdict
	// send takes the flows' packets to callers; it is answer but in tests of an
	// agent that gets no processor time.
	send   func(packet []byte, caller netip.AddrPort)
	router reader
	memory memoryKey
	closed chan struct{}
}

// view is what a table says to this agent.
type view struct {
	steering *steering.CompiledTable
	service  *steering.Service
	limit    int
}

// memoryKey is this process's own hash key for remembered choices, so that a
// rotation of the cluster's keys doesn't forget them.
type memoryKey struct {
	k0, k1 uint64
}

// reader is the working memory of the goroutine that reads the tunnel.
type reader struct {
	scratch  connid.Scratch
	shape    steering.Shape
	header   envelope.Header
	arrival  Arrival
	standing Standing
	out      []byte
}

// New opens the tunnel. The endpoint accepts nothing before Apply and SetAgent.
func New(c Config) (*Endpoint, error) {
	if c.Service == "" || c.Handler == nil || c.TLS == nil || c.Log == nil {
		return nil, errors.Wrap(ErrConfig, "service, handler, TLS and log are needed")
	}
	if c.IdleTimeout < 0 || c.IdleTimeout > idleTimeout {
		return nil, errors.Wrapf(ErrConfig, "idle timeout %v", c.IdleTimeout)
	}
	if c.Metrics == nil {
		c.Metrics = metrics.New()
	}
	if c.Connections == 0 {
		c.Connections = defaultConnections
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = idleTimeout
	}
	address, err := net.ResolveUDPAddr("udp", c.Tunnel)
	if err != nil {
		return nil, errors.Wrapf(ErrTunnel, "%q: %v", c.Tunnel, err)
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, errors.Wrapf(ErrTunnel, "%q: %v", c.Tunnel, err)
	}
	_ = socket.SetReadBuffer(socketBuffer)
	_ = socket.SetWriteBuffer(socketBuffer)
	e := &Endpoint{
		config: c,
		socket: socket,
		tunnel: unmap(socket.LocalAddr().(*net.UDPAddr).AddrPort()),
		counts: newCounts(c.Metrics),
		paths:  newPaths(),
		decide: NewDeflector().Decide,
		memory: memoryKey{k0: rand.Uint64(), k1: rand.Uint64()},
		closed: make(chan struct{}),
	}
	e.send = e.answer
	e.inquiries.running = make(map[table.AgentNumber]*inquiry)
	e.serving = newServing(e)
	c.Metrics.Gauge("flow_open", func() int64 { return e.flows.Load() })
	c.Metrics.Gauge("flow_handshakes", func() int64 { return e.handshakes.Load() })
	c.Metrics.Gauge("flow_open_old_keys", e.flowsUnderOldKeys)
	c.Metrics.Gauge("flow_paths", func() int64 { return int64(e.paths.count()) })
	return e, nil
}

// Tunnel returns the UDP address that the endpoint listens on.
func (e *Endpoint) Tunnel() netip.AddrPort { return e.tunnel }

// Flows returns the number of open flows, with those in their handshake.
func (e *Endpoint) Flows() int { return int(e.flows.Load()) }

// SetAgent gives the endpoint the number that control assigned. Before it,
// nothing is accepted.
func (e *Endpoint) SetAgent(number table.AgentNumber) {
	e.self.Store(uint32(number))
	if v := e.view.Load(); v != nil {
		e.tableDraining.Store(e.drainedBy(v.steering))
	}
	events.Log(e.config.Log, events.FlowAgentNumber, logrus.Fields{"agent": number})
}

// Apply puts a table in force. A table older than the one in force is ignored.
// It returns ErrTable for one that can't be used.
func (e *Endpoint) Apply(t *table.Table) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if v := e.view.Load(); v != nil && v.steering.Revision >= t.Revision {
		return nil
	}
	var before *steering.CompiledTable
	if v := e.view.Load(); v != nil {
		before = v.steering
	}
	m, err := steering.Compile(t, time.Now(), before)
	if err != nil {
		e.counts.tableRefused.Add(1)
		events.Log(e.config.Log, events.FlowTableRefused, logrus.Fields{"revision": t.Revision, "error": err})
		return errors.Wrapf(ErrTable, "revision %d: %v", t.Revision, err)
	}
	if err := e.openEnds(t.Keys); err != nil {
		return err
	}
	v := &view{steering: m, limit: e.config.Connections}
	v.service, _ = m.ServiceNamed(e.config.Service)
	if v.service != nil && v.service.Limit > 0 {
		v.limit = min(v.limit, v.service.Limit)
	}
	e.openDirect(v.service)
	e.paths.setLive(m.Balancers, m.Generation)
	e.view.Store(v)
	e.signing.Store(uint32(m.Generation))
	e.tableDraining.Store(e.drainedBy(m))
	return nil
}

// drainedBy tells whether a table takes this agent out of new work.
func (e *Endpoint) drainedBy(m *steering.CompiledTable) bool {
	own, ok := m.Agent(table.AgentNumber(e.self.Load()))
	return ok && own.State != table.Active
}

// Run reads the tunnel until ctx is done or Shutdown has ended.
func (e *Endpoint) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, e.close)
	defer stop()
	go e.watch()
	packet := make([]byte, bufferSize)
	for {
		n, from, err := e.socket.ReadFromUDPAddrPort(packet)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The kernel reports unreachable receivers of earlier packets here;
			// they say nothing about this socket.
			continue
		}
		e.receive(time.Now(), unmap(from), packet[:n])
	}
}

// close ends the endpoint at once, and with it all its flows.
func (e *Endpoint) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.closed:
		return
	default:
	}
	close(e.closed)
	e.closeEnds()
	e.closeDirect()
	_ = e.socket.Close()
}

// unmap gives an IPv4 address in its own form, as tables have it.
func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
