package target

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	// ServiceHeader and HostHeader identify the target that answered.
	ServiceHeader = "X-Service"
	HostHeader    = "X-Host"
	// SumTrailer is the trailer with the SHA-256 of a download, in hex.
	SumTrailer = "X-Content-Sha256"

	chunkSize = 64 << 10
	// bodyLimit bounds the body of a submission, so that a request can't occupy the
	// target forever.
	bodyLimit = 64 << 20
)

// Submission is the JSON answer to POST /submit.
type Submission struct {
	Service    string
	Host       string
	RequestID  string
	BodySHA256 string
}

// Load is the JSON answer to GET /load.
type Load struct {
	Slots   int
	Running int
	Waiting int
	// MeasuredAt is when the values were taken.
	MeasuredAt time.Time
}

// Content returns the unlimited content of a service's download for a seed. It differs
// between services, so that a checker detects an answer from another service.
func Content(service string, seed uint64) io.Reader {
	key := sha256.Sum256(binary.BigEndian.AppendUint64([]byte(service+"\x00"), seed))
	return rand.NewChaCha8(key)
}

// ContentSum returns the hex SHA-256 of the first n bytes of Content.
func ContentSum(service string, seed uint64, n int64) string {
	h := sha256.New()
	_, _ = io.CopyN(h, Content(service, seed), n)
	return hex.EncodeToString(h.Sum(nil))
}

// withFaults records the request and applies the faults that are the same for all kinds
// of requests, then calls next.
func (t *Target) withFaults(next func(http.ResponseWriter, *http.Request, Faults)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(RequestIDHeader)
		t.ledger.update(id, func(x *LedgerEntry) { x.Seen++ })
		w.Header().Set(ServiceHeader, t.cfg.Service)
		w.Header().Set(HostHeader, t.cfg.Host)
		f := t.Faults()
		if f.Cut == CutBefore {
			panic(http.ErrAbortHandler)
		}
		if f.Shed == ShedAlways || f.Drain {
			rejectShed(w)
			return
		}
		next(w, r, f)
	}
}

func rejectShed(w http.ResponseWriter) {
	w.Header().Set("Retry-After", "1")
	http.Error(w, "shedding load", http.StatusServiceUnavailable)
}

// runInSlot occupies a slot for the work time. It returns false after writing an error
// if the request was shed, or ended early because the client disconnected or its
// deadline passed.
func (t *Target) runInSlot(w http.ResponseWriter, r *http.Request, f Faults) bool {
	id := r.Header.Get(RequestIDHeader)
	ctx, cancel := withDeadline(r)
	defer cancel()
	if !t.slots.acquire(ctx, f.Shed != ShedFull) {
		rejectShed(w)
		return false
	}
	defer t.slots.release()
	t.ledger.update(id, func(x *LedgerEntry) { x.Runs++ })
	if f.Silent {
		<-r.Context().Done()
	}
	timer := time.NewTimer(t.workTime(f))
	defer timer.Stop()
	select {
	case <-timer.C:
		t.ledger.update(id, func(x *LedgerEntry) { x.Finished++ })
		return true
	case <-ctx.Done():
		t.ledger.update(id, func(x *LedgerEntry) { x.Cancelled++ })
		http.Error(w, "deadline exceeded", http.StatusGatewayTimeout)
		return false
	}
}

func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(DeadlineHeader), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

func (t *Target) feed(w http.ResponseWriter, r *http.Request, f Faults) {
	if !t.runInSlot(w, r, f) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	tick := time.NewTicker(t.cfg.FeedInterval)
	defer tick.Stop()
	for n := 0; ; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", n, t.cfg.Service, t.cfg.Host); err != nil {
			return
		}
		if err := rc.Flush(); err != nil {
			return
		}
		select {
		case <-tick.C:
		case <-r.Context().Done():
			return
		case <-t.stopFeeds:
			_, _ = io.WriteString(w, "event: end\ndata: end\n\n")
			return
		}
	}
}

func (t *Target) download(w http.ResponseWriter, r *http.Request, f Faults) {
	size, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	if err != nil || size < 0 {
		http.Error(w, "bytes: must be a number >= 0", http.StatusBadRequest)
		return
	}
	seed, _ := strconv.ParseUint(r.URL.Query().Get("seed"), 10, 64)
	if !t.runInSlot(w, r, f) {
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Trailer", SumTrailer)
	sum := sha256.New()
	content := Content(t.cfg.Service, seed)
	buf := make([]byte, chunkSize)
	for remaining := size; remaining > 0; {
		n := min(remaining, chunkSize)
		_, _ = io.ReadFull(content, buf[:n])
		sum.Write(buf[:n])
		if f.Cut == CutDuring && remaining <= size/2 {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(buf[:n]); err != nil {
			return
		}
		remaining -= n
	}
	w.Header().Set(SumTrailer, hex.EncodeToString(sum.Sum(nil)))
}

func (t *Target) submit(w http.ResponseWriter, r *http.Request, f Faults) {
	id := r.Header.Get(RequestIDHeader)
	if f.Cut == CutDuring {
		_, _ = io.CopyN(io.Discard, r.Body, max(r.ContentLength/2, 1))
		panic(http.ErrAbortHandler)
	}
	sum := sha256.New()
	if _, err := io.Copy(sum, http.MaxBytesReader(w, r.Body, bodyLimit)); err != nil {
		http.Error(w, "incomplete or too large body", http.StatusBadRequest)
		return
	}
	hash := hex.EncodeToString(sum.Sum(nil))
	t.ledger.update(id, func(x *LedgerEntry) { x.BodySHA256 = hash })
	if !t.runInSlot(w, r, f) {
		return
	}
	if f.Cut == CutAfter {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, Submission{Service: t.cfg.Service, Host: t.cfg.Host, RequestID: id, BodySHA256: hash})
}

func (t *Target) health(w http.ResponseWriter, _ *http.Request) {
	f := t.Faults()
	unhealthy := f.Shed == ShedAlways || f.Drain || f.Cut != CutNever || f.Silent
	if f.Health == HealthAlwaysFailing || (unhealthy && f.Health != HealthAlwaysOK) {
		http.Error(w, "ill", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "well\n")
}

func (t *Target) handleLoad(w http.ResponseWriter, _ *http.Request) {
	f := t.Faults()
	running, waiting := t.slots.counts()
	t.mu.Lock()
	if time.Since(t.load.MeasuredAt) >= f.LoadAge {
		t.load = Load{Slots: f.Slots, Running: running, Waiting: waiting, MeasuredAt: time.Now()}
	}
	load := t.load
	t.mu.Unlock()
	writeJSON(w, load)
}
