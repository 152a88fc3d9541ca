package peer

// Question asks an agent whether its target holds a flow.
type Question struct {
	ClientIP    [4]byte `msg:"c"`
	ClientPort  uint16  `msg:"p"`
	ServiceIP   [4]byte `msg:"s"`
	ServicePort uint16  `msg:"q"`
	// Ack is the acknowledgement number of the client's packet: it tells the
	// target whose handshake the client completed from one that only answered a
	// copy of the first packet.
	Ack uint32 `msg:"a"`
}

// Ask is a batch of questions from a balancer.
type Ask struct {
	Questions []Question `msg:"q"`
}

// Verdict is an agent's word on a flow.
type Verdict uint8

const (
	// Holds means that the target has the flow open.
	Holds Verdict = iota + 1
	// Lacks means that the target surely doesn't have it.
	Lacks
	// Unsure means that the target may have it: the agent started after its
	// target and hasn't seen all flows yet.
	Unsure
)

// Ruling answers one question.
type Ruling struct {
	Question Question `msg:"q"`
	Verdict  Verdict  `msg:"v"`
}

// Answer is a batch of rulings from an agent.
type Answer struct {
	Rulings []Ruling `msg:"r"`
}

// Report is what an agent tells balancers of its target.
type Report struct {
	// Process is random for each start of the agent.
	Process uint64 `msg:"p"`
	// Number rises with each report of a process; a late one is ignored.
	Number uint64 `msg:"n"`
	// Service is the target's, 0 while no target is known.
	Service uint64 `msg:"s"`
	// Born tells the target's incarnations apart; see flowtable.
	Born int64  `msg:"b"`
	Zone string `msg:"z"`
	// Open says that the target takes new flows.
	Open bool `msg:"o"`
	// Empty says that no target is there that could hold flows: it has left, or
	// none has announced itself for long.
	Empty bool `msg:"e"`
	// Leaving says that the agent itself is about to stop.
	Leaving bool `msg:"l"`
	// Slots is how many requests the target runs at once.
	Slots uint32 `msg:"t"`
	// Running is how many requests are in progress there now, with the first
	// packets that wait for a slot; Load is the mean of those in progress over
	// the last second, in hundredths.
	Running uint32 `msg:"r"`
	Load    uint32 `msg:"m"`
	Flows   uint32 `msg:"f"`
	// ColdMS is for how many milliseconds the target stays slow after its start.
	ColdMS uint32 `msg:"c"`
}
