package catalogue

import (
	"fmt"
	"time"

	"bergamotstall/internal/settings"
)

//msgp:limit arrays:262144 maps:64

//go:generate env GOWORK=off go -C ../../tools tool msgp -file ../internal/catalogue/definition.go -o ../internal/catalogue/definition_gen.go -tests=false -io=false

// Limits of the values in a definition.
const (
	maxWeight       = 1000
	defaultWeight   = 100
	maxFlowLimit    = 1_000_000
	maxQueueLimit   = 100_000
	maxRetryPercent = 100
	maxKeyWindow    = 7 * 24 * time.Hour
	maxNameLength   = 64
)

// Definition is the file that an operator applies: all services and all presets.
// Services and presets that are missing from it are removed.
type Definition struct {
	Services []ServiceSpec `yaml:"services" msg:"s"`
	// Presets are in the operator's order. The first preset of the cluster's first
	// definition is in force until the first switch.
	Presets []Preset `yaml:"presets" msg:"p"`
}

// ServiceSpec is a service in a Definition.
type ServiceSpec struct {
	Name string `yaml:"name" msg:"n"`
	// Address is the UDP address that callers send to, "ip:port".
	Address string `yaml:"address" msg:"a"`
	// FlowLimit limits the open flows of one target; 0 leaves it to the host's limit.
	FlowLimit int `yaml:"flowLimit" msg:"f"`
	// QueueLimit limits the requests that wait at one agent.
	QueueLimit int `yaml:"queueLimit" msg:"q"`
	// RetryPercent is the retry budget, in percent of new requests.
	RetryPercent int `yaml:"retryPercent" msg:"r"`
	// KeyWindow is how long an idempotency key stays valid.
	KeyWindow time.Duration `yaml:"keyWindow" msg:"k"`
}

// Preset is a named set of weights. Services, data centres and hosts that it doesn't name
// have weight 100.
type Preset struct {
	Name     string          `yaml:"name" msg:"n"`
	Services []PresetService `yaml:"services" msg:"s"`
}

// PresetService holds a preset's weights for one service. A target's share of new work is
// proportional to its data centre's weight times its host's weight.
type PresetService struct {
	Service     string             `yaml:"service" msg:"s"`
	DataCentres []DataCentreWeight `yaml:"dataCentres" msg:"d"`
	Hosts       []HostWeight       `yaml:"hosts" msg:"h"`
}

// DataCentreWeight is the weight of each target in a data centre, 0 to 1000.
type DataCentreWeight struct {
	Name   string `yaml:"name" msg:"n"`
	Weight uint32 `yaml:"weight" msg:"w"`
}

// HostWeight is the weight of a host, 0 to 1000.
type HostWeight struct {
	Host   string `yaml:"host" msg:"h"`
	Weight uint32 `yaml:"weight" msg:"w"`
}

// Problems implements settings.Validator.
func (d *Definition) Problems() []settings.Problem {
	var c settings.Checker
	if len(d.Services) == 0 {
		c.Add("services", "missing", "at least one service")
	}
	if len(d.Presets) == 0 {
		c.Add("presets", "missing", "at least one preset")
	}
	services := d.checkServices(&c)
	d.checkPresets(&c, services)
	return c.Problems()
}

// checkServices checks each service and returns the set of their names.
func (d *Definition) checkServices(c *settings.Checker) map[string]bool {
	names := make(map[string]bool, len(d.Services))
	addresses := make(map[string]string, len(d.Services))
	for i, s := range d.Services {
		at := fmt.Sprintf("services[%d].", i)
		checkName(c, at+"name", s.Name, names)
		c.Address(at+"address", s.Address)
		if other, ok := addresses[s.Address]; ok {
			c.Add(at+"address", fmt.Sprintf("%q is service %q's", s.Address, other), "an address of its own for each service")
		}
		addresses[s.Address] = s.Name
		c.Range(at+"flowLimit", s.FlowLimit, 0, maxFlowLimit)
		c.Range(at+"queueLimit", s.QueueLimit, 0, maxQueueLimit)
		c.Range(at+"retryPercent", s.RetryPercent, 0, maxRetryPercent)
		c.Duration(at+"keyWindow", s.KeyWindow, 0, maxKeyWindow)
	}
	return names
}

func (d *Definition) checkPresets(c *settings.Checker, services map[string]bool) {
	names := make(map[string]bool, len(d.Presets))
	for i, p := range d.Presets {
		at := fmt.Sprintf("presets[%d].", i)
		checkName(c, at+"name", p.Name, names)
		seen := make(map[string]bool, len(p.Services))
		for j, s := range p.Services {
			in := fmt.Sprintf("%sservices[%d].", at, j)
			if !services[s.Service] {
				c.Add(in+"service", fmt.Sprintf("no service %q in this file", s.Service), "a name under services")
			}
			if seen[s.Service] {
				c.Add(in+"service", fmt.Sprintf("%q appears twice", s.Service), "each service once in a preset")
			}
			seen[s.Service] = true
			s.check(c, in)
		}
	}
}

func (s *PresetService) check(c *settings.Checker, at string) {
	centres := make(map[string]bool, len(s.DataCentres))
	for i, d := range s.DataCentres {
		in := fmt.Sprintf("%sdataCentres[%d].", at, i)
		checkName(c, in+"name", d.Name, centres)
		c.Range(in+"weight", int(d.Weight), 0, maxWeight)
	}
	hosts := make(map[string]bool, len(s.Hosts))
	for i, h := range s.Hosts {
		in := fmt.Sprintf("%shosts[%d].", at, i)
		checkName(c, in+"host", h.Host, hosts)
		c.Range(in+"weight", int(h.Weight), 0, maxWeight)
	}
}

// checkName reports a name that is empty, too long or already taken, and adds it to
// taken.
func checkName(c *settings.Checker, at, name string, taken map[string]bool) {
	c.Required(at, name)
	if len(name) > maxNameLength {
		c.Add(at, fmt.Sprintf("%d bytes long", len(name)), fmt.Sprintf("at most %d bytes", maxNameLength))
	}
	if name != "" && taken[name] {
		c.Add(at, fmt.Sprintf("%q appears twice", name), "each name once")
	}
	taken[name] = true
}

// byService returns the preset's weights by service name.
func (p *Preset) byService() map[string]*PresetService {
	out := make(map[string]*PresetService, len(p.Services))
	for i := range p.Services {
		out[p.Services[i].Service] = &p.Services[i]
	}
	return out
}

// service returns the preset's weights for a service, nil if it has none.
func (p *Preset) service(name string) *PresetService {
	for i := range p.Services {
		if p.Services[i].Service == name {
			return &p.Services[i]
		}
	}
	return nil
}

// weight returns the weight of a target. A nil s gives all targets the same weight.
func (s *PresetService) weight(dataCentre, host string) uint32 {
	centreWeight, hostWeight := uint32(defaultWeight), uint32(defaultWeight)
	if s == nil {
		return centreWeight * hostWeight
	}
	for _, d := range s.DataCentres {
		if d.Name == dataCentre {
			centreWeight = d.Weight
		}
	}
	for _, h := range s.Hosts {
		if h.Host == host {
			hostWeight = h.Weight
		}
	}
	return centreWeight * hostWeight
}
