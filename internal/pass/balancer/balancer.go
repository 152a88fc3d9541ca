// Package balancer runs a balancer of pass-through flows: the sockets, the
// engine of package forward, and the streams to control.
package balancer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/metrics"
	"bergamotstall/internal/pass/datagram"
	"bergamotstall/internal/pass/forward"
	"bergamotstall/internal/pass/packet"
	"bergamotstall/internal/pass/peer"
	"bergamotstall/internal/pass/roster"
	"bergamotstall/internal/pass/route"
	"bergamotstall/internal/wait"
)

const (
	// tickInterval is how often unanswered questions are looked at.
	tickInterval = 20 * time.Millisecond
	// readyAfter is how long a balancer waits after its first table, so that the
	// agents have heard of it and reported: ten times a second each.
	readyAfter = 150 * time.Millisecond
	// Linger is how long a stopping balancer goes on carrying packets after its
	// readiness says no. Fabrics look twice a second and want two misses.
	Linger = 1300 * time.Millisecond
)

// Config sets a balancer up.
type Config struct {
	Name, Zone string
	// Fabric is where the fabric's packets come in, "ip:port". Packets for
	// clients go to the same port of the client's address.
	Fabric netip.AddrPort
	// Nodes is where other nodes' datagrams come in.
	Nodes netip.AddrPort
	// Seeds returns the IP numbers of control VMs; ControlPort is where they
	// take streams.
	Seeds       func() []string
	ControlPort uint16
	Codec       packet.Codec
	Log         logrus.FieldLogger
	Metrics     *metrics.Set
}

// Balancer is one balancer.
type Balancer struct {
	cfg     Config
	started time.Time
	fabric  *net.UDPConn
	nodes   *net.UDPConn
	client  *roster.Client

	mu     sync.Mutex
	engine *forward.Engine
	asks   datagram.Batches[peer.Question]
	buf    []byte

	// tabledAt is since when there is a table, on the clock of now; 0 for never.
	tabledAt atomic.Int64
	stopping atomic.Bool
	wasReady atomic.Bool
	verdicts []counter
	waits    map[forward.Verdict]*metrics.Histogram
}

// New opens the balancer's sockets.
func New(cfg Config) (*Balancer, error) {
	b := &Balancer{cfg: cfg, started: time.Now()}
	var err error
	if b.fabric, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.Fabric)); err != nil {
		return nil, errors.Wrap(err, "balancer: listen for the fabric")
	}
	if b.nodes, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.Nodes)); err != nil {
		_ = b.fabric.Close()
		return nil, errors.Wrap(err, "balancer: listen for nodes")
	}
	seed := rand.Uint64()
	b.engine = forward.New(forward.Config{Zone: cfg.Zone, Rand: rand.New(rand.NewPCG(seed, seed)), Codec: cfg.Codec, Out: b})
	b.client = roster.NewClient(roster.ClientConfig{
		Node:  roster.Node{Role: roster.Balancer, Address: cfg.Nodes.String(), Zone: cfg.Zone, Process: seed},
		Seeds: cfg.Seeds, Port: cfg.ControlPort, Table: b.setTable, Log: cfg.Log, Metrics: cfg.Metrics,
	})
	b.verdicts = counters(cfg.Metrics)
	b.waits = waitHistograms(cfg.Metrics)
	cfg.Metrics.Gauge("pass_flows", func() int64 { return b.gauge((*forward.Engine).Flows) })
	cfg.Metrics.Gauge("pass_searches", func() int64 { return b.gauge((*forward.Engine).Searches) })
	return b, nil
}

func (b *Balancer) gauge(read func(*forward.Engine) int) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(read(b.engine))
}

func (b *Balancer) now() time.Duration { return time.Since(b.started) + time.Hour }

// Run carries packets until ctx is done, and then for Linger longer.
func (b *Balancer) Run(ctx context.Context) error {
	carry, stop := context.WithCancel(context.Background())
	defer stop()
	var running sync.WaitGroup
	for _, loop := range []func(context.Context){b.readFabric, b.readNodes, b.tick, b.client.Run} {
		running.Add(1)
		go func() {
			defer running.Done()
			loop(carry)
		}()
	}
	<-ctx.Done()
	b.stopping.Store(true)
	b.Ready()
	wait.For(carry, Linger)
	stop()
	_ = b.fabric.Close()
	_ = b.nodes.Close()
	running.Wait()
	return nil
}

// Ready tells whether the fabric should send packets here: not before a control
// VM in touch with a quorum has told which table is in force, and every agent
// has had time to report.
func (b *Balancer) Ready() bool {
	tabled := time.Duration(b.tabledAt.Load())
	ready := !b.stopping.Load() && tabled > 0 && b.now()-tabled > readyAfter
	if b.wasReady.Swap(ready) != ready {
		events.Log(b.cfg.Log, events.ReadinessChanged, logrus.Fields{
			"ready": ready, "stopping": b.stopping.Load(), "version": uint64(b.client.Version()), "controls": b.client.Heard(),
		})
	}
	return ready
}

func (b *Balancer) setTable(t *route.Table) {
	b.mu.Lock()
	b.engine.SetTable(b.now(), t)
	b.mu.Unlock()
	b.tabledAt.CompareAndSwap(0, int64(b.now()))
}

func (b *Balancer) readFabric(ctx context.Context) {
	datagram.Read(ctx, b.fabric, b.cfg.Log, func(_ netip.AddrPort, raw []byte) {
		p, err := b.cfg.Codec.Decode(raw)
		if err != nil {
			b.cfg.Metrics.Counter("pass_unreadable").Add(1)
			return
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		b.engine.FromClient(b.now(), p, raw)
	})
}

func (b *Balancer) readNodes(ctx context.Context) {
	datagram.Read(ctx, b.nodes, b.cfg.Log, func(from netip.AddrPort, raw []byte) {
		if err := b.fromNode(from, raw); err != nil {
			b.cfg.Metrics.Counter("pass_unreadable").Add(1)
			b.cfg.Log.WithError(err).WithField("from", from.String()).Debug("balancer: datagram")
		}
	})
}

// fromNode takes an agent's datagram.
func (b *Balancer) fromNode(from netip.AddrPort, raw []byte) error {
	if len(raw) == 0 {
		return peer.ErrShort
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	switch peer.Kind(raw[0]) {
	case peer.KindRefused:
		h, carried, err := peer.DecodeHead(raw)
		if err != nil {
			return err
		}
		p, err := b.cfg.Codec.Decode(carried)
		if err != nil {
			return err
		}
		b.engine.Refused(now, from, h.Reason, p, carried)
	case peer.KindAnswer:
		return peer.ReadAnswer(raw, func(r peer.Ruling) { b.engine.Answered(now, from, r) })
	case peer.KindReport:
		var r peer.Report
		if _, err := r.UnmarshalMsg(raw[1:]); err != nil {
			return errors.Wrap(err, "balancer: report")
		}
		b.engine.Reported(now, from, r)
	default:
		return errors.Errorf("balancer: datagram kind %d", raw[0])
	}
	return nil
}

func (b *Balancer) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.mu.Lock()
			b.engine.Tick(b.now())
			b.mu.Unlock()
		}
	}
}
