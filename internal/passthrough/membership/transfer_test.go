package membership

import (
	"fmt"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/framing"
	"bergamotstall/internal/passthrough/flowlog"
	"bergamotstall/internal/passthrough/route"
)

// longDelivery is a latency over which several heartbeats are sent before the answer to
// the first arrives.
const longDelivery = 900 * time.Millisecond

// putRoutes commits a version with a number of routes at a VM, and returns the size of
// its whole table in bytes.
func (v *vm) putRoutes(t *testing.T, version route.Version, routes int) int64 {
	t.Helper()
	d := &route.Definition{Version: version, Services: []route.Service{{Name: "desk"}}}
	for n := range routes {
		d.Routes = append(d.Routes, route.Route{
			IP: [4]byte{198, 18, byte(n >> 8), byte(n)}, Port: 443, TimeoutMS: uint32(version), Backends: []route.Backend{{Service: "desk", Weight: 1}},
		})
	}
	command, err := route.Command(d)
	if err != nil {
		t.Fatal(err)
	}
	v.store.Apply(1, command)
	whole, err := v.store.Current().Since(0)
	if err != nil {
		t.Fatal(err)
	}
	return int64(len(whole))
}

// Guards against a table that is sent again because the node's heartbeats, written before
// it arrived, name an older version.
func TestTableInTransitIsNotSentAgain(t *testing.T) {
	all := startVMs(t, 1)
	l := &link{latency: longDelivery}
	seeds := l.attach(t, all)
	whole := all[0].putRoutes(t, 1, 1000)
	n := startNode(t, Balancer, "10.0.0.1:1", seeds...)
	await(t, "the table", func() bool { return n.client.Version() == 1 })
	whole += all[0].putRoutes(t, 2, 1000)
	await(t, "the next table", func() bool { return n.client.Version() == 2 })
	time.Sleep(3 * HeartbeatInterval)
	if got := l.sent.Load(); got > whole*3/2 {
		t.Errorf("%d bytes sent; both tables take %d", got, whole)
	}
}

// Guards against a list of agents that is sent again because the node's heartbeats,
// written before it arrived, name an older state of the list.
func TestListInTransitIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	all := startVMs(t, 1)
	l := &link{latency: longDelivery}
	seeds := l.attach(t, all)
	for n := range 30 {
		startNode(t, Agent, fmt.Sprintf("10.0.1.%d:1", n), seeds...)
	}
	listed := func() int {
		all[0].server.mu.Lock()
		defer all[0].server.mu.Unlock()
		return len(all[0].server.nodes)
	}
	await(t, "all agents", func() bool { return listed() == 30 })
	balancer := startNode(t, Balancer, "10.0.0.9:1", seeds...)
	await(t, "the list", func() bool { return balancer.listed() == 30 })
	startNode(t, Agent, "10.0.2.1:1", seeds...)
	await(t, "one more", func() bool { return balancer.listed() == 31 })
	time.Sleep(longDelivery + 3*HeartbeatInterval)
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	is.Equal(balancer.changes, 31)
}

// Guards against evacuations that are sent again because the node's heartbeats, written
// before they arrived, name an older revision.
func TestEvacuationsInTransitAreNotSentAgain(t *testing.T) {
	const zones, zoneNameBytes = 200, 60
	all := startVMs(t, 1)
	l := &link{latency: longDelivery}
	seeds := l.attach(t, all)
	for n := range zones {
		all[0].order(t, fmt.Sprintf("%0*d", zoneNameBytes, n), true)
	}
	n := startNode(t, Balancer, "10.0.0.1:1", seeds...)
	await(t, "the evacuations", func() bool { return len(n.evacuatedZones()) == zones })
	time.Sleep(3 * HeartbeatInterval)
	if got := l.sent.Load(); got > zones*zoneNameBytes*3/2 {
		t.Errorf("%d bytes sent; the evacuations take %d", got, zones*zoneNameBytes)
	}
}

// Guards against a node that stays without a table: one that couldn't apply an update, or
// one of a build that doesn't acknowledge updates.
func TestTableIsSentAgainOnRequest(t *testing.T) {
	for name, acknowledges := range map[string]bool{"acknowledging": true, "not acknowledging": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			all := startVMs(t, 1)
			all[0].putRoutes(t, 1, 10)
			raw, err := net.Dial("tcp", net.JoinHostPort(all[0].ip, strconv.Itoa(streamPort)))
			is.NoErr(err)
			defer raw.Close()
			conn := framing.NewConn(idleTimeoutConn{raw}, maxFrameBytes, writeTimeout)
			missing := Heartbeat{WantTables: true}
			_, err = conn.Write(kindHello, &Hello{Node: Node{Role: Agent, Address: "10.0.0.1:1", Process: 1}, Heartbeat: missing, Acknowledges: acknowledges})
			is.NoErr(err)
			u := awaitTable(t, conn)
			if acknowledges {
				missing.Received = u.Number
			}
			_, err = conn.Write(kindHeartbeat, &missing)
			is.NoErr(err)
			is.Equal(awaitTable(t, conn).Version, u.Version)
		})
	}
}

// Guards against a table that is sent more than once over a slow link, or never arrives.
func TestWholeTableIsSentOnceOverSlowLink(t *testing.T) {
	for name, c := range map[string]struct {
		controls int
		link     *link
	}{
		// Other VMs are asked while the first one's table arrives.
		"longer than tableTimeout": {5, &link{bytesPerSecond: 20_000}},
		// Other VMs announce the version before the table of the first one arrives.
		"late answer": {5, &link{latency: longDelivery}},
		// The stream ends while the table arrives, and the next one begins anew.
		"longer than streamTimeout": {1, &link{bytesPerSecond: 7_000}},
	} {
		t.Run(name, func(t *testing.T) {
			all := startVMs(t, c.controls)
			seeds := c.link.attach(t, all)
			var whole int64
			for _, v := range all {
				whole = v.putRoutes(t, 1, 1000)
			}
			n := startNode(t, Balancer, "10.0.0.1:1", seeds...)
			await(t, "the table", func() bool { return n.client.Version() == 1 })
			time.Sleep(3 * HeartbeatInterval)
			if got := c.link.sent.Load(); got > whole*3/2 {
				t.Errorf("%d bytes sent; a whole table takes %d", got, whole)
			}
		})
	}
}

// Guards against a node that never gets a table because the VM's send buffer doesn't hold
// it: a write must not time out while the link takes data.
func TestTableLargerThanSendBuffer(t *testing.T) {
	v := &vm{
		ip: fmt.Sprintf("127.%d.1.1", 60+nextSubnet.Add(1)), store: route.NewReplicatedStore(), flows: flowlog.NewStore(),
		sendBufferBytes: 32 << 10,
	}
	v.start(t)
	l := &link{bytesPerSecond: 200_000, bufferBytes: 16 << 10}
	seeds := l.attach(t, []*vm{v})
	v.putRoutes(t, 1, 22_000) // about 400 kB, which take two seconds
	n := startNode(t, Balancer, "10.0.0.1:1", seeds...)
	await(t, "the table", func() bool { return n.client.Version() == 1 })
}
