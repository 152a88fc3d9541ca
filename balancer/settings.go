package balancer

import (
	"fmt"
	"time"

	"bergamotstall/internal/keys"
	"bergamotstall/internal/settings"
)

// Settings are the settings of a balancer.
type Settings struct {
	// Name is the balancer's name, unique among balancers.
	Name       string `yaml:"name"`
	DataCentre string `yaml:"dataCentre"`
	// Bind is the IP address at which packets from the fabric arrive. Empty means the
	// service addresses, if the VM has them itself.
	Bind string `yaml:"bind"`
	// Tunnel is the UDP listen address for envelopes from agents, "ip:port".
	Tunnel string `yaml:"tunnel"`
	// Controls are the control VMs' addresses for subscribers, "ip:port".
	Controls []string `yaml:"controls"`
	// Metrics is the listen address for metrics, "ip:port"; empty disables it.
	Metrics string `yaml:"metrics"`
	// Sockets is the number of sockets for each address, each with its own worker; 0
	// means 1.
	Sockets int `yaml:"sockets"`
	// State is the file that stores the last table across restarts, so that the
	// balancer never returns to an older revision; empty stores none.
	State string `yaml:"state"`
	// StopGrace is how long packets are still forwarded after a stop was requested, while
	// the fabric removes the balancer; 0 means 5 s.
	StopGrace time.Duration `yaml:"stopGrace"`
	// TLS is the certificate of this process. Without it connections to control are
	// unencrypted, which is for trials on one machine only.
	TLS keys.Settings `yaml:"tls"`
}

const (
	maxSockets = 64
	// defaultStopGrace exceeds the time in which a fabric notices that a balancer is
	// leaving. A packet in flight needs only milliseconds.
	defaultStopGrace = 5 * time.Second
	maxStopGrace     = 5 * time.Minute
)

// Problems implements settings.Validator.
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
