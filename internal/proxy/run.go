package proxy

import (
	"context"
	"sync"
	"time"

	"bergamotstall/internal/idempotency"
)

// Run serves other agents until ctx is done, then hands this agent's idempotency records
// over to them and returns. The caller first calls Drain, and cancels ctx when InFlight
// is 0.
func (x *Proxy) Run(ctx context.Context) error {
	server, err := x.listenPeers()
	if err != nil {
		return err
	}
	x.peerAddress.Store(server.ln.Addr().String())
	var wait sync.WaitGroup
	wait.Go(server.serve)
	wait.Go(func() { x.watchHealth(ctx) })
	wait.Go(func() { x.sweepRecords(ctx) })
	<-ctx.Done()
	x.draining.Store(true)
	x.background.Wait()
	x.handOverRecords()
	server.stop()
	wait.Wait()
	x.target.close()
	x.peerHTTP.CloseIdleConnections()
	x.frames.closeIdle(noAgent)
	return nil
}

// PeerAddress returns the address that Run listens on, or "" before Run.
func (x *Proxy) PeerAddress() string {
	address, _ := x.peerAddress.Load().(string)
	return address
}

func (x *Proxy) sweepRecords(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			x.withVoter(func(v *idempotency.Voter, nowMS int64) { v.Sweep(nowMS) })
		}
	}
}
