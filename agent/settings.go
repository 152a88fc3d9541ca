package agent

import (
	"fmt"
	"time"

	"bergamotstall/internal/keys"
	"bergamotstall/internal/settings"
)

const (
	maxSlots       = 100_000
	maxConnections = 1_000_000
	maxGrace       = 24 * time.Hour
	defaultGrace   = 30 * time.Second
)

// Ways of answers.
const (
	returnBalancer = "balancer"
	returnDirect   = "direct"
)

// Settings are an agent's, from its YAML file.
type Settings struct {
	// Name is unique among agents; the default is service.host. The
	// process's certificate has this name.
	Name string `yaml:"name"`
	// Service and Host say which target the agent stands beside.
	Service    string `yaml:"service"`
	Host       string `yaml:"host"`
	DataCentre string `yaml:"dataCentre"`
	// Target is the target's HTTP/1.1 address, "ip:port".
	Target string `yaml:"target"`
	// Tunnel is the UDP address for balancers, "ip:port".
	Tunnel string `yaml:"tunnel"`
	// Peer is the TCP address for other agents, "ip:port".
	Peer string `yaml:"peer"`
	// Return says which way answers go: "balancer", the default, or "direct" where
	// this VM holds the service's address itself.
	Return string `yaml:"return"`
	// Slots is how many requests the host runs at once.
	Slots int `yaml:"slots"`
	// Connections is how many flows the host holds at once.
	Connections int `yaml:"connections"`
	// ShedUnrun says that the target answers 503 only before it does anything, so
	// that a shed submission may go to another target.
	ShedUnrun bool `yaml:"shedUnrun"`
	// Controls are the control VMs' addresses for subscribers, "ip:port".
	Controls []string `yaml:"controls"`
	// CallerTLS is the certificate that callers see.
	CallerTLS CallerTLS `yaml:"callerTLS"`
	// TLS is this process's own certificate; without it connections to control
	// and peers are plain, for trials on one machine only.
	TLS keys.Settings `yaml:"tls"`
	// Metrics is the TCP address for /debug/vars, "ip:port"; empty serves none.
	Metrics string `yaml:"metrics"`
	// State is the file that keeps the last table across restarts; empty keeps
	// none.
	State string `yaml:"state"`
	// StopGrace bounds a graceful stop; the default is 30s. Requests still in
	// progress then are cut, so set it over the longest download.
	StopGrace time.Duration `yaml:"stopGrace"`
}

// CallerTLS names the certificate and key that callers see, PEM files.
type CallerTLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
}

func (s *Settings) setDefaults() {
	if s.Name == "" {
		s.Name = s.Service + "." + s.Host
	}
	if s.Return == "" {
		s.Return = returnBalancer
	}
	if s.StopGrace == 0 {
		s.StopGrace = defaultGrace
	}
}

// Problems implements settings.Checked.
func (s *Settings) Problems() []settings.Problem {
	var c settings.Checker
	s.setDefaults()
	c.Required("service", s.Service)
	c.Required("host", s.Host)
	c.Required("dataCentre", s.DataCentre)
	c.Address("target", s.Target)
	c.Address("tunnel", s.Tunnel)
	c.Address("peer", s.Peer)
	if s.Return != returnBalancer && s.Return != returnDirect {
		c.Add("return", fmt.Sprintf("%q", s.Return), returnBalancer+" or "+returnDirect)
	}
	c.Range("slots", s.Slots, 1, maxSlots)
	c.Range("connections", s.Connections, 1, maxConnections)
	c.Duration("stopGrace", s.StopGrace, 0, maxGrace)
	if len(s.Controls) == 0 {
		c.Add("controls", "missing", "one address or more, ip:port")
	}
	for i, address := range s.Controls {
		c.Address(fmt.Sprintf("controls[%d]", i), address)
	}
	c.File("callerTLS.certificate", s.CallerTLS.Certificate)
	c.File("callerTLS.key", s.CallerTLS.Key)
	s.TLS.Check(&c, "tls")
	if s.Metrics != "" {
		c.Address("metrics", s.Metrics)
	}
	return c.Problems()
}
