package distribution

import (
	"github.com/tinylib/msgp/msgp"

	"bergamotstall/internal/framing"
	"bergamotstall/internal/table"
)

// Frame kinds on a subscriber's stream, with the message in each.
const (
	// Subscriber to server.
	kindHello     framing.Kind = iota + 1 // hello, first frame
	kindAnnounce                          // Announcement, changed or repeated
	kindHeartbeat                         // heartbeat, in both directions
	// Server to subscriber.
	kindWelcome // welcome, first frame
	kindNumber  // numberAssignment
	kindRefusal // refusal, last frame
	kindPart    // part
	// Subscriber to server: the subscriber's table isn't the one that the server assumes.
	kindResync // heartbeat
)

// frameHeaderBytes is the size of a frame without its body.
const frameHeaderBytes = 5

// message is a message that can be sent in a frame.
type message = msgp.Marshaler

// hello opens a stream.
type hello struct {
	Role         Role         `msg:"r"`
	Announcement Announcement `msg:"a"`
	// Held is the revision that the subscriber holds, 0 for none.
	Held table.Revision `msg:"h"`
	// Digest is that of the table held.
	Digest uint64 `msg:"d"`
	// InForce is the revision in force; see heartbeat.
	InForce table.Revision `msg:"f"`
}

// welcome is the server's answer to a hello.
type welcome struct {
	Control   string    `msg:"n"`
	Heartbeat heartbeat `msg:"b"`
}

// heartbeat tells that its sender is alive, and its state.
type heartbeat struct {
	// Revision is the server's newest revision, or the one that the subscriber holds.
	Revision table.Revision `msg:"r"`
	// InForce is the revision that the subscriber's data path uses. It is lower than
	// Revision if the data path refused a table: deltas build on the held table, but it
	// must not be reported as in force. A server leaves it 0.
	InForce table.Revision `msg:"f"`
	// ContactAgeMS is the server's quorum contact age in milliseconds; see Source.
	ContactAgeMS int64 `msg:"c"`
}

// numberAssignment tells an agent the number of its incarnation.
type numberAssignment struct {
	Agent table.AgentNumber `msg:"g"`
}

// refusalReason is why a server ends a stream.
type refusalReason uint8

const (
	refusedBusy refusalReason = iota + 1
	refusedIdentity
	refusedLeaving
	refusedProtocol
)

// String returns the reason as used in counter names.
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

// refusal is the server's last message when it ends a stream.
type refusal struct {
	Reason refusalReason `msg:"r"`
	// RetryAfterMS is how long the subscriber must not retry this VM, in milliseconds.
	RetryAfterMS int64 `msg:"w"`
}

// part is a part of an update. A large update is sent in parts, so that heartbeats don't
// wait for it and the byte budget can pace it.
type part struct {
	// From is the revision that the update builds on, 0 for a snapshot.
	From table.Revision `msg:"f"`
	To   table.Revision `msg:"t"`
	// Total is the encoded size of the whole update in bytes, the same in each part.
	Total int `msg:"n"`
	// Deflated is set if the update, as a whole, is compressed.
	Deflated bool   `msg:"z"`
	Data     []byte `msg:"d"`
}
