package flow_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bergamotstall/internal/table"
)

var testBodies sync.Map

// testBody returns random content, so that any shifted or mixed-up data shows.
func testBody(size int) []byte {
	if known, ok := testBodies.Load(size); ok {
		return known.([]byte)
	}
	out := make([]byte, size)
	r := rand.New(rand.NewPCG(7, uint64(size)))
	for i := range out {
		out[i] = byte(r.Uint32())
	}
	testBodies.Store(size, out)
	return out
}

const feedInterval = 5 * time.Millisecond

// targetHandler serves, at /drawing, ?size= bytes in pieces sent ?pause= apart; at /feed,
// numbered lines until the caller disconnects; and elsewhere its agent's number.
func targetHandler(number table.AgentNumber) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Agent", strconv.Itoa(int(number)))
		switch r.URL.Path {
		case "/feed":
			writeFeed(w, r)
		case "/drawing":
			size, _ := strconv.Atoi(r.URL.Query().Get("size"))
			pause, _ := time.ParseDuration(r.URL.Query().Get("pause"))
			writeInPieces(w, testBody(size), pause)
		default:
			_, _ = fmt.Fprintf(w, "agent %d", number)
		}
	})
}

func writeFeed(w http.ResponseWriter, r *http.Request) {
	for i := 0; r.Context().Err() == nil; i++ {
		if _, err := fmt.Fprintln(w, i); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		time.Sleep(feedInterval)
	}
}

func writeInPieces(w http.ResponseWriter, body []byte, pause time.Duration) {
	const piece = 32 << 10
	for len(body) > 0 {
		n := min(piece, len(body))
		if _, err := w.Write(body[:n]); err != nil {
			return
		}
		body = body[n:]
		time.Sleep(pause)
	}
}

// feed is an open feed at its caller.
type feed struct {
	agent  string
	lines  atomic.Int64
	err    atomic.Pointer[error]
	cancel context.CancelFunc
	done   chan struct{}
}

// openFeed opens a feed and checks that its lines arrive in order without gaps.
func (r *rig) openFeed(c *caller) *feed {
	ctx, cancel := context.WithCancel(context.Background())
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url+"/feed", nil)
	r.is.NoErr(err)
	resp, err := c.Do(q)
	r.is.NoErr(err)
	f := &feed{agent: resp.Header.Get("Agent"), cancel: cancel, done: make(chan struct{})}
	r.Cleanup(f.close)
	go func() {
		defer close(f.done)
		defer resp.Body.Close()
		in := bufio.NewScanner(resp.Body)
		for in.Scan() {
			if want := f.lines.Load(); strings.TrimSpace(in.Text()) != strconv.FormatInt(want, 10) {
				err := fmt.Errorf("line %d is %q", want, in.Text())
				f.err.Store(&err)
				return
			}
			f.lines.Add(1)
		}
		err := fmt.Errorf("feed ended: %w", in.Err())
		f.err.Store(&err)
	}()
	return f
}

func (f *feed) close() {
	f.cancel()
	<-f.done
}

// requireFeedContinues waits for more lines, and fails if the feed broke.
func (r *rig) requireFeedContinues(f *feed) {
	r.Helper()
	const more = 20
	start := f.lines.Load()
	r.eventually("feed continues", func() bool {
		if err := f.err.Load(); err != nil {
			r.Fatalf("feed broke after %d lines: %v", f.lines.Load(), *err)
		}
		return f.lines.Load() >= start+more
	})
}

// download is one long download in progress.
type download struct {
	size int
	done chan error
}

// startDownload starts a download that takes about a second.
func (r *rig) startDownload(c *caller) *download {
	const size, pause = 2 << 20, 15 * time.Millisecond
	d := &download{size: size, done: make(chan error, 1)}
	want := sha256.Sum256(testBody(size))
	go func() {
		body, _, err := c.get(fmt.Sprintf("/drawing?size=%d&pause=%v", size, pause))
		if err == nil && sha256.Sum256(body) != want {
			err = fmt.Errorf("received %d bytes that differ from those sent", len(body))
		}
		d.done <- err
	}()
	return d
}

// requireIntact waits for a download, and fails if it broke or its content differs.
func (r *rig) requireIntact(d *download) {
	r.Helper()
	if err := <-d.done; err != nil {
		r.Fatalf("download: %v", err)
	}
}
