package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"bergamotstall/internal/passthrough/packet"
	"bergamotstall/platform/standin"
)

// Headers of requests and of the stand-in targets' answers.
const (
	requestIDHeader = "Bergamotstall-Request-Id"
	serviceHeader   = "Standin-Service"
)

// answer is what a client saw of one request.
type answer struct {
	sentAt  time.Time
	opened  bool
	service string
	err     error
}

// request opens a flow and sends one request over it. It returns the service whose target
// answered.
func (d *deployment) request(c *standin.Client, to packet.Endpoint) answer {
	a := answer{sentAt: time.Now()}
	id := fmt.Sprintf("%016x", rand.Uint64())
	d.note("request %s to %s: opening a flow", id, to)
	flow, err := c.Open(d.ctx, to)
	if err != nil {
		d.note("request %s: no flow, not sent: %v", id, err)
		a.err = err
		return a
	}
	defer flow.Close()
	a.opened = true
	timeout := time.AfterFunc(2500*time.Millisecond, func() { _ = flow.Close() })
	defer timeout.Stop()
	if _, err := fmt.Fprintf(flow, "GET /100 HTTP/1.1\r\nHost: review\r\n%s: %s\r\n\r\n", requestIDHeader, id); err != nil {
		a.err = err
		return a
	}
	res, err := http.ReadResponse(bufio.NewReader(flow), nil)
	if err != nil {
		d.note("request %s: no answer: %v", id, err)
		a.err = err
		return a
	}
	_, _ = io.Copy(io.Discard, res.Body)
	a.service = res.Header.Get(serviceHeader)
	d.note("request %s: run and answered by a target of %s, status %d", id, a.service, res.StatusCode)
	return a
}
