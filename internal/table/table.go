// Package table defines the routing table that the control VMs distribute to every
// balancer and agent: services, targets with their agents, balancers and the cluster
// keys, all under one revision. It only holds data.
package table

import (
	"slices"

	"github.com/go-faster/errors"
)

//go:generate env GOWORK=off go -C ../../tools tool msgp -file ../internal/table/table.go -o ../internal/table/table_gen.go -tests=false

// Revision numbers tables. A later table has a higher revision, and two tables with the
// same revision have the same content.
type Revision uint64

// AgentNumber identifies one incarnation of an agent for one service on one host. Numbers
// are never reused, so a connection ID that carries one can't be taken for another
// target's. Zero means no agent.
type AgentNumber uint32

// ServiceID identifies a service in packets. IDs are never reused. Zero means no service.
type ServiceID uint32

// State is the state of a target; it determines what work the target gets.
type State uint8

const (
	// Active targets get new flows and new requests, and keep their open flows.
	Active State = iota + 1
	// Draining targets keep their open flows and get nothing new.
	Draining
	// Retired targets are gone: any agent of the service answers a packet that names one
	// with a stateless reset. They stay in the table for the key window and the retention
	// time of package idempotency, which still looks them up.
	Retired
)

// Service is a service that callers reach at one address.
type Service struct {
	ID   ServiceID `msg:"i"`
	Name string    `msg:"n"`
	// Address is the UDP address for callers, "ip:port".
	Address string `msg:"a"`
	// FlowLimit bounds the open flows of one target; 0 means the host's own connection
	// limit.
	FlowLimit int `msg:"f"`
	// QueueLimit bounds the requests waiting at one agent.
	QueueLimit int `msg:"q"`
	// RetryPercent is the retry budget, in percent of first attempts.
	RetryPercent int `msg:"r"`
	// KeyWindowMS is how long an idempotency key is valid, in milliseconds.
	KeyWindowMS int64 `msg:"k"`
	// KeysFromMS is when idempotency keys may be claimed again, in Unix milliseconds; 0
	// means always. It is set if a retired target had to be dropped before the end of the
	// key window, since it is then unknown which agent held a key.
	KeysFromMS int64 `msg:"f2,omitempty"`
}

// Target is one host that serves one service, with the agent beside it.
type Target struct {
	Agent      AgentNumber `msg:"g"`
	Service    ServiceID   `msg:"s"`
	Host       string      `msg:"h"`
	DataCentre string      `msg:"d"`
	// Tunnel is the agent's UDP address for envelopes, "ip:port".
	Tunnel string `msg:"t"`
	// Peer is the agent's TCP address for other agents, "ip:port".
	Peer string `msg:"p"`
	// Slots is the number of requests that the host runs at once.
	Slots int `msg:"l"`
	// Connections is the number of flows that the host holds at once.
	Connections int `msg:"c"`
	// Weight is the share of new work under the preset in force; 0 means none.
	Weight uint32 `msg:"w"`
	// PreviousWeight is the share before the last change of preset or weight.
	PreviousWeight uint32 `msg:"v"`
	// ChangedAtMS is when Weight last changed, in Unix milliseconds of the control
	// leader's clock. It is only used to pace slow start.
	ChangedAtMS int64 `msg:"m"`
	// JoinedAtMS is when the agent registered, on the same clock as ChangedAtMS.
	JoinedAtMS int64 `msg:"j"`
	State      State `msg:"x"`
}

// Balancer is one balancer process, as agents need it for the return path.
type Balancer struct {
	Name       string `msg:"n"`
	DataCentre string `msg:"d"`
	// Tunnel is the balancer's UDP address for envelopes, "ip:port".
	Tunnel string `msg:"t"`
}

// KeySet is one generation of the cluster keys. Several generations are valid during a
// rotation; the newest that isn't pending signs and encrypts.
type KeySet struct {
	// Generation selects the key set; a connection ID carries only its low three bits.
	Generation uint8 `msg:"g"`
	// ConnID is the AES-128 key for connection IDs.
	ConnID []byte `msg:"c"`
	// Envelope is the MAC key of envelopes between balancers and agents.
	Envelope []byte `msg:"e"`
	// Reset is the QUIC stateless reset key, 32 bytes.
	Reset []byte `msg:"r"`
	// Token is the key of QUIC address validation tokens, 32 bytes.
	Token []byte `msg:"t"`
	// Hash is the 16-byte key of the hash that places new flows.
	Hash []byte `msg:"h"`
	// Pending key sets decrypt and verify but don't sign yet: every node must have a key
	// before the first packet uses it.
	Pending bool `msg:"p"`
}

// Table is the complete state of the data path.
type Table struct {
	Revision Revision `msg:"r"`
	// Preset is the name of the preset in force.
	Preset    string     `msg:"p"`
	Services  []Service  `msg:"s"`
	Targets   []Target   `msg:"t"`
	Balancers []Balancer `msg:"b"`
	Keys      []KeySet   `msg:"k"`
}

// ErrNoKeys is returned for a table without usable cluster keys.
var ErrNoKeys = errors.New("table: no cluster keys")

// Service returns the service with the given ID.
func (t *Table) Service(id ServiceID) (Service, bool) {
	i := slices.IndexFunc(t.Services, func(s Service) bool { return s.ID == id })
	if i < 0 {
		return Service{}, false
	}
	return t.Services[i], true
}

// ServiceNamed returns the service with the given name.
func (t *Table) ServiceNamed(name string) (Service, bool) {
	i := slices.IndexFunc(t.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return t.Services[i], true
}

// Target returns the target whose agent has the given number.
func (t *Table) Target(agent AgentNumber) (Target, bool) {
	i := slices.IndexFunc(t.Targets, func(x Target) bool { return x.Agent == agent })
	if i < 0 {
		return Target{}, false
	}
	return t.Targets[i], true
}

// TargetsOf returns the targets of one service in table order.
func (t *Table) TargetsOf(id ServiceID) []Target {
	var out []Target
	for _, x := range t.Targets {
		if x.Service == id {
			out = append(out, x)
		}
	}
	return out
}

// CurrentKeys returns the key set that signs and encrypts.
func (t *Table) CurrentKeys() (KeySet, error) {
	var best KeySet
	found := false
	for _, k := range t.Keys {
		if k.Pending {
			continue
		}
		if !found || newer(k.Generation, best.Generation) {
			best, found = k, true
		}
	}
	if !found {
		return KeySet{}, ErrNoKeys
	}
	return best, nil
}

// newer compares generations modulo 256, so that the counter may wrap around.
func newer(a, b uint8) bool { return int8(a-b) > 0 }
