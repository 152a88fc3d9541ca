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
	// answerSizeLimit bounds the answer to a submission, in bytes.
	answerSizeLimit = 1 << 20
	// retryAfterMax and retryAfterMin bound a caller's wait before the next attempt.
	retryAfterMax = 2 * time.Second
	retryAfterMin = 50 * time.Millisecond
)

// do sends one attempt and passes a successful response to read, which checks its body.
// It returns the attempt's outcome and how long to wait before the next attempt.
func (f *flow) do(ctx context.Context, kind Kind, a check.Attempt, r *http.Request, read func(*http.Response, *check.Attempt) int64) (check.Attempt, time.Duration) {
	a.Service = f.service
	a.Began = time.Now()
	r.Header.Set(target.RequestIDHeader, a.ID)
	f.setCredential(r)
	f.inProgress = true
	resp, err := f.client.RoundTrip(r)
	var received int64
	var pause time.Duration
	if err != nil {
		a.Outcome, a.Reason = classifyError(ctx, err)
	} else {
		pause = retryAfter(resp.Header)
		received = classifyResponse(resp, &a, read)
		_ = resp.Body.Close()
	}
	f.inProgress = a.Outcome == check.Cut
	if a.Outcome == notSent {
		return a, pause
	}
	a.Took = time.Since(a.Began)
	f.rec.attempt(kind, a, received)
	return a, pause
}

// notSent is the outcome of a request that wasn't sent because the server had sent
// GOAWAY before. It doesn't count as an attempt: the caller sends the request over a
// new flow.
const notSent = check.Outcome(0)

// rejectedReason is the reason of a request that was sent before the server's GOAWAY
// arrived. By RFC 9114, section 4.1.1, it was not processed and may be sent again, so
// it is checked like a request reported as not run.
const rejectedReason = "H3_REQUEST_REJECTED"

// goAwayText is in the text of the HTTP/3 library's error after GOAWAY; the error itself
// isn't exported.
const goAwayText = "connection in graceful shutdown"

func classifyError(ctx context.Context, err error) (check.Outcome, string) {
	if ctx.Err() != nil && errors.Is(context.Cause(ctx), context.Canceled) {
		return check.Cancelled, "run ended"
	}
	if strings.Contains(err.Error(), goAwayText) {
		return notSent, goAwayText
	}
	var h3 *http3.Error
	if errors.As(err, &h3) && h3.Remote && h3.ErrorCode == http3.ErrCodeRequestRejected {
		return check.NotRun, rejectedReason
	}
	return check.Cut, errorReason(err)
}

func classifyResponse(resp *http.Response, a *check.Attempt, read func(*http.Response, *check.Attempt) int64) int64 {
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
		return retryAfterMin
	}
	return min(max(time.Duration(seconds)*time.Second, retryAfterMin), retryAfterMax)
}

// download requests content that is unique to the service and a random seed, and
// verifies its length and hash.
func (f *flow) download(ctx context.Context, id string) error {
	requestContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.spec.Timeout)
	defer cancel()
	seed := f.rng.Uint64()
	url := fmt.Sprintf("https://%s/download?bytes=%d&seed=%d", f.spec.Address, f.spec.DownloadBytes, seed)
	r, err := http.NewRequestWithContext(requestContext, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "loadgen: download")
	}
	a, pause := f.do(requestContext, Download, check.Attempt{ID: id}, r, func(resp *http.Response, a *check.Attempt) int64 {
		return f.verifyDownload(requestContext, resp, a, seed)
	})
	return f.checkContinue(ctx, a, pause)
}

func (f *flow) verifyDownload(ctx context.Context, resp *http.Response, a *check.Attempt, seed uint64) int64 {
	sum := sha256.New()
	n, err := io.Copy(sum, resp.Body)
	if err != nil {
		a.Outcome, a.Reason = classifyError(ctx, err)
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

// feed keeps a feed open for FeedFor. A feed that the target ends by itself, as at a
// graceful stop, is complete; one that fails is cut.
func (f *flow) feed(ctx context.Context, id string) error {
	feedContext, cancel := context.WithTimeout(ctx, f.spec.FeedFor)
	defer cancel()
	r, err := http.NewRequestWithContext(feedContext, http.MethodGet, "https://"+f.spec.Address+"/feed", nil)
	if err != nil {
		return errors.Wrap(err, "loadgen: feed")
	}
	a, pause := f.do(feedContext, Feed, check.Attempt{ID: id}, r, func(resp *http.Response, a *check.Attempt) int64 {
		n, err := io.Copy(io.Discard, resp.Body)
		if err != nil && feedContext.Err() == nil {
			a.Outcome, a.Reason = check.Cut, errorReason(err)
		}
		return n
	})
	return f.checkContinue(ctx, a, pause)
}

// submit sends one submission. After any outcome but an answer or an error status it
// sends it again with the same idempotency key; without a key, only if the submission
// certainly wasn't run.
func (f *flow) submit(ctx context.Context, id string) error {
	body := make([]byte, f.spec.SubmitBytes)
	fillRandom(body, f.rng)
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
	return f.checkContinue(ctx, a, 0)
}

// resendElsewhere sends a submission again over a new flow, after its flow ended
// before an answer arrived.
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, answerSizeLimit))
	if err != nil {
		a.Outcome, a.Reason = classifyError(ctx, err)
		return int64(len(data))
	}
	var got target.Submission
	if err := json.Unmarshal(data, &got); err != nil {
		a.Damaged, a.Reason = true, "answer is not JSON"
		return int64(len(data))
	}
	sum := sha256.Sum256(body)
	if got.BodySHA256 != hex.EncodeToString(sum[:]) || SubmissionOf(got.RequestID) != a.Submission {
		a.Damaged, a.Reason = true, "answer to another submission"
	}
	return int64(len(data))
}

// checkContinue returns errGoingAway if the flow can't carry another request. After a
// request that was not run it first waits for the given time.
func (f *flow) checkContinue(ctx context.Context, a check.Attempt, pause time.Duration) error {
	if a.Outcome == check.Cut || a.Outcome == notSent || f.conn.Context().Err() != nil {
		return errGoingAway
	}
	if a.Outcome == check.NotRun && !wait.For(ctx, pause) {
		return errGoingAway
	}
	return nil
}

// attemptSeparator separates a submission's ID from the number of the attempt.
const attemptSeparator = "~"

// AttemptID returns the ID of a submission's attempt n.
func AttemptID(submission string, n int) string {
	return submission + attemptSeparator + strconv.Itoa(n)
}

// SubmissionOf returns the submission that an attempt's ID belongs to. It is empty for
// requests that may be repeated.
func SubmissionOf(attempt string) string {
	for i := len(attempt) - 1; i >= 0; i-- {
		if attempt[i] == attemptSeparator[0] {
			return attempt[:i]
		}
	}
	return ""
}

func fillRandom(body []byte, rng *rand.Rand) {
	var word [8]byte
	for at := 0; at < len(body); at += len(word) {
		binary.LittleEndian.PutUint64(word[:], rng.Uint64())
		copy(body[at:], word[:])
	}
}
