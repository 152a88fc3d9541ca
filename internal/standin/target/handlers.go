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
	// ServiceHeader and HostHeader name the target that answered.
	ServiceHeader = "X-Service"
	HostHeader    = "X-Host"
	// SumTrailer carries the SHA-256 of a download, in hex.
	SumTrailer = "X-Content-Sha256"

	chunkSize = 64 << 10
	// ledgerBodyLimit bounds a submission, so that a stand-in can't be made to
	// hold an endless body.
	ledgerBodyLimit = 64 << 20
)

// Submission is the answer to POST /submit, in JSON.
type Submission struct {
	Service    string
	Host       string
	RequestID  string
	BodySHA256 string
}

// Load is the answer to GET /load, in JSON.
type Load struct {
	Slots   int
	Running int
	Waiting int
	// MeasuredAt is when the figures were true.
	MeasuredAt time.Time
}

// Content returns the endless content of a service's download with a seed. Two
// services never share content, so a checker sees an answer that crossed.
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

// withFaults applies the faults that don't depend on what the request asks for
// and holds a slot until next has sent the head of its answer.
func (t *Target) withFaults(next func(http.ResponseWriter, *http.Request, Faults)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(RequestIDHeader)
		t.ledger.change(id, func(x *Run) { x.Seen++ })
		w.Header().Set(ServiceHeader, t.cfg.Service)
		w.Header().Set(HostHeader, t.cfg.Host)
		f := t.Faults()
		if f.Cut == CutBefore {
			panic(http.ErrAbortHandler)
		}
		if f.Shed == ShedAlways || f.Drain {
			shed(w)
			return
		}
		next(w, r, f)
	}
}

func shed(w http.ResponseWriter) {
	w.Header().Set("Retry-After", "1")
	http.Error(w, "shedding load", http.StatusServiceUnavailable)
}

// work holds a slot for the work time. It returns false where the request was
// shed, or ended early because the other side left or its deadline passed; then
// the answer is written.
func (t *Target) work(w http.ResponseWriter, r *http.Request, f Faults) bool {
	id := r.Header.Get(RequestIDHeader)
	ctx, cancel := withDeadline(r)
	defer cancel()
	if !t.slots.take(ctx, f.Shed != ShedFull) {
		shed(w)
		return false
	}
	defer t.slots.release()
	t.ledger.change(id, func(x *Run) { x.Runs++ })
	if f.Silent {
		<-r.Context().Done()
	}
	timer := time.NewTimer(t.workTime(f))
	defer timer.Stop()
	select {
	case <-timer.C:
		t.ledger.change(id, func(x *Run) { x.Finished++ })
		return true
	case <-ctx.Done():
		t.ledger.change(id, func(x *Run) { x.Cancelled++ })
		http.Error(w, "out of time", http.StatusGatewayTimeout)
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
	if !t.work(w, r, f) {
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
		case <-t.stopping:
			_, _ = io.WriteString(w, "event: end\ndata: end\n\n")
			return
		}
	}
}

func (t *Target) download(w http.ResponseWriter, r *http.Request, f Faults) {
	size, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	if err != nil || size < 0 {
		http.Error(w, "bytes: a number from 0", http.StatusBadRequest)
		return
	}
	seed, _ := strconv.ParseUint(r.URL.Query().Get("seed"), 10, 64)
	if !t.work(w, r, f) {
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Trailer", SumTrailer)
	sum := sha256.New()
	content := Content(t.cfg.Service, seed)
	buf := make([]byte, chunkSize)
	for left := size; left > 0; {
		n := min(left, chunkSize)
		_, _ = io.ReadFull(content, buf[:n])
		sum.Write(buf[:n])
		if f.Cut == CutDuring && left <= size/2 {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(buf[:n]); err != nil {
			return
		}
		left -= n
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
	if _, err := io.Copy(sum, http.MaxBytesReader(w, r.Body, ledgerBodyLimit)); err != nil {
		http.Error(w, "body not whole", http.StatusBadRequest)
		return
	}
	hash := hex.EncodeToString(sum.Sum(nil))
	t.ledger.change(id, func(x *Run) { x.BodySHA256 = hash })
	if !t.work(w, r, f) {
		return
	}
	if f.Cut == CutAfter {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, Submission{Service: t.cfg.Service, Host: t.cfg.Host, RequestID: id, BodySHA256: hash})
}

func (t *Target) health(w http.ResponseWriter, _ *http.Request) {
	f := t.Faults()
	ill := f.Shed == ShedAlways || f.Drain || f.Cut != CutNever || f.Silent
	if f.Health == HealthSaysIll || (ill && f.Health != HealthSaysWell) {
		http.Error(w, "ill", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "well\n")
}

func (t *Target) answerLoad(w http.ResponseWriter, _ *http.Request) {
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
