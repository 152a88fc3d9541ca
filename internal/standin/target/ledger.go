package target

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// LedgerEntry records what happened to the requests with one ID.
type LedgerEntry struct {
	RequestID string
	// FirstSeen is when the first request with the ID arrived.
	FirstSeen time.Time
	// Seen counts requests whose header arrived, whatever their outcome.
	Seen int
	// Runs counts how often the request's work began. More than 1 means that a
	// submission ran twice.
	Runs int
	// Finished counts runs that completed.
	Finished int
	// Cancelled counts runs that ended early, because the client disconnected or the
	// deadline passed.
	Cancelled int
	// BodySHA256 is the hash of the last body received, in hex.
	BodySHA256 string
}

type ledger struct {
	mu    sync.Mutex
	list  []LedgerEntry
	index map[string]int
}

func (l *ledger) update(id string, f func(*LedgerEntry)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, ok := l.index[id]
	if !ok {
		if l.index == nil {
			l.index = map[string]int{}
		}
		i = len(l.list)
		l.index[id] = i
		l.list = append(l.list, LedgerEntry{RequestID: id, FirstSeen: time.Now()})
	}
	f(&l.list[i])
}

func (l *ledger) entries() []LedgerEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]LedgerEntry(nil), l.list...)
}

func (l *ledger) entry(id string) LedgerEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i, ok := l.index[id]; ok {
		return l.list[i]
	}
	return LedgerEntry{RequestID: id}
}

// LedgerPage is the JSON answer to GET /_ledger.
type LedgerPage struct {
	Service string
	Host    string
	Runs    []LedgerEntry
}

func (t *Target) handleLedger(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, LedgerPage{Service: t.cfg.Service, Host: t.cfg.Host, Runs: t.LedgerEntries()})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
