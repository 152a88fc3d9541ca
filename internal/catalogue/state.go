package catalogue

import (
	"bergamotstall/internal/idempotency"
	"bergamotstall/internal/table"
)

// The limits of decoding keep a forged length from claiming the memory of a
// control VM; what the state may hold stays far under them.
//
//msgp:limit arrays:262144 maps:64

//go:generate env GOWORK=off go -C ../../tools tool msgp -file ../internal/catalogue/state.go -o ../internal/catalogue/state_gen.go -tests=false -io=false

// Retention. Everything is bounded by count in log order, except that a retired
// agent also goes by the state's clock.
const (
	// OutcomesKept bounds the outcomes kept for resends: more than three days
	// of 1,100 changes a day, while a resend follows within minutes.
	OutcomesKept = 4096
	// AuditKept bounds the audit record of operators' commands: about a week.
	// Control also logs each record as an event, for an archive of any length.
	AuditKept = 8192
	// maxAgents and maxBalancers bound what announces itself, at several times
	// the size that the system is designed for.
	maxAgents    = 100_000
	maxBalancers = 10_000
	// FleetKept bounds the record of announcements and silences.
	FleetKept = 2048
)

// Stored is the whole state, as a snapshot holds it.
type Stored struct {
	Version  uint64         `msg:"v"`
	Revision table.Revision `msg:"r"`
	// ClockMS is the state's clock, BeatMS the leader's last word on it.
	ClockMS     int64             `msg:"t"`
	BeatMS      int64             `msg:"tb"`
	LastAgent   table.AgentNumber `msg:"la"`
	LastService table.ServiceID   `msg:"ls"`
	// Services in the operator's order.
	Services []Service `msg:"s"`
	Presets  []Preset  `msg:"p"`
	InForce  string    `msg:"f"`
	// Agents by number, so by age.
	Agents    []Agent          `msg:"a"`
	Balancers []BalancerRecord `msg:"b"`
	// Drains are the drained hosts, sorted.
	Drains   []string        `msg:"d"`
	Keys     []KeyRecord     `msg:"k"`
	Outcomes []OutcomeRecord `msg:"o"`
	Audit    []Record        `msg:"au"`
	Fleet    []Record        `msg:"fl"`
}

// Service is a service with the ID that packets carry.
type Service struct {
	ID   table.ServiceID `msg:"i"`
	Spec ServiceSpec     `msg:"s"`
	// KeysFromMS is the table's field of that name.
	KeysFromMS int64 `msg:"k,omitempty"`
}

// retiredKeptMS is how long the service's retired agents stay in the table, in
// milliseconds: long enough for stateless resets and for package idempotency, whose
// keepers they were.
func (s *Service) retiredKeptMS() int64 {
	window := s.Spec.KeyWindow
	if window <= 0 {
		window = idempotency.DefaultWindow
	}
	return max(RetiredKept, window+idempotency.RetiredRetention).Milliseconds()
}

// Silence says what came of reports that a process is silent.
type Silence uint8

const (
	// Heard processes are in touch.
	Heard Silence = iota
	// Suspect processes are silent, but too many are for silence to be believed;
	// they stay in.
	Suspect
	// Out processes are silent and get no new work.
	Out
)

// Agent is one incarnation of an agent.
type Agent struct {
	Number      table.AgentNumber `msg:"g"`
	Service     table.ServiceID   `msg:"s"`
	Name        string            `msg:"n"`
	Incarnation uint64            `msg:"i"`
	// Attachment is the highest announced; what has a lower one is void.
	Attachment  uint64 `msg:"at"`
	Host        string `msg:"h"`
	DataCentre  string `msg:"d"`
	Tunnel      string `msg:"t"`
	Peer        string `msg:"p"`
	Slots       int    `msg:"l"`
	Connections int    `msg:"c"`
	// Leaving is set by an agent that is about to stop.
	Leaving bool `msg:"x,omitempty"`
	// Via is the control VM that the agent's stream ends at.
	Via            string  `msg:"v"`
	Weight         uint32  `msg:"w"`
	PreviousWeight uint32  `msg:"pw"`
	ChangedAtMS    int64   `msg:"m"`
	JoinedAtMS     int64   `msg:"j"`
	Silence        Silence `msg:"q,omitempty"`
	SilentAtMS     int64   `msg:"qt,omitempty"`
	// Retired agents keep their number and get nothing.
	Retired     bool  `msg:"z,omitempty"`
	RetiredAtMS int64 `msg:"zt,omitempty"`
	// Replaced agents were retired by a later incarnation and can't come back.
	Replaced bool `msg:"y,omitempty"`
}

// BalancerRecord is one balancer as it announced itself.
type BalancerRecord struct {
	Name        string  `msg:"n"`
	Incarnation uint64  `msg:"i"`
	Attachment  uint64  `msg:"at"`
	DataCentre  string  `msg:"d"`
	Tunnel      string  `msg:"t"`
	Via         string  `msg:"v"`
	Silence     Silence `msg:"q,omitempty"`
	SilentAtMS  int64   `msg:"qt,omitempty"`
}

// KeyRecord is one generation of the cluster keys.
type KeyRecord struct {
	Set table.KeySet `msg:"s"`
	// PreparedAt is the table's revision that first carried the generation.
	PreparedAt table.Revision `msg:"p"`
	// SignsSinceMS is when the generation began to sign, 0 before.
	SignsSinceMS int64 `msg:"m"`
}

// OutcomeRecord remembers a command by its identity.
type OutcomeRecord struct {
	ID          string  `msg:"i"`
	Fingerprint []byte  `msg:"f"`
	Outcome     Outcome `msg:"o"`
}

// Record is one line of the audit record.
type Record struct {
	// Index is the command's place in the log.
	Index uint64 `msg:"i"`
	AtMS  int64  `msg:"t"`
	// Who is the operator or the announcing process.
	Who string `msg:"w"`
	// Via is the control VM that took the command.
	Via  string `msg:"v"`
	ID   string `msg:"c,omitempty"`
	What string `msg:"a"`
	// Code and Outcome tell how it ended.
	Code    Code   `msg:"r"`
	Outcome string `msg:"o"`
	Version uint64 `msg:"n"`
}
