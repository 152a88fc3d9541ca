package relay

import "context"

// Run serves other agents until ctx is done.
func (x *Relay) Run(ctx context.Context) error {
	defer x.target.close()
	<-ctx.Done()
	return nil
}
