// Package control is the role of the few VMs with disks: the replicated
// catalogue, the distribution of the table to balancers and agents, and the
// operators' protocol.
package control

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"bergamotstall/internal/catalogue"
	"bergamotstall/internal/events"
	"bergamotstall/internal/metrics"
	"bergamotstall/internal/operator"
	"bergamotstall/internal/table"
)

// Control is one control VM.
type Control struct {
	settings  Settings
	logger    logrus.FieldLogger
	metrics   *metrics.Set
	catalogue *catalogue.Catalogue
	log       Log
	registrar *registrar
}

// New opens the VM's state. Run serves it.
func New(s Settings, logger logrus.FieldLogger) (*Control, error) {
	c := &Control{
		settings:  s,
		logger:    logger.WithField("control", s.Name),
		metrics:   metrics.New(),
		catalogue: catalogue.New(),
	}
	c.open(newSolo(c.catalogue))
	return c, nil
}

// open connects the parts that stand on the log.
func (c *Control) open(log Log) {
	c.log = log
	c.registrar = &registrar{vm: c.settings.Name, log: log, now: time.Now, logger: c.logger, metrics: c.metrics}
	c.metrics.Gauge("table_revision", func() int64 { return int64(c.catalogue.Summary().Revision) })
	c.metrics.Gauge("catalogue_version", func() int64 { return int64(c.catalogue.Summary().Version) })
	c.metrics.Gauge("quorum_contact_age_ms", func() int64 { return log.ContactAge().Milliseconds() })
	c.metrics.Text("preset_in_force", func() string { return c.catalogue.Summary().InForce })
}

// Metrics returns the VM's counters.
func (c *Control) Metrics() *metrics.Set { return c.metrics }

// Table, Changed and ContactAge make a Control a spread.Source.
func (c *Control) Table() *table.Table { return c.catalogue.Table() }

// Changed returns a channel that is closed at the next change of Table.
func (c *Control) Changed() <-chan struct{} { return c.catalogue.Changed() }

// ContactAge tells how long ago this VM was in touch with a quorum.
func (c *Control) ContactAge() time.Duration { return c.log.ContactAge() }

// Run serves until ctx is done and requests in progress have ended.
func (c *Control) Run(ctx context.Context) error {
	operators, err := net.Listen("tcp", c.settings.Operators)
	if err != nil {
		return errors.Wrap(err, "control: listen for operators")
	}
	defer operators.Close()
	if c.settings.Metrics != "" {
		served, err := c.metrics.Listen(c.settings.Metrics)
		if err != nil {
			return err
		}
		defer served.Close()
	}
	if c.settings.TLS == nil {
		events.Log(c.logger, events.UnsecuredControl, nil)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		server := &operator.Server{VM: c.settings.Name, Backend: c, Log: c.logger, Metrics: c.metrics}
		return server.Serve(ctx, operators)
	})
	group.Go(func() error {
		c.watch(ctx)
		return nil
	})
	return group.Wait()
}
