package proxy

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"bergamotstall/internal/standin/target"
)

// BenchmarkSubmission compares a submission with and without an idempotency key, with
// five agents on loopback.
//
//	go test ./internal/proxy -run '^$' -bench Submission -benchtime 3000x
func BenchmarkSubmission(b *testing.B) {
	for _, keyed := range []bool{false, true} {
		name := "plain"
		if keyed {
			name = "keyed"
		}
		b.Run(name, func(b *testing.B) {
			c := newCluster(b, 5, target.Faults{}, Limits{Slots: 7})
			h := c.hosts[0]
			took := make([]float64, 0, b.N)
			for i := range b.N {
				id := fmt.Sprint("r", i)
				var headers []string
				if keyed {
					headers = []string{HeaderKey, id, "Authorization", fmt.Sprint("caller ", i%50)}
				}
				start := time.Now()
				if got := h.submit(id, "note", headers...); got.status != http.StatusOK {
					b.Fatal(got)
				}
				took = append(took, float64(time.Since(start).Microseconds()))
			}
			slices.Sort(took)
			b.ReportMetric(took[len(took)/2], "p50-µs")
			b.ReportMetric(took[len(took)*99/100], "p99-µs")
			if keyed {
				b.ReportMetric(float64(h.count("claims.micros"))/float64(b.N), "claim-µs/op")
			}
		})
	}
}
