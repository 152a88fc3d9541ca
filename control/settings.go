package control

import (
	"fmt"

	"bergamotstall/internal/keys"
	"bergamotstall/internal/settings"
)

// Settings are the settings of a control VM.
type Settings struct {
	// Name is the VM's name, unique among control VMs. Together with the data folder it
	// identifies the replica.
	Name       string `yaml:"name"`
	DataCentre string `yaml:"dataCentre"`
	// Folder holds the VM's durable state and must contain nothing else.
	Folder  string          `yaml:"folder"`
	Replica ReplicaSettings `yaml:"replica"`
	// Subscribers is the listen address for balancers and agents, "ip:port".
	Subscribers string `yaml:"subscribers"`
	// Operators is the listen address for bergamotctl, "ip:port".
	Operators string `yaml:"operators"`
	// Metrics is the listen address for metrics, "ip:port"; empty disables it.
	Metrics string `yaml:"metrics"`
	// TLS may be left out for tests and the demo only: without it every client that can
	// connect is trusted.
	TLS keys.Settings `yaml:"tls"`
}

// ReplicaSettings are the settings of the replicated log.
type ReplicaSettings struct {
	// Listen is the listen address for the other control VMs, "ip:port".
	Listen string `yaml:"listen"`
	// Advertise is the address that the other control VMs dial, if it isn't Listen.
	Advertise string `yaml:"advertise"`
	// Bootstrap creates a new cluster if the folder is empty and no peer has a cluster.
	// Set it on exactly one VM; the others join that VM's cluster.
	Bootstrap bool `yaml:"bootstrap"`
	// Peers are all or some of the control VMs, including this one. A new VM asks them
	// to join the cluster.
	Peers []Peer `yaml:"peers"`
}

// Peer is one control VM.
type Peer struct {
	Name string `yaml:"name"`
	// Address is the address of its replica, "ip:port".
	Address string `yaml:"address"`
}

// maxPeers limits the number of control VMs.
const maxPeers = 9

// Problems implements settings.Validator.
func (s *Settings) Problems() []settings.Problem {
	var c settings.Checker
	c.Required("name", s.Name)
	c.Required("dataCentre", s.DataCentre)
	c.Required("folder", s.Folder)
	c.Address("replica.listen", s.Replica.Listen)
	if s.Replica.Advertise != "" {
		c.Address("replica.advertise", s.Replica.Advertise)
	}
	s.checkPeers(&c)
	c.Address("subscribers", s.Subscribers)
	c.Address("operators", s.Operators)
	if s.Metrics != "" {
		c.Address("metrics", s.Metrics)
	}
	s.checkDistinct(&c)
	s.TLS.Check(&c, "tls")
	return c.Problems()
}

func (s *Settings) checkPeers(c *settings.Checker) {
	if n := len(s.Replica.Peers); n == 0 || n > maxPeers {
		c.Add("replica.peers", fmt.Sprintf("%d peers", n), fmt.Sprintf("1 to %d", maxPeers))
		return
	}
	names := make(map[string]bool)
	addresses := make(map[string]bool)
	for i, p := range s.Replica.Peers {
		at := fmt.Sprintf("replica.peers[%d].", i)
		c.Required(at+"name", p.Name)
		c.Address(at+"address", p.Address)
		if names[p.Name] {
			c.Add(at+"name", fmt.Sprintf("%q appears twice", p.Name), "each peer once")
		}
		if addresses[p.Address] {
			c.Add(at+"address", fmt.Sprintf("%q appears twice", p.Address), "an address of its own for each peer")
		}
		names[p.Name], addresses[p.Address] = true, true
	}
	if s.Name != "" && !names[s.Name] {
		c.Add("replica.peers", fmt.Sprintf("%q is not among them", s.Name), "all control VMs, this one too")
	}
}

// checkDistinct reports an address that is used for two purposes.
func (s *Settings) checkDistinct(c *settings.Checker) {
	used := make(map[string]string)
	for _, l := range []struct{ path, address string }{
		{"replica.listen", s.Replica.Listen}, {"subscribers", s.Subscribers},
		{"operators", s.Operators}, {"metrics", s.Metrics},
	} {
		if other, ok := used[l.address]; ok && l.address != "" {
			c.Add(l.path, fmt.Sprintf("%q is %s too", l.address, other), "an address of its own")
		}
		used[l.address] = l.path
	}
}
