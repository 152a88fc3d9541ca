package membership

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"

	"bergamotstall/internal/framing"
)

// Guards against a first table from two control VMs: the first update of another VM
// arrives while the VM that was asked for the table is still being sent the request.
func TestFirstTableIsRequestedFromOneVM(t *testing.T) {
	is := is.New(t)
	c := NewClient(ClientConfig{Node: Node{Role: Balancer}, Log: discardLog()})
	asked, other := newClientStream("a"), newClientStream("b")
	local, remote := net.Pipe() // writes block until the other end reads
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- c.serveStream(ctx, asked, local) }()
	source := func() string {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.tableSource
	}
	await(t, "the choice of a source", func() bool { return source() == "a" })

	c.applyUpdate(other, Update{Version: 1, Confirmed: true})
	is.Equal(source(), "a")
	is.True(!c.heartbeat(other).WantTables)

	h, err := readHello(framing.NewConn(remote, maxFrameBytes, writeTimeout))
	is.NoErr(err)
	is.True(h.Heartbeat.WantTables)
	cancel()
	is.True(<-ended != nil)
	c.applyUpdate(other, Update{Version: 1, Confirmed: true})
	is.Equal(source(), "b") // the stream of the source has ended
}
