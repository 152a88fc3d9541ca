package flowtable

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/passthrough/overload"
)

// newGoalsRig returns a rig whose engine goes by callers' goals.
func newGoalsRig(t *testing.T) *rig {
	r := newRig(t)
	r.engine.cfg.Overload = overload.Settings{CallerGoals: true}
	return r
}

// Guards against balancers that take a target with a queue for a free one.
func TestReportStatesTheExpectedWait(t *testing.T) {
	is := is.New(t)
	r := newGoalsRig(t)
	r.engine.latencies.service = 40 * time.Millisecond
	is.Equal(r.report().WaitMS, uint32(0))
	fillTarget(r)
	one := r.report().WaitMS
	is.True(one > 0)
	r.syn(1)
	r.syn(2)
	is.Equal(r.report().WaitMS, 3*one)
	r.engine.cfg.Overload.CallerGoals = false
	is.Equal(r.report().WaitMS, uint32(0))
}
