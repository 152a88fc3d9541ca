package membership

import (
	"context"
	"net"
	"testing"
	"time"

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

// Guards against a node that waits for a table whose transfer has stopped.
func TestStalledTableIsRequestedFromAnotherVM(t *testing.T) {
	is := is.New(t)
	c := NewClient(ClientConfig{Node: Node{Role: Balancer}, Log: discardLog()})
	stalled, other := newClientStream("a"), newClientStream("b")
	local, remote := net.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = c.serveStream(ctx, stalled, local) }()
	_, err := readHello(framing.NewConn(remote, maxFrameBytes, writeTimeout))
	is.NoErr(err)
	go func() { _, _ = remote.Write([]byte{0, 0, 1, 0, byte(kindUpdate), 0}) }() // the start of a frame
	receiving := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return stalled.receiving()
	}
	await(t, "the start of the table", receiving)
	c.applyUpdate(other, Update{Version: 1, Confirmed: true})
	time.Sleep(2 * tableTimeout)
	c.applyUpdate(other, Update{Version: 1, Confirmed: true})
	is.True(c.heartbeat(other).WantTables)
}

// Guards against a second table because the VM that was asked for the first one answers
// late: it has tableTimeout from when another VM announces a version, and no more.
func TestSourceThatAnswersLateIsKept(t *testing.T) {
	is := is.New(t)
	c := NewClient(ClientConfig{Node: Node{Role: Balancer}, Log: discardLog()})
	late, other := newClientStream("a"), newClientStream("b")
	is.True(c.openStream(late).Heartbeat.WantTables)
	time.Sleep(2 * tableTimeout)
	c.openStream(other)
	c.applyUpdate(other, Update{Version: 1, Confirmed: true})
	is.True(!c.heartbeat(other).WantTables)
	time.Sleep(2 * tableTimeout)
	c.applyUpdate(other, Update{Version: 1, Confirmed: true})
	is.True(c.heartbeat(other).WantTables)
}
