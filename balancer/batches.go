package balancer

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/net/ipv4"
)

// batchHoldTime is how long a worker keeps its batch memory without receiving packets. If
// it were shorter, a socket with occasional packets would get and return the memory for
// each of them. If it were longer, a burst over all addresses would keep unused memory.
const batchHoldTime = time.Second

// readBatchPool holds batch memory that no worker uses.
var readBatchPool = sync.Pool{New: func() any { return newReadBatch(batchSize) }}

func newReadBatch(packets int) *[]ipv4.Message {
	b := make([]ipv4.Message, packets)
	for i := range b {
		b[i].Buffers = [][]byte{make([]byte, bufferSize)}
	}
	return &b
}

// batchReader reads a socket in batches while it is busy, and with memory for a single
// packet while it is idle. A balancer has thousands of addresses, nearly all of them idle
// at any time; batch memory for every address would take 129 KB each.
type batchReader struct {
	single *[]ipv4.Message
	// batch is nil while the socket is idle.
	batch *[]ipv4.Message
	// receivedSinceDeadline is set if packets arrived since the deadline was last set.
	receivedSinceDeadline bool
}

func newBatchReader() *batchReader { return &batchReader{single: newReadBatch(1)} }

// read waits for packets and returns false once the socket is closed. The packets are valid
// until the next call.
func (r *batchReader) read(s *socket) ([]ipv4.Message, bool) {
	for {
		into := *r.single
		if r.batch != nil {
			into = *r.batch
		}
		n, err := s.batch.ReadBatch(into, 0)
		switch {
		case err == nil:
			r.packetsReceived(s)
			return into[:n], true
		case errors.Is(err, net.ErrClosed):
			r.releaseBatch()
			return nil, false
		case errors.Is(err, os.ErrDeadlineExceeded):
			r.deadlineExceeded(s)
		}
		// Other errors, such as ICMP errors of packets sent earlier, don't affect this
		// socket.
	}
}

// packetsReceived records that packets arrived. The next read uses a batch.
func (r *batchReader) packetsReceived(s *socket) {
	r.receivedSinceDeadline = true
	if r.batch == nil {
		r.batch = readBatchPool.Get().(*[]ipv4.Message)
		_ = s.SetReadDeadline(time.Now().Add(batchHoldTime))
	}
}

// deadlineExceeded returns the batch memory if no packet arrived since the last deadline.
func (r *batchReader) deadlineExceeded(s *socket) {
	if r.receivedSinceDeadline {
		r.receivedSinceDeadline = false
		_ = s.SetReadDeadline(time.Now().Add(batchHoldTime))
		return
	}
	r.releaseBatch()
	_ = s.SetReadDeadline(time.Time{})
}

func (r *batchReader) releaseBatch() {
	if r.batch != nil {
		readBatchPool.Put(r.batch)
		r.batch = nil
	}
}

// writeBatchPool holds write batches that no worker uses. A worker uses one for the packets
// of one read.
var writeBatchPool = sync.Pool{New: func() any { return newWriteBatch() }}
