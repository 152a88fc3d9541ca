// Package route is the desired state of pass-through traffic: which service
// addresses exist and which services new flows to each may go to. The newest
// version accepted is in force as a whole.
package route

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"bergamotstall/internal/passthrough/packet"
)

//go:generate env GOWORK=off go -C ../../../tools tool msgp -file ../internal/passthrough/route/route.go -o ../internal/passthrough/route/route_gen.go -tests=false -io=false

//msgp:ignore Table lookup Choice Problem

// Version orders definitions; the highest accepted one is in force.
type Version uint64

// ServiceID stands for a service's name in packets between nodes.
type ServiceID uint64

// IDOf returns the identity of the service with the given name. Two names of
// one installation collide with a chance of one in 10^13 at 2,100 services.
func IDOf(name string) ServiceID { return ServiceID(xxhash.Sum64String(name)) }

// Definition is a whole desired state.
type Definition struct {
	Version  Version   `msg:"v"`
	Routes   []Route   `msg:"r"`
	Services []Service `msg:"s"`
	// Document is the definition as the operator sent it. It is kept whole, so
	// that a reader gets back what was sent, fields this product has no use for
	// included.
	Document []byte `msg:"d"`
}

// Route sends the new flows of one service address to services.
type Route struct {
	Name string `msg:"n"`
	// IP and Port are the service address.
	IP       [4]byte  `msg:"a"`
	Port     uint16   `msg:"p"`
	Backends []Backed `msg:"b"`
	// TimeoutMS is how long a request over the route may take, in milliseconds.
	TimeoutMS uint32 `msg:"t"`
	// Priority orders routes under load; 0 is the most urgent.
	Priority uint32 `msg:"u"`
	// Homes are the regions whose targets may take the route's flows; nil for all.
	Homes []string `msg:"h"`
}

// Backed is a service behind a route, with its share of new flows.
type Backed struct {
	Service string `msg:"s"`
	Weight  uint32 `msg:"w"`
}

// Service is a group of targets.
type Service struct {
	Name string `msg:"n"`
	// ColdPerSecond is how many requests a second a target bears while it is cold; 0 if
	// there is no limit.
	ColdPerSecond float64 `msg:"c"`
}

// Errors of a definition that is refused; nothing of it is in force.
var (
	ErrNoVersion      = errors.New("route: the version is 0")
	ErrUnknownService = errors.New("route: names a service that isn't defined")
	ErrSameAddress    = errors.New("route: two routes share an address")
	ErrNoTimeout      = errors.New("route: the timeout is 0")
	ErrNoBackend      = errors.New("route: no service with a weight above 0")
	ErrSameService    = errors.New("route: two services share a name")
)

// Problem is a refusal with its place.
type Problem struct {
	// Where names the route or service.
	Where string
	Err   error
}

func (p *Problem) Error() string { return fmt.Sprintf("%v: %q", p.Err, p.Where) }

// Unwrap returns the kind of problem.
func (p *Problem) Unwrap() error { return p.Err }

// Validate judges a definition as a whole. A definition that is half right is
// refused whole: flows of the routes that are wrong would be refused or, worse,
// reach another service's targets.
func (d *Definition) Validate() error {
	if d.Version == 0 {
		return ErrNoVersion
	}
	known := make(map[string]bool, len(d.Services))
	for _, s := range d.Services {
		if known[s.Name] {
			return &Problem{s.Name, ErrSameService}
		}
		known[s.Name] = true
	}
	taken := make(map[packet.Endpoint]bool, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		if taken[r.Address()] {
			return &Problem{r.Name, ErrSameAddress}
		}
		taken[r.Address()] = true
		if err := r.validate(known); err != nil {
			return err
		}
	}
	return nil
}

func (r *Route) validate(known map[string]bool) error {
	if r.TimeoutMS == 0 {
		return &Problem{r.Name, ErrNoTimeout}
	}
	total := uint64(0)
	for _, b := range r.Backends {
		if !known[b.Service] {
			return &Problem{r.Name, ErrUnknownService}
		}
		total += uint64(b.Weight)
	}
	if total == 0 {
		return &Problem{r.Name, ErrNoBackend}
	}
	return nil
}

// Address returns the route's service address.
func (r *Route) Address() packet.Endpoint { return packet.Endpoint{IP: r.IP, Port: r.Port} }

// Choice is one service that a route may use.
type Choice struct {
	Service ServiceID
	// Weight is the share of new flows, above 0.
	Weight uint32
}

// lookup is what a Table knows of one route.
type lookup struct {
	choices  []Choice
	total    uint64
	priority uint32
	timeout  time.Duration
	homes    []string
}

// Table answers which services an address's new flows may go to. It doesn't
// change once made.
type Table struct {
	Version Version
	routes  map[packet.Endpoint]lookup
	// cold holds the limits of services whose cold targets bear few requests.
	cold map[ServiceID]float64
}

// NewTable makes the lookup of a valid definition.
func NewTable(d *Definition) *Table { return LeanOf(d).whole() }

// Len returns the number of routes.
func (t *Table) Len() int { return len(t.routes) }

// Services returns the choices of an address, nil if it has no route.
func (t *Table) Services(at packet.Endpoint) []Choice {
	if t == nil {
		return nil
	}
	return t.routes[at].choices
}

// Priority returns how urgent an address's route is; 0 is the most urgent, and
// what is said of an address without a route.
func (t *Table) Priority(at packet.Endpoint) uint32 {
	if t == nil {
		return 0
	}
	return t.routes[at].priority
}

// Timeout returns how long a request over an address's route may take, 0 if it
// has no route.
func (t *Table) Timeout(at packet.Endpoint) time.Duration {
	if t == nil {
		return 0
	}
	return t.routes[at].timeout
}

// Homes returns the regions whose targets may take an address's flows; nil for all.
func (t *Table) Homes(at packet.Endpoint) []string {
	if t == nil {
		return nil
	}
	return t.routes[at].homes
}

// ColdPerSecond returns how many requests a second a cold target of a service bears; 0 if
// there is no limit.
func (t *Table) ColdPerSecond(s ServiceID) float64 {
	if t == nil {
		return 0
	}
	return t.cold[s]
}

// Pick returns the service of a new flow. The flow's hash decides, so that the
// copies of a first packet get the same service at every node.
func (t *Table) Pick(f packet.Flow) (ServiceID, bool) {
	if t == nil {
		return 0, false
	}
	l, ok := t.routes[f.Service]
	if !ok || l.total == 0 {
		return 0, false
	}
	at := Hash(f) % l.total
	for _, c := range l.choices {
		if at < uint64(c.Weight) {
			return c.Service, true
		}
		at -= uint64(c.Weight)
	}
	return 0, false
}

// Hash mixes a flow's addresses and ports.
func Hash(f packet.Flow) uint64 {
	var b [12]byte
	copy(b[0:4], f.Client.IP[:])
	copy(b[4:8], f.Service.IP[:])
	b[8], b[9] = byte(f.Client.Port>>8), byte(f.Client.Port)
	b[10], b[11] = byte(f.Service.Port>>8), byte(f.Service.Port)
	return xxhash.Sum64(b[:])
}
