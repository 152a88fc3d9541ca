// Package traffic counts what a node sends to and receives from others, by kind of
// message, as metrics and in a periodic log line. The load balancer's own messages share
// thin links with its callers' packets; the counts tell how much each kind takes.
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

// Meter counts messages and bytes by kind in both directions. Its methods are safe for
// concurrent use. A nil Meter counts nothing.
type Meter struct {
	kinds []kindCounters
}

// kindCounters holds the counters of one kindCounters of message.
type kindCounters struct {
	name    string
	in, out direction
}

type direction struct {
	messages, bytes *expvar.Int
	// loggedMessages and loggedBytes are the counts at the last log line.
	loggedMessages, loggedBytes int64
}

// New returns a meter. A kind's number is the index of its name.
func New(m *metrics.Set, names ...string) *Meter {
	t := &Meter{}
	for _, name := range names {
		t.kinds = append(t.kinds, kindCounters{
			name: name,
			in:   direction{messages: m.Counter("messages_in_" + name), bytes: m.Counter("bytes_in_" + name)},
			out:  direction{messages: m.Counter("messages_out_" + name), bytes: m.Counter("bytes_out_" + name)},
		})
	}
	return t
}

// In counts a received message. An unknown kind counts as kind 0.
func (t *Meter) In(kind, bytes int) {
	if t != nil {
		t.kinds[t.kindIndex(kind)].in.add(bytes)
	}
}

// Out counts a sent message. An unknown kind counts as kind 0.
func (t *Meter) Out(kind, bytes int) {
	if t != nil {
		t.kinds[t.kindIndex(kind)].out.add(bytes)
	}
}

func (t *Meter) kindIndex(kind int) int {
	if kind < 0 || kind >= len(t.kinds) {
		return 0
	}
	return kind
}

func (d *direction) add(bytes int) {
	d.messages.Add(1)
	d.bytes.Add(int64(bytes))
}

// Run logs the counts at each interval until ctx is done.
func (t *Meter) Run(ctx context.Context, log logrus.FieldLogger) {
	for wait.For(ctx, Interval) {
		t.log(log)
	}
}

// log writes one line with the counts since the last one; kinds without messages are left
// out.
func (t *Meter) log(log logrus.FieldLogger) {
	fields := logrus.Fields{"interval_s": Interval.Seconds()}
	for i := range t.kinds {
		k := &t.kinds[i]
		k.in.addFields(fields, "in_"+k.name)
		k.out.addFields(fields, "out_"+k.name)
	}
	events.Log(log, events.MessageTraffic, fields)
}

// addFields adds the counts since the last log line to the fields.
func (d *direction) addFields(fields logrus.Fields, name string) {
	messages, bytes := d.messages.Value(), d.bytes.Value()
	if messages > d.loggedMessages {
		fields[name] = messages - d.loggedMessages
		fields[name+"_bytes"] = bytes - d.loggedBytes
	}
	d.loggedMessages, d.loggedBytes = messages, bytes
}
