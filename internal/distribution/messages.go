package distribution

import (
	"github.com/tinylib/msgp/msgp"

	"bergamotstall/internal/framing"
	"bergamotstall/internal/table"
)

// Kinds of frames on a subscriber's stream.
const (
	// Subscriber to server.
	kindHello    framing.Kind = iota + 1 // hello, first frame
	kindAnnounce                         // Announcement, again
	kindBeat                             // beat, both ways
	// Server to subscriber.
	kindWelcome // welcome, first frame
	kindNumber  // number
	kindRefusal // refusal, last frame
	kindPart    // part
	// Subscriber to server: the table it holds isn't what the server thinks.
	kindResync // beat
)

// frameHeader is the bytes of a frame beside its body.
const frameHeader = 5

// encodable is a message that can be sent.
type encodable = msgp.Marshaler

// hello opens a stream.
type hello struct {
	Role         Role         `msg:"r"`
	Announcement Announcement `msg:"a"`
	// Have is the revision the subscriber holds, 0 for none.
	Have table.Revision `msg:"h"`
	// Digest is that of the table held.
	Digest uint64 `msg:"d"`
	// InForce is the revision in force; see beat.
	InForce table.Revision `msg:"f"`
}

// welcome answers a hello.
type welcome struct {
	Control string `msg:"n"`
	Beat    beat   `msg:"b"`
}

// beat says that its sender is alive, and where it stands.
type beat struct {
	// Revision is what the server has, or what the subscriber holds.
	Revision table.Revision `msg:"r"`
	// InForce is the revision that the subscriber's data path runs on. It is lower
	// than Revision where the data path refused a table: deltas go on from the one
	// held, but nobody may be told that it is in force. A server leaves it 0.
	InForce table.Revision `msg:"f"`
	// ContactAgeMS is the server's quorum contact age in milliseconds.
	ContactAgeMS int64 `msg:"c"`
}

// number tells an agent the number of its incarnation.
type number struct {
	Agent table.AgentNumber `msg:"g"`
}

// refusalReason says why a server ends a stream.
type refusalReason uint8

const (
	refusedBusy refusalReason = iota + 1
	refusedIdentity
	refusedLeaving
	refusedProtocol
)

// String returns the reason as counters name it.
func (r refusalReason) String() string {
	switch r {
	case refusedBusy:
		return "busy"
	case refusedIdentity:
		return "identity"
	case refusedLeaving:
		return "leaving"
	case refusedProtocol:
		return "protocol"
	}
	return "unknown"
}

// refusal ends a stream.
type refusal struct {
	Reason refusalReason `msg:"r"`
	// RetryAfterMS is how long to keep away from this VM, in milliseconds.
	RetryAfterMS int64 `msg:"w"`
}

// part is a piece of an update. A large update travels in pieces, so that a
// heartbeat never waits behind it and the byte budget paces it.
type part struct {
	// From is the revision the update builds on; 0 marks a whole table.
	From table.Revision `msg:"f"`
	To   table.Revision `msg:"t"`
	// Total is the update's encoded size in bytes, the same in each part.
	Total int `msg:"n"`
	// Deflated updates are compressed as a whole.
	Deflated bool   `msg:"z"`
	Data     []byte `msg:"d"`
}
