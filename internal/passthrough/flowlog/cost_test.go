package flowlog

import "testing"

// BenchmarkRecord measures the size of a flow's record in the file.
func BenchmarkRecord(b *testing.B) {
	u := Update{Agent: "10.1.0.10:7722", Target: "i-7f3a91c2", Born: 1_700_000_000_000}
	for port := range uint16(1000) {
		u.Opened = append(u.Opened, record(40_000+port, 3_000_000_000))
	}
	for range b.N {
		frame, err := appendFrame(nil, &u)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(frame))/1000, "B/flow")
	}
}
