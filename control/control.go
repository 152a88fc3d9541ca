// Package control is the role of the few VMs with disks: the replicated
// catalogue, the distribution of the table to balancers and agents, and the
// operators' protocol.
package control

import (
	"cmp"
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"bergamotstall/internal/catalogue"
	"bergamotstall/internal/distribution"
	"bergamotstall/internal/events"
	"bergamotstall/internal/metrics"
	"bergamotstall/internal/operator"
	"bergamotstall/internal/replica"
	"bergamotstall/internal/table"
)

// commandLimit bounds one command. A definition of 2,100 services with three
// presets that each name every service in 17 data centres takes about 3 MB.
const commandLimit = 4 << 20

// Control is one control VM.
type Control struct {
	settings  Settings
	logger    logrus.FieldLogger
	metrics   *metrics.Set
	catalogue *catalogue.Catalogue
	log       Log
	registrar *registrar
	spread    *distribution.Server
	security  security
}

// New opens the VM's state and takes part in the replicated log. Run serves it
// and closes it; a Control that isn't run is closed by Close.
func New(s Settings, logger logrus.FieldLogger) (*Control, error) {
	return newWith(s, logger, nil)
}

// newWith lets a test put itself between the replicas.
func newWith(s Settings, logger logrus.FieldLogger, dial dialFunc) (*Control, error) {
	c := &Control{
		settings:  s,
		logger:    logger.WithField("control", s.Name),
		metrics:   metrics.New(),
		catalogue: catalogue.New(),
	}
	var err error
	if c.security, err = newSecurity(s.TLS, c.logger, c.metrics); err != nil {
		return nil, err
	}
	if dial != nil {
		c.security.dial = dial
	}
	log, err := replica.Open(c.replicaConfig(), c.catalogue)
	if err != nil {
		return nil, errors.Wrap(err, "control: open state")
	}
	c.open(log)
	return c, nil
}

func (c *Control) replicaConfig() replica.Config {
	cfg := replica.Config{
		Folder: c.settings.Folder, Name: c.settings.Name, Listen: c.settings.Replica.Listen,
		Advertise: cmp.Or(c.settings.Replica.Advertise, c.settings.Replica.Listen), Bootstrap: c.settings.Replica.Bootstrap,
		TLS: replica.TLS{Server: c.security.replicas}, Dial: c.security.dial,
		CommandLimit: commandLimit, Log: c.logger, Metrics: c.metrics,
	}
	for _, p := range c.settings.Replica.Peers {
		if p.Name != c.settings.Name {
			cfg.Peers = append(cfg.Peers, p.Address)
		}
	}
	return cfg
}

// open connects the parts that stand on the log.
func (c *Control) open(log Log) {
	c.log = log
	c.registrar = &registrar{vm: c.settings.Name, log: log, now: time.Now, logger: c.logger, metrics: c.metrics}
	c.spread = distribution.NewServer(distribution.ServerConfig{
		Name: c.settings.Name, Source: c, Registrar: c.registrar, TLS: c.security.subscribers,
		Log: c.logger, Metrics: c.metrics,
	})
	c.metrics.Gauge("table_revision", func() int64 { return int64(c.catalogue.Summary().Revision) })
	c.metrics.Gauge("catalogue_version", func() int64 { return int64(c.catalogue.Summary().Version) })
	c.metrics.Gauge("quorum_contact_age_ms", func() int64 { return log.ContactAge().Milliseconds() })
	c.metrics.Gauge("state_clock_ahead_ms", func() int64 { return c.catalogue.ClockAhead(time.Now()).Milliseconds() })
	c.metrics.Text("preset_in_force", func() string { return c.catalogue.Summary().InForce })
}

// Close ends a Control that isn't running.
func (c *Control) Close() error {
	c.spread.Close()
	return c.log.Close()
}

// Metrics returns the VM's counters.
func (c *Control) Metrics() *metrics.Set { return c.metrics }

// Table, Changed and ContactAge make a Control a distribution.Source.
func (c *Control) Table() *table.Table { return c.catalogue.Table() }

// Changed returns a channel that is closed at the next change of Table.
func (c *Control) Changed() <-chan struct{} { return c.catalogue.Changed() }

// ContactAge tells how long ago this VM was in touch with a quorum.
func (c *Control) ContactAge() time.Duration { return c.log.ContactAge() }

// Run serves until ctx is done and requests in progress have ended, or until
// the VM can take no further part, as after a failed sync of its disk.
func (c *Control) Run(ctx context.Context) (err error) {
	defer func() {
		if closeErr := c.Close(); err == nil {
			err = closeErr
		}
	}()
	operators, err := net.Listen("tcp", c.settings.Operators)
	if err != nil {
		return errors.Wrap(err, "control: listen for operators")
	}
	defer operators.Close()
	subscribers, err := net.Listen("tcp", c.settings.Subscribers)
	if err != nil {
		return errors.Wrap(err, "control: listen for subscribers")
	}
	defer subscribers.Close()
	if c.settings.Metrics != "" {
		served, err := c.metrics.Listen(c.settings.Metrics)
		if err != nil {
			return err
		}
		defer served.Close()
	}
	if c.settings.TLS.Absent() {
		events.Log(c.logger, events.UnsecuredControl, nil)
	}
	return c.serve(ctx, operators, subscribers)
}

// serve runs the VM's servers until ctx is done or one of them fails.
func (c *Control) serve(ctx context.Context, operators, subscribers net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		server := &operator.Server{VM: c.settings.Name, Backend: c, TLS: c.security.operators, Log: c.logger, Metrics: c.metrics}
		return server.Serve(ctx, operators)
	})
	group.Go(func() error {
		// Subscribers are told to go elsewhere.
		stop := context.AfterFunc(ctx, c.spread.Close)
		defer stop()
		if err := c.spread.Serve(subscribers); !errors.Is(err, distribution.ErrClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		c.watch(ctx)
		return nil
	})
	group.Go(func() error {
		select {
		case <-ctx.Done():
			return nil
		case <-c.log.Done():
			if cause := c.log.Err(); cause != nil {
				return errors.Wrap(ErrReplicaEnded, cause.Error())
			}
			return ErrReplicaEnded
		}
	})
	if c.security.store != nil {
		group.Go(func() error {
			c.security.store.Watch(ctx, reloadEvery)
			return nil
		})
	}
	return group.Wait()
}

// ErrReplicaEnded is returned by Run where the replica takes no further part.
var ErrReplicaEnded = errors.New("control: the replica has ended")
