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

// pollTimeout bounds every poll. Tests don't depend on it being short.
const pollTimeout = 20 * time.Second

// testHost is one host: a target, its agent's proxy, and a server for callers.
type testHost struct {
	t      testing.TB
	target *target.Target
	proxy  *Proxy
	server *httptest.Server
	client *http.Client
}

func newTestHost(t *testing.T, f target.Faults, limits Limits) *testHost {
	t.Helper()
	tg, err := target.New(target.Config{Service: "desk", Host: "h1", Address: "127.0.0.1:0", FeedInterval: 5 * time.Millisecond, Faults: f})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tg.Kill)
	r := &testHost{t: t, target: tg}
	r.proxy = newTestProxy(t, Config{Service: "desk", Host: "h1", Target: tg.Address(), Limits: limits})
	r.server = httptest.NewServer(r.proxy)
	r.client = r.server.Client()
	t.Cleanup(r.server.CloseClientConnections)
	return r
}

func newTestProxy(t testing.TB, cfg Config) *Proxy {
	t.Helper()
	cfg.Metrics = metrics.New()
	x, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// reply is what a caller received.
type reply struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	err     error
}

func (r reply) notRun() string  { return r.header.Get(HeaderNotRun) }
func (r reply) unknown() string { return r.header.Get(HeaderOutcomeUnknown) }

// send sends one request and reads the whole response.
func (r *testHost) send(ctx context.Context, method, path, id, body string, headers ...string) reply {
	r.t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, r.server.URL+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.GetBody = nil // prevents the caller's client from resending
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

func (r *testHost) submit(id, body string, headers ...string) reply {
	r.t.Helper()
	return r.send(context.Background(), "POST", "/submit", id, body, headers...)
}

func (r *testHost) count(name string) int64 { return r.proxy.cfg.Metrics.Value("requests." + name) }

// eventually polls until ok returns true, and fails the test after pollTimeout.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(pollTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("timed out waiting for: " + what)
}
