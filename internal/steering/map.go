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
	Reach *reachability.Detector
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

// CompiledTable is a table compiled for steering. It is read-only; a newer table gives a
// new one.
type CompiledTable struct {
	Revision table.Revision
	// Generation is that of the keys that sign and encrypt.
	Generation uint8
	ConnIDs    *connid.Ring
	Envelopes  *envelope.KeyRing
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
func Compile(t *table.Table, now time.Time, old *CompiledTable) (*CompiledTable, error) {
	m := &CompiledTable{
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

func (ct *CompiledTable) setKeys(t *table.Table) error {
	current, err := t.CurrentKeys()
	if err != nil {
		return err
	}
	if len(current.Hash) != hashKeySize {
		return ErrHashKey
	}
	ct.Generation = current.Generation
	ct.k0 = binary.LittleEndian.Uint64(current.Hash)
	ct.k1 = binary.LittleEndian.Uint64(current.Hash[8:])
	if ct.ConnIDs, err = connid.NewRing(t.Keys); err != nil {
		return errors.Wrap(err, "steering: keys")
	}
	if ct.Envelopes, err = envelope.NewKeyRing(t.Keys); err != nil {
		return errors.Wrap(err, "steering: keys")
	}
	return nil
}

func (ct *CompiledTable) setBalancers(t *table.Table) error {
	for _, b := range t.Balancers {
		address, err := netip.ParseAddrPort(b.Tunnel)
		if err != nil {
			return errors.Wrapf(ErrAddress, "balancer %s: %q", b.Name, b.Tunnel)
		}
		ct.Balancers = append(ct.Balancers, address)
	}
	return nil
}

func (ct *CompiledTable) addService(s table.Service) error {
	address, err := netip.ParseAddrPort(s.Address)
	if err != nil {
		return errors.Wrapf(ErrAddress, "service %s: %q", s.Name, s.Address)
	}
	x := &Service{ID: s.ID, Name: s.Name, Address: address, Limit: s.FlowLimit}
	ct.Services = append(ct.Services, x)
	ct.services[s.ID] = x
	return nil
}

func (ct *CompiledTable) addAgent(x table.Target, old *CompiledTable) error {
	a := &Agent{Number: x.Agent, Service: x.Service, State: x.State, Reach: old.record(x.Agent)}
	ct.newest = max(ct.newest, x.Agent)
	ct.agents[x.Agent] = a
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
func (ct *CompiledTable) Agent(number table.AgentNumber) (*Agent, bool) {
	a, ok := ct.agents[number]
	return a, ok
}

// record returns what is known of an agent's answers.
func (ct *CompiledTable) record(number table.AgentNumber) *reachability.Detector {
	if ct != nil {
		if a, ok := ct.agents[number]; ok {
			return a.Reach
		}
	}
	return new(reachability.Detector)
}

// Probes calls send for each agent that is due a probe.
func (ct *CompiledTable) Probes(now time.Time, send func(*Agent)) {
	for _, a := range ct.agents {
		if a.State != table.Retired && a.Reach.Update(now) {
			send(a)
		}
	}
}

// Newest returns the highest agent number of the table. Control gives numbers
// out in rising order, so that a higher one belongs to a newer table.
func (ct *CompiledTable) Newest() table.AgentNumber { return ct.newest }

// ServiceNamed returns the service with the given name.
func (ct *CompiledTable) ServiceNamed(name string) (*Service, bool) {
	for _, s := range ct.Services {
		if s.Name == name {
			return s, true
		}
	}
	return nil, false
}

// ServiceByID returns the service with the given ID.
func (ct *CompiledTable) ServiceByID(id table.ServiceID) (*Service, bool) {
	s, ok := ct.services[id]
	return s, ok
}

// Chooser returns the service's chooser of new flows.
func (s *Service) Chooser() *Chooser { return s.chooser }

const flowKeySize = 20 + 16 + 2

// FlowKey hashes what marks a new flow: the connection ID that the caller made
// up and its address. The hash is keyed, so that a caller can't aim all its
// flows at one target.
func (ct *CompiledTable) FlowKey(destination []byte, caller netip.AddrPort) uint64 {
	return HashFlow(ct.k0, ct.k1, destination, caller)
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
