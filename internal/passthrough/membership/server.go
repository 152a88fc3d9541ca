// Package membership is the stream between the nodes that carry pass-through flows
// and the control VMs: which definition is in force, which nodes there are, and
// which control VMs.
//
// A balancer keeps a stream to every control VM, an agent to two that it chooses by a
// hash, and to others while these aren't heard. A VM that is cut off, frozen or behind
// then costs nothing: nodes take the highest version that any of them has, and the list
// of agents is the union of what they say. The table itself is sent on one stream only,
// and of the list only what changed.
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
	// BeatInterval is the time between a node's beats. A node that fell silent
	// is noticed after beatPatience.
	BeatInterval = 400 * time.Millisecond
	// beatPatience ends a stream over which nothing came; a stream that went
	// silent without a reset is otherwise kept for the kernel's retransmission
	// time, a quarter of an hour.
	beatPatience = 2 * time.Second
	writeTimeout = time.Second
	// pushPause is the least time between two updates sent unasked, so that a
	// storm of versions costs ten tables a second and not one for each.
	pushPause = 100 * time.Millisecond
	// frameLimit bounds an update; 2,100 routes take 200 kB.
	frameLimit = 8 << 20
	// lingering is how long a node whose streams ended stays listed. An agent that is
	// cut off from control but not from clients goes on holding flows, and a balancer
	// that starts meanwhile must ask it.
	lingering = 12 * time.Second
	// maxStreams bounds the nodes of one control VM.
	maxStreams = 3_000
	// confirmPatience bounds one question whether the VM is current.
	confirmPatience = time.Second
)

// Source is what a server tells nodes of.
type Source interface {
	// Barrier returns nil once the store is as new as every accepted version.
	Barrier(ctx context.Context) error
	// ContactAge is how long ago this VM was in touch with a quorum.
	ContactAge() time.Duration
	// Controls returns the IP numbers of all control VMs.
	Controls() []string
}

// FlowKeeper remembers the flows that agents tell of.
type FlowKeeper interface {
	Apply(u flowlog.Update)
	Recall(agent string) (flowlog.Update, bool)
}

// ServerConfig sets a server up.
type ServerConfig struct {
	Store   *route.Store
	Source  Source
	Flows   FlowKeeper
	Log     logrus.FieldLogger
	Metrics *metrics.Set
}

// Server serves nodes' streams.
type Server struct {
	cfg ServerConfig

	mu        sync.Mutex
	nodes     map[string]*listed
	directory *directory
	changed   chan struct{}
	streams   int
}

// listed is a node with its streams' state.
type listed struct {
	node    Node
	streams int
	// goneAt is when its last stream ended.
	goneAt time.Time
	// retired says that the node ends with its target, or has gone over to other VMs.
	retired bool
}

// NewServer returns a server without nodes.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{cfg: cfg, nodes: map[string]*listed{}, directory: newDirectory(), changed: make(chan struct{})}
	cfg.Metrics.Gauge("nodes_listed", func() int64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return int64(len(s.nodes))
	})
	return s
}

// Serve takes streams until ctx is done.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	go s.forgetGone(ctx)
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
			s.cfg.Log.WithError(err).Warn("membership: accept")
			time.Sleep(pushPause) // out of file descriptors, most likely
			continue
		}
		streams.Add(1)
		go func() {
			defer streams.Done()
			s.stream(ctx, raw)
		}()
	}
}

// stream serves one node until it falls silent or leaves.
func (s *Server) stream(ctx context.Context, raw net.Conn) {
	defer raw.Close()
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	conn := framing.NewConn(raw, frameLimit, writeTimeout)
	hello, err := readHello(conn)
	if err != nil {
		s.cfg.Log.WithError(err).WithField("address", raw.RemoteAddr().String()).Debug("membership: no hello")
		return
	}
	if !s.enter(hello.Node) {
		s.cfg.Metrics.Counter("streams_refused").Add(1)
		return
	}
	defer s.leave(hello.Node)
	if err := s.recall(conn, hello.Node); err != nil {
		return
	}
	p := &pusher{server: s, conn: conn, role: hello.Node.Role, beats: make(chan Beat, 1), beat: hello.Beat}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go p.run(ctx, raw)
	for {
		beat, err := s.nextBeat(conn, hello.Node)
		if err != nil {
			return
		}
		select {
		case p.beats <- beat:
		case <-ctx.Done():
			return
		}
	}
}

// recall tells an agent which flows were held at its address when it was last
// heard, before anything that it tells replaces them.
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

// nextBeat waits for a beat; flows that come before it are noted.
func (s *Server) nextBeat(conn *framing.Conn, n Node) (Beat, error) {
	for {
		f, err := read(conn)
		if err != nil {
			return Beat{}, err
		}
		switch f.Kind {
		case kindBeat:
			var b Beat
			return b, f.Decode(&b)
		case kindFlows:
			var u flowlog.Update
			if err := f.Decode(&u); err != nil {
				return Beat{}, err
			}
			u.Agent = n.Address // an agent speaks for itself
			s.cfg.Flows.Apply(u)
		case kindRetire:
			var x Retire
			if err := f.Decode(&x); err != nil {
				return Beat{}, err
			}
			s.retire(n, x.Moved)
		default:
			return Beat{}, errors.Errorf("membership: frame kind %d", f.Kind)
		}
	}
}

func readHello(conn *framing.Conn) (Hello, error) {
	var h Hello
	f, err := read(conn)
	if err != nil {
		return h, err
	}
	if f.Kind != kindHello {
		return h, errors.Errorf("membership: frame kind %d", f.Kind)
	}
	return h, f.Decode(&h)
}

// read waits for one frame; a stream over which nothing comes fails.
func read(conn *framing.Conn) (framing.Frame, error) {
	if err := conn.Raw().SetReadDeadline(time.Now().Add(beatPatience)); err != nil {
		return framing.Frame{}, errors.Wrap(err, "membership: read deadline")
	}
	return conn.Read()
}

func (s *Server) enter(n Node) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams >= maxStreams {
		return false
	}
	s.streams++
	l := s.nodes[n.Address]
	if l == nil {
		l = &listed{}
		s.nodes[n.Address] = l
	}
	l.streams++
	if l.node != n || l.retired {
		l.node = n
		l.retired = false
		s.list(n)
		events.Log(s.cfg.Log, events.NodeListed, logrus.Fields{"node": n.Address, "role": n.Role.String(), "zone": n.Zone})
	}
	return true
}

func (s *Server) leave(n Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams--
	if l := s.nodes[n.Address]; l != nil {
		l.streams--
		l.goneAt = time.Now()
	}
}

// forgetGone takes nodes off the list whose streams ended a while ago.
func (s *Server) forgetGone(ctx context.Context) {
	ticker := time.NewTicker(BeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.dropGone()
		}
	}
}

func (s *Server) dropGone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, l := range s.nodes {
		if l.streams == 0 && (l.retired || time.Since(l.goneAt) > lingering) {
			delete(s.nodes, address)
			if !l.retired {
				s.unlist(l.node, false)
			}
			events.Log(s.cfg.Log, events.NodeDelisted, logrus.Fields{"node": address, "role": l.node.Role.String(), "silent": time.Since(l.goneAt).String()})
		}
	}
}

// list puts an agent on the list and wakes the balancers' streams; the lock is held.
func (s *Server) list(n Node) {
	if n.Role != Agent {
		return
	}
	address, err := netip.ParseAddrPort(n.Address)
	if err != nil {
		s.cfg.Log.WithError(err).Warn("membership: a node's address can't be read")
		return
	}
	s.directory.put(address, n)
	s.wake()
}

// unlist takes an agent off the list; retired says that its target is gone. The lock is
// held.
func (s *Server) unlist(n Node, retired bool) {
	if n.Role != Agent {
		return
	}
	if address, err := netip.ParseAddrPort(n.Address); err == nil {
		s.directory.remove(address, retired)
		s.wake()
	}
}

// retire takes an agent off the list whose target is gone, or that goes over to other
// control VMs, before its stream ends.
func (s *Server) retire(n Node, moved bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.nodes[n.Address]
	if l == nil || l.node != n || l.retired {
		return
	}
	l.retired = true
	s.unlist(n, !moved)
}

// wake has the balancers' streams look at the list; the lock is held.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) listChanged() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// listing is what a balancer lacks of the list.
func (s *Server) listing(b Beat) *Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.since(b.Epoch, b.Number)
}

// pusher sends one node its updates.
type pusher struct {
	server *Server
	conn   *framing.Conn
	role   Role
	beats  chan Beat
	// beat is the node's last, with what was sent since.
	beat      Beat
	confirmed bool
}

func (p *pusher) run(ctx context.Context, raw net.Conn) {
	defer raw.Close()
	confirmed := make(chan struct{})
	go p.server.confirm(ctx, confirmed)
	// A VM in touch with a quorum is confirmed within a round trip, and its first
	// update then has the table.
	select {
	case <-confirmed:
		p.confirmed = true
		confirmed = nil
	case <-time.After(pushPause):
	case <-ctx.Done():
		return
	}
	for {
		var listChanged <-chan struct{} // agents aren't woken by it
		if p.role == Balancer {
			listChanged = p.server.listChanged()
		}
		tableChanged := p.server.cfg.Store.Changed()
		if err := p.push(); err != nil {
			return
		}
		// A storm's versions are gathered; a beat is answered at once.
		select {
		case <-time.After(pushPause):
		case b := <-p.beats:
			p.beat = b
			continue
		case <-confirmed:
			p.confirmed = true
			confirmed = nil
			continue
		case <-ctx.Done():
			return
		}
		select {
		case b := <-p.beats:
			p.beat = b
		case <-confirmed:
			p.confirmed = true
			confirmed = nil
		case <-listChanged:
		case <-tableChanged:
		case <-ctx.Done():
			return
		}
	}
}

// confirm closes done once the VM has been in touch with a quorum. A node that
// starts must not serve by an older definition than one that was in force
// before, and a VM that is cut off doesn't know whether it has one.
func (s *Server) confirm(ctx context.Context, done chan<- struct{}) {
	for ctx.Err() == nil {
		once, cancel := context.WithTimeout(ctx, confirmPatience)
		err := s.cfg.Source.Barrier(once)
		cancel()
		if err == nil {
			close(done)
			return
		}
		time.Sleep(pushPause)
	}
}

// push sends what the node lacks.
func (p *pusher) push() error {
	u := Update{
		Confirmed: p.confirmed, Controls: p.server.cfg.Source.Controls(),
		ContactAgeMS: p.server.cfg.Source.ContactAge().Milliseconds(),
	}
	if p.role == Balancer {
		u.List = p.server.listing(p.beat)
	}
	if state := p.server.cfg.Store.Current(); state != nil && p.confirmed {
		u.Version = uint64(state.Definition.Version)
		if p.beat.Want && u.Version > p.beat.Version {
			lean, err := state.Since(route.Version(p.beat.Version))
			if err != nil {
				return err
			}
			u.Lean = lean
		}
	}
	if e := p.server.cfg.Store.Evacuations(); p.confirmed && e.Revision > p.beat.Evacuations {
		u.Evacuated = &Evacuated{Revision: e.Revision, Zones: e.Evacuated()}
	}
	if _, err := p.conn.Write(kindUpdate, &u); err != nil {
		return err
	}
	if u.List != nil {
		p.beat.Epoch, p.beat.Number = u.List.Epoch, u.List.Number
	}
	if u.Lean != nil {
		p.beat.Version = u.Version
	}
	if u.Evacuated != nil {
		p.beat.Evacuations = u.Evacuated.Revision
	}
	return nil
}
