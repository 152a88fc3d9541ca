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

// The caller submits a note; the target's process dies at some point. Where the
// target saw a byte, the caller is told "unknown", never "not run", and nothing
// sends the note again. Only a target that can't be reached makes it "not run".
func TestTargetDiesAroundASubmission(t *testing.T) {
	for _, c := range []struct {
		cut  target.Cut
		runs int
	}{{target.CutBefore, 0}, {target.CutDuring, 0}, {target.CutAfter, 1}} {
		t.Run("cut "+string(c.cut)+" reading", func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, target.Faults{Cut: c.cut}, Limits{})
			got := r.submit("a", strings.Repeat("note ", 1000))
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusBadGateway)
			is.Equal(got.unknown(), string(ReasonCut))
			is.Equal(got.notRun(), "")
			is.Equal(r.target.Run("a").Seen, 1) // never sent twice
			is.Equal(r.target.Run("a").Runs, c.runs)
		})
	}
	t.Run("dead before", func(t *testing.T) {
		is := is.New(t)
		r := newRig(t, target.Faults{}, Limits{})
		r.target.Kill()
		got := r.submit("a", "note")
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.Equal(got.notRun(), string(ReasonUnreachable))
		is.True(got.header.Get("Retry-After") != "")
		is.Equal(r.target.Run("a").Seen, 0)
		is.Equal(r.count("refused.target-unreachable"), int64(1))
	})
}

// The caller's request goes out on a connection that the target has served
// before; the target reads it and cuts. net/http's own replay would send a GET,
// and anything with an Idempotency-Key, once more without telling.
func TestNothingReplaysOnAReusedConnection(t *testing.T) {
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
			send := func(method, path string) (handedOver, error) {
				req := httptest.NewRequest(method, path, nil)
				req.Header.Set("Idempotency-Key", "k1")
				c := newRelay(t, Config{Service: "desk", Host: "h", Target: "x"}).newCall(req)
				resp, h, err := client.handOver(c.outgoing(context.Background(), client.address), true)
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
			is.True(h.Reused) // the trap was really set
			is.True(h.Handed)
			is.Equal(cut.Load(), int32(1))
		})
	}
}

// The caller downloads; the target is cut in the middle of its answer. The
// caller sees an error, never a short answer that looks whole.
func TestBrokenOffAnswerIsNeverWhole(t *testing.T) {
	is := is.New(t)
	r := newRig(t, target.Faults{Cut: target.CutDuring}, Limits{})
	got := r.ask(context.Background(), "GET", "/download?bytes=1000000&seed=1", "d", "")
	is.True(got.err != nil)
	eventually(t, "count", func() bool { return r.count("answers.broken-off") == 1 })

	r.target.SetFaults(target.Faults{})
	got = r.ask(context.Background(), "GET", "/download?bytes=1000000&seed=1", "d", "")
	is.NoErr(got.err)
	is.Equal(len(got.body), 1000000)
	is.Equal(got.trailer.Get(target.SumTrailer), target.ContentSum("desk", 1, 1000000))
}

// The caller gives up while its submission runs. The target is told at once, so
// that it doesn't work for nobody.
func TestCancellationReachesTheTarget(t *testing.T) {
	is := is.New(t)
	r := newRig(t, target.Faults{Work: time.Hour}, Limits{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan reply)
	go func() { done <- r.ask(ctx, "POST", "/submit", "a", "note") }()
	eventually(t, "run", func() bool { return r.target.Run("a").Runs == 1 })
	cancel()
	is.True((<-done).err != nil)
	eventually(t, "cancel at the target", func() bool { return r.target.Run("a").Cancelled == 1 })
	eventually(t, "slot free", func() bool { return r.relay.InFlight() == 0 && r.relay.gate.free() == 4 })
}

// All slots are taken by long work. A request whose deadline passes in the queue
// is refused as not run, and the target never sees it. Requests over the
// queue's bound are refused at once. Work under way sees its own deadline.
func TestDeadlinePassesInTheQueue(t *testing.T) {
	is := is.New(t)
	r := newRig(t, target.Faults{Work: time.Hour}, Limits{Slots: 1, Queue: 1})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.ask(ctx, "POST", "/submit", "long", "x")
	eventually(t, "long work", func() bool { return r.target.Run("long").Runs == 1 })

	late := r.submit("late", "x", HeaderDeadline, "200")
	is.Equal(late.status, http.StatusServiceUnavailable)
	is.Equal(late.notRun(), string(ReasonDeadline))
	go r.ask(ctx, "POST", "/submit", "waiting", "x")
	eventually(t, "queue", func() bool { return r.relay.gate.load().Waiting == 1 })
	is.Equal(r.submit("over", "x").notRun(), "queue-full")
	is.Equal(r.target.Run("late").Seen, 0)
	is.Equal(r.target.Run("over").Seen, 0)

	cancel()
	eventually(t, "slot", func() bool { return r.relay.gate.free() == 1 })
	var ran reply
	eventually(t, "a run", func() bool { // its deadline passes while it runs
		ran = r.submit("ran", "x", HeaderDeadline, "200")
		return ran.notRun() == ""
	})
	is.Equal(ran.status, http.StatusGatewayTimeout)
	eventually(t, "cancel at the target", func() bool { return r.target.Run("ran").Cancelled > 0 })
}

// A target that answers nothing: the caller learns "unknown" after the answer
// time, and the slot is free again.
func TestSilentTarget(t *testing.T) {
	is := is.New(t)
	r := newRig(t, target.Faults{Silent: true}, Limits{AnswerTime: 50 * time.Millisecond})
	got := r.submit("a", "note")
	is.Equal(got.status, http.StatusGatewayTimeout)
	is.Equal(got.unknown(), string(ReasonSilent))
	eventually(t, "slot free", func() bool { return r.relay.gate.free() == 4 })
}

// More feeds stay open than the host has slots. Each of them runs, and so does
// a submission: feeds hold connections, not slots.
func TestFeedsDontHoldSlots(t *testing.T) {
	is := is.New(t)
	r := newRig(t, target.Faults{}, Limits{Slots: 2})
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
	is.Equal(r.relay.InFlight(), 6)
}

// A refused submission with a large body: the answer comes while the caller has
// sent next to nothing of it. Held back, caller and agent would wait for each
// other here for ever.
func TestRefusalGoesOutWhileTheBodyIsOnItsWay(t *testing.T) {
	is := is.New(t)
	r := newRig(t, target.Faults{}, Limits{})
	r.target.Kill()
	conn, err := net.Dial("tcp", r.server.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /submit HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\nfirst")
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(patience)))
	head := make([]byte, 12)
	_, err = io.ReadFull(conn, head)
	is.NoErr(err)
	is.Equal(string(head), "HTTP/1.1 503")
}

// A target that speaks in the system's name: its headers don't reach callers,
// who would resend what has run.
func TestTargetCantSayNotRun(t *testing.T) {
	is := is.New(t)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderNotRun, "queue-full")
		w.Header().Set(HeaderUnknown, "x")
		w.Header().Set("X-Kept", "yes")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer backend.Close()
	x := newRelay(t, Config{Service: "desk", Host: "h", Target: strings.TrimPrefix(backend.URL, "http://")})
	w := httptest.NewRecorder()
	x.ServeHTTP(w, httptest.NewRequest("POST", "/submit", strings.NewReader("x")))
	is.Equal(w.Code, http.StatusServiceUnavailable) // the target's own answer
	is.Equal(w.Header().Get(HeaderNotRun), "")
	is.Equal(w.Header().Get(HeaderUnknown), "")
	is.Equal(w.Header().Get("X-Kept"), "yes")
}
