// Package balancer runs a balancer of pass-through flows: the sockets, the engine of
// package forward, and the streams to control.
package balancer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/metrics"
	"bergamotstall/internal/passthrough/datagram"
	"bergamotstall/internal/passthrough/forward"
	"bergamotstall/internal/passthrough/membership"
	"bergamotstall/internal/passthrough/overload"
	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
	"bergamotstall/internal/passthrough/traffic"
	"bergamotstall/internal/wait"
)

const (
	// tickInterval is how often unanswered questions are checked.
	tickInterval = 20 * time.Millisecond
	// Linger is how long a stopping balancer continues to forward packets after it
	// reports that it isn't ready. Fabrics check readiness twice a second and need two
	// failures.
	Linger = 1300 * time.Millisecond
	// questionShare is the fraction of the link's rate that questions to agents may use.
	// The rest is for the packets of flows and for control.
	questionShare = 0.2
)

// Config configures a Balancer.
type Config struct {
	// Zone is the VM's data centre.
	Zone string
	// Regions maps the names of all data centres to their regions.
	Regions map[string]string
	// Fabric is the local "ip:port" that receives packets from the fabric. Packets to
	// clients go to the same port at the client's address.
	Fabric netip.AddrPort
	// Nodes is the local address that receives datagrams from other nodes.
	Nodes netip.AddrPort
	// Seeds returns the IP addresses of control VMs; ControlPort is the port for streams
	// to them.
	Seeds       func() []string
	ControlPort uint16
	// LinkRate is the rate of the VM's link in each direction, in bytes a second; 0 if
	// unknown.
	LinkRate float64
	// Overload switches the parts of overload control on.
	Overload overload.Settings
	Codec    packet.Codec
	Log      logrus.FieldLogger
	Metrics  *metrics.Set
}

// Balancer forwards the packets of pass-through flows.
type Balancer struct {
	cfg     Config
	started time.Time
	fabric  *datagram.Socket
	nodes   *datagram.Socket
	client  *membership.Client
	meter   *traffic.Meter

	mu        sync.Mutex
	engine    *forward.Engine
	questions datagram.Batches[peer.Question]
	buf       []byte
	// sendTimer fires when queued packets are to be sent; sendPending says that it is set,
	// sendStopped that it isn't set any more.
	sendTimer                *time.Timer
	sendPending, sendStopped bool

	stopping  atomic.Bool
	wasReady  atomic.Bool
	verdicts  []counter
	waitTimes map[forward.Verdict]*metrics.Histogram
}

// New opens the balancer's sockets.
func New(cfg Config) (*Balancer, error) {
	b := &Balancer{cfg: cfg, started: time.Now()}
	var err error
	if b.fabric, err = datagram.Listen(cfg.Fabric, cfg.Log, cfg.Metrics); err != nil {
		return nil, errors.Wrap(err, "balancer: listen for the fabric")
	}
	if b.nodes, err = datagram.Listen(cfg.Nodes, cfg.Log, cfg.Metrics); err != nil {
		_ = b.fabric.Close()
		return nil, errors.Wrap(err, "balancer: listen for nodes")
	}
	b.meter = peer.NewMeter(cfg.Metrics)
	b.fabric.SetMeter(b.meter, peer.PacketKind)
	b.nodes.SetMeter(b.meter, peer.NodeKind)
	seed := rand.Uint64()
	b.sendTimer = time.AfterFunc(time.Hour, b.sendTimerFired)
	b.sendTimer.Stop()
	b.engine = forward.New(forward.Config{
		Zone: cfg.Zone, Regions: cfg.Regions, Rand: rand.New(rand.NewPCG(seed, seed)), Policy: forward.DefaultPolicy(),
		QuestionBudget: questionShare * cfg.LinkRate, LinkRate: cfg.LinkRate, Overload: cfg.Overload, Out: b,
	})
	b.client = membership.NewClient(membership.ClientConfig{
		Node:  membership.Node{Role: membership.Balancer, Address: cfg.Nodes.String(), Zone: cfg.Zone, Process: seed},
		Seeds: cfg.Seeds, Port: cfg.ControlPort, OnTable: b.setTable, OnEvacuations: b.setEvacuated, OnAgents: b.setAgents, Meter: b.meter, Log: cfg.Log,
	})
	b.verdicts = counters(cfg.Metrics)
	b.waitTimes = waitHistograms(cfg.Metrics)
	cfg.Metrics.Handle("GET "+ExplainPath, b.explain)
	cfg.Metrics.Gauge("pass_flows", func() int64 { return b.gauge((*forward.Engine).Flows) })
	b.publishLinkPressure()
	cfg.Metrics.Gauge("pass_searches", func() int64 { return b.gauge((*forward.Engine).Searches) })
	return b, nil
}

func (b *Balancer) gauge(read func(*forward.Engine) int) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(read(b.engine))
}

func (b *Balancer) now() time.Duration { return time.Since(b.started) + time.Hour }

// Run forwards packets until ctx is done, and then for Linger more.
func (b *Balancer) Run(ctx context.Context) error {
	forwardCtx, stop := context.WithCancel(context.Background())
	defer stop()
	running := wait.Start(forwardCtx, b.readFabric, b.readNodes, b.tick, b.client.Run, b.logTraffic, b.logLinkPressure)
	<-ctx.Done()
	b.stopping.Store(true)
	b.Ready()
	wait.For(forwardCtx, Linger)
	stop()
	_ = b.fabric.Close()
	_ = b.nodes.Close()
	running.Wait()
	b.stopSending()
	return nil
}

// Ready reports whether the fabric should send packets to this balancer. It is ready once
// a control VM in contact with a quorum has sent the table in force and control has listed
// the agents, or has had time to. It isn't ready while it hears no agent, or while its table may
// be out of date: flows would follow a definition that was replaced long ago.
func (b *Balancer) Ready() bool {
	status := b.engineStatus()
	now := time.Now()
	inTouch := b.client.TableCurrent(now)
	ready := !b.stopping.Load() && !status.startingUp && !status.isolated && inTouch
	if b.wasReady.Swap(ready) != ready {
		events.Log(b.cfg.Log, events.ReadinessChanged, logrus.Fields{
			"ready": ready, "stopping": b.stopping.Load(), "version": uint64(b.client.Version()), "controls": b.client.LiveControls(),
			"isolated": status.isolated, "agents": status.agents, "in_touch": inTouch, "starting_up": status.startingUp, "lists_complete": b.client.ListsComplete(now),
		})
	}
	return ready
}

func (b *Balancer) setTable(t *route.Table) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.engine.SetTable(b.now(), t)
}

// setEvacuated tells the engine which data centres take no new flows.
func (b *Balancer) setEvacuated(zones []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.engine.SetEvacuated(zones)
}

// engineStatus is what readiness depends on.
type engineStatus struct {
	// startingUp is forward.Engine.StartingUp.
	startingUp bool
	// isolated means that the balancer hears none of the agents that it knows.
	isolated bool
	agents   int
}

func (b *Balancer) engineStatus() engineStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	return engineStatus{startingUp: b.engine.StartingUp(now), isolated: b.engine.Isolated(now), agents: b.engine.AgentCount()}
}

// setAgents passes changes of the membership to the engine.
func (b *Balancer) setAgents(c membership.Changes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for _, n := range c.Present {
		b.engine.ListAgent(now, forward.AgentInfo{Address: n.Address, Zone: n.Zone, Service: route.ServiceID(n.Service), Process: n.Process})
	}
	for _, at := range c.Gone {
		b.engine.DelistAgent(now, at)
	}
	for _, at := range c.Retired {
		b.engine.RetireAgent(at)
	}
}

func (b *Balancer) readFabric(ctx context.Context) {
	b.fabric.Read(ctx, func(_ netip.AddrPort, raw []byte) error {
		p, err := b.cfg.Codec.Decode(raw)
		if err != nil {
			return err
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		b.engine.HandleClientPacket(b.now(), p, raw)
		b.sendQueued()
		return nil
	})
}

func (b *Balancer) readNodes(ctx context.Context) { b.nodes.Read(ctx, b.fromNode) }

// fromNode handles an agent's datagram.
func (b *Balancer) fromNode(from netip.AddrPort, raw []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	switch peer.KindOf(raw) {
	case peer.KindRefused:
		h, p, carried, err := peer.DecodeCarried(b.cfg.Codec, raw)
		if err != nil {
			return err
		}
		b.engine.HandleRefused(now, from, h, p, carried)
		return nil
	case peer.KindAnswer:
		return peer.ReadAnswer(raw, func(r peer.Answer) { b.engine.HandleAnswer(now, from, r) })
	case peer.KindReport:
		var r peer.Report
		if _, err := r.UnmarshalMsg(raw[1:]); err != nil {
			return errors.Wrap(err, "balancer: decode report")
		}
		b.engine.HandleReport(now, from, r)
		return nil
	}
	return errors.Errorf("balancer: unexpected datagram kind %d", peer.KindOf(raw))
}

func (b *Balancer) logTraffic(ctx context.Context) { b.meter.Run(ctx, b.cfg.Log) }

func (b *Balancer) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.handleTick()
		}
	}
}

func (b *Balancer) handleTick() {
	// The client calls the balancer with its own lock held, so it is asked first.
	complete := b.client.ListsComplete(time.Now())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.engine.SetListsComplete(complete)
	b.engine.Tick(b.now())
	b.sendQueued()
}
