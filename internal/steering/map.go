package steering

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/dchest/siphash"
	"github.com/go-faster/errors"

	"bergamotstall/internal/connid"
	"bergamotstall/internal/envelope"
	"bergamotstall/internal/reachability"
	"bergamotstall/internal/table"
)

// Agent is what steering knows of one agent.
type Agent struct {
	Number  table.AgentNumber
	Service table.ServiceID
	// Tunnel is where its envelopes go.
	Tunnel netip.AddrPort
	State  table.State
	// Reach is what is known of its answers. It outlives the table.
	Reach *reachability.Record
}

// Service is one service, ready for steering.
type Service struct {
	ID      table.ServiceID
	Name    string
	Address netip.AddrPort
	// Limit bounds the open flows of one target; 0 leaves it to the target's
	// own limit.
	Limit int

	chooser *Chooser
	// fallback chooses among all live agents, where none is active.
	fallback *Chooser
}

// Map is a table compiled for steering. It is read-only; a newer table gives a
// new one.
type Map struct {
	Revision table.Revision
	// Generation is that of the keys that sign and encrypt.
	Generation uint8
	ConnIDs    *connid.Ring
	Envelopes  *envelope.Ring
	Services   []*Service
	Balancers  []netip.AddrPort

	table *table.Table
	// step is the time that the shares were taken at.
	step     int64
	services map[table.ServiceID]*Service
	agents   map[table.AgentNumber]*Agent
	newest   table.AgentNumber
	k0, k1   uint64
}

const hashKeySize = 16

var (
	// ErrHashKey is returned for a placement key of the wrong length.
	ErrHashKey = errors.New("steering: hash key must have 16 bytes")
	// ErrAddress is returned for an address that isn't "ip:port".
	ErrAddress = errors.New("steering: bad address")
)

// Compile prepares a table, with the shares that targets have at the given time.
// What old, which may be nil, knows of agents' answers is taken over. A table
// that can't be steered by is refused whole.
func Compile(t *table.Table, now time.Time, old *Map) (*Map, error) {
	m := &Map{
		Revision: t.Revision,
		table:    t,
		step:     stepAt(now),
		services: make(map[table.ServiceID]*Service, len(t.Services)),
		agents:   make(map[table.AgentNumber]*Agent, len(t.Targets)),
	}
	if err := m.setKeys(t); err != nil {
		return nil, err
	}
	if err := m.setBalancers(t); err != nil {
		return nil, err
	}
	for _, s := range t.Services {
		if err := m.addService(s); err != nil {
			return nil, err
		}
	}
	for _, x := range t.Targets {
		if err := m.addAgent(x, old); err != nil {
			return nil, err
		}
	}
	m.setChoosers(m.Services)
	return m, nil
}

func (m *Map) setKeys(t *table.Table) error {
	current, err := t.CurrentKeys()
	if err != nil {
		return err
	}
	if len(current.Hash) != hashKeySize {
		return ErrHashKey
	}
	m.Generation = current.Generation
	m.k0 = binary.LittleEndian.Uint64(current.Hash)
	m.k1 = binary.LittleEndian.Uint64(current.Hash[8:])
	if m.ConnIDs, err = connid.NewRing(t.Keys); err != nil {
		return errors.Wrap(err, "steering: keys")
	}
	if m.Envelopes, err = envelope.NewRing(t.Keys); err != nil {
		return errors.Wrap(err, "steering: keys")
	}
	return nil
}

func (m *Map) setBalancers(t *table.Table) error {
	for _, b := range t.Balancers {
		address, err := netip.ParseAddrPort(b.Tunnel)
		if err != nil {
			return errors.Wrapf(ErrAddress, "balancer %s: %q", b.Name, b.Tunnel)
		}
		m.Balancers = append(m.Balancers, address)
	}
	return nil
}

func (m *Map) addService(s table.Service) error {
	address, err := netip.ParseAddrPort(s.Address)
	if err != nil {
		return errors.Wrapf(ErrAddress, "service %s: %q", s.Name, s.Address)
	}
	x := &Service{ID: s.ID, Name: s.Name, Address: address, Limit: s.FlowLimit}
	m.Services = append(m.Services, x)
	m.services[s.ID] = x
	return nil
}

func (m *Map) addAgent(x table.Target, old *Map) error {
	a := &Agent{Number: x.Agent, Service: x.Service, State: x.State, Reach: old.record(x.Agent)}
	m.newest = max(m.newest, x.Agent)
	m.agents[x.Agent] = a
	if x.State == table.Retired {
		return nil
	}
	tunnel, err := netip.ParseAddrPort(x.Tunnel)
	if err != nil {
		return errors.Wrapf(ErrAddress, "agent %d: %q", x.Agent, x.Tunnel)
	}
	a.Tunnel = tunnel
	return nil
}

// Agent returns what is known of an agent.
func (m *Map) Agent(number table.AgentNumber) (*Agent, bool) {
	a, ok := m.agents[number]
	return a, ok
}

// record returns what is known of an agent's answers.
func (m *Map) record(number table.AgentNumber) *reachability.Record {
	if m != nil {
		if a, ok := m.agents[number]; ok {
			return a.Reach
		}
	}
	return new(reachability.Record)
}

// Probes calls send for each agent that is due a probe.
func (m *Map) Probes(now time.Time, send func(*Agent)) {
	for _, a := range m.agents {
		if a.State != table.Retired && a.Reach.Judge(now) {
			send(a)
		}
	}
}

// Newest returns the highest agent number of the table. Control gives numbers
// out in rising order, so that a higher one belongs to a newer table.
func (m *Map) Newest() table.AgentNumber { return m.newest }

// ServiceNamed returns the service with the given name.
func (m *Map) ServiceNamed(name string) (*Service, bool) {
	for _, s := range m.Services {
		if s.Name == name {
			return s, true
		}
	}
	return nil, false
}

// ServiceByID returns the service with the given ID.
func (m *Map) ServiceByID(id table.ServiceID) (*Service, bool) {
	s, ok := m.services[id]
	return s, ok
}

// Chooser returns the service's chooser of new flows.
func (s *Service) Chooser() *Chooser { return s.chooser }

const flowKeySize = 20 + 16 + 2

// FlowKey hashes what marks a new flow: the connection ID that the caller made
// up and its address. The hash is keyed, so that a caller can't aim all its
// flows at one target.
func (m *Map) FlowKey(destination []byte, caller netip.AddrPort) uint64 {
	return HashFlow(m.k0, m.k1, destination, caller)
}

// HashFlow is FlowKey under any key.
func HashFlow(k0, k1 uint64, destination []byte, caller netip.AddrPort) uint64 {
	var raw [flowKeySize]byte
	n := copy(raw[:20], destination)
	ip := caller.Addr().As16()
	n += copy(raw[n:], ip[:])
	binary.BigEndian.PutUint16(raw[n:], caller.Port())
	return siphash.Hash(k0, k1, raw[:n+2])
}
