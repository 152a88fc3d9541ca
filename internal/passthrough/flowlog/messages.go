package flowlog

//go:generate env GOWORK=off go -C ../../../tools tool msgp -file ../internal/passthrough/flowlog/messages.go -o ../internal/passthrough/flowlog/messages_gen.go -tests=false -io=false

// Record is one open flow.
type Record struct {
	ClientIP    [4]byte `msg:"c"`
	ClientPort  uint16  `msg:"p"`
	ServiceIP   [4]byte `msg:"s"`
	ServicePort uint16  `msg:"q"`
	// Ack is a recent acknowledgement of the client: a reset must be near the newest one.
	Ack uint32 `msg:"a"`
}

// Update is an agent's report of changes to its target's flows.
type Update struct {
	// Agent is the address at which the agent receives datagrams.
	Agent string `msg:"g"`
	// Target and Born identify the incarnation that holds the flows.
	Target string `msg:"t"`
	Born   int64  `msg:"b"`
	// Whole is set if Opened lists all flows, so that earlier updates are void.
	Whole  bool     `msg:"w"`
	Opened []Record `msg:"o"`
	Ended  []Record `msg:"e"`
}
