package agent

import (
	"fmt"
	"time"

	"bergamotstall/internal/keys"
	"bergamotstall/internal/settings"
)

const (
	maxSlots         = 100_000
	maxConnections   = 1_000_000
	maxStopGrace     = 24 * time.Hour
	defaultStopGrace = 30 * time.Second
)

// Values of Settings.Return.
const (
	returnBalancer = "balancer"
	returnDirect   = "direct"
)

// Settings are the settings of an agent, from its YAML file.
type Settings struct {
	// Name is unique among agents and the name in the process's certificate. The default
	// is SERVICE.HOST.
	Name string `yaml:"name"`
	// Service and Host identify the agent's target.
	Service    string `yaml:"service"`
	Host       string `yaml:"host"`
	DataCentre string `yaml:"dataCentre"`
	// Target is the target's HTTP/1.1 address, "ip:port".
	Target string `yaml:"target"`
	// Tunnel is the UDP listen address for balancers, "ip:port".
	Tunnel string `yaml:"tunnel"`
	// Peer is the TCP listen address for other agents, "ip:port".
	Peer string `yaml:"peer"`
	// Return is the path of answers to callers: "balancer", the default, or "direct" if
	// this VM has the service's address itself.
	Return string `yaml:"return"`
	// Slots is the number of requests that the host runs concurrently.
	Slots int `yaml:"slots"`
	// FlowLimit limits the concurrent flows of the host.
	FlowLimit int `yaml:"connections"`
	// ShedUnrun states that the target answers 503 only before it does any work, so that
	// the request may be sent to another target.
	ShedUnrun bool `yaml:"shedUnrun"`
	// Controls are the control VMs' addresses for subscribers, "ip:port".
	Controls []string `yaml:"controls"`
	// CallerTLS is the certificate that callers see.
	CallerTLS CallerTLS `yaml:"callerTLS"`
	// TLS is the certificate of this process. Without it connections to control and peers
	// are unencrypted, which is for trials on one machine only.
	TLS keys.Settings `yaml:"tls"`
	// Metrics is the TCP listen address for /debug/vars, "ip:port"; empty disables it.
	Metrics string `yaml:"metrics"`
	// State is the file that stores the last table across restarts; empty stores none.
	State string `yaml:"state"`
	// StopGrace limits a graceful stop; the default is 30 s. Requests that are still in
	// progress after it are aborted, so it should exceed the longest download.
	StopGrace time.Duration `yaml:"stopGrace"`
}

// CallerTLS names the PEM files of the certificate and key that callers see.
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
		s.StopGrace = defaultStopGrace
	}
}

// Problems implements settings.Validator.
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
	c.Range("connections", s.FlowLimit, 1, maxConnections)
	c.Duration("stopGrace", s.StopGrace, 0, maxStopGrace)
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
