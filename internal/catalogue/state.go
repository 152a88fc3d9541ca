package catalogue

import (
	"bergamotstall/internal/idempotency"
	"bergamotstall/internal/table"
)

// The decoding limits prevent a forged length from exhausting the memory of a control
// VM. The state's own limits are far lower.
//
//msgp:limit arrays:262144 maps:64

//go:generate env GOWORK=off go -C ../../tools tool msgp -file ../internal/catalogue/state.go -o ../internal/catalogue/state_gen.go -tests=false -io=false

// Limits of the state. All apply by count in log order; retired agents also expire by
// the state's clock.
const (
	// MaxOutcomes limits the outcomes kept for resends. It covers more than three days
	// of 1,100 changes a day; a resend follows within minutes.
	MaxOutcomes = 4096
	// MaxAuditRecords limits the audit record of operators' commands to about a week.
	// Control also logs each record as an event, which can be archived for longer.
	MaxAuditRecords = 8192
	// maxAgents and maxBalancers limit the registered processes, at several times the
	// size that the system is designed for.
	maxAgents    = 100_000
	maxBalancers = 10_000
	// MaxFleetRecords limits the record of announcements and silence reports.
	MaxFleetRecords = 2048
)

// State is the replicated state as a snapshot holds it.
type State struct {
	Version  uint64         `msg:"v"`
	Revision table.Revision `msg:"r"`
	// ClockMS is the state's clock, LastSweepMS its value at the last sweep.
	ClockMS     int64             `msg:"t"`
	LastSweepMS int64             `msg:"tb"`
	LastAgent   table.AgentNumber `msg:"la"`
	LastService table.ServiceID   `msg:"ls"`
	// Services are in the operator's order.
	Services []Service `msg:"s"`
	Presets  []Preset  `msg:"p"`
	InForce  string    `msg:"f"`
	// Agents are ordered by number and so by age.
	Agents    []Agent          `msg:"a"`
	Balancers []BalancerRecord `msg:"b"`
	// Drains are the drained hosts, sorted.
	Drains   []string        `msg:"d"`
	Keys     []KeyRecord     `msg:"k"`
	Outcomes []OutcomeRecord `msg:"o"`
	Audit    []Record        `msg:"au"`
	Fleet    []Record        `msg:"fl"`
}

// Service is a service and the ID by which packets name it.
type Service struct {
	ID   table.ServiceID `msg:"i"`
	Spec ServiceSpec     `msg:"s"`
	// KeysFromMS is table.Service.KeysFromMS.
	KeysFromMS int64 `msg:"k,omitempty"`
}

// retiredRetentionMS returns how long retired agents of the service stay in the table, in
// milliseconds: long enough for stateless resets and for package idempotency, which asks
// for the keys that they held.
func (s *Service) retiredRetentionMS() int64 {
	window := s.Spec.KeyWindow
	if window <= 0 {
		window = idempotency.DefaultWindow
	}
	return max(RetiredRetention, window+idempotency.RetiredRetention).Milliseconds()
}

// Liveness is the state of a process after reports that it is silent.
type Liveness uint8

const (
	// Live processes are connected to a control VM.
	Live Liveness = iota
	// Suspect processes are silent but stay in service, because too many others of
	// their group are silent too.
	Suspect
	// OutOfService processes are silent and get no new work.
	OutOfService
)

// Agent is one incarnation of an agent.
type Agent struct {
	Number      table.AgentNumber `msg:"g"`
	Service     table.ServiceID   `msg:"s"`
	Name        string            `msg:"n"`
	Incarnation uint64            `msg:"i"`
	// Attachment is the highest announced number of a stream; announcements and reports
	// with a lower one are outdated.
	Attachment  uint64 `msg:"at"`
	Host        string `msg:"h"`
	DataCentre  string `msg:"d"`
	Tunnel      string `msg:"t"`
	Peer        string `msg:"p"`
	Slots       int    `msg:"l"`
	Connections int    `msg:"c"`
	// Leaving is set once the agent announces its stop.
	Leaving bool `msg:"x,omitempty"`
	// Via is the control VM that the agent is connected to.
	Via            string   `msg:"v"`
	Weight         uint32   `msg:"w"`
	PreviousWeight uint32   `msg:"pw"`
	ChangedAtMS    int64    `msg:"m"`
	JoinedAtMS     int64    `msg:"j"`
	Liveness       Liveness `msg:"q,omitempty"`
	SilentAtMS     int64    `msg:"qt,omitempty"`
	// Retired agents keep their number and get no packets.
	Retired     bool  `msg:"z,omitempty"`
	RetiredAtMS int64 `msg:"zt,omitempty"`
	// Replaced agents were retired for a later incarnation and can't return.
	Replaced bool `msg:"y,omitempty"`
}

// BalancerRecord is a registered balancer.
type BalancerRecord struct {
	Name        string   `msg:"n"`
	Incarnation uint64   `msg:"i"`
	Attachment  uint64   `msg:"at"`
	DataCentre  string   `msg:"d"`
	Tunnel      string   `msg:"t"`
	Via         string   `msg:"v"`
	Liveness    Liveness `msg:"q,omitempty"`
	SilentAtMS  int64    `msg:"qt,omitempty"`
}

// KeyRecord is one generation of the cluster keys.
type KeyRecord struct {
	Set table.KeySet `msg:"s"`
	// PreparedAt is the first table revision that contains the generation.
	PreparedAt table.Revision `msg:"p"`
	// SignsSinceMS is when the generation started to sign; 0 if it hasn't yet.
	SignsSinceMS int64 `msg:"m"`
}

// OutcomeRecord is the recorded outcome of a command ID.
type OutcomeRecord struct {
	ID          string  `msg:"i"`
	Fingerprint []byte  `msg:"f"`
	Outcome     Outcome `msg:"o"`
}

// Record is one entry of the audit or fleet record.
type Record struct {
	// Index is the command's index in the log.
	Index uint64 `msg:"i"`
	AtMS  int64  `msg:"t"`
	// Who is the operator, the process that announced itself, or the control VM that
	// reported a silent process.
	Who string `msg:"w"`
	// ProposedBy is the control VM that proposed the command.
	ProposedBy string `msg:"v" json:"Via"`
	ID         string `msg:"c,omitempty"`
	What       string `msg:"a"`
	// Code and Outcome are the result of the command.
	Code    Code   `msg:"r"`
	Outcome string `msg:"o"`
	Version uint64 `msg:"n"`
}
