package loadgen

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go/http3"

	"bergamotstall/internal/check"
	"bergamotstall/internal/standin/target"
	"bergamotstall/internal/wait"
)

const (
	notRunHeader  = "Bergamotstall-Not-Run"
	unknownHeader = "Bergamotstall-Unknown"
	keyHeader     = "Idempotency-Key"
	// answerLimit bounds a submission's answer.
	answerLimit = 1 << 20
	// retryAfterLimit bounds how long a caller waits before it sends again.
	retryAfterLimit = 2 * time.Second
	retryAfterLeast = 50 * time.Millisecond
)

// do sends one attempt and lets read judge the answer's body.
func (f *flow) do(ctx context.Context, kind Kind, a check.Attempt, r *http.Request, read func(*http.Response, *check.Attempt) int64) (check.Attempt, time.Duration) {
	a.Service = f.service
	a.Began = time.Now()
	r.Header.Set(target.RequestIDHeader, a.ID)
	f.credential(r)
	f.inProgress = true
	resp, err := f.client.RoundTrip(r)
	var got int64
	var pause time.Duration
	if err != nil {
		a.Outcome, a.Reason = failed(ctx, err)
	} else {
		pause = retryAfter(resp.Header)
		got = judge(resp, &a, read)
		_ = resp.Body.Close()
	}
	f.inProgress = a.Outcome == check.Cut
	if a.Outcome == notSent {
		return a, pause
	}
	a.Took = time.Since(a.Began)
	f.rec.attempt(kind, a, got)
	return a, pause
}

// notSent is the outcome of a request that never left the caller, because the
// other end had said goodbye (GOAWAY) before. It is no attempt: the caller
// sends it over a new flow.
const notSent = check.Outcome(0)

// rejected is the reason of a request that crossed with the other end's GOAWAY.
// By RFC 9114, section 4.1.1, it was not processed and may be sent again, so it
// is held to the promise of a request that was not run.
const rejected = "H3_REQUEST_REJECTED"

// goneAway is how the HTTP/3 library words that; its error isn't exported.
const goneAway = "connection in graceful shutdown"

func failed(ctx context.Context, err error) (check.Outcome, string) {
	if ctx.Err() != nil && errors.Is(context.Cause(ctx), context.Canceled) {
		return check.Cancelled, "run ended"
	}
	if strings.Contains(err.Error(), goneAway) {
		return notSent, goneAway
	}
	var h3 *http3.Error
	if errors.As(err, &h3) && h3.Remote && h3.ErrorCode == http3.ErrCodeRequestRejected {
		return check.NotRun, rejected
	}
	return check.Cut, reasonOf(err)
}

func judge(resp *http.Response, a *check.Attempt, read func(*http.Response, *check.Attempt) int64) int64 {
	a.AnsweredBy = resp.Header.Get(target.ServiceHeader)
	switch {
	case resp.Header.Get(notRunHeader) != "":
		a.Outcome, a.Reason = check.NotRun, resp.Header.Get(notRunHeader)
		return 0
	case resp.Header.Get(unknownHeader) != "":
		a.Outcome, a.Reason = check.Unknown, resp.Header.Get(unknownHeader)
		return 0
	case resp.StatusCode != http.StatusOK:
		a.Outcome, a.Reason = check.Refused, resp.Status
		return 0
	}
	a.Outcome = check.Answered
	return read(resp, a)
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil {
		return retryAfterLeast
	}
	return min(max(time.Duration(seconds)*time.Second, retryAfterLeast), retryAfterLimit)
}

// download fetches content that only this service has for this seed, and
// compares every byte.
func (f *flow) download(ctx context.Context, id string) error {
	own, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.spec.Timeout)
	defer cancel()
	seed := f.rng.Uint64()
	url := fmt.Sprintf("https://%s/download?bytes=%d&seed=%d", f.spec.Address, f.spec.DownloadBytes, seed)
	r, err := http.NewRequestWithContext(own, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "loadgen: download")
	}
	a, pause := f.do(own, Download, check.Attempt{ID: id}, r, func(resp *http.Response, a *check.Attempt) int64 {
		return f.compare(own, resp, a, seed)
	})
	return f.after(ctx, a, pause)
}

func (f *flow) compare(ctx context.Context, resp *http.Response, a *check.Attempt, seed uint64) int64 {
	sum := sha256.New()
	n, err := io.Copy(sum, resp.Body)
	if err != nil {
		a.Outcome, a.Reason = failed(ctx, err)
		return n
	}
	if want := int64(f.spec.DownloadBytes); n != want {
		a.Damaged, a.Reason = true, fmt.Sprintf("%d of %d bytes", n, want)
		return n
	}
	if hex.EncodeToString(sum.Sum(nil)) != target.ContentSum(f.service, seed, n) {
		a.Damaged, a.Reason = true, "content of another request"
	}
	return n
}

// feed holds a feed open for FeedFor. A feed that the target ends by itself, as
// at a graceful stop, is whole; one that falls silent or breaks is cut.
func (f *flow) feed(ctx context.Context, id string) error {
	open, cancel := context.WithTimeout(ctx, f.spec.FeedFor)
	defer cancel()
	r, err := http.NewRequestWithContext(open, http.MethodGet, "https://"+f.spec.Address+"/feed", nil)
	if err != nil {
		return errors.Wrap(err, "loadgen: feed")
	}
	a, pause := f.do(open, Feed, check.Attempt{ID: id}, r, func(resp *http.Response, a *check.Attempt) int64 {
		n, err := io.Copy(io.Discard, resp.Body)
		if err != nil && open.Err() == nil {
			a.Outcome, a.Reason = check.Cut, reasonOf(err)
		}
		return n
	})
	return f.after(ctx, a, pause)
}

// submit files one submission, again with the same key after a refusal, an
// unknown outcome or a cut, as far as the flow lives.
func (f *flow) submit(ctx context.Context, id string) error {
	body := make([]byte, f.spec.SubmitBytes)
	fill(body, f.rng)
	var a check.Attempt
	var pause time.Duration
	for n := range f.spec.Resends + 1 {
		var err error
		a, pause, err = f.submitOnce(ctx, id, n, body)
		if err != nil {
			return err
		}
		if a.Outcome == check.Answered || a.Outcome == check.Refused || ctx.Err() != nil {
			break
		}
		if a.Outcome != check.NotRun && a.Outcome != notSent && !f.spec.Keyed {
			break
		}
		if a.Outcome == notSent || f.conn.Context().Err() != nil {
			f.resendElsewhere(ctx, id, n+1, body)
			return errGoingAway
		}
		if !wait.For(ctx, pause) {
			break
		}
	}
	return f.after(ctx, a, 0)
}

// resendElsewhere sends a submission again over a new flow, after its own flow
// went away before an answer came.
func (f *flow) resendElsewhere(ctx context.Context, id string, from int, body []byte) {
	other, err := open(ctx, f.spec, f.rec, f.id, f.rng)
	if err != nil {
		return
	}
	defer other.close()
	for n := from; n < from+f.spec.Resends; n++ {
		a, pause, err := other.submitOnce(ctx, id, n, body)
		if err != nil || a.Outcome == check.Answered || a.Outcome == check.Refused || other.conn.Context().Err() != nil {
			return
		}
		if !wait.For(ctx, pause) {
			return
		}
	}
}

func (f *flow) submitOnce(ctx context.Context, id string, n int, body []byte) (check.Attempt, time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.spec.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+f.spec.Address+"/submit", bytes.NewReader(body))
	if err != nil {
		return check.Attempt{}, 0, errors.Wrap(err, "loadgen: submit")
	}
	if f.spec.Keyed {
		r.Header.Set(keyHeader, id)
	}
	first := check.Attempt{ID: AttemptID(id, n), Submission: id}
	a, pause := f.do(ctx, Submit, first, r, func(resp *http.Response, a *check.Attempt) int64 {
		return readSubmission(ctx, resp, a, body)
	})
	return a, pause, nil
}

func readSubmission(ctx context.Context, resp *http.Response, a *check.Attempt, body []byte) int64 {
	data, err := io.ReadAll(io.LimitReader(resp.Body, answerLimit))
	if err != nil {
		a.Outcome, a.Reason = failed(ctx, err)
		return int64(len(data))
	}
	var got target.Submission
	if err := json.Unmarshal(data, &got); err != nil {
		a.Damaged, a.Reason = true, "answer is no JSON"
		return int64(len(data))
	}
	sum := sha256.Sum256(body)
	if got.BodySHA256 != hex.EncodeToString(sum[:]) || SubmissionOf(got.RequestID) != a.Submission {
		a.Damaged, a.Reason = true, "answer to another submission"
	}
	return int64(len(data))
}

// after decides whether the flow goes on once a request has ended.
func (f *flow) after(ctx context.Context, a check.Attempt, pause time.Duration) error {
	if a.Outcome == check.Cut || a.Outcome == notSent || f.conn.Context().Err() != nil {
		return errGoingAway
	}
	if a.Outcome == check.NotRun && !wait.For(ctx, pause) {
		return errGoingAway
	}
	return nil
}

// attemptMark parts a submission's name from the number of the attempt.
const attemptMark = "~"

// AttemptID names one attempt of a submission.
func AttemptID(submission string, n int) string {
	return submission + attemptMark + strconv.Itoa(n)
}

// SubmissionOf returns the submission of an attempt's ID, empty where the ID is
// of a request that may be repeated.
func SubmissionOf(attempt string) string {
	for i := len(attempt) - 1; i >= 0; i-- {
		if attempt[i] == attemptMark[0] {
			return attempt[:i]
		}
	}
	return ""
}

func fill(body []byte, rng *rand.Rand) {
	var word [8]byte
	for at := 0; at < len(body); at += len(word) {
		binary.LittleEndian.PutUint64(word[:], rng.Uint64())
		copy(body[at:], word[:])
	}
}
