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
	var c TargetHealth
	now := time.Minute
	c.RecordEndpoint(true)
	for range unhealthyAfterFailures {
		is.True(!c.Unhealthy(now))
		c.RecordFailure(now)
	}
	is.True(c.Unhealthy(now))
	is.True(c.Unhealthy(now + time.Hour)) // time alone doesn't make it healthy
	trials := 0
	for at := now; at < now+10*time.Second; at += 10 * ms {
		if c.AllowTrial(at) {
			trials++
		}
	}
	is.Equal(trials, 9) // of a thousand requests
	c.RecordSuccess(now + 11*time.Second)
	is.True(!c.Unhealthy(now + 11*time.Second))
}

// Guards against a working target taken out of service because its health endpoint
// reports unhealthy: that counts only after a time without requests.
func TestRequestSuccessesOverrideUnhealthyEndpoint(t *testing.T) {
	is := is.New(t)
	var c TargetHealth
	c.RecordEndpoint(false)
	is.True(c.Unhealthy(0)) // no outcome of requests is known
	c.RecordSuccess(time.Second)
	is.True(!c.Unhealthy(time.Second + outcomeTTL - 1))
	is.True(c.Unhealthy(time.Second + outcomeTTL))
	c.RecordEndpoint(true)
	is.True(!c.Unhealthy(time.Second + outcomeTTL))
}
