// Package events defines the numbered log events. A number is never reused for
// another event. docs/EVENTS.md explains each event to operators; a test checks that
// it lists the same events as the code.
package events

import (
	"fmt"
	"slices"

	"github.com/sirupsen/logrus"
)

// Event is one kind of log line. Number identifies it; whatever differs from line to
// line is in the line's fields.
type Event struct {
	Number int
	Level  logrus.Level
	Text   string
}

var catalogue []Event

func define(number int, level logrus.Level, text string) Event {
	e := Event{Number: number, Level: level, Text: text}
	if slices.ContainsFunc(catalogue, func(x Event) bool { return x.Number == number }) {
		panic(fmt.Sprintf("events: number %d defined twice", number))
	}
	catalogue = append(catalogue, e)
	return e
}

// All returns all events, ordered by number.
func All() []Event {
	out := slices.Clone(catalogue)
	slices.SortFunc(out, func(a, b Event) int { return a.Number - b.Number })
	return out
}

// Log writes a line for e at e's level, with e.Number in the field "event".
func Log(log logrus.FieldLogger, e Event, fields logrus.Fields) {
	entry := log.WithField("event", e.Number).WithFields(fields)
	switch e.Level {
	case logrus.ErrorLevel:
		entry.Error(e.Text)
	case logrus.WarnLevel:
		entry.Warn(e.Text)
	case logrus.DebugLevel:
		entry.Debug(e.Text)
	default:
		entry.Info(e.Text)
	}
}

// ErrorText returns the text of err for a log field, or "" if err is nil.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
