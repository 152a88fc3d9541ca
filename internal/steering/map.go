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

// Agent is an agent as known to steering.
type Agent struct {
	Number  table.AgentNumber
	Service table.ServiceID
	// Tunnel is the address for its envelopes.
	Tunnel netip.AddrPort
	State  table.State
	// Reach records whether the agent answers. It is carried over to newer tables.
	Reach *reachability.Detector
}

// Service is a service compiled for steering.
type Service struct {
	ID      table.ServiceID
	Name    string
	Address netip.AddrPort
	// Limit bounds the open flows of one target; 0 leaves the bound to the target.
	Limit int

	chooser *Chooser
	// fallback chooses among all live agents. It is used if none is active.
	fallback *Chooser
}

// CompiledTable is a table compiled for steering. It is read-only; a newer table is compiled to a
// new CompiledTable.
type CompiledTable struct {
	Revision table.Revision
	// Generation is the generation of the keys for signing and encryption.
	Generation uint8
	ConnIDs    *connid.KeyRing
	Envelopes  *envelope.KeyRing
	Services   []*Service
	Balancers  []netip.AddrPort

	table *table.Table
	// step is the time step, in units of stepMS, at which the shares were computed.
	step     int64
	services map[table.ServiceID]*Service
	agents   map[table.AgentNumber]*Agent
	newest   table.AgentNumber
	k0, k1   uint64
}

const hashKeySize = 16

var (
	// ErrHashKey is returned for a flow hash key of the wrong length.
	ErrHashKey = errors.New("steering: hash key must have 16 bytes")
	// ErrAddress is returned for an address that isn't "ip:port".
	ErrAddress = errors.New("steering: address must be \"ip:port\"")
)

// Compile compiles a table with the targets' shares at the given time. The reachability
// records are taken over from old, which may be nil. If any part of the table is invalid,
// Compile returns an error and no Map.
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
	if ct.ConnIDs, err = connid.NewKeyRing(t.Keys); err != nil {
		return errors.Wrap(err, "steering: build key ring")
	}
	if ct.Envelopes, err = envelope.NewKeyRing(t.Keys); err != nil {
		return errors.Wrap(err, "steering: build key ring")
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

// Agent returns the agent with the given number.
func (ct *CompiledTable) Agent(number table.AgentNumber) (*Agent, bool) {
	a, ok := ct.agents[number]
	return a, ok
}

// record returns an agent's reachability record, a new one if the agent is unknown.
func (ct *CompiledTable) record(number table.AgentNumber) *reachability.Detector {
	if ct != nil {
		if a, ok := ct.agents[number]; ok {
			return a.Reach
		}
	}
	return new(reachability.Detector)
}

// Probes calls send for each agent that is due for a probe.
func (ct *CompiledTable) Probes(now time.Time, send func(*Agent)) {
	for _, a := range ct.agents {
		if a.State != table.Retired && a.Reach.Update(now) {
			send(a)
		}
	}
}

// Newest returns the highest agent number of the table. Control assigns rising numbers,
// so a higher one belongs to a newer table.
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

// Chooser returns the chooser of the service's new flows.
func (s *Service) Chooser() *Chooser { return s.chooser }

const flowKeySize = 20 + 16 + 2

// FlowKey hashes the connection ID that the caller generated for a new flow, and the
// caller's address. The hash is keyed, so that a caller can't direct all its flows to one
// target.
func (ct *CompiledTable) FlowKey(destination []byte, caller netip.AddrPort) uint64 {
	return HashFlow(ct.k0, ct.k1, destination, caller)
}

// HashFlow is FlowKey with an explicit key.
func HashFlow(k0, k1 uint64, destination []byte, caller netip.AddrPort) uint64 {
	var raw [flowKeySize]byte
	n := copy(raw[:20], destination)
	ip := caller.Addr().As16()
	n += copy(raw[n:], ip[:])
	binary.BigEndian.PutUint16(raw[n:], caller.Port())
	return siphash.Hash(k0, k1, raw[:n+2])
}
