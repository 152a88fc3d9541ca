// Package table defines the routing table that control distributes to every
// balancer and agent: services, targets with their agents, balancers and the
// cluster keys, all under one revision. It holds no decision; steering,
// deflection and hand-over read it.
package table

import (
	"slices"

	"github.com/go-faster/errors"
)

//go:generate env GOWORK=off go -C ../../tools tool msgp -file ../internal/table/table.go -o ../internal/table/table_gen.go -tests=false

// Revision numbers a table. A later table has a higher revision; control never
// hands out two tables with one revision and different content.
type Revision uint64

// AgentNumber names one incarnation of an agent for one service on one host.
// Control never gives a number out twice, so a connection ID that carries it
// can't be taken for another target's. Zero is no agent.
type AgentNumber uint32

// ServiceID names a service in packets. Control never reuses one. Zero is no
// service.
type ServiceID uint32

// State says what work a target may get.
type State uint8

const (
	// Active targets get new flows, new requests and their open flows.
	Active State = iota + 1
	// Draining targets keep their open flows and get nothing new.
	Draining
	// Retired targets are gone: a packet that names one is answered by any
	// agent of the service with a stateless reset. They stay in the table for
	// the key window and idempotency.RowsKept, since package idempotency looks back at them.
	Retired
)

// Service is what callers reach under one address.
type Service struct {
	ID   ServiceID `msg:"i"`
	Name string    `msg:"n"`
	// Address is the UDP address callers use, "ip:port".
	Address string `msg:"a"`
	// FlowLimit bounds the open flows of one target; 0 means the host's own
	// connection limit.
	FlowLimit int `msg:"f"`
	// QueueLimit bounds the requests waiting at one agent.
	QueueLimit int `msg:"q"`
	// RetryPercent is the retry budget, in percent of fresh requests.
	RetryPercent int `msg:"r"`
	// KeyWindowMS is how long an idempotency key stays valid, in milliseconds.
	KeyWindowMS int64 `msg:"k"`
	// KeysFromMS is when idempotency keys may be claimed again, in Unix
	// milliseconds; 0 is always. Control sets it where it had to drop a retired
	// target before the key window's end: who kept a key is unknown then.
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
	// Slots is how many requests the host runs at once.
	Slots int `msg:"l"`
	// Connections is how many flows the host holds at once.
	Connections int `msg:"c"`
	// Weight is the share of new work under the preset in force; 0 is none.
	Weight uint32 `msg:"w"`
	// PreviousWeight is the share before the last change of preset or weight.
	PreviousWeight uint32 `msg:"v"`
	// ChangedAtMS is when Weight last changed, in Unix milliseconds of the
	// control leader's clock. It only paces ramps.
	ChangedAtMS int64 `msg:"m"`
	// JoinedAtMS is when the agent announced itself, like ChangedAtMS.
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

// KeySet is one generation of the cluster keys. Several generations are valid
// while a rotation runs; the highest that isn't pending signs and encrypts.
type KeySet struct {
	// Generation picks the key set in a connection ID; only its low three bits
	// travel there.
	Generation uint8 `msg:"g"`
	// ConnID is the AES-128 key of connection IDs.
	ConnID []byte `msg:"c"`
	// Envelope is the key of the envelope MAC between balancers and agents.
	Envelope []byte `msg:"e"`
	// Reset is the QUIC stateless reset key, 32 bytes.
	Reset []byte `msg:"r"`
	// Token is the QUIC address validation token key, 32 bytes.
	Token []byte `msg:"t"`
	// Hash is the 16-byte key of the placement hash of new flows.
	Hash []byte `msg:"h"`
	// Pending key sets decrypt and verify but don't sign yet: everyone must know
	// a key before the first packet carries it.
	Pending bool `msg:"p"`
}

// Table is the whole of what the data path knows.
type Table struct {
	Revision Revision `msg:"r"`
	// Preset is the name of the preset in force.
	Preset    string     `msg:"p"`
	Services  []Service  `msg:"s"`
	Targets   []Target   `msg:"t"`
	Balancers []Balancer `msg:"b"`
	Keys      []KeySet   `msg:"k"`
}

// ErrNoKeys is returned where a table without cluster keys is used.
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

// TargetsOf returns the targets of one service in the table's order.
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

// newer compares generations modulo 256, so that the counter may wrap.
func newer(a, b uint8) bool { return int8(a-b) > 0 }
