package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a dead target that stays in service because its health endpoint reports
// healthy. Outcomes of requests decide; one trial a second is let through, and the first
// answer makes the target healthy.
func TestRequestFailuresOverrideHealthyEndpoint(t *testing.T) {
	is := is.New(t)
	var c Condition
	now := time.Minute
	c.Hint(true)
	for range unhealthyAfterFailures {
		is.True(!c.Ill(now))
		c.Failed(now)
	}
	is.True(c.Ill(now))
	is.True(c.Ill(now + time.Hour)) // time alone doesn't make it healthy
	trials := 0
	for at := now; at < now+10*time.Second; at += 10 * ms {
		if c.Trial(at) {
			trials++
		}
	}
	is.Equal(trials, 9) // of a thousand requests
	c.Answered(now + 11*time.Second)
	is.True(!c.Ill(now + 11*time.Second))
}

// Guards against a working target taken out of service because its health endpoint
// reports unhealthy: that counts only after a time without requests.
func TestRequestSuccessesOverrideUnhealthyEndpoint(t *testing.T) {
	is := is.New(t)
	var c Condition
	c.Hint(false)
	is.True(c.Ill(0)) // no outcome of requests is known
	c.Answered(time.Second)
	is.True(!c.Ill(time.Second + outcomeTTL - 1))
	is.True(c.Ill(time.Second + outcomeTTL))
	c.Hint(true)
	is.True(!c.Ill(time.Second + outcomeTTL))
}
