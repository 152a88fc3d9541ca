package peer

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
	// Unsteady says that the target has broken off too many requests of late.
	Unsteady bool `msg:"u"`
	// ColdMS is for how many milliseconds the target stays slow after its start.
	ColdMS uint32 `msg:"c"`
}
