package replica

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/framing"
	"bergamotstall/internal/keys"
	"bergamotstall/internal/raft"
)

const (
	// maxPeerConns bounds the incoming connections. There are at most nine members, and
	// each may also have connections that it has given up.
	maxPeerConns = 64
	// peerIdleTimeout closes an incoming connection on which nothing arrives, not even a
	// ping.
	peerIdleTimeout = 10 * time.Second
)

// Errors of a refused peer.
var (
	errWrongReplica = errors.New("replica: address belongs to another replica")
	errCluster      = errors.New("replica: peer belongs to another cluster")
	errVersion      = errors.New("replica: peer has another protocol version")
	errHandshake    = errors.New("replica: handshake failed")
	errName         = errors.New("replica: name doesn't match the peer's certificate")
)

// inbound is a decoded frame from a peer.
type inbound struct {
	from    raft.ID
	name    string
	cluster uint64
	message *raft.Message
	forward *forward
	reply   *forwardReply
	join    *joinRequest
}

// server accepts peers' connections.
type server struct {
	r        *Replica
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	closed   bool
	done     sync.WaitGroup
}

func newServer(r *Replica, listener net.Listener) *server {
	s := &server{r: r, listener: listener, conns: map[net.Conn]bool{}}
	s.done.Add(1)
	return s
}

func (s *server) run() {
	defer s.done.Done()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(backoffMin) // most likely out of file descriptors
			continue
		}
		if !s.track(conn) {
			_ = conn.Close()
			continue
		}
		go s.serve(conn)
	}
}

func (s *server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxPeerConns {
		s.r.count.peersRefused.Add(1)
		return false
	}
	s.conns[conn] = true
	s.done.Add(1)
	return true
}

func (s *server) serve(raw net.Conn) {
	defer s.done.Done()
	defer func() {
		_ = raw.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, raw)
	}()
	if err := s.handleConn(raw); err != nil && isRefusal(err) {
		s.r.refusePeer(raw.RemoteAddr().String(), err)
	}
}

func isRefusal(err error) bool {
	for _, x := range []error{errCluster, errVersion, errHandshake, errName} {
		if errors.Is(err, x) {
			return true
		}
	}
	return false
}

func (r *Replica) refusePeer(address string, err error) {
	r.count.peersRefused.Add(1)
	events.Log(r.cfg.Log, events.ReplicaPeerRefused, logrus.Fields{"address": address, "error": err.Error()})
}

func (s *server) handleConn(raw net.Conn) error {
	if err := raw.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return err
	}
	certified := ""
	if s.r.cfg.TLS.Server != nil {
		secure := tls.Server(raw, s.r.cfg.TLS.Server)
		if err := secure.HandshakeContext(context.Background()); err != nil {
			return errors.Wrapf(errHandshake, "TLS: %v", err)
		}
		holder, err := keys.PeerOf(secure.ConnectionState())
		if err != nil {
			return errors.Wrap(errHandshake, err.Error())
		}
		certified = holder.Name
		raw = secure
	}
	conn := framing.NewConn(raw, maxFrameBytes, writeTimeout)
	peer, err := s.r.answerHandshake(conn)
	if err != nil {
		return err
	}
	if certified != "" && certified != peer.Name {
		return errors.Wrapf(errName, "certificate for %s, handshake from %s", certified, peer.Name)
	}
	s.r.links.recordAddress(peer.Replica, peer.Address)
	return s.readFrames(conn, peer)
}

// readFrames passes frames to the loop until the connection ends.
func (s *server) readFrames(conn *framing.Conn, peer handshake) error {
	for {
		if err := conn.Raw().SetDeadline(time.Now().Add(peerIdleTimeout)); err != nil {
			return err
		}
		f, err := conn.Read()
		if err != nil {
			return err
		}
		s.r.count.received.Add(1)
		if f.Kind == kindPing {
			if _, err := conn.Write(kindPong, &emptyBody{}); err != nil {
				return err
			}
			continue
		}
		in, err := decodeFrame(f, peer)
		if err != nil {
			return err
		}
		select {
		case s.r.inbox <- in:
		case <-s.r.stopping:
			return nil
		}
	}
}

func decodeFrame(f framing.Frame, peer handshake) (inbound, error) {
	in := inbound{from: peer.Replica, name: peer.Name, cluster: peer.Cluster}
	switch f.Kind {
	case kindRaft:
		in.message = new(raft.Message)
		return in, f.Decode(in.message)
	case kindForward:
		in.forward = new(forward)
		return in, f.Decode(in.forward)
	case kindForwardReply:
		in.reply = new(forwardReply)
		return in, f.Decode(in.reply)
	case kindJoin:
		in.join = new(joinRequest)
		return in, f.Decode(in.join)
	}
	return in, errors.Errorf("replica: unknown frame kind %d", f.Kind)
}

func (s *server) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
}

// handleFrame handles a frame in the loop. It drops frames whose sender's name, which its
// certificate confirms, isn't the name of the member with its ID. Otherwise a peer could
// vote as another VM.
func (r *Replica) handleFrame(in inbound) {
	if member, ok := r.core.Find(in.from); ok && member.Name != in.name {
		r.count.peersRefused.Add(1)
		return
	}
	switch {
	case in.message != nil:
		if in.message.From == in.from && r.acceptCluster(in.cluster) {
			r.core.Step(r.now(), *in.message)
		}
	case in.forward != nil:
		r.handleForward(in.from, *in.forward)
	case in.reply != nil:
		r.handleForwardReply(*in.reply)
	case in.join != nil:
		r.handleJoin(*in.join)
	}
}

// acceptCluster reports whether the sender belongs to this replica's cluster. A new
// replica adopts the cluster of the first replica that sends it a message, and then
// ignores all others.
func (r *Replica) acceptCluster(cluster uint64) bool {
	mine := r.cluster.Load()
	if mine != 0 || cluster == 0 {
		return mine == cluster && mine != 0
	}
	return r.setCluster(cluster) == nil // if this fails, the next sync fails and stops the replica
}
