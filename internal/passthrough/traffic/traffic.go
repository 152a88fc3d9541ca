// Package traffic counts what a node sends to and receives from others, by kind of
// message, on the metrics address and in a log line at an interval. The product's own
// messages share thin links with its callers' packets; the counts tell how much each
// exchange takes.
package traffic

import (
	"context"
	"expvar"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/metrics"
	"bergamotstall/internal/wait"
)

// Interval is the time between two log lines.
const Interval = 10 * time.Second

// Meter counts messages and bytes in both directions by kind. Its methods may be called
// from several goroutines. A nil Meter counts nothing.
type Meter struct {
	kinds []kind
}

// kind is the counters of one kind of message.
type kind struct {
	name    string
	in, out direction
}

type direction struct {
	messages, bytes *expvar.Int
	// loggedMessages and loggedBytes are the counts of the last log line.
	loggedMessages, loggedBytes int64
}

// New returns a meter; the names' places are the kinds.
func New(m *metrics.Set, names ...string) *Meter {
	t := &Meter{}
	for _, name := range names {
		t.kinds = append(t.kinds, kind{
			name: name,
			in:   direction{messages: m.Counter("messages_in_" + name), bytes: m.Counter("bytes_in_" + name)},
			out:  direction{messages: m.Counter("messages_out_" + name), bytes: m.Counter("bytes_out_" + name)},
		})
	}
	return t
}

// In counts a message received. A kind without a name counts as the first one.
func (t *Meter) In(kind, bytes int) {
	if t != nil {
		t.kinds[t.known(kind)].in.add(bytes)
	}
}

// Out counts a message sent.
func (t *Meter) Out(kind, bytes int) {
	if t != nil {
		t.kinds[t.known(kind)].out.add(bytes)
	}
}

func (t *Meter) known(kind int) int {
	if kind < 0 || kind >= len(t.kinds) {
		return 0
	}
	return kind
}

func (d *direction) add(bytes int) {
	d.messages.Add(1)
	d.bytes.Add(int64(bytes))
}

// Run logs what was counted at each interval until ctx is done.
func (t *Meter) Run(ctx context.Context, log logrus.FieldLogger) {
	for wait.For(ctx, Interval) {
		t.log(log)
	}
}

// log writes one line with the counts since the last one; kinds without messages are
// left out.
func (t *Meter) log(log logrus.FieldLogger) {
	fields := logrus.Fields{"interval_s": Interval.Seconds()}
	for i := range t.kinds {
		k := &t.kinds[i]
		k.in.put(fields, "in_"+k.name)
		k.out.put(fields, "out_"+k.name)
	}
	events.Log(log, events.Traffic, fields)
}

// put adds the counts since the last line to it.
func (d *direction) put(fields logrus.Fields, name string) {
	messages, bytes := d.messages.Value(), d.bytes.Value()
	if messages > d.loggedMessages {
		fields[name] = messages - d.loggedMessages
		fields[name+"_bytes"] = bytes - d.loggedBytes
	}
	d.loggedMessages, d.loggedBytes = messages, bytes
}
