// Package loadgen plays callers: it opens flows to a service, downloads, keeps
// feeds open and submits, in a closed loop (a number of flows at once) or an
// open loop (a rate of new flows), and records what each caller was told.
package loadgen

import (
	"crypto/tls"
	"time"

	"github.com/go-faster/errors"
)

// Kind is what a request does.
type Kind uint8

const (
	// Download fetches a drawing or map; it may be repeated.
	Download Kind = iota
	// Feed stays open for FeedFor.
	Feed
	// Submit files a revision or note, which may not be repeated.
	Submit
	kinds
)

func (k Kind) String() string { return [...]string{"download", "feed", "submit"}[k] }

// Mix weighs the kinds of requests; a zero weight leaves the kind out.
type Mix struct {
	Download int
	Feed     int
	Submit   int
}

// Spec is one load on one service.
type Spec struct {
	Service string
	// Address is the service's UDP address, "ip:port".
	Address string
	TLS     *tls.Config
	// Flows is the number of flows held open at once (closed loop).
	Flows int
	// Rate is the number of new flows a second (open loop); 0 is a closed loop.
	// Flows then bounds the flows open at once.
	Rate float64
	// RequestsPerFlow is how many requests a flow carries before its caller
	// closes it.
	RequestsPerFlow int
	Mix             Mix
	DownloadBytes   int
	SubmitBytes     int
	FeedFor         time.Duration
	// Timeout bounds each request but a feed.
	Timeout time.Duration
	// Pause is the caller's own time between two requests of a flow.
	Pause time.Duration
	// Keyed submissions carry an Idempotency-Key and are sent again with it
	// after an outcome other than an answer.
	Keyed bool
	// Resends bounds the attempts after the first.
	Resends int
	// Callers is the number of distinct credentials.
	Callers int
	Seed    uint64
}

// ErrSpec is returned for a load that can't be played.
var ErrSpec = errors.New("loadgen: impossible specification")

// withDefaults fills what was left out.
func (s Spec) withDefaults() Spec {
	setInt(&s.Flows, 10)
	setInt(&s.RequestsPerFlow, 10)
	setInt(&s.DownloadBytes, 256<<10)
	setInt(&s.SubmitBytes, 2<<10)
	setInt(&s.Callers, s.Flows)
	setInt(&s.Resends, 5)
	if s.Mix == (Mix{}) {
		s.Mix = Mix{Download: 1, Submit: 1}
	}
	if s.FeedFor == 0 {
		s.FeedFor = 10 * time.Second
	}
	if s.Timeout == 0 {
		s.Timeout = 15 * time.Second
	}
	return s
}

func setInt(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

func (s Spec) check() error {
	switch {
	case s.Service == "":
		return errors.Wrap(ErrSpec, "no service")
	case s.Address == "":
		return errors.Wrap(ErrSpec, "no address")
	case s.Flows < 0, s.Rate < 0, s.RequestsPerFlow < 0, s.DownloadBytes < 0:
		return errors.Wrap(ErrSpec, "a negative number")
	case s.Mix.Download < 0 || s.Mix.Feed < 0 || s.Mix.Submit < 0:
		return errors.Wrap(ErrSpec, "a negative weight in the mix")
	}
	return nil
}
