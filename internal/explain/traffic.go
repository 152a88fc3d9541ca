package explain

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// trafficEvent is the number of the lines that count messages.
const trafficEvent = 714

// bytesSuffix ends the name of a field that holds bytes.
const bytesSuffix = "_bytes"

// Exchange is one kind of message in one direction, over all VMs that logged it.
type Exchange struct {
	// Name is the direction and the kind, as in "out_probe".
	Name string
	// VMs is how many logged it.
	VMs int
	// Messages and Bytes are a second and VM; the means, and the busiest VM's.
	Messages, MostMessages float64
	Bytes, MostBytes       float64
}

// tally is what one VM logged of one exchange.
type tally struct {
	messages, bytes float64
}

// vmTraffic is what one VM logged.
type vmTraffic struct {
	seconds float64
	tallies map[string]*tally
}

// takeTraffic adds a line that counts messages.
func (l *Log) takeTraffic(vm string, raw []byte) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return err
	}
	t := l.traffic[vm]
	if t == nil {
		t = &vmTraffic{tallies: map[string]*tally{}}
		l.traffic[vm] = t
	}
	for name, value := range fields {
		var number float64
		if json.Unmarshal(value, &number) != nil {
			continue // a word
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
	exchange, isBytes := strings.CutSuffix(name, bytesSuffix)
	x := t.tallies[exchange]
	if x == nil {
		x = &tally{}
		t.tallies[exchange] = x
	}
	if isBytes {
		x.bytes += number
	} else {
		x.messages += number
	}
}

// Traffic returns what the VMs sent and received, the exchanges with the most bytes first.
func (l *Log) Traffic() []Exchange {
	byName := map[string]*Exchange{}
	for _, t := range l.traffic {
		for name, x := range t.tallies {
			if t.seconds == 0 {
				continue
			}
			e := byName[name]
			if e == nil {
				e = &Exchange{Name: name}
				byName[name] = e
			}
			e.take(x.messages/t.seconds, x.bytes/t.seconds)
		}
	}
	var out []Exchange
	for _, e := range byName {
		e.Messages /= float64(e.VMs)
		e.Bytes /= float64(e.VMs)
		out = append(out, *e)
	}
	slices.SortFunc(out, func(a, b Exchange) int {
		if c := cmp.Compare(b.Bytes, a.Bytes); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	return out
}

// take adds one VM's rates; Messages and Bytes hold their sums until all are in.
func (e *Exchange) take(messages, bytes float64) {
	e.VMs++
	e.Messages += messages
	e.Bytes += bytes
	e.MostMessages = max(e.MostMessages, messages)
	e.MostBytes = max(e.MostBytes, bytes)
}

// WriteTraffic prints exchanges as a table.
func WriteTraffic(out io.Writer, exchanges []Exchange) {
	fmt.Fprintf(out, "%-14s %5s %12s %12s %12s %12s\n", "messages", "VMs", "a second", "most", "bytes/s", "most")
	for _, e := range exchanges {
		fmt.Fprintf(out, "%-14s %5d %12.1f %12.1f %12.0f %12.0f\n", e.Name, e.VMs, e.Messages, e.MostMessages, e.Bytes, e.MostBytes)
	}
}
