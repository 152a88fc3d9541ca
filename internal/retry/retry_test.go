package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestWhatMayBeTriedAgain(t *testing.T) {
	for _, c := range []struct {
		name string
		a    Attempt
		want Reason
	}{
		{"submission, no byte seen", Attempt{Outcome: NotRun, Made: 1}, ""},
		{"submission, answer lost", Attempt{Outcome: Lost, Made: 1}, NotRepeatable},
		{"submission, shed", Attempt{Outcome: Shed, Made: 1}, NotRepeatable},
		{"download, answer lost", Attempt{Outcome: Lost, Repeatable: true, Made: 2}, ""},
		{"download, shed", Attempt{Outcome: Shed, Repeatable: true, Made: 2}, ""},
		{"third attempt failed", Attempt{Outcome: NotRun, Repeatable: true, Made: 3}, Attempts},
		{"slow target, no time left", Attempt{Outcome: NotRun, Made: 1, Deadline: 2 * time.Second, Need: time.Second}, NoTime},
		{"time enough", Attempt{Outcome: NotRun, Made: 1, Deadline: 3 * time.Second, Need: time.Second}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			reason, again := NewBudget(10).Again(time.Second, c.a)
			is.Equal(reason, c.want)
			is.Equal(again, c.want == "")
		})
	}
}

// Saturation: every request is refused. Without a budget each would make two
// more attempts, three times the load; with it the load grows by the tenth.
func TestSaturationDoesntMultiply(t *testing.T) {
	is := is.New(t)
	b := NewBudget(10)
	const fresh = 10000
	retries := 0
	for i := range fresh {
		now := time.Duration(i) * time.Millisecond
		b.Fresh(now)
		for made := 1; ; made++ {
			if _, again := b.Again(now, Attempt{Outcome: NotRun, Made: made}); !again {
				break
			}
			retries++
		}
	}
	t.Logf("%d retries of %d requests", retries, fresh)
	is.True(retries >= fresh/10)            // the budget is there to be used
	is.True(retries <= fresh/10+burst+10+1) // and no more: share, bucket, 1/s for 10 s
}

// A burst of failures from one dead target is covered by the saved-up budget,
// also on a service with little traffic.
func TestOneDeathIsCovered(t *testing.T) {
	is := is.New(t)
	b := NewBudget(10)
	for range 7 {
		_, again := b.Again(0, Attempt{Outcome: NotRun, Made: 1})
		is.True(again)
	}
	for range 3 {
		b.Again(0, Attempt{Outcome: NotRun, Made: 1})
	}
	reason, _ := b.Again(0, Attempt{Outcome: NotRun, Made: 1})
	is.Equal(reason, OverBudget)
	_, again := b.Again(time.Second, Attempt{Outcome: NotRun, Made: 1})
	is.True(again) // a second later there is one again
}
