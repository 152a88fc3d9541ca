// Package route defines the desired state of pass-through traffic: which service
// addresses exist and which services the new flows to each may go to. The highest version
// accepted is in force as a whole.
package route

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"bergamotstall/internal/passthrough/packet"
)

//go:generate env GOWORK=off go -C ../../../tools tool msgp -file ../internal/passthrough/route/route.go -o ../internal/passthrough/route/route_gen.go -tests=false -io=false

//msgp:ignore Table tableEntry Choice ValidationError Demand

// Version orders definitions; the highest accepted one is in force.
type Version uint64

// ServiceID identifies a service in packets between nodes. It is a hash of the service's
// name.
type ServiceID uint64

// IDOf returns the ID of the service with the given name. The probability that two names
// of one installation collide is 1 in 10^13 at 2,100 services.
func IDOf(name string) ServiceID { return ServiceID(xxhash.Sum64String(name)) }

// Definition is a complete desired state.
type Definition struct {
	Version  Version   `msg:"v"`
	Routes   []Route   `msg:"r"`
	Services []Service `msg:"s"`
	// Document is the definition as the operator sent it. It is stored verbatim, so that
	// readers get back exactly what was sent, including fields that this program doesn't
	// use.
	Document []byte `msg:"d"`
}

// Route sends the new flows of one service address to services.
type Route struct {
	Name string `msg:"n"`
	// IP and Port are the service address.
	IP       [4]byte   `msg:"a"`
	Port     uint16    `msg:"p"`
	Backends []Backend `msg:"b"`
	// TimeoutMS is the timeout of a request over the route, in milliseconds.
	TimeoutMS uint32 `msg:"t"`
	// Priority ranks routes for load shedding; 0 is the most urgent.
	Priority uint32 `msg:"u"`
	// AllowedRegions are the regions whose targets may take the route's flows; nil means all.
	AllowedRegions []string `msg:"h"`
	// Kind is the kind of the route's requests; 0 in definitions stored by builds that
	// didn't know it.
	Kind RequestKind `msg:"k"`
	// GoalMS is the response-time goal in milliseconds, counted from the client's first
	// attempt; 0 if the route states none.
	GoalMS uint32 `msg:"g"`
}

// RequestKind is the kind of a route's requests.
type RequestKind uint8

const (
	// UnknownKind marks a route that states no kind, or one that this build doesn't know.
	UnknownKind RequestKind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// NonIdempotent requests may run once at most.
	NonIdempotent
	// Download marks idempotent requests with large responses.
	Download
	// Upload marks non-idempotent requests with large bodies.
	Upload
)

// Bulk reports whether the client's half of the flow carries a large body, which occupies a
// balancer's link for much longer than other requests.
func (k RequestKind) Bulk() bool { return k == Upload }

// Demand is what the callers of a route need.
type Demand struct {
	Kind RequestKind
	// Goal is the response-time goal, Timeout the time after which the caller gives up,
	// both counted from the client's first attempt; 0 means not stated.
	Goal, Timeout time.Duration
	// Priority is 0 for the most urgent routes.
	Priority uint32
}

// Backend is a service behind a route with its weight, its share of new flows.
type Backend struct {
	Service string `msg:"s"`
	Weight  uint32 `msg:"w"`
}

// Service is a group of targets.
type Service struct {
	Name string `msg:"n"`
	// ColdPerSecond is the rate at which a cold target can take requests, in requests per
	// second; 0 means no limit.
	ColdPerSecond float64 `msg:"c"`
}

// Errors for invalid definitions, which are refused as a whole.
var (
	ErrNoVersion      = errors.New("route: version is 0")
	ErrUnknownService = errors.New("route: route names an undefined service")
	ErrSameAddress    = errors.New("route: two routes have the same address")
	ErrNoTimeout      = errors.New("route: timeout is 0")
	ErrNoBackend      = errors.New("route: route has no service with a weight above 0")
	ErrSameService    = errors.New("route: two services have the same name")
)

// ValidationError says which route or service makes a definition invalid, and why.
type ValidationError struct {
	// Name is the name of the route or service.
	Name string
	Err  error
}

func (e *ValidationError) Error() string { return fmt.Sprintf("%v: %q", e.Err, e.Name) }

// Unwrap returns the kind of error, such as ErrNoTimeout.
func (e *ValidationError) Unwrap() error { return e.Err }

// Validate checks a definition as a whole. One invalid route invalidates the definition,
// because that route's flows would be refused or, worse, reach another service's targets.
func (d *Definition) Validate() error {
	if d.Version == 0 {
		return ErrNoVersion
	}
	known := make(map[string]bool, len(d.Services))
	for _, s := range d.Services {
		if known[s.Name] {
			return &ValidationError{s.Name, ErrSameService}
		}
		known[s.Name] = true
	}
	taken := make(map[packet.Endpoint]bool, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		if taken[r.Address()] {
			return &ValidationError{r.Name, ErrSameAddress}
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
		return &ValidationError{r.Name, ErrNoTimeout}
	}
	totalWeight := uint64(0)
	for _, b := range r.Backends {
		if !known[b.Service] {
			return &ValidationError{r.Name, ErrUnknownService}
		}
		totalWeight += uint64(b.Weight)
	}
	if totalWeight == 0 {
		return &ValidationError{r.Name, ErrNoBackend}
	}
	return nil
}

// Address returns the route's service address.
func (r *Route) Address() packet.Endpoint { return packet.Endpoint{IP: r.IP, Port: r.Port} }

// Choice is one service that the new flows of a route may go to.
type Choice struct {
	Service ServiceID
	// Weight is the share of new flows, above 0.
	Weight uint32
}

// tableEntry is what a Table holds of one route.
type tableEntry struct {
	choices        []Choice
	totalWeight    uint64
	priority       uint32
	timeout        time.Duration
	allowedRegions []string
	kind           RequestKind
	goal           time.Duration
}

// Table looks up the services that an address's new flows may go to. It is immutable.
type Table struct {
	Version Version
	routes  map[packet.Endpoint]tableEntry
	// carriesBulk is set if one of the routes is of a bulk kind.
	carriesBulk bool
	// coldLimits holds the services whose cold targets have a limit, in requests per
	// second.
	coldLimits map[ServiceID]float64
}

// NewTable returns the table of a valid definition.
func NewTable(d *Definition) *Table { return FullUpdate(d).fullTable() }

// Len returns the number of routes.
func (t *Table) Len() int { return len(t.routes) }

// CarriesBulk tells whether one of the routes is of a bulk kind.
func (t *Table) CarriesBulk() bool { return t != nil && t.carriesBulk }

// Services returns the services that may receive new flows to an address, or nil if the
// address has no route.
func (t *Table) Services(at packet.Endpoint) []Choice {
	if t == nil {
		return nil
	}
	return t.routes[at].choices
}

// Allows tells whether a service may receive new flows to an address.
func (t *Table) Allows(at packet.Endpoint, s ServiceID) bool {
	return slices.ContainsFunc(t.Services(at), func(c Choice) bool { return c.Service == s })
}

// Priority returns the priority of an address's route, or 0, the most urgent, if the
// address has no route.
func (t *Table) Priority(at packet.Endpoint) uint32 {
	if t == nil {
		return 0
	}
	return t.routes[at].priority
}

// Timeout returns the request timeout of an address's route, or 0 if it has no route.
func (t *Table) Timeout(at packet.Endpoint) time.Duration {
	if t == nil {
		return 0
	}
	return t.routes[at].timeout
}

// Demand returns what the callers of an address's route need; it is zero if the address has
// no route.
func (t *Table) Demand(at packet.Endpoint) Demand {
	if t == nil {
		return Demand{}
	}
	e := t.routes[at]
	return Demand{Kind: e.kind, Goal: e.goal, Timeout: e.timeout, Priority: e.priority}
}

// HasBulk tells whether any route is of a bulk kind.
func (t *Table) HasBulk() bool {
	for _, e := range t.routes {
		if e.kind.Bulk() {
			return true
		}
	}
	return false
}

// AllowedRegions returns the regions whose targets may take an address's flows; nil means all.
func (t *Table) AllowedRegions(at packet.Endpoint) []string {
	if t == nil {
		return nil
	}
	return t.routes[at].allowedRegions
}

// ColdPerSecond returns the rate at which a cold target of a service can take requests,
// in requests per second; 0 means no limit.
func (t *Table) ColdPerSecond(s ServiceID) float64 {
	if t == nil {
		return 0
	}
	return t.coldLimits[s]
}

// Pick returns the service of a new flow. It depends on the flow's hash only, so that all
// nodes pick the same service for copies of a flow's first packet.
func (t *Table) Pick(f packet.Flow) (ServiceID, bool) {
	if t == nil {
		return 0, false
	}
	l, ok := t.routes[f.Service]
	if !ok || l.totalWeight == 0 {
		return 0, false
	}
	at := Hash(f) % l.totalWeight
	for _, c := range l.choices {
		if at < uint64(c.Weight) {
			return c.Service, true
		}
		at -= uint64(c.Weight)
	}
	return 0, false
}

// Hash returns a hash of a flow's addresses and ports.
func Hash(f packet.Flow) uint64 {
	var b [12]byte
	copy(b[0:4], f.Client.IP[:])
	copy(b[4:8], f.Service.IP[:])
	b[8], b[9] = byte(f.Client.Port>>8), byte(f.Client.Port)
	b[10], b[11] = byte(f.Service.Port>>8), byte(f.Service.Port)
	return xxhash.Sum64(b[:])
}
