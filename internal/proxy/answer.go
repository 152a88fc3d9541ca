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

// Headers between the system and callers.
const (
	// HeaderNotRun marks a refusal: no target saw a byte of the request.
	HeaderNotRun = "Bergamotstall-Not-Run"
	// HeaderUnknown marks an answer for a request that may have run.
	HeaderUnknown = "Bergamotstall-Unknown"
	// HeaderDeadline carries the time that is left to the caller, in
	// milliseconds, from caller to target.
	HeaderDeadline = "Bergamotstall-Deadline-Ms"

	headerPrefix = "Bergamotstall-"
)

const (
	statusRefused = http.StatusServiceUnavailable
	statusTooMany = http.StatusTooManyRequests

	minRetryAfter = time.Second
	copyBuffer    = 32 << 10
)

// Reason says why a request was refused or its outcome is unknown. Its text
// goes to callers and into the names of counters.
type Reason string

// Reasons beside those of package admission.
const (
	ReasonDeadline    Reason = "deadline"
	ReasonCancelled   Reason = "cancelled"
	ReasonDraining    Reason = "draining"
	ReasonUnreachable Reason = "target-unreachable"

	// ReasonCut: the target dropped the connection without an answer.
	ReasonCut Reason = "connection-cut"
	// ReasonSilent: the target gave no answer in time.
	ReasonSilent Reason = "no-answer"
)

// Refusal is the answer to a request that no target saw.
type Refusal struct {
	Reason Reason
	Status int
	// RetryAfter is when another try makes sense; at least a second is said.
	RetryAfter time.Duration
}

func (r *Refusal) Error() string { return "proxy: not run: " + string(r.Reason) }

// Unknown is the answer to a request that was handed over and got no answer.
type Unknown struct {
	Reason Reason
	Status int
}

func (u *Unknown) Error() string { return "proxy: outcome unknown: " + string(u.Reason) }

// refuse sends a refusal at once, also while the caller still sends its body:
// held back until the body's end, a caller with a large upload would learn last
// what it should learn first.
func refuse(w http.ResponseWriter, req *http.Request, r *Refusal) {
	h := w.Header()
	h.Set(HeaderNotRun, string(r.Reason))
	seconds := math.Ceil(max(r.RetryAfter, minRetryAfter).Seconds())
	h.Set("Retry-After", strconv.Itoa(int(seconds)))
	sayNow(w, req, r.Status, "not run: "+string(r.Reason)+"\n")
}

func sayUnknown(w http.ResponseWriter, req *http.Request, u *Unknown) {
	w.Header().Set(HeaderUnknown, string(u.Reason))
	sayNow(w, req, u.Status, "outcome unknown: "+string(u.Reason)+"\n")
}

// sayMisuse answers a request that is wrong in itself; sending it again changes
// nothing, so it carries neither Retry-After nor the header of refusals.
func sayMisuse(w http.ResponseWriter, req *http.Request, reason Reason) {
	status := http.StatusUnprocessableEntity
	if reason == ReasonKeyBody {
		status = http.StatusRequestEntityTooLarge
	}
	sayNow(w, req, status, string(reason)+"\n")
}

func sayNow(w http.ResponseWriter, req *http.Request, status int, text string) {
	rc := http.NewResponseController(w)
	if req.ProtoMajor == 1 {
		// Otherwise the server reads on in the request's body before it answers.
		// It can't reuse a connection on which a body was left.
		_ = rc.EnableFullDuplex()
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
	_ = rc.Flush()
}

// hopHeaders belong to one connection and are never passed on (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// copyHeader passes headers on without those of the connection and without any
// of the system's own: a target that set Bergamotstall-Not-Run could make a
// caller resend what has run.
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

// sendHead passes the head of a target's answer on.
func sendHead(w http.ResponseWriter, resp *http.Response) {
	copyHeader(w.Header(), resp.Header)
	for name := range resp.Trailer {
		if !strings.HasPrefix(name, headerPrefix) {
			w.Header().Add("Trailer", name)
		}
	}
	w.WriteHeader(resp.StatusCode)
}

// sendBody passes the body and the trailers on. A body of unknown length is
// flushed piece by piece, since a feed's next piece may be minutes away. An
// error of the target's side is returned as it is: the answer isn't whole.
func sendBody(w http.ResponseWriter, resp *http.Response) (fromTarget, toCaller error) {
	rc := http.NewResponseController(w)
	live := resp.ContentLength < 0
	if live {
		_ = rc.Flush()
	}
	buf := make([]byte, copyBuffer)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return nil, werr
			}
			if live {
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
