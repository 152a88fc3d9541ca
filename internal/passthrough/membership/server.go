// Package membership implements the streams between the nodes that carry pass-through
// flows and the control VMs. They tell nodes which definition is in force, which nodes
// exist, and which control VMs.
//
// A balancer keeps a stream to every control VM. An agent keeps streams to two, chosen by
// rendezvous hashing, and to further ones while these aren't heard. A VM that is cut off,
// frozen or behind does no harm: nodes use the highest version that any VM has, and the
// list of agents is the union of the VMs' lists. The table is sent over one stream only,
// and the list as changes.
package membership

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/framing"
	"bergamotstall/internal/metrics"
	"bergamotstall/internal/passthrough/flowlog"
	"bergamotstall/internal/passthrough/route"
)

const (
	// HeartbeatInterval is the time between a node's heartbeats. A silent node is
	// detected after streamTimeout.
	HeartbeatInterval = 400 * time.Millisecond
	// streamTimeout is the time without received data after which a stream is closed. A
	// connection that is lost without a reset would otherwise stay open for the kernel's
	// retransmission timeout, a quarter of an hour.
	streamTimeout = 2 * time.Second
	writeTimeout  = time.Second
	// pushInterval is the minimum time between two unsolicited updates, so that a burst
	// of versions costs ten tables a second instead of one for each version.
	pushInterval = 100 * time.Millisecond
	// maxFrameBytes bounds an update; 2,100 routes take 200 kB.
	maxFrameBytes = 8 << 20
	// delistDelay is how long a node stays listed after its last stream ended. An agent
	// that is cut off from the control VMs but not from clients still holds flows, and a
	// balancer that starts meanwhile must query it.
	delistDelay = 12 * time.Second
	// maxStreams bounds the streams of one control VM.
	maxStreams = 3_000
	// barrierTimeout bounds one check that the VM is up to date.
	barrierTimeout = time.Second
)

// Source is the control VM's state that a server reports to nodes.
type Source interface {
	// Barrier returns nil once the store holds every accepted version.
	Barrier(ctx context.Context) error
	// ContactAge returns the time since this VM's last contact with a quorum.
	ContactAge() time.Duration
	// Controls returns the IP addresses of all control VMs.
	Controls() []string
}

// FlowStore stores the flows that agents report.
type FlowStore interface {
	Apply(u flowlog.Update)
	Recall(agent string) (flowlog.Update, bool)
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Store   *route.ReplicatedStore
	Source  Source
	Flows   FlowStore
	Log     logrus.FieldLogger
	Metrics *metrics.Set
}

// Server serves the nodes' streams.
type Server struct {
	cfg ServerConfig
	// servingSince is when Serve was called.
	servingSince time.Time

	mu        sync.Mutex
	nodes     map[string]*member
	directory *directory
	changed   chan struct{}
	streams   int
}

// member is a listed node with the state of its streams.
type member struct {
	node    Node
	streams int
	// newest is the stream that the node opened last.
	newest *nodeStream
	// lastStreamEnd is when a stream last ended.
	lastStreamEnd time.Time
	// retired means that the node ended together with its target, or moved to other VMs.
	retired bool
}

// nodeStream is a stream of a node, numbered as in its hello.
type nodeStream struct {
	node   Node
	number uint64
}

// NewServer returns a server without nodes.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{cfg: cfg, nodes: map[string]*member{}, directory: newDirectory(), changed: make(chan struct{})}
	cfg.Metrics.Gauge("nodes_listed", func() int64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return int64(len(s.nodes))
	})
	return s
}

// Serve accepts streams until ctx is done.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	s.servingSince = time.Now()
	go s.expireNodes(ctx)
	var streams sync.WaitGroup
	defer streams.Wait()
	for {
		raw, err := ln.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return errors.Wrap(err, "membership: accept")
			}
			s.cfg.Log.WithError(err).Warn("membership: accept failed; retrying")
			time.Sleep(pushInterval) // most likely out of file descriptors
			continue
		}
		streams.Add(1)
		go func() {
			defer streams.Done()
			s.stream(ctx, raw)
		}()
	}
}

// stream serves the stream of one node until the node sends nothing for streamTimeout, the
// connection is closed or ctx ends.
func (s *Server) stream(ctx context.Context, raw net.Conn) {
	defer raw.Close()
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	conn := framing.NewConn(idleTimeoutConn{raw}, maxFrameBytes, writeTimeout)
	hello, err := readHello(conn)
	if err != nil {
		s.cfg.Log.WithError(err).WithField("address", raw.RemoteAddr().String()).Debug("membership: stream closed: no valid hello")
		return
	}
	opened := &nodeStream{node: hello.Node, number: hello.Stream}
	if !s.streamStarted(opened) {
		s.cfg.Metrics.Counter("streams_refused").Add(1)
		return
	}
	defer s.streamEnded(opened)
	if err := s.recall(conn, hello.Node); err != nil {
		return
	}
	p := newUpdateSender(s, conn, hello)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go p.run(ctx, raw)
	for {
		heartbeat, err := s.nextHeartbeat(conn, opened)
		if err != nil {
			return
		}
		select {
		case p.heartbeats <- heartbeat:
		case <-ctx.Done():
			return
		}
	}
}

// recall sends an agent the flows that were last reported for its address, before the
// agent's own reports replace them.
func (s *Server) recall(conn *framing.Conn, n Node) error {
	if n.Role != Agent {
		return nil
	}
	u, ok := s.cfg.Flows.Recall(n.Address)
	if !ok {
		return nil
	}
	_, err := conn.Write(kindFlows, &u)
	return err
}

// nextHeartbeat waits for a heartbeat. Flow reports and retirements that arrive first are
// processed.
func (s *Server) nextHeartbeat(conn *framing.Conn, x *nodeStream) (Heartbeat, error) {
	for {
		f, err := conn.Read()
		if err != nil {
			return Heartbeat{}, err
		}
		switch f.Kind {
		case kindHeartbeat:
			var b Heartbeat
			return b, f.Decode(&b)
		case kindFlows:
			var u flowlog.Update
			if err := f.Decode(&u); err != nil {
				return Heartbeat{}, err
			}
			u.Agent = x.node.Address // an agent reports only its own flows
			s.cfg.Flows.Apply(u)
		case kindRetire:
			var r Retire
			if err := f.Decode(&r); err != nil {
				return Heartbeat{}, err
			}
			s.retire(x, r.Moved)
		default:
			return Heartbeat{}, errors.Errorf("membership: unexpected frame kind %d", f.Kind)
		}
	}
}

func readHello(conn *framing.Conn) (Hello, error) {
	var h Hello
	f, err := conn.Read()
	if err != nil {
		return h, err
	}
	if f.Kind != kindHello {
		return h, errors.Errorf("membership: unexpected frame kind %d", f.Kind)
	}
	return h, f.Decode(&h)
}

// streamStarted registers a stream and lists its node. It returns false if the limit on
// streams is reached.
func (s *Server) streamStarted(x *nodeStream) bool {
	n := x.node
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams >= maxStreams {
		return false
	}
	s.streams++
	l := s.nodes[n.Address]
	if l == nil {
		l = &member{}
		s.nodes[n.Address] = l
	}
	l.streams++
	newest := l.newest == nil || l.node != n || x.number >= l.newest.number
	if newest {
		l.newest = x
	}
	if l.node != n || l.retired && newest {
		l.node = n
		l.retired = false
		s.list(n)
		events.Log(s.cfg.Log, events.NodeListed, logrus.Fields{"node": n.Address, "role": n.Role.String(), "zone": n.Zone})
	}
	return true
}

func (s *Server) streamEnded(x *nodeStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams--
	if l := s.nodes[x.node.Address]; l != nil {
		l.streams--
		l.lastStreamEnd = time.Now()
	}
}

// expireNodes periodically removes nodes whose streams have ended.
func (s *Server) expireNodes(ctx context.Context) {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.dropExpired()
		}
	}
}

func (s *Server) dropExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, l := range s.nodes {
		if l.streams == 0 && (l.retired || time.Since(l.lastStreamEnd) > delistDelay) {
			delete(s.nodes, address)
			if l.retired {
				continue // it was taken off the list when it said so
			}
			s.unlist(l.node, false)
			events.Log(s.cfg.Log, events.NodeDelisted, logrus.Fields{"node": address, "role": l.node.Role.String(), "silent": time.Since(l.lastStreamEnd).String()})
		}
	}
}

// list adds an agent to the list and notifies the balancers' streams; the lock is held.
func (s *Server) list(n Node) {
	if n.Role != Agent {
		return
	}
	address, err := nodeAddress(n)
	if err != nil {
		s.cfg.Log.WithError(err).Warn("membership: node not listed")
		return
	}
	s.directory.put(address, n)
	s.notifyListChanged()
}

// errNodeAddress means that a node states an address that lists can't hold.
var errNodeAddress = errors.New("membership: a node's address must be an IPv4 address and a port")

// nodeAddress returns where a node receives datagrams of other nodes.
func nodeAddress(n Node) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(n.Address)
	if err != nil || !address.Addr().Is4() || address.Port() == 0 {
		return netip.AddrPort{}, errors.Wrapf(errNodeAddress, "%q", n.Address)
	}
	return address, nil
}

// unlist removes an agent from the list; retired means that it ended together with its
// target. The lock is held.
func (s *Server) unlist(n Node, retired bool) {
	if n.Role != Agent {
		return
	}
	if address, err := nodeAddress(n); err == nil {
		s.directory.remove(address, retired)
		s.notifyListChanged()
	}
}

// retire removes an agent from the list before its stream ends, because it ends together
// with its target or moves to other control VMs. An agent that has moved away over one
// stream may have returned over a newer one before this VM learns of either.
func (s *Server) retire(x *nodeStream, moved bool) {
	n := x.node
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.nodes[n.Address]
	if l == nil || l.node != n || l.retired || moved && l.newest != x {
		return
	}
	l.retired = true
	s.unlist(n, !moved)
	events.Log(s.cfg.Log, events.NodeDelisted, logrus.Fields{"node": n.Address, "role": n.Role.String(), "moved": moved})
}

// notifyListChanged notifies the balancers' streams; the lock is held.
func (s *Server) notifyListChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) listChanged() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// listUpdate returns the changes of the list that a balancer lacks.
func (s *Server) listUpdate(b Heartbeat) *ListUpdate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.since(b.Epoch, b.Number)
}

// confirm closes done once the VM has had contact with a quorum. A node that starts must
// not serve by an older definition than one that was in force before, and a VM that is
// cut off can't know whether its definition is the newest.
func (s *Server) confirm(ctx context.Context, done chan<- struct{}) {
	for ctx.Err() == nil {
		once, cancel := context.WithTimeout(ctx, barrierTimeout)
		err := s.cfg.Source.Barrier(once)
		cancel()
		if err == nil {
			close(done)
			return
		}
		time.Sleep(pushInterval)
	}
}
