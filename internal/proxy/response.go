package proxy

import (
	"io"
	"math"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// HTTP headers between the proxy and callers.
const (
	// HeaderNotRun marks a refusal: no target received a byte of the request. Its value
	// is the Reason.
	HeaderNotRun = "Bergamotstall-Not-Run"
	// HeaderOutcomeUnknown marks the response to a request that may have run. Its value
	// is the Reason.
	HeaderOutcomeUnknown = "Bergamotstall-Unknown"
	// HeaderDeadline carries the time left until the caller's deadline, in milliseconds,
	// from caller to target.
	HeaderDeadline = "Bergamotstall-Deadline-Ms"

	headerPrefix = "Bergamotstall-"
)

const (
	statusRefused = http.StatusServiceUnavailable
	statusTooMany = http.StatusTooManyRequests

	minRetryAfter   = time.Second
	copyBufferBytes = 32 << 10
)

// Reason says why a request was refused or why its outcome is unknown. Its text is sent
// to callers and is part of counter names.
type Reason string

// Reasons in addition to those of package admission.
const (
	ReasonDeadline    Reason = "deadline"
	ReasonCancelled   Reason = "cancelled"
	ReasonDraining    Reason = "draining"
	ReasonUnreachable Reason = "target-unreachable"

	// ReasonConnectionCut: the target closed the connection without a response.
	ReasonConnectionCut Reason = "connection-cut"
	// ReasonNoAnswer: the target sent no response within the timeout.
	ReasonNoAnswer Reason = "no-answer"
)

// Refusal is the response to a request that no target received.
type Refusal struct {
	Reason Reason
	Status int
	// RetryAfter is when a retry makes sense. The header sent to the caller is at least
	// minRetryAfter.
	RetryAfter time.Duration
}

func (r *Refusal) Error() string { return "proxy: not run: " + string(r.Reason) }

// Unknown is the response to a request that was sent to a target and got no response.
type Unknown struct {
	Reason Reason
	Status int
}

func (u *Unknown) Error() string { return "proxy: outcome unknown: " + string(u.Reason) }

// writeRefusal sends a refusal at once, even while the caller is still sending the body:
// otherwise a caller with a large upload would learn of the refusal only at its end.
func writeRefusal(w http.ResponseWriter, req *http.Request, r *Refusal) {
	h := w.Header()
	h.Set(HeaderNotRun, string(r.Reason))
	seconds := math.Ceil(max(r.RetryAfter, minRetryAfter).Seconds())
	h.Set("Retry-After", strconv.Itoa(int(seconds)))
	writeText(w, req, r.Status, "not run: "+string(r.Reason)+"\n")
}

func writeUnknown(w http.ResponseWriter, req *http.Request, u *Unknown) {
	w.Header().Set(HeaderOutcomeUnknown, string(u.Reason))
	writeText(w, req, u.Status, "outcome unknown: "+string(u.Reason)+"\n")
}

// writeInvalid rejects an invalid request. Sending it again can't succeed, so the
// response has neither Retry-After nor HeaderNotRun.
func writeInvalid(w http.ResponseWriter, req *http.Request, reason Reason) {
	status := http.StatusUnprocessableEntity
	if reason == ReasonKeyBodyTooLarge {
		status = http.StatusRequestEntityTooLarge
	}
	writeText(w, req, status, string(reason)+"\n")
}

func writeText(w http.ResponseWriter, req *http.Request, status int, text string) {
	rc := http.NewResponseController(w)
	if req.ProtoMajor == 1 {
		// Without full duplex the HTTP/1 server reads the rest of the request's body
		// before it responds. A connection with an unread body can't be reused.
		_ = rc.EnableFullDuplex()
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
	_ = rc.Flush()
}

// hopHeaders apply to a single connection and are never forwarded (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// copyHeader copies end-to-end headers, without any of the proxy's own: a target that set
// Bergamotstall-Not-Run could make a caller resend a request that has run.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !strings.HasPrefix(name, headerPrefix) {
			to[name] = append([]string(nil), values...)
		}
	}
	for _, field := range from["Connection"] {
		for _, name := range strings.Split(field, ",") {
			to.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		to.Del(name)
	}
}

// writeHead sends status, headers and trailer names of a target's response.
func writeHead(w http.ResponseWriter, resp *http.Response) {
	copyHeader(w.Header(), resp.Header)
	for name := range resp.Trailer {
		if !strings.HasPrefix(name, headerPrefix) {
			w.Header().Add("Trailer", name)
		}
	}
	w.WriteHeader(resp.StatusCode)
}

// copyBody copies the body and the trailers. A body of unknown length is flushed after
// each read, since a feed's next event may be minutes away. An error while reading from
// the target is returned unchanged: the response is incomplete.
func copyBody(w http.ResponseWriter, resp *http.Response) (fromTarget, toCaller error) {
	rc := http.NewResponseController(w)
	streaming := resp.ContentLength < 0
	if streaming {
		_ = rc.Flush()
	}
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return nil, werr
			}
			if streaming {
				_ = rc.Flush()
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return err, nil
		}
	}
	for name, values := range resp.Trailer {
		if !strings.HasPrefix(name, headerPrefix) {
			w.Header()[name] = values
		}
	}
	return nil, nil
}
