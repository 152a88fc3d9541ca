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

// record is what one sync makes durable. Each write to a segment is one record,
// so that at most the last one can be torn.
type record struct {
	// Number counts the replica's records without a gap.
	Number  uint64  `msg:"n"`
	Replica raft.ID `msg:"r"`
	// Reset drops all that came before: the record holds the whole log after
	// the snapshot.
	Reset bool           `msg:"x"`
	Hard  raft.HardState `msg:"h"`
	// Commit is an entry known to be committed when the record was written.
	Commit  raft.Index   `msg:"c"`
	Entries []raft.Entry `msg:"e"`
}

// Identity says who a data folder is.
type Identity struct {
	// Replica is random and never changes. A VM whose disk is lost gets another
	// one, so it can't speak for what the lost disk had promised.
	Replica raft.ID `msg:"r"`
	// Cluster is 0 until the replica has joined one.
	Cluster uint64 `msg:"c"`
}

const (
	headerSize = 16
	// sector is the unit that a disk writes whole.
	sector = 512
	// maxRecord bounds a record's length; one holds a log's tail or a snapshot.
	maxRecord = 1 << 30
)

var (
	magic      = []byte("BSJ1")
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// frame returns a record's bytes: magic, length, CRC-32C of the body, CRC-32C
// of the header so far, body. The header has a checksum of its own so that a
// damaged length can't pass for a write that the power cut short.
func frame(m msgp.Marshaler) ([]byte, error) {
	buf, err := m.MarshalMsg(make([]byte, headerSize))
	if err != nil {
		return nil, errors.Wrap(err, "journal: encode")
	}
	body := buf[headerSize:]
	copy(buf, magic)
	binary.LittleEndian.PutUint32(buf[4:], uint32(len(body)))
	binary.LittleEndian.PutUint32(buf[8:], crc32.Checksum(body, castagnoli))
	binary.LittleEndian.PutUint32(buf[12:], crc32.Checksum(buf[:12], castagnoli))
	return buf, nil
}

// CorruptError is damage that no power cut explains. The replica doesn't start:
// what it had acknowledged may be gone.
type CorruptError struct {
	File   string
	Offset int64
	What   string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("journal: %s: offset %d: %s", e.File, e.Offset, e.What)
}

// length returns the body's length if a valid header is at the start of data.
func length(data []byte) (int, bool) {
	if len(data) < headerSize || !bytes.Equal(data[:4], magic) {
		return 0, false
	}
	if binary.LittleEndian.Uint32(data[12:]) != crc32.Checksum(data[:12], castagnoli) {
		return 0, false
	}
	n := binary.LittleEndian.Uint32(data[4:])
	return int(n), n <= maxRecord
}

// next returns the body of the record at the start of data and what follows;
// false if there is no whole record.
func next(data []byte) (body, rest []byte, ok bool) {
	n, ok := length(data)
	if !ok || len(data)-headerSize < n {
		return nil, nil, false
	}
	body = data[headerSize : headerSize+n]
	if binary.LittleEndian.Uint32(data[8:]) != crc32.Checksum(body, castagnoli) {
		return nil, nil, false
	}
	return body, data[headerSize+n:], true
}

// tornAt says whether the bad bytes from offset to the end of the file can be
// what a power cut left of the last write. That write was the only one not
// synced: the file ends inside it, or sectors of it were never written and read
// as zeros. Any other bad bytes were once synced, and perhaps acknowledged.
func tornAt(data []byte, offset int) bool {
	rest := data[offset:]
	if len(rest) < headerSize {
		return true
	}
	if n, ok := length(rest); ok && len(rest) != headerSize+n {
		return len(rest) < headerSize+n
	}
	return !holdsHeader(rest[1:]) && hasBlankSector(data, offset)
}

// holdsHeader says whether a later record begins somewhere in data.
func holdsHeader(data []byte) bool {
	for {
		at := bytes.Index(data, magic)
		if at < 0 {
			return false
		}
		if _, ok := length(data[at:]); ok {
			return true
		}
		data = data[at+1:]
	}
}

func hasBlankSector(data []byte, offset int) bool {
	for from := offset; from < len(data); {
		to := min((from/sector+1)*sector, len(data))
		if len(bytes.Trim(data[from:to], "\x00")) == 0 {
			return true
		}
		from = to
	}
	return false
}
