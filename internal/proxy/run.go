package proxy

import (
	"context"
	"sync"
	"time"

	"bergamotstall/internal/idempotency"
)

// Run serves other agents until ctx is done, then hands the keys over and ends.
// Its caller drains first, and cancels ctx when InFlight is 0.
func (x *Relay) Run(ctx context.Context) error {
	server, err := x.listenPeers()
	if err != nil {
		return err
	}
	x.peerAddress.Store(server.ln.Addr().String())
	var wait sync.WaitGroup
	wait.Go(server.serve)
	wait.Go(func() { x.watchHealth(ctx) })
	wait.Go(func() { x.sweepKeys(ctx) })
	<-ctx.Done()
	x.draining.Store(true)
	x.background.Wait()
	x.handOverKeys()
	server.stop()
	wait.Wait()
	x.target.close()
	x.peerHTTP.CloseIdleConnections()
	x.frames.forget(nobody)
	return nil
}

// PeerAddress returns the address that Run listens on, empty before.
func (x *Relay) PeerAddress() string {
	address, _ := x.peerAddress.Load().(string)
	return address
}

func (x *Relay) sweepKeys(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			x.keep(func(k *idempotency.Voter, nowMS int64) { k.Sweep(nowMS) })
		}
	}
}
