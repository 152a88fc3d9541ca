package demo

import (
	"context"

	"github.com/go-faster/errors"
)

// runner is any role.
type runner interface {
	// Run returns after a graceful stop once ctx is done.
	Run(ctx context.Context) error
}

// process is one role that runs.
type process struct {
	name   string
	cancel context.CancelFunc
	ended  chan error
}

func start(name string, r runner) *process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{name: name, cancel: cancel, ended: make(chan error, 1)}
	go func() { p.ended <- r.Run(ctx) }()
	return p
}

// stop is a graceful stop; it returns when the role has ended.
func (p *process) stop() error {
	p.cancel()
	if err := <-p.ended; err != nil && !errors.Is(err, context.Canceled) {
		return errors.Wrapf(err, "demo: %s", p.name)
	}
	return nil
}
