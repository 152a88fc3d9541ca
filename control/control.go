// Package control implements the control role, which runs on a few VMs with disks. It
// replicates the catalogue, distributes the table to balancers and agents, and serves
// operators.
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

// maxCommandSize limits one command, in bytes. A definition of 2,100 services with three
// presets that each name every service in 17 data centres takes about 3 MB.
const maxCommandSize = 4 << 20

// Control is one control VM.
type Control struct {
	settings    Settings
	logger      logrus.FieldLogger
	metrics     *metrics.Set
	catalogue   *catalogue.Catalogue
	log         Log
	registrar   *registrar
	distributor *distribution.Server
	security    security
}

// New opens the VM's state and joins the replicated log. Run serves it and closes it; if
// Run isn't called, call Close.
func New(s Settings, logger logrus.FieldLogger) (*Control, error) {
	return newWithDialer(s, logger, nil)
}

// newWithDialer is New with a dialer for the connections to other control VMs. Tests use
// it to simulate partitions.
func newWithDialer(s Settings, logger logrus.FieldLogger, dial dialFunc) (*Control, error) {
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
		return nil, errors.Wrap(err, "control: open replica")
	}
	c.openServices(log)
	return c, nil
}

func (c *Control) replicaConfig() replica.Config {
	cfg := replica.Config{
		Folder: c.settings.Folder, Name: c.settings.Name, Listen: c.settings.Replica.Listen,
		Advertise: cmp.Or(c.settings.Replica.Advertise, c.settings.Replica.Listen), Bootstrap: c.settings.Replica.Bootstrap,
		TLS: replica.TLS{Server: c.security.replicas}, Dial: c.security.dial,
		CommandLimit: maxCommandSize, Log: c.logger, Metrics: c.metrics,
	}
	for _, p := range c.settings.Replica.Peers {
		if p.Name != c.settings.Name {
			cfg.Peers = append(cfg.Peers, p.Address)
		}
	}
	return cfg
}

// openServices sets up the services that use the log.
func (c *Control) openServices(log Log) {
	c.log = log
	c.registrar = &registrar{vm: c.settings.Name, log: log, now: time.Now, logger: c.logger, metrics: c.metrics}
	c.distributor = distribution.NewServer(distribution.ServerConfig{
		Name: c.settings.Name, Source: c, Registrar: c.registrar, TLS: c.security.subscribers,
		Log: c.logger, Metrics: c.metrics,
	})
	c.metrics.Gauge("table_revision", func() int64 { return int64(c.catalogue.Summary().Revision) })
	c.metrics.Gauge("catalogue_version", func() int64 { return int64(c.catalogue.Summary().Version) })
	c.metrics.Gauge("quorum_contact_age_ms", func() int64 { return log.ContactAge().Milliseconds() })
	c.metrics.Gauge("state_clock_ahead_ms", func() int64 { return c.catalogue.ClockAhead(time.Now()).Milliseconds() })
	c.metrics.Text("preset_in_force", func() string { return c.catalogue.Summary().InForce })
}

// Close closes a Control that isn't running.
func (c *Control) Close() error {
	c.distributor.Close()
	return c.log.Close()
}

// Metrics returns the VM's counters.
func (c *Control) Metrics() *metrics.Set { return c.metrics }

// Table implements distribution.Source, together with Changed and ContactAge.
func (c *Control) Table() *table.Table { return c.catalogue.Table() }

// Changed returns a channel that is closed at the next change of Table.
func (c *Control) Changed() <-chan struct{} { return c.catalogue.Changed() }

// ContactAge returns the time since this VM's last contact with a quorum.
func (c *Control) ContactAge() time.Duration { return c.log.ContactAge() }

// Run serves until ctx is done and requests in progress have ended, or until the replica
// has failed, for example after a failed sync of its disk.
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
		// Close tells subscribers to connect to another control VM.
		stop := context.AfterFunc(ctx, c.distributor.Close)
		defer stop()
		if err := c.distributor.Serve(subscribers); !errors.Is(err, distribution.ErrClosed) {
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
			c.security.store.Watch(ctx, certificateReloadInterval)
			return nil
		})
	}
	return group.Wait()
}

// ErrReplicaEnded is returned by Run if the replica has failed.
var ErrReplicaEnded = errors.New("control: the replica has ended")
