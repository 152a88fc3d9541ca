package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The health endpoint says well while requests fail: requests decide. One trial
// a second goes through, and the first answer ends it.
func TestEndpointSaysWellWhileRequestsFail(t *testing.T) {
	is := is.New(t)
	var c Condition
	now := time.Minute
	c.Hint(true)
	for range illAfter {
		is.True(!c.Ill(now))
		c.Failed(now)
	}
	is.True(c.Ill(now))
	is.True(c.Ill(now + time.Hour)) // no lapse of time alone makes it well
	trials := 0
	for at := now; at < now+10*time.Second; at += 10 * ms {
		if c.Trial(at) {
			trials++
		}
	}
	is.Equal(trials, 9) // not one of the thousand requests more
	c.Answered(now + 11*time.Second)
	is.True(!c.Ill(now + 11*time.Second))
}

// The reverse: the endpoint says ill while requests pass. It counts only after
// a time without requests.
func TestEndpointSaysIllWhileRequestsPass(t *testing.T) {
	is := is.New(t)
	var c Condition
	c.Hint(false)
	is.True(c.Ill(0)) // nothing else is known
	c.Answered(time.Second)
	is.True(!c.Ill(time.Second + evidenceFor - 1))
	is.True(c.Ill(time.Second + evidenceFor))
	c.Hint(true)
	is.True(!c.Ill(time.Second + evidenceFor))
}
