package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bergamotstall/internal/metrics"
	"bergamotstall/internal/standin/target"
)

// patience bounds every poll; no verdict depends on time being short.
const patience = 20 * time.Second

// rig is one host: a target, its agent's relay, and a server for callers.
type rig struct {
	t      testing.TB
	target *target.Target
	relay  *Relay
	server *httptest.Server
	client *http.Client
}

func newRig(t *testing.T, f target.Faults, limits Limits) *rig {
	t.Helper()
	tg, err := target.New(target.Config{Service: "desk", Host: "h1", Address: "127.0.0.1:0", FeedInterval: 5 * time.Millisecond, Faults: f})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tg.Kill)
	r := &rig{t: t, target: tg}
	r.relay = newRelay(t, Config{Service: "desk", Host: "h1", Target: tg.Address(), Limits: limits})
	r.server = httptest.NewServer(r.relay)
	r.client = r.server.Client()
	t.Cleanup(r.server.CloseClientConnections)
	return r
}

func newRelay(t testing.TB, cfg Config) *Relay {
	t.Helper()
	cfg.Metrics = metrics.New()
	x, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// reply is what a caller got.
type reply struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	err     error
}

func (r reply) notRun() string  { return r.header.Get(HeaderNotRun) }
func (r reply) unknown() string { return r.header.Get(HeaderUnknown) }

// ask sends one request and reads the whole answer.
func (r *rig) ask(ctx context.Context, method, path, id, body string, headers ...string) reply {
	r.t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, r.server.URL+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.GetBody = nil // the caller's own client mustn't send it twice
	req.Header.Set(target.RequestIDHeader, id)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, trailer: resp.Trailer, body: string(data), err: err}
}

func (r *rig) submit(id, body string, headers ...string) reply {
	r.t.Helper()
	return r.ask(context.Background(), "POST", "/submit", id, body, headers...)
}

func (r *rig) count(name string) int64 { return r.relay.cfg.Metrics.Value("requests." + name) }

// eventually polls until ok, and fails the test where that never comes.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("never came: " + what)
}
