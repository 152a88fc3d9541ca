package flowtable

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"bergamotstall/internal/passthrough/packet"
)

// BenchmarkFlowMemory measures the memory for an open flow at its agent.
func BenchmarkFlowMemory(b *testing.B) {
	for _, n := range []int{1_000, 5_000, 15_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			for range b.N {
				before := heap()
				e := New(Config{Policy: policy, Codec: codec{}})
				for i := range n {
					e.storeFlow(flowOf(uint16(i)), flow{stage: open, seenAt: time.Hour})
				}
				b.ReportMetric(float64(heap()-before)/float64(n), "B/flow")
				runtime.KeepAlive(e)
			}
		})
	}
}

// BenchmarkKnownFlow measures an agent's decisions on a client's packet and on the
// target's answer.
func BenchmarkKnownFlow(b *testing.B) {
	r := newRig(&testing.T{})
	r.open(9, 1000)
	b.ReportAllocs()
	for i := range b.N {
		if i%1024 == 0 {
			r.toTarget, r.toClient = r.toTarget[:0], r.toClient[:0]
		}
		r.fromClient(9, packet.ACK, uint32(11+100*i), 1001, 100)
		r.fromTarget(9, packet.ACK, 1001, uint32(111+100*i), 500)
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
