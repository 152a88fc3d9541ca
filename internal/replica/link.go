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
	// linkQueue bounds the frames that wait for one peer. Frames over it are
	// dropped: the core sends again what it still needs.
	linkQueue = 512
	// connectTimeout is short because a VM without power doesn't answer at all:
	// with a second, replicas that came back 0.3 s before the others heard of
	// them a second later, and nobody led meanwhile. Control VMs of one region
	// are a few milliseconds apart, regions a hundred.
	connectTimeout = 300 * time.Millisecond
	// dialTimeout bounds TLS and the greeting besides.
	dialTimeout = time.Second
	// writeTimeout and pongTimeout bound how long a half-open connection, over
	// which nothing comes back, can pass for a working one.
	writeTimeout = 2 * time.Second
	pingInterval = 500 * time.Millisecond
	pongTimeout  = 2 * time.Second
	// idleTimeout ends a connection that nothing was sent over.
	idleTimeout = 30 * time.Second
	backoffMin  = 50 * time.Millisecond
	backoffMax  = 2 * time.Second
	frameLimit  = 32 << 20
)

// outFrame is one frame to a peer.
type outFrame struct {
	kind framing.Kind
	body msgp.Marshaler
}

// link is the outgoing connection to one address.
type link struct {
	links   *links
	address string
	queue   chan outFrame
	up      bool // guarded by links.mu
	// replica is who must answer there; 0 for anyone.
	replica raft.ID
	// wake ends a pause.
	wake chan struct{}
}

// links are a replica's outgoing connections.
type links struct {
	r      *Replica
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu sync.Mutex
	// byReplica and byAddress hold links to members and to peers whose identity
	// isn't known.
	byReplica map[raft.ID]*link
	byAddress map[string]*link
	// book holds where replicas said that they take connections.
	book map[raft.ID]string
}

func newLinks(r *Replica) *links {
	ctx, cancel := context.WithCancel(context.Background())
	return &links{
		r: r, ctx: ctx, cancel: cancel,
		byReplica: map[raft.ID]*link{},
		byAddress: map[string]*link{},
		book:      map[raft.ID]string{},
	}
}

// note records where a replica takes connections. One that connects is there:
// the link to it doesn't wait for its pause to end, or a replica that was away
// for long would hear nothing for up to backoffMax after its start.
func (l *links) note(id raft.ID, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if address != "" {
		l.book[id] = address
	}
	if k := l.byReplica[id]; k != nil && !k.up {
		select {
		case k.wake <- struct{}{}:
		default:
		}
	}
}

func (l *links) sendQuorum(m *raft.Message) { l.send(m.To, kindQuorum, m) }

// send queues a frame for a replica. False means that it surely isn't sent;
// true promises nothing. Only the loop calls it.
func (l *links) send(to raft.ID, kind framing.Kind, body msgp.Marshaler) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	address, ok := l.book[to]
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
		close(k.queue) // it moved
		k = nil
	}
	if k == nil {
		k = l.open(address, to)
		l.byReplica[to] = k
	}
	if kind == kindForward && !k.up {
		return false
	}
	return l.enqueue(k, kind, body)
}

// sendTo queues a frame for whoever is at an address.
func (l *links) sendTo(address string, kind framing.Kind, body msgp.Marshaler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.byAddress[address]
	if k == nil {
		k = l.open(address, 0)
		l.byAddress[address] = k
	}
	l.enqueue(k, kind, body)
}

func (l *links) open(address string, id raft.ID) *link {
	k := &link{links: l, address: address, replica: id, queue: make(chan outFrame, linkQueue), wake: make(chan struct{}, 1)}
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

// forget drops an idle link; false if something was queued meanwhile.
func (l *links) forget(k *link) bool {
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

// endIfRemoved ends a link that can't be made to a replica that was removed for good. A
// fresh replica at the same address would refuse each dial meant for the removed one.
func (l *links) endIfRemoved(k *link) bool {
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

// run keeps one connection, and makes it anew with growing pauses. The pauses
// have jitter, so that replicas that lost each other don't dial in step.
func (k *link) run() {
	defer k.links.done.Done()
	pause := backoffMin
	told := false // one event for each time that the peer is lost
	for k.links.ctx.Err() == nil {
		conn, err := k.connect()
		if err == nil {
			pause = backoffMin
			told = false
			k.links.setUp(k, true)
			k.links.r.meet(k.replica)
			err = k.carry(conn)
			k.links.setUp(k, false)
			if errors.Is(err, errLinkEnds) {
				return
			}
		}
		k.links.r.count.reconnects.Add(1)
		if errors.Is(err, errPeerIsBack) {
			continue
		}
		if !told {
			told = true
			events.Log(k.links.r.cfg.Log, events.ReplicaPeerLost, logrus.Fields{"address": k.address, "error": err.Error()})
		}
		if k.links.endIfRemoved(k) || !k.sleep(pause/2+mathrand.N(pause)) {
			return
		}
		pause = min(2*pause, backoffMax)
	}
}

var (
	errLinkEnds = errors.New("replica: link no longer needed")
	// errPeerIsBack means that the peer connected while it was being dialled.
	errPeerIsBack = errors.New("replica: peer is back")
)

// sleep waits and drops what is queued meanwhile: a message that waited for a
// connection is older than what the core sends once there is one.
func (k *link) sleep(pause time.Duration) bool {
	timer := time.NewTimer(pause)
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

// meet tells the loop that a connection stands.
func (r *Replica) meet(id raft.ID) {
	if id == 0 {
		return
	}
	select {
	case r.met <- id:
	default: // the next heartbeat asks
	}
}

// connect dials the peer and greets it.
func (k *link) connect() (*framing.Conn, error) {
	raw, err := k.dial()
	if err != nil {
		return nil, err
	}
	conn := framing.NewConn(raw, frameLimit, writeTimeout)
	answer, err := k.links.r.greet(conn)
	if err == nil && k.replica != 0 && answer.Replica != k.replica {
		err = errors.Wrapf(errStranger, "%s is replica %s, not %s", k.address, answer.Replica, k.replica)
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

// dial connects to the peer. A dial that began while the peer had no power hangs until
// its timeout, although the peer is there by then; it ends as soon as the peer connects.
// Without this, replicas that come back one after the other grant their votes late.
func (k *link) dial() (net.Conn, error) {
	ctx, cancel := context.WithCancelCause(k.links.ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-k.wake:
			cancel(errPeerIsBack)
		case <-ctx.Done():
		}
	}()
	raw, err := k.links.r.dial(ctx, k.address)
	if err != nil && errors.Is(context.Cause(ctx), errPeerIsBack) {
		return nil, errPeerIsBack
	}
	return raw, err
}

// carry sends frames until the connection fails or nothing needs it.
func (k *link) carry(conn *framing.Conn) error {
	defer conn.Close()
	failed := make(chan error, 1)
	go func() { failed <- readPongs(conn) }()
	ping := time.NewTicker(pingInterval)
	defer ping.Stop()
	used := time.Now()
	for {
		frame := outFrame{kind: kindPing, body: &pulse{}}
		select {
		case <-k.links.ctx.Done():
			return errLinkEnds
		case err := <-failed:
			return err
		case <-ping.C:
			if time.Since(used) > idleTimeout && k.links.forget(k) {
				return errLinkEnds
			}
		case f, ok := <-k.queue:
			if !ok {
				return errLinkEnds
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

// readPongs returns once the peer no longer answers pings. Writing to a
// half-open connection succeeds until the kernel's buffer is full, which at a
// heartbeat's size takes minutes.
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

// dial connects, with TLS if configured.
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
		return nil, errors.Wrap(err, "replica: address")
	}
	secure, err := keys.Client(ctx, raw, r.cfg.TLS.Client, host)
	if err != nil {
		_ = raw.Close()
		return nil, errors.Wrap(err, "replica: TLS")
	}
	return secure, nil
}
