// Package demo runs every role on loopback in one process: control VMs,
// balancers, agents with target stand-ins, a fabric stand-in that sprays each
// packet, and real HTTP/3 callers. It is what a newcomer runs first, and it
// judges itself with package check.
package demo

import (
	"time"

	"github.com/go-faster/errors"

	"bergamotstall/internal/catalogue"
)

// Layout is one user's installation at its real size.
type Layout struct {
	Name        string
	DataCentres []string
	Slots       int
	Connections int
	Services    []LayoutService
	// Callers' delay to the fabric, one way.
	Delay time.Duration
}

// LayoutService is one service of a layout.
type LayoutService struct {
	Name  string
	Port  int
	Hosts int
	// Work is how long a request holds a slot at the stand-in.
	Work time.Duration
}

// ErrLayout is returned for a layout that isn't known.
var ErrLayout = errors.New("demo: no such layout")

const (
	deskPort    = 8443
	archivePort = 8444
	keyWindow   = 10 * time.Minute
)

// Layouts are the users' installations.
func Layouts() []Layout {
	return []Layout{
		{
			Name:        "vetrate-cortesi",
			DataCentres: []string{"brescia-fornace", "brescia-bottega", "bergamo-deposito"},
			Slots:       7, Connections: 2000, Delay: time.Millisecond,
			Services: []LayoutService{
				{Name: "commission-desk", Port: deskPort, Hosts: 7, Work: 10 * time.Millisecond},
				{Name: "cartoon-archive", Port: archivePort, Hosts: 3, Work: 5 * time.Millisecond},
			},
		},
		{
			Name:        "odumase",
			DataCentres: []string{"accra-a", "accra-b", "accra-c"},
			Slots:       4, Connections: 2000, Delay: 3 * time.Millisecond,
			Services: []LayoutService{
				{Name: "casework", Port: deskPort, Hosts: 7, Work: 10 * time.Millisecond},
				{Name: "map-documents", Port: archivePort, Hosts: 3, Work: 5 * time.Millisecond},
			},
		},
	}
}

// LayoutNamed returns a user's installation.
func LayoutNamed(name string) (Layout, error) {
	for _, l := range Layouts() {
		if l.Name == name {
			return l, nil
		}
	}
	return Layout{}, errors.Wrapf(ErrLayout, "%q", name)
}

// Address is where callers reach the service.
func (s LayoutService) Address(n Net) string { return n.address(1, s.Port) }

// Names of the layouts' presets.
const (
	Ordinary    = "ordinary"
	Peak        = "peak"
	Maintenance = "maintenance"
)

// Definition is the layout's catalogue: under the peak preset the last data
// centre takes more, under maintenance it takes no new work.
func (l Layout) Definition(n Net) catalogue.Definition {
	var d catalogue.Definition
	last := l.DataCentres[len(l.DataCentres)-1]
	peak := catalogue.Preset{Name: Peak}
	maintenance := catalogue.Preset{Name: Maintenance}
	for _, s := range l.Services {
		d.Services = append(d.Services, catalogue.ServiceSpec{
			Name: s.Name, Address: s.Address(n), FlowLimit: l.Connections,
			QueueLimit: 4 * l.Slots, RetryPercent: 10, KeyWindow: keyWindow,
		})
		peak.Services = append(peak.Services, weighed(s.Name, last, 130))
		maintenance.Services = append(maintenance.Services, weighed(s.Name, last, 0))
	}
	d.Presets = []catalogue.Preset{{Name: Ordinary}, peak, maintenance}
	return d
}

func weighed(service, dataCentre string, weight uint32) catalogue.PresetService {
	return catalogue.PresetService{
		Service:     service,
		DataCentres: []catalogue.DataCentreWeight{{Name: dataCentre, Weight: weight}},
	}
}
