package balancer

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/passthrough/forward"
	"bergamotstall/internal/wait"
)

const (
	// linkPressureInterval is the time between two log lines on the link and its bulk flows.
	linkPressureInterval = 2 * time.Second
	// loggedDelay is the delay of the link from which it is logged.
	loggedDelay = 20 * time.Millisecond
)

// publishLinkPressure publishes gauges of the link and its bulk flows.
func (b *Balancer) publishLinkPressure() {
	gauge := func(name string, read func(forward.LinkPressure) int) {
		b.cfg.Metrics.Gauge(name, func() int64 { return int64(read(b.linkPressure())) })
	}
	gauge("pass_link_delay_ms", func(p forward.LinkPressure) int { return int(p.Delay.Milliseconds()) })
	gauge("pass_bulk_in_progress", func(p forward.LinkPressure) int { return p.Bulk.InProgress })
	gauge("pass_bulk_limit", func(p forward.LinkPressure) int { return p.Bulk.Limit })
	gauge("pass_bulk_waiting", func(p forward.LinkPressure) int { return p.Bulk.Waiting })
}

func (b *Balancer) linkPressure() forward.LinkPressure {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.engine.LinkPressure(b.now())
}

// logLinkPressure logs the state of the link while it is delayed or bulk flows use it.
func (b *Balancer) logLinkPressure(ctx context.Context) {
	for wait.For(ctx, linkPressureInterval) {
		p := b.linkPressure()
		if p.Bulk.InProgress+p.Bulk.Waiting == 0 && p.Delay < loggedDelay {
			continue
		}
		events.Log(b.cfg.Log, events.LinkPressure, logrus.Fields{
			"delay_ms": p.Delay.Milliseconds(), "bulk_in_progress": p.Bulk.InProgress, "bulk_limit": p.Bulk.Limit,
			"bulk_quiet": p.Bulk.Quiet, "bulk_waiting": p.Bulk.Waiting, "bulk_mean_ms": p.Bulk.Mean.Milliseconds(),
		})
	}
}
