package replica

import (
	"context"
	mathrand "math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinylib/msgp/msgp"

	"bergamotstall/internal/events"
	"bergamotstall/internal/framing"
	"bergamotstall/internal/keys"
	"bergamotstall/internal/raft"
)

const (
	// linkQueueFrames bounds the frames queued for one peer. Frames over the limit are
	// dropped; the core resends what it still needs.
	linkQueueFrames = 512
	// connectTimeout is short because a VM without power doesn't answer at all. With 1 s,
	// replicas that come back 0.3 s before the others would reach them a second later,
	// with no leader meanwhile. Round trips are a few milliseconds between control VMs of
	// one region, and a hundred between regions.
	connectTimeout = 300 * time.Millisecond
	// dialTimeout bounds the dial including TLS, and separately the handshake.
	dialTimeout = time.Second
	// writeTimeout and pongTimeout bound how long a half-open connection, over which
	// nothing comes back, goes unnoticed.
	writeTimeout = 2 * time.Second
	pingInterval = 500 * time.Millisecond
	pongTimeout  = 2 * time.Second
	// idleTimeout closes a connection over which nothing but pings was sent.
	idleTimeout   = 30 * time.Second
	backoffMin    = 50 * time.Millisecond
	backoffMax    = 2 * time.Second
	maxFrameBytes = 32 << 20
)

// outFrame is a frame queued for a peer.
type outFrame struct {
	kind framing.Kind
	body msgp.Marshaler
}

// link maintains the outgoing connection to one address.
type link struct {
	links   *links
	address string
	queue   chan outFrame
	up      bool // guarded by links.mu
	// replica is the replica expected at the address; 0 for any.
	replica raft.ID
	// wake interrupts a backoff or a dial.
	wake chan struct{}
}

// links holds a replica's outgoing connections.
type links struct {
	r      *Replica
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu sync.Mutex
	// byReplica holds links to replicas with a known ID, byAddress those to peers without
	// one.
	byReplica map[raft.ID]*link
	byAddress map[string]*link
	// advertised holds the addresses that replicas said they accept connections on.
	advertised map[raft.ID]string
}

func newLinks(r *Replica) *links {
	ctx, cancel := context.WithCancel(context.Background())
	return &links{
		r: r, ctx: ctx, cancel: cancel,
		byReplica:  map[raft.ID]*link{},
		byAddress:  map[string]*link{},
		advertised: map[raft.ID]string{},
	}
}

// recordAddress records where a replica accepts connections. The replica has just
// connected, so a link to it that is down retries at once; otherwise a replica that was
// away for long would hear nothing for up to backoffMax after its start.
func (l *links) recordAddress(id raft.ID, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if address != "" {
		l.advertised[id] = address
	}
	if k := l.byReplica[id]; k != nil && !k.up {
		select {
		case k.wake <- struct{}{}:
		default:
		}
	}
}

func (l *links) sendRaft(m *raft.Message) { l.send(m.To, kindRaft, m) }

// send queues a frame for a replica. False means that the frame is certainly not sent;
// true doesn't mean that it will arrive. It may only be called from the loop.
func (l *links) send(to raft.ID, kind framing.Kind, body msgp.Marshaler) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	address, ok := l.advertised[to]
	if !ok {
		member, _ := l.r.core.Find(to)
		address = member.Address
	}
	if address == "" {
		l.r.count.dropped.Add(1)
		return false
	}
	k := l.byReplica[to]
	if k != nil && k.address != address {
		close(k.queue) // its address changed
		k = nil
	}
	if k == nil {
		k = l.openLink(address, to)
		l.byReplica[to] = k
	}
	if kind == kindForward && !k.up {
		return false
	}
	return l.enqueue(k, kind, body)
}

// sendToAddress queues a frame for whichever replica is at the address.
func (l *links) sendToAddress(address string, kind framing.Kind, body msgp.Marshaler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.byAddress[address]
	if k == nil {
		k = l.openLink(address, 0)
		l.byAddress[address] = k
	}
	l.enqueue(k, kind, body)
}

func (l *links) openLink(address string, id raft.ID) *link {
	k := &link{links: l, address: address, replica: id, queue: make(chan outFrame, linkQueueFrames), wake: make(chan struct{}, 1)}
	l.done.Add(1)
	go k.run()
	return k
}

func (l *links) enqueue(k *link, kind framing.Kind, body msgp.Marshaler) bool {
	select {
	case k.queue <- outFrame{kind: kind, body: body}:
		return true
	default:
		l.r.count.dropped.Add(1)
		return false
	}
}

// removeIdle removes an idle link; false if a frame was queued in the meantime.
func (l *links) removeIdle(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(k.queue) > 0 {
		return false
	}
	if l.byReplica[k.replica] == k {
		delete(l.byReplica, k.replica)
	}
	if l.byAddress[k.address] == k {
		delete(l.byAddress, k.address)
	}
	return true
}

// removeIfMemberRemoved removes a link whose replica was removed from the cluster, and
// reports whether it did. Otherwise a new replica at the same address would refuse every
// dial meant for the removed one.
func (l *links) removeIfMemberRemoved(k *link) bool {
	if !slices.Contains(l.r.Status().Removed, k.replica) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byReplica[k.replica] == k {
		delete(l.byReplica, k.replica)
	}
	return true
}

func (l *links) setUp(k *link, up bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k.up = up
}

func (l *links) close() {
	l.cancel()
	l.done.Wait()
}

// run keeps one connection open and reconnects with exponential backoff. The jitter keeps
// replicas that lost each other from dialling in step.
func (k *link) run() {
	defer k.links.done.Done()
	backoff := backoffMin
	logged := false // one event per lost connection
	for k.links.ctx.Err() == nil {
		conn, err := k.connect()
		if err == nil {
			backoff = backoffMin
			logged = false
			k.links.setUp(k, true)
			k.links.r.notifyConnected(k.replica)
			err = k.sendFrames(conn)
			k.links.setUp(k, false)
			if errors.Is(err, errLinkClosed) {
				return
			}
		}
		k.links.r.count.reconnects.Add(1)
		if errors.Is(err, errPeerConnected) {
			continue
		}
		if !logged {
			logged = true
			events.Log(k.links.r.cfg.Log, events.ReplicaPeerLost, logrus.Fields{"address": k.address, "error": err.Error()})
		}
		if k.links.removeIfMemberRemoved(k) || !k.waitBackoff(backoff/2+mathrand.N(backoff)) {
			return
		}
		backoff = min(2*backoff, backoffMax)
	}
}

var (
	errLinkClosed = errors.New("replica: link closed")
	// errPeerConnected means that the peer connected while it was being dialled.
	errPeerConnected = errors.New("replica: peer connected during the dial")
)

// waitBackoff waits and drops the frames queued meanwhile: they are older than what the
// core sends once there is a connection. It returns false if the link was closed.
func (k *link) waitBackoff(backoff time.Duration) bool {
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return true
		case <-k.wake:
			return true
		case <-k.links.ctx.Done():
			return false
		case _, ok := <-k.queue:
			if !ok {
				return false
			}
			k.links.r.count.dropped.Add(1)
		}
	}
}

// notifyConnected tells the loop that a connection to the replica was made.
func (r *Replica) notifyConnected(id raft.ID) {
	if id == 0 {
		return
	}
	select {
	case r.connected <- id:
	default: // a recovering core asks again at the next heartbeat
	}
}

// connect dials the peer and performs the handshake.
func (k *link) connect() (*framing.Conn, error) {
	raw, err := k.dial()
	if err != nil {
		return nil, err
	}
	conn := framing.NewConn(raw, maxFrameBytes, writeTimeout)
	answer, err := k.links.r.startHandshake(conn)
	if err == nil && k.replica != 0 && answer.Replica != k.replica {
		err = errors.Wrapf(errWrongReplica, "replica at %s is %s, want %s", k.address, answer.Replica, k.replica)
		k.links.r.refusePeer(k.address, err)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	k.links.r.count.connections.Add(1)
	events.Log(k.links.r.cfg.Log, events.ReplicaPeerReached, logrus.Fields{"address": k.address, "replica": answer.Replica.String()})
	return conn, nil
}

// dial connects to the peer and stops as soon as the peer connects. A dial that began
// while the peer had no power would hang until its timeout even though the peer is up
// again, and replicas that come back one after another would grant their votes late.
func (k *link) dial() (net.Conn, error) {
	ctx, cancel := context.WithCancelCause(k.links.ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-k.wake:
			cancel(errPeerConnected)
		case <-ctx.Done():
		}
	}()
	raw, err := k.links.r.dial(ctx, k.address)
	if err != nil && errors.Is(context.Cause(ctx), errPeerConnected) {
		return nil, errPeerConnected
	}
	return raw, err
}

// sendFrames sends queued frames and pings until the connection fails or isn't needed any
// more.
func (k *link) sendFrames(conn *framing.Conn) error {
	defer conn.Close()
	failed := make(chan error, 1)
	go func() { failed <- readPongs(conn) }()
	ping := time.NewTicker(pingInterval)
	defer ping.Stop()
	used := time.Now()
	for {
		frame := outFrame{kind: kindPing, body: &emptyBody{}}
		select {
		case <-k.links.ctx.Done():
			return errLinkClosed
		case err := <-failed:
			return err
		case <-ping.C:
			if time.Since(used) > idleTimeout && k.links.removeIdle(k) {
				return errLinkClosed
			}
		case f, ok := <-k.queue:
			if !ok {
				return errLinkClosed
			}
			frame = f
			used = time.Now()
		}
		n, err := conn.Write(frame.kind, frame.body)
		if err != nil {
			return err
		}
		k.links.r.count.sent.Add(1)
		k.links.r.count.bytesSent.Add(int64(n))
	}
}

// readPongs returns once the peer stops answering pings. Writes to a half-open connection
// succeed until the kernel's buffer is full, which takes minutes at the size of a
// heartbeat.
func readPongs(conn *framing.Conn) error {
	for {
		if err := conn.Raw().SetReadDeadline(time.Now().Add(pongTimeout)); err != nil {
			return errors.Wrap(err, "replica: read deadline")
		}
		if _, err := conn.Read(); err != nil {
			return err
		}
	}
}

// dial connects to the address, with TLS if configured.
func (r *Replica) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dial := r.cfg.Dial
	if dial == nil {
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", address)
		}
	}
	connecting, connected := context.WithTimeout(ctx, connectTimeout)
	raw, err := dial(connecting, address)
	connected()
	if err != nil {
		return nil, errors.Wrap(err, "replica: dial")
	}
	if r.cfg.TLS.Client == nil {
		return raw, nil
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		_ = raw.Close()
		return nil, errors.Wrap(err, "replica: peer address")
	}
	secure, err := keys.Client(ctx, raw, r.cfg.TLS.Client, host)
	if err != nil {
		_ = raw.Close()
		return nil, errors.Wrap(err, "replica: TLS handshake")
	}
	return secure, nil
}
