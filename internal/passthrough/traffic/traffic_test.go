package traffic

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/metrics"
)

func TestCountsByKind(t *testing.T) {
	is := is.New(t)
	m := metrics.New()
	meter := New(m, "packet", "probe")
	meter.Out(1, 29)
	meter.Out(1, 29)
	meter.In(0, 100)
	meter.In(7, 1) // an unknown kind, as from a later version
	is.Equal(m.Value("messages_out_probe"), int64(2))
	is.Equal(m.Value("bytes_out_probe"), int64(58))
	is.Equal(m.Value("bytes_in_packet"), int64(101))

	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(&logrus.JSONFormatter{})
	line := func() map[string]any {
		out.Reset()
		meter.log(log)
		fields := map[string]any{}
		is.NoErr(json.Unmarshal(out.Bytes(), &fields))
		return fields
	}
	first := line()
	is.Equal(first["out_probe"], 2.0)
	is.Equal(first["out_probe_bytes"], 58.0)
	is.Equal(first["in_probe"], nil)
	meter.Out(1, 29)
	is.Equal(line()["out_probe"], 1.0) // counted since the last line
}

func TestNilMeterCountsNothing(t *testing.T) {
	var meter *Meter
	meter.In(0, 1)
	meter.Out(0, 1)
}

// Guards against an allocation for each counted message.
func TestCountingAllocatesNothing(t *testing.T) {
	meter := New(metrics.New(), "packet")
	if n := testing.AllocsPerRun(1000, func() { meter.In(0, 100) }); n != 0 {
		t.Errorf("%v allocations a message", n)
	}
}
