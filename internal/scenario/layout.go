// Package scenario runs the whole system on loopback, every VM with an address
// of its own, between a fabric stand-in that sprays each packet and target
// stand-ins, plays callers and changes, and has package check judge the run. The
// demo runs it in one process, the integration tests with the built binaries.
package scenario

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"bergamotstall/internal/catalogue"
)

// Net is the /24 of 127.0.0.0/8 that a run uses, so that several can run beside
// each other on one machine.
type Net uint8

// IP is the address of the VM with the given last octet.
func (n Net) IP(last int) string { return fmt.Sprintf("127.0.%d.%d", n, last) }

// Address is a port of the VM with the given last octet.
func (n Net) Address(last, port int) string { return fmt.Sprintf("%s:%d", n.IP(last), port) }

// Layout is one user's installation at its real size.
type Layout struct {
	Name        string
	DataCentres []string
	Slots       int
	Connections int
	Services    []Service
	// Delay is the callers' to the fabric, one way.
	Delay time.Duration
}

// Service is one service of a layout.
type Service struct {
	Name  string
	Port  int
	Hosts int
	// Work is how long a request holds a slot at the stand-in.
	Work time.Duration
}

// ErrLayout is returned for a layout that isn't known.
var ErrLayout = errors.New("scenario: no such layout")

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
			Services: []Service{
				{Name: "commission-desk", Port: deskPort, Hosts: 7, Work: 10 * time.Millisecond},
				{Name: "cartoon-archive", Port: archivePort, Hosts: 3, Work: 5 * time.Millisecond},
			},
		},
		{
			Name:        "odumase",
			DataCentres: []string{"accra-a", "accra-b", "accra-c"},
			Slots:       4, Connections: 2000, Delay: 3 * time.Millisecond,
			Services: []Service{
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
func (s Service) Address(n Net) string { return n.Address(1, s.Port) }

// Names of the layouts' presets.
const (
	Ordinary    = "ordinary"
	Peak        = "peak"
	Maintenance = "maintenance"
)

const (
	// peakWeight is the last data centre's under the peak preset; 100 is usual.
	peakWeight = 130
	// queueLimit and retryPercent are those of docs/PLACEMENT.md.
	queueLimit   = 16
	retryPercent = 20
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
			QueueLimit: queueLimit, RetryPercent: retryPercent, KeyWindow: keyWindow,
		})
		peak.Services = append(peak.Services, weighed(s.Name, last, peakWeight))
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
