package steering

import "bergamotstall/internal/connid"

// Shape is the version-independent part of a QUIC packet (RFC 8999): the header form bit,
// the version and the destination connection ID.
type Shape struct {
	// Long is set for a long header: the packet opens a flow or belongs to its handshake.
	Long    bool
	Version uint32
	// Destination is the destination connection ID, a slice of the packet.
	Destination []byte
	// OpensFlow is set for Initial and 0-RTT packets of versions 1 and 2, and for every
	// long header of other versions, because the agent answers these with version
	// negotiation.
	OpensFlow bool
}

const (
	formBit       = 0x80
	longHeaderMin = 7
	version1      = 0x00000001
	version2      = 0x6b3343cf
	typeShift     = 4
	typeMask      = 0x03
)

// ReadShape reads the version-independent part of a packet. It returns false if the
// packet is too short.
func ReadShape(packet []byte, shape *Shape) bool {
	if len(packet) == 0 {
		return false
	}
	if packet[0]&formBit == 0 {
		return readShort(packet, shape)
	}
	return readLong(packet, shape)
}

func readShort(packet []byte, shape *Shape) bool {
	if len(packet) < 1+connid.Size {
		return false
	}
	*shape = Shape{Destination: packet[1 : 1+connid.Size]}
	return true
}

func readLong(packet []byte, shape *Shape) bool {
	if len(packet) < longHeaderMin {
		return false
	}
	length := int(packet[5])
	if len(packet) < longHeaderMin-1+length {
		return false
	}
	version := uint32(packet[1])<<24 | uint32(packet[2])<<16 | uint32(packet[3])<<8 | uint32(packet[4])
	*shape = Shape{
		Long:        true,
		Version:     version,
		Destination: packet[6 : 6+length],
		OpensFlow:   opensFlow(version, packet[0]>>typeShift&typeMask),
	}
	return true
}

// opensFlow reports whether a packet type opens a flow. In version 2 the types are shifted
// by one (RFC 9369).
func opensFlow(version uint32, kind byte) bool {
	switch version {
	case version1:
		return kind <= 1
	case version2:
		return kind == 1 || kind == 2
	}
	return true
}
