package explain

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// trafficEvent is events.Traffic.Number, the event whose lines count messages.
const trafficEvent = 714

// bytesSuffix is the end of the name of a field that counts bytes, not messages.
const bytesSuffix = "_bytes"

// MessageStats is the traffic of one kind of message in one direction, over all VMs that
// logged it.
type MessageStats struct {
	// Name is the direction and the kind of message, as in "out_probe".
	Name string
	// VMs is how many VMs logged it.
	VMs int
	// Messages and Bytes are the mean rates of a VM, MaxMessages and MaxBytes those of the
	// VM with the highest; all are per second.
	Messages, MaxMessages float64
	Bytes, MaxBytes       float64
}

// messageCount is what one VM logged of one kind of message in one direction.
type messageCount struct {
	messages, bytes float64
}

// vmTraffic is what one VM logged: the sum of the intervals that its lines cover, and the
// counts by direction and kind.
type vmTraffic struct {
	seconds float64
	counts  map[string]*messageCount
}

// addTraffic adds a line that counts messages.
func (l *Log) addTraffic(vm string, raw []byte) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return err
	}
	t := l.traffic[vm]
	if t == nil {
		t = &vmTraffic{counts: map[string]*messageCount{}}
		l.traffic[vm] = t
	}
	for name, value := range fields {
		var number float64
		if json.Unmarshal(value, &number) != nil {
			continue // a text field, not a count
		}
		t.add(name, number)
	}
	return nil
}

func (t *vmTraffic) add(name string, number float64) {
	if name == "interval_s" {
		t.seconds += number
		return
	}
	if !strings.HasPrefix(name, "in_") && !strings.HasPrefix(name, "out_") {
		return
	}
	kind, isBytes := strings.CutSuffix(name, bytesSuffix)
	x := t.counts[kind]
	if x == nil {
		x = &messageCount{}
		t.counts[kind] = x
	}
	if isBytes {
		x.bytes += number
	} else {
		x.messages += number
	}
}

// Traffic returns what the VMs sent and received, ordered by mean bytes per second, the
// highest first.
func (l *Log) Traffic() []MessageStats {
	byName := map[string]*MessageStats{}
	for _, t := range l.traffic {
		for name, x := range t.counts {
			if t.seconds == 0 {
				continue
			}
			e := byName[name]
			if e == nil {
				e = &MessageStats{Name: name}
				byName[name] = e
			}
			e.addVM(x.messages/t.seconds, x.bytes/t.seconds)
		}
	}
	var out []MessageStats
	for _, e := range byName {
		e.Messages /= float64(e.VMs)
		e.Bytes /= float64(e.VMs)
		out = append(out, *e)
	}
	slices.SortFunc(out, func(a, b MessageStats) int {
		if c := cmp.Compare(b.Bytes, a.Bytes); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	return out
}

// addVM adds the rates of one VM. Messages and Bytes are sums until Traffic divides them
// by the number of VMs.
func (e *MessageStats) addVM(messages, bytes float64) {
	e.VMs++
	e.Messages += messages
	e.Bytes += bytes
	e.MaxMessages = max(e.MaxMessages, messages)
	e.MaxBytes = max(e.MaxBytes, bytes)
}

// WriteTraffic prints stats as a table.
func WriteTraffic(out io.Writer, stats []MessageStats) {
	fmt.Fprintf(out, "%-14s %5s %12s %12s %12s %12s\n", "messages", "VMs", "a second", "most", "bytes/s", "most")
	for _, e := range stats {
		fmt.Fprintf(out, "%-14s %5d %12.1f %12.1f %12.0f %12.0f\n", e.Name, e.VMs, e.Messages, e.MaxMessages, e.Bytes, e.MaxBytes)
	}
}
