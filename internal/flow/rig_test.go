package flow_test

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/sirupsen/logrus"

	"bergamotstall/balancer"
	"bergamotstall/internal/flow"
	"bergamotstall/internal/keys"
	"bergamotstall/internal/metrics"
	"bergamotstall/internal/standin/fabric"
	"bergamotstall/internal/table"
)

const (
	defaultServiceID table.ServiceID = 1
	secondServiceID  table.ServiceID = 2
	defaultService                   = "commission-desk"
	secondService                    = "cartoon-archive"
	// flowIdleTimeout is short, as a test waits for it; it exceeds the second of silence
	// after which a balancer finds an agent unreachable.
	flowIdleTimeout = 3 * time.Second
	// waitTimeout bounds the wait for an expected event. No test's result depends on its
	// being short.
	waitTimeout = 30 * time.Second
)

var rigCount atomic.Int32

// rig is a test cluster: a fabric, balancers and agents on loopback addresses of their own.
// The test acts as control: it changes the table and applies it to chosen processes.
type rig struct {
	testing.TB
	is          *is.I
	network     string
	fabric      *fabric.Fabric
	table       table.Table
	balancers   map[string]*rigBalancer
	agents      map[table.AgentNumber]*rigAgent
	cert        tls.Certificate
	pool        *x509.CertPool
	hosts       int
	idleTimeout time.Duration
	callers     []*http3.Transport
	// direct makes agents use direct server return.
	direct bool
	// keepAlive is the callers' keep-alive period, 0 for none. Callers with one don't send
	// large packets to probe the path MTU either.
	keepAlive time.Duration
}

type rigBalancer struct {
	*balancer.Forwarder
	ip      netip.Addr
	metrics *metrics.Set
}

type rigAgent struct {
	*flow.Endpoint
	number  table.AgentNumber
	metrics *metrics.Set
	cancel  context.CancelFunc
	done    chan error
}

func newRig(t testing.TB) *rig {
	pid, n := os.Getpid(), rigCount.Add(1)
	r := &rig{
		TB:          t,
		is:          is.New(t),
		network:     fmt.Sprintf("127.%d.%d.", 64+(pid+int(n)>>8)%128, (pid+int(n))%256),
		fabric:      fabric.New(1),
		idleTimeout: flowIdleTimeout,
		balancers:   make(map[string]*rigBalancer),
		agents:      make(map[table.AgentNumber]*rigAgent),
	}
	var err error
	r.cert, r.pool, err = keys.SelfSigned(defaultService, secondService)
	r.is.NoErr(err)
	r.table.Preset = "ordinary"
	r.addKeys(1)
	r.addService(defaultServiceID, defaultService)
	t.Cleanup(r.fabric.Close)
	return r
}

// ip returns an unused address of the rig's network.
func (r *rig) ip() netip.Addr {
	r.hosts++
	return netip.MustParseAddr(r.network + strconv.Itoa(r.hosts))
}

func (r *rig) addKeys(generation uint8) {
	set, err := keys.NewKeySet(generation, rand.Reader)
	r.is.NoErr(err)
	r.table.Keys = append(r.table.Keys, set)
}

func (r *rig) addService(id table.ServiceID, name string) {
	address := netip.AddrPortFrom(r.ip(), 20000+uint16(id))
	r.is.NoErr(r.fabric.Listen(address))
	r.table.Services = append(r.table.Services, table.Service{ID: id, Name: name, Address: address.String()})
}

func (r *rig) addBalancer(name string) *rigBalancer {
	ip := r.ip()
	set := metrics.New()
	f, err := balancer.NewForwarder(balancer.ForwarderConfig{
		Bind: ip, Tunnel: netip.AddrPortFrom(ip, 19000), Log: discardLog(), Metrics: set,
	})
	r.is.NoErr(err)
	b := &rigBalancer{Forwarder: f, ip: ip, metrics: set}
	r.balancers[name] = b
	r.table.Balancers = append(r.table.Balancers, table.Balancer{Name: name, Tunnel: f.Tunnel().String()})
	r.fabric.AddBalancer(ip)
	r.Cleanup(f.Close)
	return b
}

// addAgent starts an agent with the given number on a tunnel address; an empty one means
// an unused address.
func (r *rig) addAgent(number table.AgentNumber, service string, tunnel string, handler http.Handler) *rigAgent {
	return r.startAgent(number, service, tunnel, handler, func(*flow.Endpoint) {})
}

// startAgent starts an agent as addAgent does, and calls prepare before it runs.
func (r *rig) startAgent(number table.AgentNumber, service, tunnel string, handler http.Handler, prepare func(*flow.Endpoint)) *rigAgent {
	if tunnel == "" {
		tunnel = netip.AddrPortFrom(r.ip(), 19001).String()
	}
	set := metrics.New()
	e, err := flow.New(flow.Config{
		Service: service, Tunnel: tunnel, Handler: handler, Log: discardLog(), Metrics: set,
		IdleTimeout: r.idleTimeout, Direct: r.direct,
		TLS: &tls.Config{Certificates: []tls.Certificate{r.cert}},
	})
	r.is.NoErr(err)
	prepare(e)
	a := &rigAgent{Endpoint: e, number: number, metrics: set, done: make(chan error, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	go func() { a.done <- e.Run(ctx) }()
	e.SetAgent(number)
	r.agents[number] = a
	owner, _ := r.table.ServiceNamed(service)
	r.table.Targets = append(r.table.Targets, table.Target{
		Agent: number, Service: owner.ID, Host: fmt.Sprintf("host-%d", number),
		Tunnel: e.Tunnel().String(), Weight: 100, State: table.Active, Connections: 2000,
	})
	r.Cleanup(a.stop)
	return a
}

// stop stops an agent at once, as if its process had died.
func (a *rigAgent) stop() {
	a.cancel()
	if a.done != nil {
		<-a.done
		a.done = nil
	}
}

func (r *rig) target(number table.AgentNumber) *table.Target {
	for i := range r.table.Targets {
		if r.table.Targets[i].Agent == number {
			return &r.table.Targets[i]
		}
	}
	r.Fatalf("no target %d", number)
	return nil
}

// nextRevision increments the table's revision and returns a copy of the table.
func (r *rig) nextRevision() *table.Table {
	r.table.Revision++
	data, err := r.table.MarshalMsg(nil)
	r.is.NoErr(err)
	out := new(table.Table)
	_, err = out.UnmarshalMsg(data)
	r.is.NoErr(err)
	return out
}

// apply applies the table's next revision to all agents and balancers.
func (r *rig) apply() {
	t := r.nextRevision()
	r.applyAgents(t)
	r.applyBalancers(t)
}

func (r *rig) applyAgents(t *table.Table) {
	for _, a := range r.agents {
		r.is.NoErr(a.Apply(t))
	}
}

func (r *rig) applyBalancers(t *table.Table) {
	for _, b := range r.balancers {
		r.is.NoErr(b.Apply(t))
	}
}

// killBalancer stops a balancer as if its process had died. The fabric sends packets to
// it until RemoveBalancer is called.
func (r *rig) killBalancer(name string) *rigBalancer {
	b := r.balancers[name]
	b.Close()
	delete(r.balancers, name)
	for i, x := range r.table.Balancers {
		if x.Name == name {
			r.table.Balancers = append(r.table.Balancers[:i:i], r.table.Balancers[i+1:]...)
			break
		}
	}
	return b
}

// standardRig returns a rig with three balancers and the given number of agents, all of the
// desk's service, with the table applied.
func standardRig(t testing.TB, agents int, handler func(table.AgentNumber) http.Handler) *rig {
	r := newRig(t)
	for i := range 3 {
		r.addBalancer(fmt.Sprintf("balancer-%d", i))
	}
	for i := range agents {
		number := table.AgentNumber(i + 1)
		r.addAgent(number, defaultService, "", handler(number))
	}
	r.apply()
	return r
}

// caller is an HTTP/3 client with its own flow. It opens another one if the flow has ended
// before a request.
type caller struct {
	*http.Client
	transport *http3.Transport
	url       string
	flow      atomic.Pointer[quic.Conn]
}

func (r *rig) caller(service string) *caller {
	s, ok := r.table.ServiceNamed(service)
	r.is.True(ok)
	x := &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: r.pool, ServerName: service},
		QUICConfig: &quic.Config{
			MaxIdleTimeout: 20 * time.Second, KeepAlivePeriod: r.keepAlive,
			DisablePathMTUDiscovery: r.keepAlive > 0,
		},
	}
	r.Cleanup(func() { _ = x.Close() })
	r.callers = append(r.callers, x)
	c := &caller{Client: &http.Client{Transport: x}, transport: x, url: "https://" + s.Address}
	x.Dial = func(ctx context.Context, address string, t *tls.Config, q *quic.Config) (*quic.Conn, error) {
		conn, err := quic.DialAddrEarly(ctx, address, t, q)
		if err == nil {
			c.flow.CompareAndSwap(nil, conn)
		}
		return conn, err
	}
	return c
}

func (r *rig) closeCallers() {
	for _, x := range r.callers {
		_ = x.Close()
	}
}

// get returns the response body and the agent that sent it.
func (c *caller) get(path string) (body []byte, agent string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url+path, nil)
	if err != nil {
		return nil, "", err
	}
	resp, err := c.Do(q)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(resp.Body)
	return body, resp.Header.Get("Agent"), err
}

// eventually waits until done returns true, and fails after waitTimeout.
func (r *rig) eventually(what string, done func() bool) {
	r.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	r.Fatalf("timed out waiting until %s", what)
}

func discardLog() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}
