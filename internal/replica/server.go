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
	// maxPeers bounds incoming connections: nine members, each perhaps with a
	// connection that the other end has given up.
	maxPeers = 64
	// peerTimeout ends an incoming connection over which nothing came, not even
	// a ping.
	peerTimeout = 10 * time.Second
)

// Errors of a refused peer.
var (
	errStranger = errors.New("replica: another replica answers there")
	errCluster  = errors.New("replica: the peer belongs to another cluster")
	errVersion  = errors.New("replica: the peer speaks another version")
	errGreeting = errors.New("replica: no greeting")
	errName     = errors.New("replica: the peer's certificate has another name")
)

// inbound is one frame from a peer, decoded.
type inbound struct {
	from    raft.ID
	name    string
	cluster uint64
	quorum  *raft.Message
	forward *forward
	reply   *forwardReply
	join    *join
}

// server takes peers' connections.
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
			time.Sleep(backoffMin) // out of file descriptors, most likely
			continue
		}
		if !s.admit(conn) {
			_ = conn.Close()
			continue
		}
		go s.serve(conn)
	}
}

func (s *server) admit(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxPeers {
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
	if err := s.talk(raw); err != nil && isRefusal(err) {
		s.r.refusePeer(raw.RemoteAddr().String(), err)
	}
}

func isRefusal(err error) bool {
	for _, x := range []error{errCluster, errVersion, errGreeting, errName} {
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

func (s *server) talk(raw net.Conn) error {
	if err := raw.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return err
	}
	certified := ""
	if s.r.cfg.TLS.Server != nil {
		secure := tls.Server(raw, s.r.cfg.TLS.Server)
		if err := secure.HandshakeContext(context.Background()); err != nil {
			return errors.Wrapf(errGreeting, "TLS: %v", err)
		}
		holder, err := keys.PeerOf(secure.ConnectionState())
		if err != nil {
			return errors.Wrap(errGreeting, err.Error())
		}
		certified = holder.Name
		raw = secure
	}
	conn := framing.NewConn(raw, frameLimit, writeTimeout)
	peer, err := s.r.answerGreeting(conn)
	if err != nil {
		return err
	}
	if certified != "" && certified != peer.Name {
		return errors.Wrapf(errName, "certificate of %s, greeting of %s", certified, peer.Name)
	}
	s.r.links.note(peer.Replica, peer.Address)
	return s.receive(conn, peer)
}

// receive hands frames to the loop until the connection ends.
func (s *server) receive(conn *framing.Conn, peer greeting) error {
	for {
		if err := conn.Raw().SetDeadline(time.Now().Add(peerTimeout)); err != nil {
			return err
		}
		f, err := conn.Read()
		if err != nil {
			return err
		}
		s.r.count.received.Add(1)
		if f.Kind == kindPing {
			if _, err := conn.Write(kindPong, &pulse{}); err != nil {
				return err
			}
			continue
		}
		in, err := decode(f, peer)
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

func decode(f framing.Frame, peer greeting) (inbound, error) {
	in := inbound{from: peer.Replica, name: peer.Name, cluster: peer.Cluster}
	switch f.Kind {
	case kindQuorum:
		in.quorum = new(raft.Message)
		return in, f.Decode(in.quorum)
	case kindForward:
		in.forward = new(forward)
		return in, f.Decode(in.forward)
	case kindForwardReply:
		in.reply = new(forwardReply)
		return in, f.Decode(in.reply)
	case kindJoin:
		in.join = new(join)
		return in, f.Decode(in.join)
	}
	return in, errors.Errorf("replica: frame kind %d", f.Kind)
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

// receive takes one frame in the loop. A peer speaks only for itself: one whose
// name, which its certificate vouches for, isn't that of the member with its
// identity could otherwise vote in another VM's place.
func (r *Replica) receive(in inbound) {
	if member, ok := r.core.Find(in.from); ok && member.Name != in.name {
		r.count.peersRefused.Add(1)
		return
	}
	switch {
	case in.quorum != nil:
		if in.quorum.From == in.from && r.joinCluster(in.cluster) {
			r.core.Step(r.now(), *in.quorum)
		}
	case in.forward != nil:
		r.takeForward(in.from, *in.forward)
	case in.reply != nil:
		r.takeForwardReply(*in.reply)
	case in.join != nil:
		r.takeJoin(*in.join)
	}
}

// joinCluster records the cluster of the first replica that speaks to a new
// one; from then on no other cluster's replica is listened to.
func (r *Replica) joinCluster(cluster uint64) bool {
	mine := r.cluster.Load()
	if mine != 0 || cluster == 0 {
		return mine == cluster && mine != 0
	}
	return r.setCluster(cluster) == nil // after a failure the next sync ends the replica
}
