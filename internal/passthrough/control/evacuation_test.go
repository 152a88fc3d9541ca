package control

import (
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/monotonic/clocktest"
	"bergamotstall/internal/passthrough/route"
)

// awaitEvacuated waits until each VM knows the given evacuations.
func awaitEvacuated(t *testing.T, vms []*Control, want ...string) {
	t.Helper()
	for _, c := range vms {
		eventually(t, func() error {
			if got := c.Evacuated(); !slices.Equal(got, want) {
				return fmt.Errorf("evacuated: %q", got)
			}
			return nil
		})
	}
}

// Guards against acknowledged evacuations that are lost when all control VMs restart.
func TestEvacuationsSurviveARestartOfAllVMs(t *testing.T) {
	folder := t.TempDir()
	vms, stop := startIn(t, folder, 54, 3, nil)
	eventually(t, func() error { return vms[2].Put(t.Context(), definition(5)) })
	eventually(t, func() error { return vms[0].Evacuate(t.Context(), "accra-a") })
	eventually(t, func() error { return vms[1].Evacuate(t.Context(), "accra-b") })
	eventually(t, func() error { return vms[2].Withdraw(t.Context(), "accra-b") })
	awaitEvacuated(t, vms, "accra-a")
	stop()
	vms, _ = startIn(t, folder, 54, 3, nil)
	awaitEvacuated(t, vms, "accra-a")
	eventually(t, func() error { return vms[0].Withdraw(t.Context(), "accra-a") })
	awaitEvacuated(t, vms)
}

// Guards against a resend that is refused, and against a delayed copy that is applied: it
// gets no definite answer until operators have stopped resending.
func TestEvacuationOrdersResent(t *testing.T) {
	is := is.New(t)
	c := start(t, 55, 1)[0]
	eventually(t, func() error { return c.Evacuate(t.Context(), "accra-a") })
	is.NoErr(c.Evacuate(t.Context(), "accra-a"))
	is.NoErr(c.Withdraw(t.Context(), "accra-a"))
	is.NoErr(c.Withdraw(t.Context(), "accra-a"))
	is.True(errors.Is(c.Evacuate(t.Context(), "accra-a"), ErrUnavailable))
	is.Equal(len(c.Evacuated()), 0)
	time.Sleep(c.cfg.ResendWindow)
	is.NoErr(c.Evacuate(t.Context(), "accra-a"))
	is.True(errors.Is(c.Evacuate(t.Context(), "a b"), route.ErrZoneName))
}

// Guards against a delayed copy that overrides the operator's latest order, because the
// VM's clock was set: how long operators may still resend doesn't depend on the time of day.
func TestClockStepsDoNotMakeDelayedCopiesNew(t *testing.T) {
	for i, by := range []time.Duration{-time.Hour, time.Hour} {
		t.Run(by.String(), func(t *testing.T) {
			is := is.New(t)
			var step atomic.Int64
			now := func() time.Time { return clocktest.SetTimeOfDay(time.Now(), time.Duration(step.Load())) }
			vms, _ := startIn(t, t.TempDir(), uint8(56+i), 1, now)
			c := vms[0]
			eventually(t, func() error { return c.Evacuate(t.Context(), "accra-a") })
			is.NoErr(c.Withdraw(t.Context(), "accra-a"))
			step.Store(int64(by))
			is.True(errors.Is(c.Evacuate(t.Context(), "accra-a"), ErrUnavailable))
			is.Equal(len(c.Evacuated()), 0)
			time.Sleep(c.cfg.ResendWindow)
			is.NoErr(c.Evacuate(t.Context(), "accra-a"))
		})
	}
}
