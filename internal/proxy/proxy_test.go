package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/standin/target"
)

// Guards against "not run" responses and resends after the target process died with a
// submission. If the target received a byte, the caller gets "unknown"; only an
// unreachable target makes it "not run".
func TestTargetDiesDuringSubmission(t *testing.T) {
	for _, c := range []struct {
		cut  target.Cut
		runs int
	}{{target.CutBefore, 0}, {target.CutDuring, 0}, {target.CutAfter, 1}} {
		t.Run("cut "+string(c.cut)+" reading", func(t *testing.T) {
			is := is.New(t)
			r := newTestHost(t, target.Faults{Cut: c.cut}, Limits{})
			got := r.submit("a", strings.Repeat("note ", 1000))
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusBadGateway)
			is.Equal(got.unknown(), string(ReasonConnectionCut))
			is.Equal(got.notRun(), "")
			is.Equal(r.target.LedgerEntry("a").Seen, 1) // never sent twice
			is.Equal(r.target.LedgerEntry("a").Runs, c.runs)
		})
	}
	t.Run("dead before", func(t *testing.T) {
		is := is.New(t)
		r := newTestHost(t, target.Faults{}, Limits{})
		r.target.Kill()
		got := r.submit("a", "note")
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.Equal(got.notRun(), string(ReasonUnreachable))
		is.True(got.header.Get("Retry-After") != "")
		is.Equal(r.target.LedgerEntry("a").Seen, 0)
		is.Equal(r.count("refused.target-unreachable"), int64(1))
	})
}

// Guards against net/http's own resends: if a reused connection fails, it silently
// resends a GET and any request with an Idempotency-Key. Here the target reads the
// request on a reused connection and closes it.
func TestNoResendOnReusedConnection(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			var served, cut atomic.Int32
			backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/warm" {
					served.Add(1)
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				cut.Add(1)
				panic(http.ErrAbortHandler)
			}))
			defer backend.Close()
			client := newTargetClient(strings.TrimPrefix(backend.URL, "http://"), Limits{}.withDefaults())
			defer client.close()
			send := func(method, path string) (sendStatus, error) {
				req := httptest.NewRequest(method, path, nil)
				req.Header.Set("Idempotency-Key", "k1")
				c := newTestProxy(t, Config{Service: "desk", Host: "h", Target: "x"}).newCall(req)
				resp, h, err := client.send(c.outgoingRequest(context.Background(), client.address), true)
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
				return h, err
			}
			_, err := send("GET", "/warm")
			is.NoErr(err)
			h, err := send(method, "/cut")
			is.True(err != nil)
			is.True(h.Reused) // otherwise the test doesn't cover the resend
			is.True(h.Sent)
			is.Equal(cut.Load(), int32(1))
		})
	}
}

// Guards against a truncated response that looks complete: if the target breaks off
// during a download, the caller sees an error.
func TestTruncatedResponseIsAnError(t *testing.T) {
	is := is.New(t)
	r := newTestHost(t, target.Faults{Cut: target.CutDuring}, Limits{})
	got := r.send(context.Background(), "GET", "/download?bytes=1000000&seed=1", "d", "")
	is.True(got.err != nil)
	eventually(t, "count", func() bool { return r.count("answers.broken-off") == 1 })

	r.target.SetFaults(target.Faults{})
	got = r.send(context.Background(), "GET", "/download?bytes=1000000&seed=1", "d", "")
	is.NoErr(got.err)
	is.Equal(len(got.body), 1000000)
	is.Equal(got.trailer.Get(target.SumTrailer), target.ContentSum("desk", 1, 1000000))
}

// Guards against a target working for a caller that has gone: when the caller cancels its
// submission, the target's request is cancelled at once.
func TestCancellationReachesTheTarget(t *testing.T) {
	is := is.New(t)
	r := newTestHost(t, target.Faults{Work: time.Hour}, Limits{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan reply)
	go func() { done <- r.send(ctx, "POST", "/submit", "a", "note") }()
	eventually(t, "run", func() bool { return r.target.LedgerEntry("a").Runs == 1 })
	cancel()
	is.True((<-done).err != nil)
	eventually(t, "cancel at the target", func() bool { return r.target.LedgerEntry("a").Cancelled == 1 })
	eventually(t, "slot free", func() bool { return r.proxy.InFlight() == 0 && r.proxy.admitter.freeSlots() == 4 })
}

// Guards against running requests whose deadline passed while all slots were taken: they
// are refused as not run. Requests beyond the queue limit are refused at once. A running
// request is cancelled at its deadline.
func TestDeadlinePassesInTheQueue(t *testing.T) {
	is := is.New(t)
	r := newTestHost(t, target.Faults{Work: time.Hour}, Limits{Slots: 1, Queue: 1})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.send(ctx, "POST", "/submit", "long", "x")
	eventually(t, "long work", func() bool { return r.target.LedgerEntry("long").Runs == 1 })

	late := r.submit("late", "x", HeaderDeadline, "200")
	is.Equal(late.status, http.StatusServiceUnavailable)
	is.Equal(late.notRun(), string(ReasonDeadline))
	go r.send(ctx, "POST", "/submit", "waiting", "x")
	eventually(t, "queue", func() bool { return r.proxy.admitter.load().Waiting == 1 })
	is.Equal(r.submit("over", "x").notRun(), "queue-full")
	is.Equal(r.target.LedgerEntry("late").Seen, 0)
	is.Equal(r.target.LedgerEntry("over").Seen, 0)

	cancel()
	eventually(t, "slot", func() bool { return r.proxy.admitter.freeSlots() == 1 })
	var ran reply
	eventually(t, "a run", func() bool { // its deadline passes while it runs
		ran = r.submit("ran", "x", HeaderDeadline, "200")
		return ran.notRun() == ""
	})
	is.Equal(ran.status, http.StatusGatewayTimeout)
	eventually(t, "cancel at the target", func() bool { return r.target.LedgerEntry("ran").Cancelled > 0 })
}

// Guards against losing a slot to a target that doesn't respond: the caller gets
// "unknown" after the timeout, and the slot is free again.
func TestUnresponsiveTarget(t *testing.T) {
	is := is.New(t)
	r := newTestHost(t, target.Faults{Silent: true}, Limits{AnswerTimeout: 50 * time.Millisecond})
	got := r.submit("a", "note")
	is.Equal(got.status, http.StatusGatewayTimeout)
	is.Equal(got.unknown(), string(ReasonNoAnswer))
	eventually(t, "slot free", func() bool { return r.proxy.admitter.freeSlots() == 4 })
}

// Guards against open feeds taking up all slots: with more feeds than slots, every feed
// and a submission run.
func TestFeedsDontHoldSlots(t *testing.T) {
	is := is.New(t)
	r := newTestHost(t, target.Faults{}, Limits{Slots: 2})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 6 {
		req, err := http.NewRequestWithContext(ctx, "GET", r.server.URL+"/feed", nil)
		is.NoErr(err)
		resp, err := r.client.Do(req)
		is.NoErr(err)
		defer resp.Body.Close()
		_, err = io.ReadFull(resp.Body, make([]byte, 10))
		is.NoErr(err)
	}
	got := r.submit("a", "note")
	is.Equal(got.status, http.StatusOK)
	is.Equal(r.proxy.InFlight(), 6)
}

// Guards against a deadlock on refusal of a submission with a large body: a refusal held
// back until the end of the body would leave caller and agent waiting for each other.
func TestRefusalIsSentBeforeTheBodyEnds(t *testing.T) {
	is := is.New(t)
	r := newTestHost(t, target.Faults{}, Limits{})
	r.target.Kill()
	conn, err := net.Dial("tcp", r.server.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /submit HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\nfirst")
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(pollTimeout)))
	head := make([]byte, 12)
	_, err = io.ReadFull(conn, head)
	is.NoErr(err)
	is.Equal(string(head), "HTTP/1.1 503")
}

// Guards against targets that set the proxy's own headers: a caller that received them
// could resend a request that has run.
func TestTargetCantSetProxyHeaders(t *testing.T) {
	is := is.New(t)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderNotRun, "queue-full")
		w.Header().Set(HeaderOutcomeUnknown, "x")
		w.Header().Set("X-Kept", "yes")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer backend.Close()
	x := newTestProxy(t, Config{Service: "desk", Host: "h", Target: strings.TrimPrefix(backend.URL, "http://")})
	w := httptest.NewRecorder()
	x.ServeHTTP(w, httptest.NewRequest("POST", "/submit", strings.NewReader("x")))
	is.Equal(w.Code, http.StatusServiceUnavailable) // the target's own response
	is.Equal(w.Header().Get(HeaderNotRun), "")
	is.Equal(w.Header().Get(HeaderOutcomeUnknown), "")
	is.Equal(w.Header().Get("X-Kept"), "yes")
}
