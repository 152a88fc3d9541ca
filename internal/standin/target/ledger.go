package target

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Run is what the target did about one request identity.
type Run struct {
	RequestID string
	// FirstSeen is when the first head arrived.
	FirstSeen time.Time
	// Seen counts requests whose head arrived, whatever came of them.
	Seen int
	// Runs counts how often the request's work began. Over one for a submission
	// is a doubled submission.
	Runs int
	// Finished counts runs that came to their end.
	Finished int
	// Cancelled counts runs that ended early because the other side left.
	Cancelled int
	// BodySHA256 is the hash of the last body run, in hex.
	BodySHA256 string
}

type ledger struct {
	mu    sync.Mutex
	runs  []Run
	index map[string]int
}

func (l *ledger) change(id string, f func(*Run)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, ok := l.index[id]
	if !ok {
		if l.index == nil {
			l.index = map[string]int{}
		}
		i = len(l.runs)
		l.index[id] = i
		l.runs = append(l.runs, Run{RequestID: id, FirstSeen: time.Now()})
	}
	f(&l.runs[i])
}

func (l *ledger) all() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

func (l *ledger) one(id string) Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i, ok := l.index[id]; ok {
		return l.runs[i]
	}
	return Run{RequestID: id}
}

// LedgerPage is the answer of GET /_ledger, in JSON.
type LedgerPage struct {
	Service string
	Host    string
	Runs    []Run
}

func (t *Target) answerLedger(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, LedgerPage{Service: t.cfg.Service, Host: t.cfg.Host, Runs: t.Runs()})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
