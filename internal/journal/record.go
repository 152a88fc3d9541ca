package journal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/go-faster/errors"
	"github.com/tinylib/msgp/msgp"

	"bergamotstall/internal/raft"
)

//go:generate env GOWORK=off go -C ../../tools tool msgp -file ../internal/journal/record.go -o ../internal/journal/record_gen.go -tests=false -unexported -io=false

// record is the unit of writing: each is written and synced before the next, so that a
// power cut can tear at most the last one.
type record struct {
	// Number numbers the replica's records without gaps, across segments.
	Number  uint64  `msg:"n"`
	Replica raft.ID `msg:"r"`
	// Reset says that the record has all log entries after the snapshot: entries of
	// earlier records are dropped.
	Reset bool           `msg:"x"`
	Hard  raft.HardState `msg:"h"`
	// Commit is the index of an entry known to be committed when the record was written.
	Commit  raft.Index   `msg:"c"`
	Entries []raft.Entry `msg:"e"`
}

// Identity identifies the replica that a data folder belongs to, and its cluster.
type Identity struct {
	// Replica is random and never changes. A VM that lost its disk gets another ID, because
	// it no longer knows the votes and entries that it acknowledged under the old one.
	Replica raft.ID `msg:"r"`
	// Cluster is 0 until the replica has joined one.
	Cluster uint64 `msg:"c"`
}

const (
	headerSize = 16
	// sectorSize is the number of bytes that a disk writes atomically.
	sectorSize = 512
	// maxBodyBytes is the maximum length of a body. A body can be the whole log after a
	// snapshot, or a snapshot.
	maxBodyBytes = 1 << 30
)

var (
	magic    = []byte("BSJ1")
	crcTable = crc32.MakeTable(crc32.Castagnoli)
)

// encodeFrame encodes m with a header: magic, length, CRC-32C of the body, CRC-32C of the
// header so far; then the body. The header has its own checksum so that a damaged length
// isn't taken for a write that a power cut interrupted.
func encodeFrame(m msgp.Marshaler) ([]byte, error) {
	buf, err := m.MarshalMsg(make([]byte, headerSize))
	if err != nil {
		return nil, errors.Wrap(err, "journal: encode")
	}
	body := buf[headerSize:]
	copy(buf, magic)
	binary.LittleEndian.PutUint32(buf[4:], uint32(len(body)))
	binary.LittleEndian.PutUint32(buf[8:], crc32.Checksum(body, crcTable))
	binary.LittleEndian.PutUint32(buf[12:], crc32.Checksum(buf[:12], crcTable))
	return buf, nil
}

// CorruptError is damage that a power cut can't have caused. The replica doesn't start,
// because state that it acknowledged may be lost.
type CorruptError struct {
	File   string
	Offset int64
	What   string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("journal: %s: offset %d: %s", e.File, e.Offset, e.What)
}

// bodyLength returns the length of the body, or false if data doesn't begin with a valid
// header.
func bodyLength(data []byte) (int, bool) {
	if len(data) < headerSize || !bytes.Equal(data[:4], magic) {
		return 0, false
	}
	if binary.LittleEndian.Uint32(data[12:]) != crc32.Checksum(data[:12], crcTable) {
		return 0, false
	}
	n := binary.LittleEndian.Uint32(data[4:])
	return int(n), n <= maxBodyBytes
}

// decodeFrame returns the body of the frame at the start of data and the data after it,
// or false if there is no complete, undamaged frame.
func decodeFrame(data []byte) (body, rest []byte, ok bool) {
	n, ok := bodyLength(data)
	if !ok || len(data)-headerSize < n {
		return nil, nil, false
	}
	body = data[headerSize : headerSize+n]
	if binary.LittleEndian.Uint32(data[8:]) != crc32.Checksum(body, crcTable) {
		return nil, nil, false
	}
	return body, data[headerSize+n:], true
}

// isTornWrite reports whether the damaged bytes from offset to the end of the file can be
// what a power cut left of the last write, the only one not synced: either the file ends
// within it, or some of its sectors weren't written and read as zeros. Any other damaged
// bytes were synced before, and perhaps acknowledged.
func isTornWrite(data []byte, offset int) bool {
	rest := data[offset:]
	if len(rest) < headerSize {
		return true
	}
	if n, ok := bodyLength(rest); ok && len(rest) != headerSize+n {
		return len(rest) < headerSize+n
	}
	return !containsHeader(rest[1:]) && hasZeroSector(data, offset)
}

// containsHeader reports whether a valid header is anywhere in data.
func containsHeader(data []byte) bool {
	for {
		i := bytes.Index(data, magic)
		if i < 0 {
			return false
		}
		if _, ok := bodyLength(data[i:]); ok {
			return true
		}
		data = data[i+1:]
	}
}

// hasZeroSector reports whether one of the sectors of data from offset on has zeros only.
// The first and the last may be parts of a sector.
func hasZeroSector(data []byte, offset int) bool {
	for start := offset; start < len(data); {
		end := min((start/sectorSize+1)*sectorSize, len(data))
		if len(bytes.Trim(data[start:end], "\x00")) == 0 {
			return true
		}
		start = end
	}
	return false
}
