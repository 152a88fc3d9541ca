package integration

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"bergamotstall/internal/scenario"
)

// proxyOctetOffset is the difference between the last octets of a proxy's address and
// of the control VM behind it.
const proxyOctetOffset = 100

// controlLinks are two toxiproxies in front of every control VM: one for connections
// from the other control VMs, one for subscribers.
type controlLinks struct {
	net     scenario.Net
	proxies map[string]*toxiproxy.Proxy
}

func newControlLinks(t *testing.T, n scenario.Net) *controlLinks {
	t.Helper()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	l := &controlLinks{net: n, proxies: map[string]*toxiproxy.Proxy{}}
	for i := range 3 {
		for _, port := range []int{scenario.ReplicaPort, scenario.SubscriberPort} {
			p := toxiproxy.NewProxy(server, n.Address(i, port), l.proxyAddress(i, port), n.Address(scenario.FirstControlOctet+i, port))
			if err := p.Start(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(p.Stop)
			l.proxies[p.Upstream] = p
		}
	}
	return l
}

func (l *controlLinks) proxyAddress(i, port int) string {
	return l.net.Address(scenario.FirstControlOctet+i+proxyOctetOffset, port)
}

// advertisedAddress maps a control VM's address to that of its proxy.
func (l *controlLinks) advertisedAddress(address string) string {
	if p, ok := l.proxies[address]; ok {
		return p.Listen
	}
	return address
}

func (l *controlLinks) proxyIPs() []string {
	var out []string
	for i := range 3 {
		host, _, _ := net.SplitHostPort(l.proxyAddress(i, scenario.ReplicaPort))
		out = append(out, host)
	}
	return out
}

// block stops everything that the other control VMs send to a replica: it gets no
// messages from a leader, but its subscribers still reach it.
func (l *controlLinks) block(i int) { l.replicaProxy(i).Stop() }

// unblock ends a block.
func (l *controlLinks) unblock(i int) error { return l.replicaProxy(i).Start() }

func (l *controlLinks) replicaProxy(i int) *toxiproxy.Proxy {
	return l.proxies[l.net.Address(scenario.FirstControlOctet+i, scenario.ReplicaPort)]
}

// subscriberProxy returns the proxy between a control VM and its subscribers, which
// are balancers and agents.
func (l *controlLinks) subscriberProxy(i int) *toxiproxy.Proxy {
	return l.proxies[l.net.Address(scenario.FirstControlOctet+i, scenario.SubscriberPort)]
}

// addToxic adds a toxic to a proxy, in both directions.
func addToxic(p *toxiproxy.Proxy, kind, attributes string) error {
	for _, direction := range []string{"upstream", "downstream"} {
		text := fmt.Sprintf(`{"name":"%s-%s","type":"%s","stream":"%s","attributes":%s}`, kind, direction, kind, direction, attributes)
		if _, err := p.Toxics.AddToxicJson(strings.NewReader(text)); err != nil {
			return errors.Wrap(err, kind)
		}
	}
	return nil
}
