package distribution

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/framing"
	"bergamotstall/internal/metrics"
	"bergamotstall/internal/table"
)

// fakeControl is a fake control VM: Source and Registrar in one.
type fakeControl struct {
	mu      sync.Mutex
	table   *table.Table
	changed chan struct{}
	// contact is the time of the last contact with a quorum; zero means always now.
	contact time.Time
	fail    bool

	agents      map[string]Announcement
	next        table.AgentNumber
	numbers     map[string]table.AgentNumber
	silent      []Silence
	transitions int
}

func newFakeControl(t *table.Table) *fakeControl {
	return &fakeControl{
		table: t, changed: make(chan struct{}),
		agents: map[string]Announcement{}, numbers: map[string]table.AgentNumber{}, next: 1000,
	}
}

func (f *fakeControl) Table() *table.Table {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table
}

func (f *fakeControl) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *fakeControl) ContactAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.contact.IsZero() {
		return 0
	}
	return time.Since(f.contact)
}

func (f *fakeControl) setContact(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.contact = at
}

func (f *fakeControl) set(t *table.Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table = t
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeControl) AnnounceAgent(_ context.Context, a Announcement) (table.AgentNumber, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fail {
		return 0, errors.New("no quorum")
	}
	key := fmt.Sprintf("%s/%d", a.Name, a.Incarnation)
	if f.numbers[key] == 0 {
		f.next++
		f.numbers[key] = f.next
		f.transitions++
	}
	if old := f.agents[a.Name]; old.Incarnation != a.Incarnation || old.Attachment < a.Attachment {
		f.agents[a.Name] = a
	}
	return f.numbers[key], nil
}

func (f *fakeControl) AnnounceBalancer(ctx context.Context, a Announcement) error {
	_, err := f.AnnounceAgent(ctx, a)
	return err
}

// AgentSilent ignores reports that are void by the contract of Silence.
func (f *fakeControl) AgentSilent(_ context.Context, s Silence) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fail {
		return errors.New("no quorum")
	}
	a := f.agents[s.Name]
	if a.Incarnation != s.Incarnation || a.Attachment > s.Attachment {
		return nil
	}
	f.silent = append(f.silent, s)
	return nil
}

func (f *fakeControl) BalancerSilent(ctx context.Context, s Silence) error {
	return f.AgentSilent(ctx, s)
}

func (f *fakeControl) announced(name string) Announcement {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.agents[name]
}

func (f *fakeControl) silenced() []Silence {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.silent)
}

// smallTable returns a table with two services and ten hosts.
func smallTable(revision table.Revision) *table.Table {
	t := &table.Table{Revision: revision, Preset: "ordinary", Keys: []table.KeySet{{Generation: 1, ConnID: make([]byte, 16)}}}
	t.Services = []table.Service{
		{ID: 1, Name: "commissions", Address: "127.0.0.1:4433"},
		{ID: 2, Name: "cartoons", Address: "127.0.0.1:4434"},
	}
	for i := range 10 {
		service := table.ServiceID(1 + i/7)
		t.Targets = append(t.Targets, table.Target{
			Agent: table.AgentNumber(i + 1), Service: service, Host: fmt.Sprintf("host-%d", i), DataCentre: "brescia-fornace",
			Tunnel: fmt.Sprintf("127.0.1.%d:7001", i+1), Peer: fmt.Sprintf("127.0.1.%d:7002", i+1),
			Slots: 7, Connections: 2000, Weight: 100, PreviousWeight: 100, JoinedAtMS: 1, State: table.Active,
		})
	}
	for i := range 3 {
		t.Balancers = append(t.Balancers, table.Balancer{Name: fmt.Sprintf("balancer-%d", i), Tunnel: fmt.Sprintf("127.0.2.%d:7000", i+1)})
	}
	return t
}

// withWeight returns the next revision, in which one target's weight differs.
func withWeight(t *table.Table, index int, weight uint32) *table.Table {
	next := *t
	next.Revision++
	next.Targets = slices.Clone(t.Targets)
	next.Targets[index].PreviousWeight = next.Targets[index].Weight
	next.Targets[index].Weight = weight
	return &next
}

func discardLog() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// testHeartbeatInterval is short to keep tests fast; three missed heartbeats end a stream.
const testHeartbeatInterval = 100 * time.Millisecond

// testServer is a running server with its fake control.
type testServer struct {
	*Server
	control *fakeControl
	address string
	metrics *metrics.Set
}

func serveControl(t testing.TB, control *fakeControl, change func(*ServerConfig)) *testServer {
	t.Helper()
	return serveAt(t, "127.0.0.1:0", control, change)
}

func serveAt(t testing.TB, address string, control *fakeControl, change func(*ServerConfig)) *testServer {
	t.Helper()
	m := metrics.New()
	cfg := ServerConfig{Name: "control-1", Source: control, Registrar: control, HeartbeatInterval: testHeartbeatInterval, Log: discardLog(), Metrics: m}
	if change != nil {
		change(&cfg)
	}
	s := NewServer(cfg)
	ln, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(ln) }()
	t.Cleanup(func() { s.Close(); <-done })
	return &testServer{Server: s, control: control, address: ln.Addr().String(), metrics: m}
}

// testClient is a running client with the tables that it applied.
type testClient struct {
	*Client
	metrics *metrics.Set
	stop    func()

	mu      sync.Mutex
	applied []*table.Table
	// onApply, if set, is called with tables instead of adding them to applied.
	onApply func(*table.Table) error
}

func (f *testClient) tables() []*table.Table {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.applied)
}

func (f *testClient) latest() *table.Table {
	all := f.tables()
	if len(all) == 0 {
		return &table.Table{}
	}
	return all[len(all)-1]
}

func (f *testClient) revisionDecreases() int {
	n := 0
	all := f.tables()
	for i := 1; i < len(all); i++ {
		if all[i].Revision < all[i-1].Revision {
			n++
		}
	}
	return n
}

func startClient(t testing.TB, name string, change func(*ClientConfig), controls ...string) *testClient {
	t.Helper()
	m := metrics.New()
	cfg := ClientConfig{
		Controls: controls, Role: RoleBalancer, HeartbeatInterval: testHeartbeatInterval, Seed: 1, Log: discardLog(), Metrics: m,
		Announcement: Announcement{Name: name, Incarnation: 1, DataCentre: "brescia-fornace", Tunnel: "127.0.0.1:7000"},
	}
	if change != nil {
		change(&cfg)
	}
	f := &testClient{metrics: m}
	f.Client = NewClient(cfg, func(tb *table.Table) error {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.onApply != nil {
			return f.onApply(tb)
		}
		f.applied = append(f.applied, tb)
		return nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Run(ctx) }()
	f.stop = sync.OnceFunc(func() { cancel(); <-done })
	t.Cleanup(f.stop)
	return f
}

// asAgent changes a client's configuration to that of an agent.
func asAgent(service string) func(*ClientConfig) {
	return func(c *ClientConfig) {
		c.Role = RoleAgent
		c.Announcement.Service = service
		c.Announcement.Host = c.Announcement.Name
	}
}

// eventually polls until ok returns true. The limit is generous, as no test may depend on
// speed.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(60 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after a minute waiting for: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// tcpForwarder is a TCP forwarder that can go silent without a FIN, as when a VM loses power
// or a device on the path loses its connection state.
type tcpForwarder struct {
	address string
	frozen  atomic.Bool
}

func newTCPForwarder(t testing.TB, target string) *tcpForwarder {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	r := &tcpForwarder{address: ln.Addr().String()}
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				_ = near.Close()
				continue
			}
			t.Cleanup(func() { _ = near.Close(); _ = far.Close() })
			go r.copy(near, far)
			go r.copy(far, near)
		}
	}()
	return r
}

// copy copies data. While the forwarder is frozen it drops everything, FINs included.
func (r *tcpForwarder) copy(from, to net.Conn) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if r.frozen.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			_, _ = to.Write(buf[:n])
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// largeTable returns a table with the given number of hosts in 17 data centres.
func largeTable(revision table.Revision, hosts int) *table.Table {
	r := rand.New(rand.NewPCG(1, uint64(hosts)))
	t := &table.Table{Revision: revision, Preset: "ordinary", Keys: smallTable(1).Keys}
	for i := range max(1, hosts*2100/12000) {
		t.Services = append(t.Services, table.Service{
			ID: table.ServiceID(i + 1), Name: fmt.Sprintf("service-%d", i), Address: fmt.Sprintf("10.200.%d.%d:443", i/250, i%250+1),
			FlowLimit: 2000, QueueLimit: 64, RetryPercent: 10, KeyWindowMS: 86_400_000,
		})
	}
	const now = 1_796_000_000_000
	var agent table.AgentNumber
	for i := range hosts {
		agent += table.AgentNumber(1 + r.IntN(8))
		centre := r.IntN(17)
		ip := fmt.Sprintf("10.%d.%d.%d", centre, r.IntN(4), 1+r.IntN(250))
		t.Targets = append(t.Targets, table.Target{
			Agent: agent, Service: table.ServiceID(1 + i%len(t.Services)), Host: fmt.Sprintf("host-%05d", r.IntN(2*hosts)),
			DataCentre: fmt.Sprintf("region-%d-dc-%02d", centre/4, centre), Tunnel: ip + ":7001", Peer: ip + ":7002",
			Slots: []int{4, 7}[r.IntN(2)], Connections: 2000, Weight: 100, PreviousWeight: 100, State: table.Active,
			ChangedAtMS: now - r.Int64N(5*86_400_000), JoinedAtMS: now - r.Int64N(30*86_400_000),
		})
	}
	for i := range hosts / 10 {
		centre := r.IntN(17)
		t.Balancers = append(t.Balancers, table.Balancer{
			Name: fmt.Sprintf("balancer-%04d", i), DataCentre: fmt.Sprintf("region-%d-dc-%02d", centre/4, centre),
			Tunnel: fmt.Sprintf("10.%d.%d.%d:7000", centre, 200+r.IntN(4), 1+r.IntN(250)),
		})
	}
	return t
}

// withPreset returns the next revision, in which a switch of the preset has given every
// target one of a few weights.
func withPreset(t *table.Table, preset string) *table.Table {
	next := *t
	next.Revision++
	next.Preset = preset
	next.Targets = slices.Clone(t.Targets)
	for i := range next.Targets {
		x := &next.Targets[i]
		x.PreviousWeight, x.Weight = x.Weight, x.Weight%300+uint32(10*(1+i%7))
		x.ChangedAtMS = 1_796_000_000_000 + int64(next.Revision)
	}
	return &next
}

var loopback = net.IPv4(127, 0, 0, 1)

// rawPeer is a subscriber that sends and reads single frames.
type rawPeer struct{ *framing.Conn }

func dialRaw(t testing.TB, address string, opening hello) rawPeer {
	t.Helper()
	raw, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = raw.Close() })
	p := rawPeer{framing.NewConn(raw, frameLimitBytes, 0)}
	if _, err := p.Write(kindHello, &opening); err != nil {
		t.Fatal(err)
	}
	return p
}

// sendHeartbeats sends heartbeats without reading, until stop is called.
func (p rawPeer) sendHeartbeats(t testing.TB) (stop func()) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(testHeartbeatInterval):
				_, _ = p.Write(kindHeartbeat, &heartbeat{})
			}
		}
	}()
	return func() { close(done) }
}
