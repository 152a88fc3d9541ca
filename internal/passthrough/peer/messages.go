package peer

// Report is an agent's report of its target's state to balancers.
type Report struct {
	// Process is a random number drawn at each start of the agent.
	Process uint64 `msg:"p"`
	// Sequence rises with each report of a process; reports that arrive out of order are
	// ignored.
	Sequence uint64 `msg:"n"`
	// Service is the target's, 0 while no target is known.
	Service uint64 `msg:"s"`
	// Incarnation distinguishes the target's incarnations; see package flowtable.
	Incarnation int64  `msg:"b"`
	Zone        string `msg:"z"`
	// AcceptsFlows says that the target accepts new flows.
	AcceptsFlows bool `msg:"o"`
	// NoTarget says that no target is there that could hold flows: it has left, or none has
	// announced itself for a long time.
	NoTarget bool `msg:"e"`
	// Leaving says that the agent itself is about to stop.
	Leaving bool `msg:"l"`
	// Slots is how many requests the target runs at once.
	Slots uint32 `msg:"t"`
	// Running is how many requests are in progress now, plus the first packets that wait
	// for a slot; Load is the mean number of requests in progress over the last second,
	// in hundredths.
	Running uint32 `msg:"r"`
	Load    uint32 `msg:"m"`
	Flows   uint32 `msg:"f"`
	// Unsteady says that the target has recently aborted too many requests.
	Unsteady bool `msg:"u"`
	// ColdMS is for how many more milliseconds the target is warming up after its start.
	ColdMS uint32 `msg:"c"`
	// Capacity is how many requests the target runs at full speed, in hundredths, as learned
	// by its agent; 0 while that isn't known, or is no other than Slots.
	Capacity uint32 `msg:"k,omitempty"`
	// ServiceMicros is how long the target takes for a request of one of its routes in
	// microseconds, 0 while that isn't known for certain; ServiceRoute stands for the route.
	ServiceMicros uint32 `msg:"v,omitempty"`
	ServiceRoute  uint64 `msg:"q,omitempty"`
	// WaitMS is how long a first packet that arrives now waits for its turn, in
	// milliseconds.
	WaitMS uint32 `msg:"w,omitempty"`
	// Waiting counts the callers that wait for a slot by urgency; see AppendWaiting. It is
	// empty while nobody waits.
	Waiting []byte `msg:"h,omitempty"`
}
