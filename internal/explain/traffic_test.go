package explain

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The logs of two balancers, over 20 and 10 seconds.
const trafficLog = `{"event":714,"interval_s":10,"out_probe":30,"out_probe_bytes":30,"in_report":30,"in_report_bytes":2400,"time":"2026-07-18T01:13:03Z","vm":"entry-1"}
{"event":714,"interval_s":10,"out_probe":10,"out_probe_bytes":10,"in_report":10,"in_report_bytes":800,"time":"2026-07-18T01:13:13Z","vm":"entry-1"}
{"event":714,"interval_s":10,"out_probe":40,"out_probe_bytes":40,"time":"2026-07-18T01:13:03Z","vm":"entry-2"}
`

// Guards against rates that mix up VMs or directions: counts are summed by VM and kind of
// message, divided by the VM's time, and averaged over the VMs that logged the kind.
func TestTrafficIsSummedByKind(t *testing.T) {
	is := is.New(t)
	l := NewLog()
	is.NoErr(l.Add(strings.NewReader(trafficLog)))
	is.Equal(l.Traffic(), []MessageStats{
		{Name: "in_report", VMs: 1, Messages: 2, MaxMessages: 2, Bytes: 160, MaxBytes: 160},
		{Name: "out_probe", VMs: 2, Messages: 3, MaxMessages: 4, Bytes: 3, MaxBytes: 4},
	})
	var out bytes.Buffer
	WriteTraffic(&out, l.Traffic())
	is.True(strings.Contains(out.String(), "out_probe          2          3.0          4.0            3            4\n"))
}
