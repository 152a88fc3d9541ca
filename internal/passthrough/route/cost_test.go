package route

import (
	"fmt"
	"strconv"
	"testing"
)

// BenchmarkFullUpdate reports the size of a full update per route.
func BenchmarkFullUpdate(b *testing.B) {
	for _, n := range []int{100, 600, 2100} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			d := validDefinition()
			for i := range n {
				d.Routes = append(d.Routes, Route{
					Name: fmt.Sprintf("r-%07x", i), IP: [4]byte{198, 18, byte(i >> 8), byte(i)}, Port: 8443, TimeoutMS: 2500, Priority: 2,
					Backends: []Backend{{"huvo11a", 9000}, {"wuno96b", 1000}},
				})
			}
			for range b.N {
				s := NewReplicatedStore()
				s.setDefinition(d)
				whole, err := s.Current().Since(0)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(whole))/float64(n), "B/route")
			}
		})
	}
}
