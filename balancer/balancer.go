// Package balancer implements the balancer role. A balancer receives callers' packets from
// the network fabric and forwards each to the agent that its connection ID names, or, for
// a new flow, to the agent that package steering chooses by a hash of the flow. It forwards
// the answers to the callers. It keeps no state of flows, so any balancer can forward any
// packet, and the loss of one breaks no flow.
package balancer

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/distribution"
	"bergamotstall/internal/events"
	"bergamotstall/internal/keys"
	"bergamotstall/internal/metrics"
	"bergamotstall/internal/table"
)

// ErrSettings is returned for settings that can't be used.
var ErrSettings = errors.New("balancer: invalid settings")

// certificateReloadInterval is how often the certificate files are checked for changes.
const certificateReloadInterval = 10 * time.Second

// Balancer is one balancer process.
type Balancer struct {
	settings  Settings
	log       logrus.FieldLogger
	metrics   *metrics.Set
	identity  *keys.Store
	forwarder *Forwarder
	client    *distribution.Client
}

// New opens the tunnel and prepares the subscription to control.
func New(s Settings, log logrus.FieldLogger) (*Balancer, error) {
	if problems := s.Problems(); len(problems) > 0 {
		return nil, errors.Wrapf(ErrSettings, "%s: %s", problems[0].Path, problems[0].What)
	}
	if s.StopGrace == 0 {
		s.StopGrace = defaultStopGrace
	}
	b := &Balancer{settings: s, log: log, metrics: metrics.New()}
	if err := b.loadIdentity(); err != nil {
		return nil, err
	}
	config := ForwarderConfig{Sockets: s.Sockets, Log: log, Metrics: b.metrics}
	config.Tunnel = netip.MustParseAddrPort(s.Tunnel)
	if s.Bind != "" {
		config.Bind = netip.MustParseAddr(s.Bind)
	}
	var err error
	if b.forwarder, err = NewForwarder(config); err != nil {
		return nil, err
	}
	b.client = distribution.NewClient(b.clientConfig(), b.applyTable)
	return b, nil
}

// loadIdentity loads the process's certificate, if one is set.
func (b *Balancer) loadIdentity() error {
	if b.settings.TLS.Absent() {
		return nil
	}
	store, err := keys.Load(b.settings.TLS.Files(), b.log, b.metrics)
	if err != nil {
		return errors.Wrapf(ErrSettings, "tls: %v", err)
	}
	b.identity = store
	return nil
}

func (b *Balancer) clientConfig() distribution.ClientConfig {
	s := b.settings
	cfg := distribution.ClientConfig{
		Controls: s.Controls,
		Role:     distribution.RoleBalancer,
		Announcement: distribution.Announcement{
			Name:        s.Name,
			Incarnation: uint64(time.Now().UnixNano()),
			DataCentre:  s.DataCentre,
			Tunnel:      b.forwarder.Tunnel().String(),
		},
		StateFile: s.State,
		Log:       b.log,
		Metrics:   b.metrics,
	}
	if b.identity != nil {
		cfg.TLS = b.identity.Client(keys.Control)
	}
	return cfg
}

// applyTable applies a table. A refused table is logged and counted, and the previous one
// stays in force.
func (b *Balancer) applyTable(t *table.Table) error { return b.forwarder.Apply(t) }

// Metrics returns the balancer's counters.
func (b *Balancer) Metrics() *metrics.Set { return b.metrics }

// Run forwards packets until ctx is done, and for Settings.StopGrace after that. Control is
// notified at once, and packets that the fabric still sends here are forwarded.
func (b *Balancer) Run(ctx context.Context) error {
	defer b.forwarder.Close()
	if b.settings.Metrics != "" {
		ln, err := b.metrics.Listen(b.settings.Metrics)
		if err != nil {
			return errors.Wrap(err, "balancer: listen for metrics")
		}
		defer ln.Close()
	}
	events.Log(b.log, events.ProcessStarted, logrus.Fields{"role": "balancer", "name": b.settings.Name})
	subscription, unsubscribe := context.WithCancel(context.WithoutCancel(ctx))
	if b.identity != nil {
		go b.identity.Watch(subscription, certificateReloadInterval)
	}
	ended := make(chan error, 1)
	go func() { ended <- b.client.Run(subscription) }()

	<-ctx.Done()
	events.Log(b.log, events.ProcessStopping, logrus.Fields{"role": "balancer", "grace": b.settings.StopGrace.String()})
	b.client.SetDraining(true)
	time.Sleep(b.settings.StopGrace)
	unsubscribe()
	err := <-ended
	events.Log(b.log, events.ProcessStopped, logrus.Fields{"role": "balancer", "name": b.settings.Name})
	return err
}
