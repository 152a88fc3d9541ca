// Package flow terminates callers' flows at the agent. It receives packets from
// balancers, decides for each whether it belongs to this agent, and terminates
// QUIC and HTTP/3 for those that do. Packets to the caller return through the
// balancer that delivered the flow's last packet.
//
// Flows stay open for hours while balancers and targets change, and a new table
// reaches each process at a different time. The agent therefore decides by its
// own state, so that it drains at once whatever table the balancers have.
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
	// idleTimeout ends a flow on which no packet arrives. It bounds how long a
	// silent flow can look alive at either end.
	idleTimeout = 15 * time.Second
	// keepAlivesPerIdleTimeout lets an open feed survive two lost keep-alives in a
	// row. With 2,000 flows an agent sends 400 keep-alives per second.
	keepAlivesPerIdleTimeout = 3
	// handshakeIdleTimeout ends a handshake on which no packet arrives.
	handshakeIdleTimeout = 5 * time.Second
	// addressValidationThreshold is the number of pending handshakes from which
	// callers must validate their address by QUIC Retry (RFC 9000, section 8.1.2),
	// which costs them a round trip. A handshake costs the agent about 2 ms of CPU
	// time, and anyone can start one from a spoofed address. A host gets about 10
	// new flows per second, each pending for a few round trips, so 100 pending
	// handshakes mean a flood or a mass reconnect.
	addressValidationThreshold = 100
	// initialPacketSize is the smallest that QUIC allows, in bytes. The envelope is
	// added to it inside the data centre, and any path still carries the result.
	initialPacketSize = 1200
	// defaultFlowLimit applies where neither the service nor the host sets a limit.
	defaultFlowLimit = 2000
	// socketBufferBytes holds what arrives while the reader isn't scheduled: 4 MB is
	// about 15 ms of a 2 Gbit/s link.
	socketBufferBytes = 4 << 20
)

// Config configures an Endpoint.
type Config struct {
	// Service is the name of the service that the agent's target serves.
	Service string
	// Tunnel is the UDP listen address for envelopes, "ip:port".
	Tunnel string
	// Handler serves the requests.
	Handler http.Handler
	// TLS holds the service's certificate. The ALPN name of HTTP/3 is added.
	TLS *tls.Config
	// Connections limits the open flows; 0 means 2,000.
	Connections int
	// Direct enables direct server return: packets to callers bypass the balancers
	// and are sent from the service's address. The VM must hold that address, and
	// the fabric must not route packets for it to the VM.
	Direct bool
	// IdleTimeout ends a flow on which no packet arrives; 0 means 15 s. That is also
	// the maximum, as the return path to a silent caller expires after 30 s.
	IdleTimeout time.Duration
	Log         logrus.FieldLogger
	Metrics     *metrics.Set
}

var (
	// ErrConfig is returned for a config with a missing or invalid value.
	ErrConfig = errors.New("flow: incomplete or invalid config")
	// ErrTunnel is returned if the tunnel address can't be opened.
	ErrTunnel = errors.New("flow: can't open the tunnel socket")
	// ErrTable is returned for a table that can't be used; the previous table stays
	// in force.
	ErrTable = errors.New("flow: table refused")
)

// Endpoint terminates the flows of one agent.
type Endpoint struct {
	config   Config
	socket   *net.UDPConn
	tunnel   netip.AddrPort
	counters *counters
	paths    *pathTable

	agentNumber   atomic.Uint32
	view          atomic.Pointer[view]
	flows         atomic.Int64
	handshakes    atomic.Int64
	stopping      atomic.Bool
	tableDraining atomic.Bool

	// mu serializes changes of view and transports.
	mu         sync.Mutex
	transports [generationSlots]atomic.Pointer[transport]
	// signingGeneration is the key generation for the connection IDs of new flows.
	signingGeneration atomic.Uint32
	servers           *serverSet
	direct            directReturn

	agentChecks agentChecks

	// decide returns what to do with a packet. It is Router.Decide, except in
	// benchmarks without forwarding of first packets and in tests of a paused agent.
	decide func(*AgentState, *Packet) Decision
	// send sends a flow's packet to its caller. It is sendReturn, except in tests of
	// a paused agent.
	send      func(packet []byte, caller netip.AddrPort)
	reader    readState
	choiceKey hashKey
	closed    chan struct{}
}

// view is the part of a table that this agent uses.
type view struct {
	steering *steering.CompiledTable
	service  *steering.Service
	limit    int
}

// hashKey is this process's own hash key for remembered choices, so that they
// survive a rotation of the cluster's keys.
type hashKey struct {
	k0, k1 uint64
}

// readState holds the buffers that the tunnel's reading goroutine reuses.
type readState struct {
	scratch connid.Scratch
	shape   steering.Shape
	header  envelope.Header
	packet  Packet
	state   AgentState
	out     []byte
}

// New opens the tunnel socket. The endpoint accepts no packets before Apply and
// SetAgent. New returns ErrConfig or ErrTunnel.
func New(c Config) (*Endpoint, error) {
	if c.Service == "" || c.Handler == nil || c.TLS == nil || c.Log == nil {
		return nil, errors.Wrap(ErrConfig, "service, handler, TLS and log are required")
	}
	if c.IdleTimeout < 0 || c.IdleTimeout > idleTimeout {
		return nil, errors.Wrapf(ErrConfig, "idle timeout %v is negative or above the maximum", c.IdleTimeout)
	}
	if c.Metrics == nil {
		c.Metrics = metrics.New()
	}
	if c.Connections == 0 {
		c.Connections = defaultFlowLimit
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
	_ = socket.SetReadBuffer(socketBufferBytes)
	_ = socket.SetWriteBuffer(socketBufferBytes)
	e := &Endpoint{
		config:    c,
		socket:    socket,
		tunnel:    unmap(socket.LocalAddr().(*net.UDPAddr).AddrPort()),
		counters:  newCounters(c.Metrics),
		paths:     newPathTable(),
		decide:    NewRouter().Decide,
		choiceKey: hashKey{k0: rand.Uint64(), k1: rand.Uint64()},
		closed:    make(chan struct{}),
	}
	e.send = e.sendReturn
	e.agentChecks.running = make(map[table.AgentNumber]*agentCheck)
	e.servers = newServerSet(e)
	c.Metrics.Gauge("flow_open", func() int64 { return e.flows.Load() })
	c.Metrics.Gauge("flow_handshakes", func() int64 { return e.handshakes.Load() })
	c.Metrics.Gauge("flow_open_old_keys", e.flowsWithOldKeys)
	c.Metrics.Gauge("flow_paths", func() int64 { return int64(e.paths.count()) })
	return e, nil
}

// Tunnel returns the UDP address that the endpoint listens on.
func (e *Endpoint) Tunnel() netip.AddrPort { return e.tunnel }

// Flows returns the number of open flows, including those in their handshake.
func (e *Endpoint) Flows() int { return int(e.flows.Load()) }

// SetAgent sets the agent number that control assigned. Until then no packet is
// accepted.
func (e *Endpoint) SetAgent(number table.AgentNumber) {
	e.agentNumber.Store(uint32(number))
	if v := e.view.Load(); v != nil {
		e.tableDraining.Store(e.drainedBy(v.steering))
	}
	events.Log(e.config.Log, events.FlowAgentNumber, logrus.Fields{"agent": number})
}

// Apply puts a table in force. A table that isn't newer than the one in force is
// ignored. Apply returns ErrTable for a table that can't be used.
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
		e.counters.tableRefused.Add(1)
		events.Log(e.config.Log, events.FlowTableRefused, logrus.Fields{"revision": t.Revision, "error": err})
		return errors.Wrapf(ErrTable, "revision %d: %v", t.Revision, err)
	}
	if err := e.openTransports(t.Keys); err != nil {
		return err
	}
	v := &view{steering: m, limit: e.config.Connections}
	v.service, _ = m.ServiceNamed(e.config.Service)
	if v.service != nil && v.service.Limit > 0 {
		v.limit = min(v.limit, v.service.Limit)
	}
	e.openDirectReturn(v.service)
	e.paths.setTableBalancers(m.Balancers, m.Generation)
	e.view.Store(v)
	e.signingGeneration.Store(uint32(m.Generation))
	e.tableDraining.Store(e.drainedBy(m))
	return nil
}

// drainedBy reports whether a table gives this agent no new flows.
func (e *Endpoint) drainedBy(m *steering.CompiledTable) bool {
	own, ok := m.Agent(table.AgentNumber(e.agentNumber.Load()))
	return ok && own.State != table.Active
}

// Run reads the tunnel until ctx is done or Shutdown has ended.
func (e *Endpoint) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, e.close)
	defer stop()
	go e.updateSharesLoop()
	packet := make([]byte, bufferSize)
	for {
		n, from, err := e.socket.ReadFromUDPAddrPort(packet)
		if errors.Is(err, net.ErrClosed) {
			e.close() // waits until the address is free again
			return nil
		}
		if err != nil {
			// The kernel reports earlier packets' unreachable receivers here; such an
			// error says nothing about this socket.
			continue
		}
		e.receive(time.Now(), unmap(from), packet[:n])
	}
}

// close closes the endpoint and all its flows at once.
func (e *Endpoint) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.closed:
		return
	default:
	}
	close(e.closed)
	e.closeTransports()
	e.closeDirectReturn()
	_ = e.socket.Close()
}

// unmap converts an IPv4-mapped IPv6 address to IPv4, the form used in tables.
func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
