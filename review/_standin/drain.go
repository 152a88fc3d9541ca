package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/platform/standin"
)

const (
	// clockStep is by how much the time of day of the target's VM jumps back.
	clockStep = 2 * time.Second
	// restartDelay is how long the target is down between two starts.
	restartDelay = 50 * time.Millisecond
	// calmTime is how long nothing is disturbed before the target drains; it is longer than
	// bounds.stabilityWindowMs.
	calmTime = 6 * time.Second
	// servesOn is how long the target serves on after its drain was acknowledged.
	servesOn = 9 * time.Second
)

// checkIns relays a target's check-ins to its agent, with the time of day of the target's
// VM in the field born.
type checkIns struct {
	d       *deployment
	agent   netip.AddrPort
	server  *httptest.Server
	stepped atomic.Bool

	mu      sync.Mutex
	drained time.Time
}

func newCheckIns(d *deployment, agent netip.AddrPort) *checkIns {
	c := &checkIns{d: d, agent: agent}
	c.server = httptest.NewServer(c)
	return c
}

// at is where the target sends its check-ins.
func (c *checkIns) at() netip.AddrPort {
	return netip.MustParseAddrPort(c.server.Listener.Addr().String())
}

// ServeHTTP implements http.Handler.
func (c *checkIns) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	state := ""
	if r.Method == http.MethodPut {
		body, state = c.localTime(body)
	}
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+c.agent.String()+r.URL.Path, bytes.NewReader(body))
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer res.Body.Close()
	c.d.note("check-in %s -> status %d", body, res.StatusCode)
	if state == "draining" && res.StatusCode/100 == 2 {
		c.noteDrained()
	}
	w.WriteHeader(res.StatusCode)
	_, _ = io.Copy(w, res.Body)
}

func (c *checkIns) noteDrained() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drained.IsZero() {
		c.drained = time.Now()
	}
}

func (c *checkIns) drainedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.drained
}

// localTime puts the VM's time of day into a check-in, and returns its state.
func (c *checkIns) localTime(body []byte) ([]byte, string) {
	var fields map[string]any
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	if decoder.Decode(&fields) != nil {
		return body, ""
	}
	state, _ := fields["state"].(string)
	if born, ok := fields["born"].(json.Number); ok && c.stepped.Load() {
		ms, err := born.Int64()
		if err == nil {
			fields["born"] = ms - clockStep.Milliseconds()
		}
	}
	out, err := json.Marshal(fields)
	if err != nil {
		return body, state
	}
	return out, state
}

// drainCase: a target restarts twice within seconds, and between the two starts the time
// of day of its VM jumps back. Later the target drains. No new flow may reach it later than
// bounds.drainMs after its agent acknowledged that.
func drainCase(d *deployment, trouble bool) (bool, error) {
	if err := d.startCore(); err != nil {
		return false, err
	}
	for n := byte(1); n <= 2; n++ {
		if err := d.startAgent(agentName(n, 1), n, archive); err != nil {
			return false, err
		}
	}
	if _, _, err := d.startTarget("i-2-1", 2, archive); err != nil {
		return false, err
	}
	relay := newCheckIns(d, d.at(targetVM, 1, d.ports.control))
	defer relay.server.Close()
	_, crash, err := d.startTargetAt("i-1-1", 1, archive, relay.at())
	if err != nil {
		return false, err
	}
	if err := d.put(3, map[packet.Endpoint]string{archiveAddress: archive}, archive); err != nil {
		return false, err
	}
	if err := d.awaitRotation(); err != nil {
		return false, err
	}
	client, err := standin.NewClient(d.ctx, d.at(clientVM, 1, d.ports.packets), d.fabric, d.ledger)
	if err != nil {
		return false, err
	}
	results := make(chan answer, 10_000)
	stop := make(chan struct{})
	var requests sync.WaitGroup
	requests.Add(1)
	go func() {
		defer requests.Done()
		d.sendRequests(client, stop, results, &requests)
	}()
	time.Sleep(time.Second)
	restart := func(id string) (*standin.Target, func(), error) {
		crash()
		d.note("the target crashes")
		time.Sleep(restartDelay)
		d.note("it starts again as %s", id)
		return d.startTargetAt(id, 1, archive, relay.at())
	}
	if _, crash, err = restart("i-1-2"); err != nil {
		return false, err
	}
	time.Sleep(700 * time.Millisecond)
	if trouble {
		relay.stepped.Store(true)
		d.note("the time of day of the target's VM jumps back by %s", clockStep)
	}
	target, _, err := restart("i-1-3")
	if err != nil {
		return false, err
	}
	time.Sleep(calmTime)
	if err := target.Drain(d.ctx); err != nil {
		return false, err
	}
	d.note("the target's drain is acknowledged")
	time.Sleep(drainBound)
	before, late := target.Runs(), d.ledger.LateFlows.Load()
	time.Sleep(servesOn - drainBound)
	after, lateAfter := target.Runs(), d.ledger.LateFlows.Load()
	close(stop)
	requests.Wait()
	d.note("later than %s after the acknowledgement: %d first packets reached the target, and it ran %d requests", drainBound, lateAfter-late, after-before)
	return after > before && lateAfter > late, nil
}
