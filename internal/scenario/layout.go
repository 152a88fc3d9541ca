// Package scenario runs the whole system on loopback, with an address for each VM.
// A stand-in fabric sends each packet to a random balancer, and stand-in targets
// answer requests. The package generates callers' load, changes the system meanwhile
// and lets package check evaluate the run. The demo runs it in one process, the
// integration tests with the built binaries.
package scenario

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"bergamotstall/internal/catalogue"
)

// Net is the /24 of 127.0.0.0/8 that a run uses, so that several runs can share one
// machine.
type Net uint8

// IP returns the address of the VM with the given last octet.
func (n Net) IP(octet int) string { return fmt.Sprintf("127.0.%d.%d", n, octet) }

// Address returns the address and port of the VM with the given last octet.
func (n Net) Address(octet, port int) string { return fmt.Sprintf("%s:%d", n.IP(octet), port) }

// Layout is a user's installation at its real size.
type Layout struct {
	Name        string
	DataCentres []string
	Slots       int
	Connections int
	Services    []Service
	// Delay is the one-way delay between callers and the fabric.
	Delay time.Duration
}

// Service is one service of a layout.
type Service struct {
	Name  string
	Port  int
	Hosts int
	// Work is how long a request occupies a slot of the stand-in target.
	Work time.Duration
}

// ErrUnknownLayout is returned for a layout name that doesn't exist.
var ErrUnknownLayout = errors.New("scenario: unknown layout")

const (
	deskPort    = 8443
	archivePort = 8444
	keyWindow   = 10 * time.Minute
)

// Layouts returns the users' installations.
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

// LayoutByName returns the layout with the given name, or ErrUnknownLayout.
func LayoutByName(name string) (Layout, error) {
	for _, l := range Layouts() {
		if l.Name == name {
			return l, nil
		}
	}
	return Layout{}, errors.Wrapf(ErrUnknownLayout, "%q", name)
}

// Address returns the address at which callers reach the service.
func (s Service) Address(n Net) string { return n.Address(1, s.Port) }

// Names of the presets that every layout has. Under the ordinary preset all weights are
// 100.
const (
	PresetOrdinary    = "ordinary"
	PresetPeak        = "peak"
	PresetMaintenance = "maintenance"
)

const (
	// peakWeight is the weight of the last data centre under the peak preset; the
	// default weight is 100.
	peakWeight = 130
	// queueLimit and retryPercent are the values from docs/PLACEMENT.md.
	queueLimit   = 16
	retryPercent = 20
)

// Definition returns the layout's catalogue. Under the peak preset the last data
// centre has a higher weight; under the maintenance preset it gets no new work.
func (l Layout) Definition(n Net) catalogue.Definition {
	var d catalogue.Definition
	lastDataCentre := l.DataCentres[len(l.DataCentres)-1]
	peak := catalogue.Preset{Name: PresetPeak}
	maintenance := catalogue.Preset{Name: PresetMaintenance}
	for _, s := range l.Services {
		d.Services = append(d.Services, catalogue.ServiceSpec{
			Name: s.Name, Address: s.Address(n), FlowLimit: l.Connections,
			QueueLimit: queueLimit, RetryPercent: retryPercent, KeyWindow: keyWindow,
		})
		peak.Services = append(peak.Services, presetService(s.Name, lastDataCentre, peakWeight))
		maintenance.Services = append(maintenance.Services, presetService(s.Name, lastDataCentre, 0))
	}
	d.Presets = []catalogue.Preset{{Name: PresetOrdinary}, peak, maintenance}
	return d
}

func presetService(service, dataCentre string, weight uint32) catalogue.PresetService {
	return catalogue.PresetService{
		Service:     service,
		DataCentres: []catalogue.DataCentreWeight{{Name: dataCentre, Weight: weight}},
	}
}
