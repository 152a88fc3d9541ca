package control

import (
	"fmt"

	"bergamotstall/internal/keys"
	"bergamotstall/internal/settings"
)

// Settings are one control VM's.
type Settings struct {
	// Name is the VM's own, unique among control VMs, and the replica's identity
	// together with its data folder.
	Name       string `yaml:"name"`
	DataCentre string `yaml:"dataCentre"`
	// Folder holds the VM's durable state, and nothing else.
	Folder  string          `yaml:"folder"`
	Replica ReplicaSettings `yaml:"replica"`
	// Subscribers is where balancers and agents connect, "ip:port".
	Subscribers string `yaml:"subscribers"`
	// Operators is where bergamotctl connects, "ip:port".
	Operators string `yaml:"operators"`
	// Metrics is where the counters are read, "ip:port"; empty for nowhere.
	Metrics string `yaml:"metrics"`
	// TLS may be left out for tests and the demo only: without it, whoever
	// reaches an address is trusted.
	TLS keys.Settings `yaml:"tls"`
}

// ReplicaSettings are the replicated log's.
type ReplicaSettings struct {
	// Listen is where the other control VMs connect, "ip:port".
	Listen string `yaml:"listen"`
	// Advertise is the address that they dial, where it isn't Listen.
	Advertise string `yaml:"advertise"`
	// Bootstrap makes a new cluster where the folder is empty and no peer has a
	// cluster. It is set on exactly one VM; the others join that one's cluster.
	Bootstrap bool `yaml:"bootstrap"`
	// Peers are the control VMs, this one among them, or some of them: a VM asks
	// them to be taken in.
	Peers []Peer `yaml:"peers"`
}

// Peer is one control VM.
type Peer struct {
	Name string `yaml:"name"`
	// Address is its replica's, "ip:port".
	Address string `yaml:"address"`
}

// maxPeers is how many VMs may be set aside for control.
const maxPeers = 9

// Problems implements settings.Checked.
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

// checkDistinct reports one address used for two purposes.
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
