package balancer

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/net/ipv4"
)

// busyFor is how long a worker keeps the memory for batches after the last
// packet. Short, and a socket with a packet now and then would take and return
// it each time; long, and a burst over all addresses would hold it for nothing.
const busyFor = time.Second

// readBatches are memory for batches that no worker holds.
var readBatches = sync.Pool{New: func() any { return newReadBatch(batchSize) }}

func newReadBatch(packets int) *[]ipv4.Message {
	b := make([]ipv4.Message, packets)
	for i := range b {
		b[i].Buffers = [][]byte{make([]byte, bufferSize)}
	}
	return &b
}

// reader reads a socket in batches while packets come, and one by one with
// memory for one packet while none do. A balancer has thousands of addresses,
// nearly all of them quiet at any moment; with a batch's memory for each it held
// 129 KB an address.
type reader struct {
	single *[]ipv4.Message
	// batch is nil while the socket is quiet.
	batch *[]ipv4.Message
	// served tells whether packets came since the deadline was last set.
	served bool
}

func newReader() *reader { return &reader{single: newReadBatch(1)} }

// read waits for packets, and returns false once the socket is closed. What it
// returned before is no longer valid.
func (r *reader) read(s *socket) ([]ipv4.Message, bool) {
	for {
		into := *r.single
		if r.batch != nil {
			into = *r.batch
		}
		n, err := s.batch.ReadBatch(into, 0)
		switch {
		case err == nil:
			r.came(s)
			return into[:n], true
		case errors.Is(err, net.ErrClosed):
			r.release()
			return nil, false
		case errors.Is(err, os.ErrDeadlineExceeded):
			r.passed(s)
		}
		// The kernel reports unreachable receivers of earlier packets here too;
		// they say nothing about this socket.
	}
}

// came notes that packets came; the next read takes a batch.
func (r *reader) came(s *socket) {
	r.served = true
	if r.batch == nil {
		r.batch = readBatches.Get().(*[]ipv4.Message)
		_ = s.SetReadDeadline(time.Now().Add(busyFor))
	}
}

// passed is called when the deadline is over.
func (r *reader) passed(s *socket) {
	if r.served {
		r.served = false
		_ = s.SetReadDeadline(time.Now().Add(busyFor))
		return
	}
	r.release()
	_ = s.SetReadDeadline(time.Time{})
}

func (r *reader) release() {
	if r.batch != nil {
		readBatches.Put(r.batch)
		r.batch = nil
	}
}

// writeBatches are outBatches that no worker holds. A worker takes one for what
// one read brought.
var writeBatches = sync.Pool{New: func() any { return newOutBatch() }}
