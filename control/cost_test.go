package control

import (
	"fmt"
	"sync/atomic"
	"testing"

	"bergamotstall/internal/distribution"
)

// BenchmarkCommand measures the latency of an accepted command: connect, commit with the
// disk syncs of a majority, apply, reply.
func BenchmarkCommand(b *testing.B) {
	for _, n := range []int{1, 3, 5} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			c := startCluster(b, n)
			c.mustApplyDefinition()
			op := client(c.awaitLeader())
			i := 0
			for b.Loop() {
				i++
				if _, err := op.Command(b.Context(), switchTo([]string{"peak", "ordinary"}[i%2], "", 0)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkAnnounce measures concurrent announcements of new agents, as after a power cut,
// and of known agents, as when the subscribers of a failed control VM reconnect to another.
func BenchmarkAnnounce(b *testing.B) {
	for _, n := range []int{1, 3, 5} {
		c := startCluster(b, n)
		c.mustApplyDefinition()
		registrar := c.awaitLeader().control.registrar
		var next atomic.Uint64
		announce := func(b *testing.B, hosts uint64) {
			b.SetParallelism(4)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					i := next.Add(1)
					host := fmt.Sprint("casework-", i%hosts)
					a := distribution.Announcement{
						Name: host, Incarnation: 1, Attachment: i, Tunnel: "127.0.2.1:9000", Peer: "127.0.2.1:9001",
						Service: "casework", Host: host, Slots: 4, Connections: 2000,
					}
					if _, err := registrar.AnnounceAgent(b.Context(), a); err != nil {
						b.Error(err)
						return
					}
				}
			})
		}
		b.Run(fmt.Sprintf("vms=%d/new", n), func(b *testing.B) { announce(b, 1<<40) })
		b.Run(fmt.Sprintf("vms=%d/known", n), func(b *testing.B) { announce(b, 500) })
	}
}
