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

// proxyOffset is how far the last octet of a proxy's address lies above that of
// the control VM behind it.
const proxyOffset = 100

// links are toxiproxies before every control VM: one for what the other control
// VMs send it, one for subscribers.
type links struct {
	net     scenario.Net
	proxies map[string]*toxiproxy.Proxy
}

func newLinks(t *testing.T, n scenario.Net) *links {
	t.Helper()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	l := &links{net: n, proxies: map[string]*toxiproxy.Proxy{}}
	for i := range 3 {
		for _, port := range []int{scenario.ReplicaPort, scenario.SubscriberPort} {
			p := toxiproxy.NewProxy(server, n.Address(i, port), l.behind(i, port), n.Address(scenario.ControlFirst+i, port))
			if err := p.Start(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(p.Stop)
			l.proxies[p.Upstream] = p
		}
	}
	return l
}

func (l *links) behind(i, port int) string {
	return l.net.Address(scenario.ControlFirst+i+proxyOffset, port)
}

// via gives the proxy's address for a control VM's.
func (l *links) via(address string) string {
	if p, ok := l.proxies[address]; ok {
		return p.Listen
	}
	return address
}

func (l *links) ips() []string {
	var out []string
	for i := range 3 {
		host, _, _ := net.SplitHostPort(l.behind(i, scenario.ReplicaPort))
		out = append(out, host)
	}
	return out
}

// cut stops everything that others send to a control VM's replica: it hears no
// leader any more, while its own subscribers still reach it.
func (l *links) cut(i int) { l.replica(i).Stop() }

// mend ends a cut.
func (l *links) mend(i int) error { return l.replica(i).Start() }

func (l *links) replica(i int) *toxiproxy.Proxy {
	return l.proxies[l.net.Address(scenario.ControlFirst+i, scenario.ReplicaPort)]
}

// subscribers is the proxy before what a control VM serves to balancers and
// agents.
func (l *links) subscribers(i int) *toxiproxy.Proxy {
	return l.proxies[l.net.Address(scenario.ControlFirst+i, scenario.SubscriberPort)]
}

// poison adds a toxic to a proxy, in both directions.
func poison(p *toxiproxy.Proxy, kind, attributes string) error {
	for _, direction := range []string{"upstream", "downstream"} {
		text := fmt.Sprintf(`{"name":"%s-%s","type":"%s","stream":"%s","attributes":%s}`, kind, direction, kind, direction, attributes)
		if _, err := p.Toxics.AddToxicJson(strings.NewReader(text)); err != nil {
			return errors.Wrap(err, kind)
		}
	}
	return nil
}
