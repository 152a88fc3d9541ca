// Package loadgen generates callers' load on a service over HTTP/3: downloads, feeds
// and submissions. The load is a closed loop (a number of concurrent flows) or an open
// loop (a rate of new flows). The package records the outcome of each request.
package loadgen

import (
	"crypto/tls"
	"time"

	"github.com/go-faster/errors"
)

// Kind is the kind of a request.
type Kind uint8

const (
	// Download fetches a drawing or map; it may be repeated.
	Download Kind = iota
	// Feed keeps a response stream open for FeedFor.
	Feed
	// Submit files a revision or note, which may not be repeated.
	Submit
	kinds
)

func (k Kind) String() string { return [...]string{"download", "feed", "submit"}[k] }

// Mix holds the relative weights of the kinds of requests; a kind with weight 0 isn't
// sent.
type Mix struct {
	Download int
	Feed     int
	Submit   int
}

// Spec describes a load on one service.
type Spec struct {
	Service string
	// Address is the service's UDP address, "ip:port".
	Address string
	TLS     *tls.Config
	// Flows is the number of concurrent flows (closed loop).
	Flows int
	// Rate is the number of new flows a second (open loop); Flows then limits the
	// number of concurrent flows. 0 means a closed loop.
	Rate float64
	// RequestsPerFlow is how many requests a flow carries before its caller
	// closes it.
	RequestsPerFlow int
	Mix             Mix
	DownloadBytes   int
	SubmitBytes     int
	FeedFor         time.Duration
	// Timeout bounds each request except feeds.
	Timeout time.Duration
	// Pause is the time that a caller waits between two requests of a flow.
	Pause time.Duration
	// Keyed tells that submissions carry an Idempotency-Key and are sent again with
	// it if they weren't answered.
	Keyed bool
	// Resends limits the number of attempts after the first.
	Resends int
	// Callers is the number of distinct callers in an open loop.
	Callers int
	Seed    uint64
}

// ErrInvalidSpec is returned for a Spec with missing or negative values.
var ErrInvalidSpec = errors.New("loadgen: invalid load specification")

// withDefaults sets defaults for fields that are zero.
func (s Spec) withDefaults() Spec {
	defaultInt(&s.Flows, 10)
	defaultInt(&s.RequestsPerFlow, 10)
	defaultInt(&s.DownloadBytes, 256<<10)
	defaultInt(&s.SubmitBytes, 2<<10)
	defaultInt(&s.Callers, s.Flows)
	defaultInt(&s.Resends, 5)
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

func defaultInt(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

func (s Spec) check() error {
	switch {
	case s.Service == "":
		return errors.Wrap(ErrInvalidSpec, "no service")
	case s.Address == "":
		return errors.Wrap(ErrInvalidSpec, "no address")
	case s.Flows < 0, s.Rate < 0, s.RequestsPerFlow < 0, s.DownloadBytes < 0:
		return errors.Wrap(ErrInvalidSpec, "negative number")
	case s.Mix.Download < 0 || s.Mix.Feed < 0 || s.Mix.Submit < 0:
		return errors.Wrap(ErrInvalidSpec, "negative weight in the mix")
	}
	return nil
}
