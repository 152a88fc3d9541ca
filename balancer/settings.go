package balancer

import (
	"fmt"
	"time"

	"bergamotstall/internal/keys"
	"bergamotstall/internal/settings"
)

// Settings are one balancer's.
type Settings struct {
	// Name is the balancer's own, unique among balancers.
	Name       string `yaml:"name"`
	DataCentre string `yaml:"dataCentre"`
	// Bind is the IP number on which the fabric's packets arrive, where the VM
	// doesn't hold the service addresses themselves. Empty for those.
	Bind string `yaml:"bind"`
	// Tunnel is the UDP address for envelopes of agents, "ip:port".
	Tunnel string `yaml:"tunnel"`
	// Controls are the control VMs' addresses for subscribers, "ip:port".
	Controls []string `yaml:"controls"`
	// Metrics is where the counters are read, "ip:port"; empty for nowhere.
	Metrics string `yaml:"metrics"`
	// Sockets is how many sockets, each with a worker, share one address; 0
	// means 1.
	Sockets int `yaml:"sockets"`
	// State is the file that keeps the last table across restarts, so that its
	// revision can't fall; empty keeps none.
	State string `yaml:"state"`
	// StopGrace is how long packets are still forwarded after a stop was
	// ordered, while the fabric takes the balancer out; 0 means 5 s.
	StopGrace time.Duration `yaml:"stopGrace"`
	// TLS is this process's own certificate; without it connections to control
	// are plain, for trials on one machine only.
	TLS keys.Settings `yaml:"tls"`
}

const (
	maxSockets = 64
	// defaultStopGrace is longer than a fabric takes to notice a balancer that
	// is leaving; a packet in flight needs milliseconds.
	defaultStopGrace = 5 * time.Second
	maxStopGrace     = 5 * time.Minute
)

// Problems implements settings.Checked.
func (s *Settings) Problems() []settings.Problem {
	var c settings.Checker
	c.Required("name", s.Name)
	c.Required("dataCentre", s.DataCentre)
	if s.Bind != "" {
		c.IP("bind", s.Bind)
	}
	c.Address("tunnel", s.Tunnel)
	if len(s.Controls) == 0 {
		c.Add("controls", "missing", "one address or more, ip:port")
	}
	for i, a := range s.Controls {
		c.Address(fmt.Sprintf("controls[%d]", i), a)
	}
	if s.Metrics != "" {
		c.Address("metrics", s.Metrics)
	}
	c.Range("sockets", s.Sockets, 0, maxSockets)
	c.Duration("stopGrace", s.StopGrace, 0, maxStopGrace)
	s.TLS.Check(&c, "tls")
	return c.Problems()
}
