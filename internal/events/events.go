// Package events is the catalogue of numbered log events. A number keeps its
// meaning for good; docs/EVENTS.md explains each to operators, and a test holds
// the two together.
package events

import (
	"fmt"
	"slices"

	"github.com/sirupsen/logrus"
)

// Event is one kind of log line.
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

// All returns the catalogue in order of numbers.
func All() []Event {
	out := slices.Clone(catalogue)
	slices.SortFunc(out, func(a, b Event) int { return a.Number - b.Number })
	return out
}

// Log writes one event with its number.
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

// ErrorText returns an error's text for a field, empty for nil.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
