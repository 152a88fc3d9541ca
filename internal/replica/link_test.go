package replica

import (
	"context"
	"net"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// Guards against delayed votes: a dial that began while the peer had no power would block
// until its timeout although the peer is up again. A connection from the peer must cancel
// the dial.
func TestDialIsCancelledWhenPeerConnects(t *testing.T) {
	is := is.New(t)
	dialled := make(chan struct{})
	r := &Replica{cfg: Config{Dial: func(ctx context.Context, _ string) (net.Conn, error) {
		close(dialled)
		<-ctx.Done()
		return nil, ctx.Err()
	}}}
	l := newLinks(r)
	defer l.close()
	k := &link{links: l, replica: 7, wake: make(chan struct{}, 1)}
	l.byReplica[7] = k
	ended := make(chan error, 1)
	go func() {
		_, err := k.dial()
		ended <- err
	}()
	<-dialled
	l.recordAddress(7, "10.0.0.7:1")
	is.True(errors.Is(<-ended, errPeerConnected))
}
