// Package metrics publishes counters, gauges and latency histograms as JSON through
// expvar. Each instance of a role has a Set of its own, so that several roles can run in
// one process, as in the demo, without sharing names.
package metrics

import (
	"expvar"
	"net"
	"net/http"
	"sync"

	"github.com/go-faster/errors"
)

// Set is the metrics of one instance of a role. It is safe for concurrent use.
type Set struct {
	mu   sync.Mutex
	vars *expvar.Map
	mux  *http.ServeMux
}

// New returns an empty set. Listen publishes it.
func New() *Set {
	s := &Set{vars: new(expvar.Map).Init(), mux: http.NewServeMux()}
	s.Handle("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = w.Write([]byte(s.String()))
	})
	return s
}

// Handle serves a read-only question about the role beside the set.
func (s *Set) Handle(pattern string, answer http.HandlerFunc) { s.mux.HandleFunc(pattern, answer) }

// Counter returns the counter with the given name, which it creates on first use. It
// takes a lock: callers on a hot path keep the result.
func (s *Set) Counter(name string) *expvar.Int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := s.vars.Get(name).(*expvar.Int); ok {
		return v
	}
	v := new(expvar.Int)
	s.vars.Set(name, v)
	return v
}

// Gauge publishes a number under the given name; read is called each time the set is read.
func (s *Set) Gauge(name string, read func() int64) {
	s.vars.Set(name, expvar.Func(func() any { return read() }))
}

// Text publishes a text under the given name; read is called each time the set is read.
func (s *Set) Text(name string, read func() string) {
	s.vars.Set(name, expvar.Func(func() any { return read() }))
}

// Value returns the value of a counter or gauge, or 0 if there is none with the name.
func (s *Set) Value(name string) int64 {
	switch v := s.vars.Get(name).(type) {
	case *expvar.Int:
		return v.Value()
	case expvar.Func:
		n, _ := v().(int64)
		return n
	}
	return 0
}

// Counters returns the values of all counters, ordered by name.
func (s *Set) Counters() []Reading {
	var out []Reading
	s.vars.Do(func(kv expvar.KeyValue) {
		if v, ok := kv.Value.(*expvar.Int); ok {
			out = append(out, Reading{Name: kv.Key, Value: v.Value()})
		}
	})
	return out
}

// Reading is the value of one counter at the time it was read.
type Reading struct {
	Name  string
	Value int64
}

// String returns the set as JSON; it implements expvar.Var.
func (s *Set) String() string { return s.vars.String() }

// Listen serves the set over HTTP at /debug/vars on the given TCP address until the
// returned listener is closed.
func (s *Set) Listen(address string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "metrics: listen")
	}
	go func() { _ = http.Serve(ln, s.mux) }()
	return ln, nil
}
