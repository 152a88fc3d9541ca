package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRetryDecision(t *testing.T) {
	for _, c := range []struct {
		name string
		a    Attempt
		want Reason
	}{
		{"submission, no byte seen", Attempt{Outcome: NotRun, Attempts: 1}, ""},
		{"submission, answer lost", Attempt{Outcome: NoAnswer, Attempts: 1}, NotRepeatable},
		{"submission, shed", Attempt{Outcome: Shed, Attempts: 1}, NotRepeatable},
		{"download, answer lost", Attempt{Outcome: NoAnswer, Repeatable: true, Attempts: 2}, ""},
		{"download, shed", Attempt{Outcome: Shed, Repeatable: true, Attempts: 2}, ""},
		{"third attempt failed", Attempt{Outcome: NotRun, Repeatable: true, Attempts: 3}, TooManyAttempts},
		{"slow target, no time left", Attempt{Outcome: NotRun, Attempts: 1, Deadline: 2 * time.Second, TypicalDuration: time.Second}, NoTime},
		{"time enough", Attempt{Outcome: NotRun, Attempts: 1, Deadline: 3 * time.Second, TypicalDuration: time.Second}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			reason, again := NewBudget(10).TakeRetry(time.Second, c.a)
			is.Equal(reason, c.want)
			is.Equal(again, c.want == "")
		})
	}
}

// Guards against retries that multiply an overload: every request is refused, and without
// a budget each would make two more attempts, three times the load.
func TestRetriesDoNotMultiplyOverload(t *testing.T) {
	is := is.New(t)
	b := NewBudget(10)
	const fresh = 10000
	retries := 0
	for i := range fresh {
		now := time.Duration(i) * time.Millisecond
		b.RecordRequest(now)
		for made := 1; ; made++ {
			if _, again := b.TakeRetry(now, Attempt{Outcome: NotRun, Attempts: made}); !again {
				break
			}
			retries++
		}
	}
	t.Logf("%d retries of %d requests", retries, fresh)
	is.True(retries >= fresh/10)                // the budget is used
	is.True(retries <= fresh/10+maxTokens+10+1) // share of requests, full bucket, 1/s for 10 s
}

// Guards against errors for the requests that run at a target when it fails, on a service
// with little traffic: the full bucket covers their retries.
func TestBudgetCoversOneTargetFailure(t *testing.T) {
	is := is.New(t)
	b := NewBudget(10)
	for range 7 {
		_, again := b.TakeRetry(0, Attempt{Outcome: NotRun, Attempts: 1})
		is.True(again)
	}
	for range 3 {
		b.TakeRetry(0, Attempt{Outcome: NotRun, Attempts: 1})
	}
	reason, _ := b.TakeRetry(0, Attempt{Outcome: NotRun, Attempts: 1})
	is.Equal(reason, OverBudget)
	_, again := b.TakeRetry(time.Second, Attempt{Outcome: NotRun, Attempts: 1})
	is.True(again) // one token is refilled after a second
}
