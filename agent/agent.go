// Package agent is the role of the small process beside each target: it ends
// callers' flows, decides on their requests and carries them to the target. It
// announces the target to control, so that no list of targets is needed.
package agent

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"bergamotstall/internal/distribution"
	"bergamotstall/internal/events"
	"bergamotstall/internal/flow"
	"bergamotstall/internal/keys"
	"bergamotstall/internal/metrics"
	"bergamotstall/internal/proxy"
	"bergamotstall/internal/table"
	"bergamotstall/internal/wait"
)

// ErrSettings is returned for settings whose files can't be used.
var ErrSettings = errors.New("agent: unusable settings")

const (
	// certificateLook is how often certificate files are looked at.
	certificateLook = 10 * time.Second
	// workPoll is how often a stop looks whether work is left.
	workPoll = 20 * time.Millisecond
	// announceTime is how long a stop waits for control to learn of it before
	// new requests from other agents are sent elsewhere.
	announceTime = 200 * time.Millisecond
)

// Agent is one agent process.
type Agent struct {
	settings Settings
	log      logrus.FieldLogger
	metrics  *metrics.Set
	identity *keys.Store
	flows    *flow.Endpoint
	relay    *proxy.Proxy
	client   *distribution.Client
	revision atomic.Int64
}

// New opens the tunnel and prepares the agent; nothing is accepted before Run.
func New(s Settings, log logrus.FieldLogger) (*Agent, error) {
	s.setDefaults()
	callerCert, err := tls.LoadX509KeyPair(s.CallerTLS.Certificate, s.CallerTLS.Key)
	if err != nil {
		return nil, errors.Wrapf(ErrSettings, "callerTLS: %v", err)
	}
	a := &Agent{settings: s, log: log.WithField("agent", s.Name), metrics: metrics.New()}
	if err := a.loadIdentity(); err != nil {
		return nil, err
	}
	if err := a.openRelay(); err != nil {
		return nil, err
	}
	if err := a.openFlows(callerCert); err != nil {
		return nil, err
	}
	a.openClient()
	a.metrics.Gauge("flows", func() int64 { return int64(a.flows.Flows()) })
	a.metrics.Gauge("requests", func() int64 { return int64(a.relay.InFlight()) })
	return a, nil
}

func (a *Agent) loadIdentity() error {
	if a.settings.TLS.Absent() {
		return nil
	}
	store, err := keys.Load(a.settings.TLS.Files(), a.log, a.metrics)
	if err != nil {
		return errors.Wrapf(ErrSettings, "tls: %v", err)
	}
	a.identity = store
	return nil
}

func (a *Agent) openRelay() error {
	cfg := proxy.Config{
		ShedMeansNotRun:   a.settings.ShedUnrun,
		Service:           a.settings.Service,
		Host:              a.settings.Host,
		Target:            a.settings.Target,
		PeerListenAddress: a.settings.Peer,
		Limits:            proxy.Limits{Slots: a.settings.Slots, Connections: a.settings.Connections},
		Log:               a.log,
		Metrics:           a.metrics,
		// The client is there before the first request is.
		TableAge: func() time.Duration { return a.client.Status().WordAge },
	}
	if a.identity != nil {
		cfg.TLS = &proxy.PeerTLS{Server: a.identity.Server(keys.Agent), Client: a.identity.Client(keys.Agent)}
	}
	var err error
	if a.relay, err = proxy.New(cfg); err != nil {
		return errors.Wrap(err, "agent: requests")
	}
	return nil
}

func (a *Agent) openFlows(callerCert tls.Certificate) error {
	var err error
	a.flows, err = flow.New(flow.Config{
		Service:     a.settings.Service,
		Tunnel:      a.settings.Tunnel,
		Handler:     a.relay,
		TLS:         &tls.Config{Certificates: []tls.Certificate{callerCert}, MinVersion: tls.VersionTLS13},
		Connections: a.settings.Connections,
		Direct:      a.settings.Return == returnDirect,
		Log:         a.log,
		Metrics:     a.metrics,
	})
	if err != nil {
		return errors.Wrap(err, "agent: flows")
	}
	return nil
}

func (a *Agent) openClient() {
	cfg := distribution.ClientConfig{
		Controls: a.settings.Controls,
		Role:     distribution.RoleAgent,
		Announcement: distribution.Announcement{
			Name:        a.settings.Name,
			Incarnation: uint64(time.Now().UnixNano()),
			DataCentre:  a.settings.DataCentre,
			Tunnel:      a.flows.Tunnel().String(),
			Service:     a.settings.Service,
			Host:        a.settings.Host,
			Peer:        a.settings.Peer,
			Slots:       a.settings.Slots,
			Connections: a.settings.Connections,
		},
		Numbered:  a.numbered,
		StateFile: a.settings.State,
		Log:       a.log,
		Metrics:   a.metrics,
	}
	if a.identity != nil {
		cfg.TLS = a.identity.Client(keys.Control)
	}
	a.client = distribution.NewClient(cfg, a.apply)
}

func (a *Agent) numbered(n table.AgentNumber) {
	a.flows.SetAgent(n)
	a.relay.SetAgentNumber(n)
}

// apply puts a table in force. One that the flows refuse is logged and counted
// there; requests then keep the same older table.
func (a *Agent) apply(t *table.Table) error {
	if err := a.flows.Apply(t); err != nil {
		return err
	}
	a.relay.ApplyTable(t)
	a.revision.Store(int64(t.Revision))
	return nil
}

// Metrics returns the agent's counters.
func (a *Agent) Metrics() *metrics.Set { return a.metrics }

// Status tells where the agent stands with control.
func (a *Agent) Status() distribution.Status { return a.client.Status() }

// Flows is the number of open flows.
func (a *Agent) Flows() int { return a.flows.Flows() }

// Run serves until ctx is done and work in progress has ended, at most the
// stop's grace after that.
func (a *Agent) Run(ctx context.Context) error {
	if a.settings.Metrics != "" {
		ln, err := a.metrics.Listen(a.settings.Metrics)
		if err != nil {
			return errors.Wrap(err, "agent: metrics")
		}
		defer closeListener(ln)
	}
	serving, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, serving := errgroup.WithContext(serving)
	group.Go(func() error { return a.relay.Run(serving) })
	group.Go(func() error { return a.flows.Run(serving) })
	group.Go(func() error { return a.client.Run(serving) })
	if a.identity != nil {
		group.Go(func() error { a.identity.Watch(serving, certificateLook); return nil })
	}
	select {
	case <-ctx.Done():
		a.stop()
	case <-serving.Done():
	}
	cancel()
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return errors.Wrap(err, "agent: run")
	}
	return nil
}

// stop is the graceful stop: control and open flows are told, new flows and
// requests go to other agents, and what is in progress ends.
func (a *Agent) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), a.settings.StopGrace)
	defer cancel()
	a.client.SetDraining(true)
	a.flows.Drain()
	wait.For(ctx, announceTime)
	a.relay.Drain()
	if err := a.flows.Shutdown(ctx); err != nil {
		events.Log(a.log, events.AgentStopCut, logrus.Fields{"grace": a.settings.StopGrace.String(), "error": err})
	}
	for a.relay.InFlight() > 0 && ctx.Err() == nil {
		wait.For(ctx, workPoll)
	}
}

func closeListener(ln net.Listener) { _ = ln.Close() }
