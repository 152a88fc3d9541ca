// Package agent runs the agent of pass-through flows next to one target: the sockets, the
// engine of package flowtable, the reports to balancers, and the streams to control.
package agent

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/metrics"
	"bergamotstall/internal/passthrough/datagram"
	"bergamotstall/internal/passthrough/flowlog"
	"bergamotstall/internal/passthrough/flowtable"
	"bergamotstall/internal/passthrough/membership"
	"bergamotstall/internal/passthrough/overload"
	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/internal/passthrough/patience"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
	"bergamotstall/internal/passthrough/traffic"
	"bergamotstall/internal/wait"
)

const (
	// tickInterval is the longest time between two checks for unanswered first packets.
	tickInterval = 20 * time.Millisecond
	// balancerReportTTL is how long after its last datagram a balancer gets reports of
	// changes without a probe.
	balancerReportTTL = 5 * time.Second
	// probeInterval is the interval between probes of the target's process; each takes
	// probeTimeout at most, on the same VM.
	probeInterval = 100 * time.Millisecond
	probeTimeout  = 100 * time.Millisecond
	// flowReportInterval is how often flows that began or ended are reported to control.
	flowReportInterval = 500 * time.Millisecond
	// shutdownDelay is how long a stopping agent waits for its last datagrams to be sent.
	shutdownDelay = 20 * time.Millisecond
)

// Config configures an Agent.
type Config struct {
	// Zone is the VM's data centre.
	Zone string
	// Region is the region of the data centre.
	Region string
	// ColdOverage and ColdSlack are described at flowtable.Config.
	ColdOverage, ColdSlack float64
	// Service is the service that the VM's targets belong to.
	Service string
	// Target is the address at which the target receives packets.
	Target netip.AddrPort
	// Outbound is the local address that receives packets from the target.
	Outbound netip.AddrPort
	// Nodes is the local address that receives datagrams from other nodes.
	Nodes netip.AddrPort
	// ClientPort is the port at which clients receive packets.
	ClientPort uint16
	// Heartbeat is the interval between the target's announcements.
	Heartbeat   time.Duration
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

// Agent handles the pass-through flows of one target.
type Agent struct {
	cfg      Config
	started  time.Time
	outbound *datagram.Socket
	nodes    *datagram.Socket
	client   *membership.Client
	meter    *traffic.Meter

	mu      sync.Mutex
	engine  *flowtable.Engine
	answers datagram.Batches[peer.Answer]
	buf     []byte
	// lastHeard is when each balancer last sent a datagram.
	lastHeard map[netip.AddrPort]time.Duration
	verdicts  []*expvar.Int
	// turnedAway counts the first packets that were refused or dropped by callers' goals, by
	// verdict, without patience.Waits.
	turnedAway []*expvar.Int

	answeredAfter, admittedAfter, turnedAwayAfter *metrics.Histogram
}

// New opens the agent's sockets.
func New(cfg Config) (*Agent, error) {
	a := &Agent{cfg: cfg, started: time.Now(), lastHeard: map[netip.AddrPort]time.Duration{}}
	var err error
	if a.outbound, err = datagram.Listen(cfg.Outbound, cfg.Log, cfg.Metrics); err != nil {
		return nil, errors.Wrap(err, "agent: listen for the target")
	}
	if a.nodes, err = datagram.Listen(cfg.Nodes, cfg.Log, cfg.Metrics); err != nil {
		_ = a.outbound.Close()
		return nil, errors.Wrap(err, "agent: listen for nodes")
	}
	a.answeredAfter = cfg.Metrics.Histogram("pass_answered_after")
	a.admittedAfter = cfg.Metrics.Histogram("pass_admitted_after")
	a.turnedAwayAfter = cfg.Metrics.Histogram("pass_turned_away_after")
	a.meter = peer.NewMeter(cfg.Metrics)
	a.outbound.SetMeter(a.meter, peer.PacketKind)
	a.nodes.SetMeter(a.meter, peer.NodeKind)
	process := rand.Uint64()
	a.engine = flowtable.New(flowtable.Config{
		Service: cfg.Service, Address: cfg.Target.String(), Zone: cfg.Zone, Region: cfg.Region, Process: process,
		ColdOverage: cfg.ColdOverage, ColdSlack: cfg.ColdSlack,
		Heartbeat: cfg.Heartbeat, StartedAt: a.now(), Policy: flowtable.DefaultPolicy(), Overload: cfg.Overload, Codec: cfg.Codec, Out: a,
	})
	a.client = membership.NewClient(membership.ClientConfig{
		Node:  membership.Node{Role: membership.Agent, Address: cfg.Nodes.String(), Zone: cfg.Zone, Service: uint64(route.IDOf(cfg.Service)), Process: process},
		Seeds: cfg.Seeds, Port: cfg.ControlPort, OnTable: a.setTable, OnEvacuations: a.setEvacuated, OnFlowRecords: a.recalled, Meter: a.meter, Log: cfg.Log,
	})
	for v := flowtable.Verdict(0); v.String() != "unknown"; v++ {
		a.verdicts = append(a.verdicts, cfg.Metrics.Counter("pass_"+v.String()))
	}
	for v := patience.Waits + 1; v.String() != "unknown"; v++ {
		a.turnedAway = append(a.turnedAway, cfg.Metrics.Counter("pass_turned_away_"+v.String()))
	}
	cfg.Metrics.Gauge("pass_flows", func() int64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		return int64(a.engine.Flows())
	})
	cfg.Metrics.Gauge("pass_target_capacity_hundredths", func() int64 {
		requests, _ := a.learned()
		return int64(100 * requests)
	})
	cfg.Metrics.Gauge("pass_target_service_us", func() int64 {
		_, service := a.learned()
		return service.Microseconds()
	})
	return a, nil
}

// learned returns what was learned of the target.
func (a *Agent) learned() (requests float64, service time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.engine.LearnedCapacity(a.now())
}

func (a *Agent) now() time.Duration { return time.Since(a.started) + time.Hour }

// Run forwards packets until ctx is done. It stops without delay, because the flows of a
// live target wait for the agent's next start.
func (a *Agent) Run(ctx context.Context) error {
	forwardCtx, stop := context.WithCancel(context.Background())
	defer stop()
	streamCtx, stopStreams := context.WithCancel(context.Background())
	defer stopStreams()
	running := wait.Start(forwardCtx, a.readTarget, a.readNodes, a.tick, a.probe, a.reportFlows, a.logTraffic)
	streams := wait.Start(streamCtx, a.client.Run)
	<-ctx.Done()
	a.mu.Lock()
	a.engine.Stop(a.now())
	a.report()
	empty := a.engine.Empty(a.now())
	a.mu.Unlock()
	if empty {
		a.client.Retire()
	}
	time.Sleep(shutdownDelay)
	stop()
	_ = a.outbound.Close()
	_ = a.nodes.Close()
	running.Wait()
	if !empty {
		a.reportLastFlows()
		time.Sleep(shutdownDelay)
	}
	stopStreams()
	streams.Wait()
	return nil
}

// Ready reports whether the agent has received a route table from control.
func (a *Agent) Ready() bool { return a.client.Version() > 0 }

// Announced handles an announcement of a target.
func (a *Agent) Announced(x flowtable.Announcement) flowtable.AnnouncementResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	answer := a.engine.HandleAnnouncement(a.now(), x)
	if answer == flowtable.AnnouncementForOtherTarget {
		events.Log(a.cfg.Log, events.AnnouncementRefused, logrus.Fields{"target": x.ID, "service": x.Service, "address": x.Address, "reason": "another service or address"})
	}
	return answer
}

// Left handles a target's announcement that it ends.
func (a *Agent) Left(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.engine.HandleTargetLeft(a.now(), id)
}

func (a *Agent) readTarget(ctx context.Context) {
	a.outbound.Read(ctx, func(_ netip.AddrPort, raw []byte) error {
		p, err := a.cfg.Codec.Decode(raw)
		if err != nil {
			return err
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		a.engine.FromTarget(a.now(), p, raw)
		return nil
	})
}

func (a *Agent) readNodes(ctx context.Context) { a.nodes.Read(ctx, a.fromNode) }

// fromNode handles a balancer's datagram.
func (a *Agent) fromNode(from netip.AddrPort, raw []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.lastHeard[from] = now
	switch peer.KindOf(raw) {
	case peer.KindDeliver:
		h, p, carried, err := peer.DecodeCarried(a.cfg.Codec, raw)
		if err != nil {
			return err
		}
		a.engine.FromBalancer(now, from, h, p, carried)
		return nil
	case peer.KindAsk:
		err := peer.ReadAsk(raw, func(q peer.Question) { a.engine.Ask(now, from, q) })
		a.answers.Flush(a.sendAnswer)
		return err
	case peer.KindProbe:
		a.reportTo(from)
		return nil
	}
	return errors.Errorf("agent: unexpected datagram kind %d", peer.KindOf(raw))
}

// setTable passes the route table to the engine.
func (a *Agent) setTable(t *route.Table) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.engine.SetTable(t)
}

// setEvacuated tells the engine whether its data centre is evacuated.
func (a *Agent) setEvacuated(zones []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.engine.SetEvacuated(a.now(), slices.Contains(zones, a.cfg.Zone))
}

func (a *Agent) tick(ctx context.Context) {
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			a.mu.Lock()
			a.engine.Tick(a.now())
			next := a.engine.NextTick(tickInterval)
			a.mu.Unlock()
			timer.Reset(next)
		}
	}
}

func (a *Agent) logTraffic(ctx context.Context) { a.meter.Run(ctx, a.cfg.Log) }

// probe probes the target's address whenever the engine asks for it.
func (a *Agent) probe(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		a.mu.Lock()
		wanted := a.engine.WantsProbe(a.now())
		a.mu.Unlock()
		if wanted {
			a.probeOnce(ctx)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// probeOnce opens a connection to the target, closes it, and passes the result to the
// engine.
func (a *Agent) probeOnce(ctx context.Context) {
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", a.cfg.Target.String())
	if err == nil {
		_ = conn.Close()
	} else if !errors.Is(err, syscall.ECONNREFUSED) {
		return // a timeout doesn't say whether the process is there
	}
	a.cfg.Metrics.Counter("pass_target_probes").Add(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.engine.WantsProbe(a.now()) {
		a.engine.Probed(a.now(), err == nil)
	}
}

// recalled handles a control VM's record of the flows at this agent.
func (a *Agent) recalled(u flowlog.Update) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.engine.HandleRecall(a.now(), u)
}

// reportFlows reports the open flows to control, so that they are known after a power
// cut.
func (a *Agent) reportFlows(ctx context.Context) {
	for wait.For(ctx, flowReportInterval) {
		if a.settled() {
			update, changed := a.changes(false)
			a.client.ReportFlows(update, changed, a.allFlows)
		}
	}
}

func (a *Agent) settled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.engine.Settled(a.now())
}

func (a *Agent) changes(whole bool) (flowlog.Update, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.engine.Changes(a.now(), whole)
}

func (a *Agent) allFlows() flowlog.Update {
	u, _ := a.changes(true)
	return u
}

// reportLastFlows reports flows that control doesn't know yet, however young, so that the
// agent's next process knows them all. Control's record may not be replaced soon after the
// agent's start, but flows may be added if it is of the present target.
func (a *Agent) reportLastFlows() {
	a.mu.Lock()
	now := a.now()
	settled := a.engine.Settled(now)
	if !settled && !a.engine.Recalled() {
		a.mu.Unlock()
		return
	}
	update, changed := a.engine.LastChanges(now, false)
	all := update
	if settled {
		all, _ = a.engine.LastChanges(now, true)
	}
	a.mu.Unlock()
	a.client.ReportFlows(update, changed, func() flowlog.Update { return all })
}
