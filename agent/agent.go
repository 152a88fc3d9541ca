// Package agent implements the agent role, a process beside each target. It terminates
// callers' flows, runs admission control on their requests and proxies them to the target.
// It announces the target to control, so that no list of targets has to be maintained.
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

// ErrSettings is returned for settings whose certificate files can't be used.
var ErrSettings = errors.New("agent: invalid settings")

const (
	// certificateReloadInterval is how often the certificate files are checked for changes.
	certificateReloadInterval = 10 * time.Second
	// drainPollInterval is how often a stop checks for requests in progress.
	drainPollInterval = 20 * time.Millisecond
	// drainNoticeDelay is the time for the announcement of a stop to reach control,
	// before new requests are sent to other agents.
	drainNoticeDelay = 200 * time.Millisecond
)

// Agent is one agent process.
type Agent struct {
	settings Settings
	log      logrus.FieldLogger
	metrics  *metrics.Set
	identity *keys.Store
	flows    *flow.Endpoint
	proxy    *proxy.Proxy
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
	if err := a.openProxy(); err != nil {
		return nil, err
	}
	if err := a.openFlows(callerCert); err != nil {
		return nil, err
	}
	a.openClient()
	a.metrics.Gauge("flows", func() int64 { return int64(a.flows.Flows()) })
	a.metrics.Gauge("requests", func() int64 { return int64(a.proxy.InFlight()) })
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

func (a *Agent) openProxy() error {
	cfg := proxy.Config{
		ShedMeansNotRun:   a.settings.ShedUnrun,
		Service:           a.settings.Service,
		Host:              a.settings.Host,
		Target:            a.settings.Target,
		PeerListenAddress: a.settings.Peer,
		Limits:            proxy.Limits{Slots: a.settings.Slots, Connections: a.settings.FlowLimit},
		Log:               a.log,
		Metrics:           a.metrics,
		// The client is set before the first request arrives.
		TableAge: func() time.Duration { return a.client.Status().ConfirmedAge },
	}
	if a.identity != nil {
		cfg.TLS = &proxy.PeerTLS{Server: a.identity.Server(keys.Agent), Client: a.identity.Client(keys.Agent)}
	}
	var err error
	if a.proxy, err = proxy.New(cfg); err != nil {
		return errors.Wrap(err, "agent: set up request proxy")
	}
	return nil
}

func (a *Agent) openFlows(callerCert tls.Certificate) error {
	var err error
	a.flows, err = flow.New(flow.Config{
		Service:     a.settings.Service,
		Tunnel:      a.settings.Tunnel,
		Handler:     a.proxy,
		TLS:         &tls.Config{Certificates: []tls.Certificate{callerCert}, MinVersion: tls.VersionTLS13},
		Connections: a.settings.FlowLimit,
		Direct:      a.settings.Return == returnDirect,
		Log:         a.log,
		Metrics:     a.metrics,
	})
	if err != nil {
		return errors.Wrap(err, "agent: set up flow endpoint")
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
			Connections: a.settings.FlowLimit,
		},
		OnAgentNumber: a.setAgentNumber,
		StateFile:     a.settings.State,
		Log:           a.log,
		Metrics:       a.metrics,
	}
	if a.identity != nil {
		cfg.TLS = a.identity.Client(keys.Control)
	}
	a.client = distribution.NewClient(cfg, a.applyTable)
}

func (a *Agent) setAgentNumber(n table.AgentNumber) {
	a.flows.SetAgent(n)
	a.proxy.SetAgentNumber(n)
}

// applyTable applies a table to flows and requests. A table that the flow endpoint refuses
// is logged and counted there, and requests then keep the same older table.
func (a *Agent) applyTable(t *table.Table) error {
	if err := a.flows.Apply(t); err != nil {
		return err
	}
	a.proxy.ApplyTable(t)
	a.revision.Store(int64(t.Revision))
	return nil
}

// Metrics returns the agent's counters.
func (a *Agent) Metrics() *metrics.Set { return a.metrics }

// Status returns the state of the agent's subscription to control.
func (a *Agent) Status() distribution.Status { return a.client.Status() }

// Flows returns the number of open flows.
func (a *Agent) Flows() int { return a.flows.Flows() }

// Run serves until ctx is done, and then until the work in progress has ended, for at most
// Settings.StopGrace.
func (a *Agent) Run(ctx context.Context) error {
	if a.settings.Metrics != "" {
		ln, err := a.metrics.Listen(a.settings.Metrics)
		if err != nil {
			return errors.Wrap(err, "agent: listen for metrics")
		}
		defer closeListener(ln)
	}
	serving, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, serving := errgroup.WithContext(serving)
	group.Go(func() error { return a.proxy.Run(serving) })
	group.Go(func() error { return a.flows.Run(serving) })
	group.Go(func() error { return a.client.Run(serving) })
	if a.identity != nil {
		group.Go(func() error { a.identity.Watch(serving, certificateReloadInterval); return nil })
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

// stop is the graceful stop. It notifies control and the open flows, sends new flows and
// requests to other agents, and waits for the work in progress.
func (a *Agent) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), a.settings.StopGrace)
	defer cancel()
	a.client.SetDraining(true)
	a.flows.Drain()
	wait.For(ctx, drainNoticeDelay)
	a.proxy.Drain()
	if err := a.flows.Shutdown(ctx); err != nil {
		events.Log(a.log, events.AgentStoppedWithWorkLeft, logrus.Fields{"grace": a.settings.StopGrace.String(), "error": err})
	}
	for a.proxy.InFlight() > 0 && ctx.Err() == nil {
		wait.For(ctx, drainPollInterval)
	}
}

func closeListener(ln net.Listener) { _ = ln.Close() }
