package membership

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/metrics"
	"bergamotstall/internal/passthrough/flowlog"
	"bergamotstall/internal/passthrough/peer"
	"bergamotstall/internal/passthrough/route"
)

// testTimeout bounds the waits for events that must happen; no result depends on its
// length.
const testTimeout = 20 * time.Second

// streamPort is the TCP port of the streams of all control VMs in these tests.
const streamPort = 7931

var nextSubnet atomic.Uint32

func discardLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// vm is a control VM without a replica: a store and a stream server.
type vm struct {
	ip     string
	store  *route.ReplicatedStore
	server *Server
	stop   context.CancelFunc
	// isolated means that the VM has no contact with a quorum.
	isolated atomic.Bool
	controls []string
	flows    *flowlog.Store
	// sendBufferBytes is the size of the streams' send buffers; 0 means the system's.
	sendBufferBytes int
	// wrap, if set, wraps the listener of the streams; ended is closed when the server has
	// ended.
	wrap  func(net.Listener) net.Listener
	ended chan struct{}
	// serveDelay is how long the server exists before it serves.
	serveDelay time.Duration
}

// sendBufferListener sets the send buffers of the connections that it accepts.
type sendBufferListener struct {
	net.Listener
	bytes int
}

func (l sendBufferListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetWriteBuffer(l.bytes)
}

var errIsolated = errors.New("no quorum")

func (v *vm) Barrier(context.Context) error {
	if v.isolated.Load() {
		return errIsolated
	}
	return nil
}

func (v *vm) ContactAge() time.Duration {
	if v.isolated.Load() {
		return time.Minute
	}
	return 0
}

func (v *vm) Controls() []string { return v.controls }

// startVMs starts control VMs that all name each other.
func startVMs(t *testing.T, n int) []*vm {
	t.Helper()
	net := nextSubnet.Add(1)
	var out []*vm
	var ips []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("127.%d.1.%d", 60+net, i+1))
	}
	for _, ip := range ips {
		v := &vm{ip: ip, store: route.NewReplicatedStore(), controls: ips, flows: flowlog.NewStore()}
		v.start(t)
		out = append(out, v)
	}
	return out
}

func (v *vm) start(t testing.TB) {
	t.Helper()
	ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", v.ip, streamPort))
	if err != nil {
		t.Fatal(err)
	}
	if v.sendBufferBytes > 0 {
		ln = sendBufferListener{ln, v.sendBufferBytes}
	}
	if v.wrap != nil {
		ln = v.wrap(ln)
	}
	ctx, cancel := context.WithCancel(context.Background())
	v.stop = cancel
	v.server = NewServer(ServerConfig{Store: v.store, Source: v, Flows: v.flows, Log: discardLog(), Metrics: metrics.New()})
	time.Sleep(v.serveDelay)
	ended := make(chan struct{})
	v.ended = ended
	go func() {
		defer close(ended)
		if err := v.server.Serve(ctx, ln); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
}

// lists reports whether a VM lists a node, and whether the node has a stream to it.
func (v *vm) lists(address string) (listed, attached bool) {
	v.server.mu.Lock()
	defer v.server.mu.Unlock()
	l := v.server.nodes[address]
	listed = l != nil && !l.retired
	return listed, listed && l.streams > 0
}

// put commits a version at a VM.
func (v *vm) put(t *testing.T, version route.Version) {
	t.Helper()
	command, err := route.Command(&route.Definition{Version: version})
	if err != nil {
		t.Fatal(err)
	}
	v.store.Apply(1, command)
}

// order commits an evacuation or its withdrawal at a VM.
func (v *vm) order(t *testing.T, zone string, evacuate bool) {
	t.Helper()
	o := route.EvacuationOrder{Zone: zone, Evacuate: evacuate, SeenRevision: v.store.Evacuations().Revision}
	command, err := o.Command()
	if err != nil {
		t.Fatal(err)
	}
	v.store.Apply(1, command)
}

// node is a balancer or agent of a test.
type node struct {
	client *Client
	mu     sync.Mutex
	tables []route.Version
	// evacuated are the data centres of the last call of OnEvacuations; tableFirst means that
	// a table came before the first such call.
	evacuated  []string
	tableFirst bool
	agents     map[netip.AddrPort]ListedAgent
	changes    int
	metrics    *metrics.Set
	recalled   []flowlog.Update
	stop       context.CancelFunc
}

func startNode(t *testing.T, role Role, name string, seeds ...*vm) *node {
	t.Helper()
	n := &node{metrics: metrics.New(), agents: map[netip.AddrPort]ListedAgent{}}
	n.client = NewClient(ClientConfig{
		Node: Node{Role: role, Address: name, Process: 1}, Port: streamPort, Log: discardLog(), Meter: peer.NewMeter(n.metrics),
		Seeds: func() []string {
			var out []string
			for _, v := range seeds {
				out = append(out, v.ip)
			}
			return out
		},
		OnFlowRecords: func(u flowlog.Update) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.recalled = append(n.recalled, u)
		},
		OnTable: func(table *route.Table) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.tables = append(n.tables, table.Version)
			n.tableFirst = n.tableFirst || n.evacuated == nil
		},
		OnEvacuations: func(zones []string) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.evacuated = append([]string{}, zones...)
		},
		OnAgents: func(c Changes) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.changes += len(c.Present) + len(c.Gone) + len(c.Retired)
			for _, a := range c.Present {
				n.agents[a.Address] = a
			}
			for _, at := range append(c.Gone, c.Retired...) {
				delete(n.agents, at)
			}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		n.client.Run(ctx)
	}()
	n.stop = func() {
		cancel()
		<-ended
	}
	t.Cleanup(n.stop)
	return n
}

func (n *node) seen() []route.Version {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]route.Version(nil), n.tables...)
}

func (n *node) listed() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.agents)
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timeout waiting for %s", what)
		}
	}
}

// Guards against a node that doesn't find the other control VMs from a single seed, or
// misses a new definition.
func TestNodeFollowsTheDefinition(t *testing.T) {
	is := is.New(t)
	all := startVMs(t, 3)
	for _, v := range all {
		v.put(t, 1)
	}
	n := startNode(t, Balancer, "10.0.0.1:1", all[0])
	await(t, "three control VMs", func() bool { return n.client.LiveControls() == 3 })
	for _, v := range all {
		v.put(t, 2)
	}
	await(t, "version 2", func() bool { return n.client.Version() == 2 })
	is.Equal(n.seen(), []route.Version{1, 2})
}

// Guards against a node that starts and serves by the definition of a control VM that is
// cut off, which can't know whether it has the newest.
func TestNodeIgnoresUnconfirmedTable(t *testing.T) {
	is := is.New(t)
	all := startVMs(t, 1)
	all[0].put(t, 1)
	all[0].isolated.Store(true)
	n := startNode(t, Balancer, "10.0.0.1:1", all[0])
	await(t, "a stream", func() bool { return n.client.LiveControls() == 1 })
	time.Sleep(3 * pushInterval)
	is.Equal(len(n.seen()), 0)
	all[0].isolated.Store(false)
	await(t, "the table", func() bool { return n.client.Version() == 1 })
}

// Guards against a node that stays at an old version because its table source was cut
// off. It must get the newer version from another VM, and never go back although the
// first still announces the older one.
func TestNodeUsesTheNewestVersion(t *testing.T) {
	is := is.New(t)
	all := startVMs(t, 3)
	for _, v := range all {
		v.put(t, 1)
	}
	n := startNode(t, Balancer, "10.0.0.1:1", all...)
	await(t, "streams", func() bool { return n.client.LiveControls() == 3 && n.client.Version() == 1 })
	n.client.mu.Lock()
	source := n.client.tableSource
	n.client.mu.Unlock()
	for _, v := range all {
		if v.ip == source {
			v.isolated.Store(true)
		} else {
			v.put(t, 2)
		}
	}
	await(t, "version 2", func() bool { return n.client.Version() == 2 })
	time.Sleep(3 * HeartbeatInterval)
	is.Equal(n.seen(), []route.Version{1, 2})
}

// Guards against full tables from every control VM at a start, and for each change of one
// route.
func TestTableIsSentOnce(t *testing.T) {
	is := is.New(t)
	all := startVMs(t, 5)
	put := func(version route.Version, timeout uint32) {
		d := &route.Definition{Version: version, Services: []route.Service{{Name: "desk"}}}
		for n := range 1000 {
			d.Routes = append(d.Routes, route.Route{
				IP: [4]byte{198, 18, byte(n >> 8), byte(n)}, Port: 443, TimeoutMS: 1000, Backends: []route.Backend{{Service: "desk", Weight: 1}},
			})
		}
		d.Routes[0].TimeoutMS = timeout
		command, err := route.Command(d)
		is.NoErr(err)
		for _, v := range all {
			v.store.Apply(1, command)
		}
	}
	put(1, 1000)
	whole, err := all[0].store.Current().Since(0)
	is.NoErr(err)
	n := startNode(t, Balancer, "10.0.0.1:1", all...)
	await(t, "streams and a table", func() bool { return n.client.LiveControls() == 5 && n.client.Version() == 1 })
	for version := route.Version(2); version <= 6; version++ {
		put(version, uint32(version))
		await(t, "the next version", func() bool { return n.client.Version() == version })
	}
	time.Sleep(3 * HeartbeatInterval)
	if got := n.metrics.Value("bytes_in_control"); got > int64(len(whole))*3/2 {
		t.Errorf("%d bytes received; a whole table takes %d", got, len(whole))
	}
}

// Guards against a balancer that still places flows by a table that was replaced long
// ago.
func TestInTouch(t *testing.T) {
	is := is.New(t)
	c := NewClient(ClientConfig{Node: Node{Role: Balancer}, Log: discardLog()})
	now := time.Now()
	is.True(!c.TableCurrent(now)) // no VM was ever heard
	s := newClientStream("a")
	c.streams["a"] = s
	s.heardAt, s.version, s.versionAt = now, 7, now
	c.version = 7
	is.True(c.TableCurrent(now))
	s.contactAge = time.Minute // its VM has lost the quorum: no version can be accepted
	is.True(c.TableCurrent(now))
	is.True(!c.TableCurrent(now.Add(maxSilence)))
	s.version = 8
	is.True(c.TableCurrent(now))
	s.heardAt = now.Add(2 * maxTableLag)
	is.True(!c.TableCurrent(now.Add(2 * maxTableLag)))
	c.version = 8
	is.True(c.TableCurrent(now.Add(2 * maxTableLag)))
}

// Guards against a table for each version of a burst: a node gets at most ten a second,
// and the newest in the end.
func TestBurstOfVersionsIsCombined(t *testing.T) {
	all := startVMs(t, 1)
	all[0].put(t, 1)
	n := startNode(t, Balancer, "10.0.0.1:1", all[0])
	await(t, "version 1", func() bool { return n.client.Version() == 1 })
	for v := route.Version(2); v <= 200; v++ {
		all[0].put(t, v)
		time.Sleep(2 * time.Millisecond)
	}
	await(t, "the newest", func() bool { return n.client.Version() == 200 })
	if got := len(n.seen()); got > 40 {
		t.Errorf("%d tables for 200 versions in half a second", got)
	}
}

// Guards against a node that hangs on a peer that accepts connections and sends nothing.
// It must drop such a stream and use the other VMs.
func TestSilentPeerTimesOut(t *testing.T) {
	is := is.New(t)
	all := startVMs(t, 1)
	all[0].put(t, 1)
	silent := &vm{ip: fmt.Sprintf("127.%d.1.9", 60+nextSubnet.Load())}
	ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", silent.ip, streamPort))
	is.NoErr(err)
	defer ln.Close()
	var accepted atomic.Int32
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			defer conn.Close()
		}
	}()
	n := startNode(t, Balancer, "10.0.0.1:1", silent, all[0])
	await(t, "the table", func() bool { return n.client.Version() == 1 })
	await(t, "a second connection", func() bool { return accepted.Load() >= 2 })
}

// Guards against flow records that are lost when an agent restarts. Every control VM must
// return what it holds before the new process's report replaces it, and a VM that is
// connected later must get all flows.
func TestFlowRecordsSurviveARestart(t *testing.T) {
	is := is.New(t)
	all := startVMs(t, 2)
	first := startNode(t, Agent, "10.0.0.9:1", all...)
	await(t, "streams", func() bool { return first.client.LiveControls() == 2 })
	held := flowlog.Update{Target: "i-1", Born: 5, Whole: true, Opened: []flowlog.Record{{ClientPort: 1}, {ClientPort: 2}}}
	first.client.ReportFlows(flowlog.Update{}, false, func() flowlog.Update { return held })
	remembers := func(n int) func() bool {
		return func() bool {
			for _, v := range all {
				if u, _ := v.flows.Recall("10.0.0.9:1"); len(u.Opened) != n {
					return false
				}
			}
			return true
		}
	}
	await(t, "both VMs to hold the flows", remembers(2))
	ended := flowlog.Update{Target: "i-1", Born: 5, Ended: []flowlog.Record{{ClientPort: 1}}}
	first.client.ReportFlows(ended, true, func() flowlog.Update {
		t.Error("all flows requested")
		return held
	})
	await(t, "the end of one flow", remembers(1))
	first.stop()

	second := startNode(t, Agent, "10.0.0.9:1", all...)
	await(t, "flow records from both VMs", func() bool {
		second.mu.Lock()
		defer second.mu.Unlock()
		return len(second.recalled) == 2
	})
	is.Equal(second.recalled[0].Opened, []flowlog.Record{{ClientPort: 2}})
	is.Equal(second.recalled[0].Target, "i-1")
}
