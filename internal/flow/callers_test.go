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

var drawings sync.Map

// drawing returns content that no shift or mix-up leaves intact.
func drawing(size int) []byte {
	if known, ok := drawings.Load(size); ok {
		return known.([]byte)
	}
	out := make([]byte, size)
	r := rand.New(rand.NewPCG(7, uint64(size)))
	for i := range out {
		out[i] = byte(r.Uint32())
	}
	drawings.Store(size, out)
	return out
}

const feedPause = 5 * time.Millisecond

// target serves drawings of ?size= bytes in pieces ?pause= apart, a feed of
// numbered lines until the caller goes, and its agent's number elsewhere.
func target(number table.AgentNumber) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Agent", strconv.Itoa(int(number)))
		switch r.URL.Path {
		case "/feed":
			feedLines(w, r)
		case "/drawing":
			size, _ := strconv.Atoi(r.URL.Query().Get("size"))
			pause, _ := time.ParseDuration(r.URL.Query().Get("pause"))
			pieces(w, drawing(size), pause)
		default:
			_, _ = fmt.Fprintf(w, "agent %d", number)
		}
	})
}

func feedLines(w http.ResponseWriter, r *http.Request) {
	for i := 0; r.Context().Err() == nil; i++ {
		if _, err := fmt.Fprintln(w, i); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		time.Sleep(feedPause)
	}
}

func pieces(w http.ResponseWriter, body []byte, pause time.Duration) {
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

// feed is an open case feed, as its caller sees it.
type feed struct {
	agent  string
	lines  atomic.Int64
	err    atomic.Pointer[error]
	cancel context.CancelFunc
	done   chan struct{}
}

// openFeed opens a feed and checks that its lines come in order, none missing.
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

// goesOn waits for more lines, and fails where the feed broke.
func (r *rig) goesOn(f *feed) {
	r.Helper()
	const more = 20
	start := f.lines.Load()
	r.eventually("feed goes on", func() bool {
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

// startDownload fetches a drawing that takes about a second to come.
func (r *rig) startDownload(c *caller) *download {
	const size, pause = 2 << 20, 15 * time.Millisecond
	d := &download{size: size, done: make(chan error, 1)}
	want := sha256.Sum256(drawing(size))
	go func() {
		body, _, err := c.get(fmt.Sprintf("/drawing?size=%d&pause=%v", size, pause))
		if err == nil && sha256.Sum256(body) != want {
			err = fmt.Errorf("got %d bytes, not those sent", len(body))
		}
		d.done <- err
	}()
	return d
}

// whole waits for a download and fails where it broke.
func (r *rig) whole(d *download) {
	r.Helper()
	if err := <-d.done; err != nil {
		r.Fatalf("download: %v", err)
	}
}
