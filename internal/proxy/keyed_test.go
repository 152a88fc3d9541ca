package proxy

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"bergamotstall/internal/idempotency"
	"bergamotstall/internal/standin/target"
	"bergamotstall/internal/table"
)

// hasRecord tells whether this agent's voter has a record of the key.
func (x *Proxy) hasRecord(key string) bool {
	held := false
	x.withVoter(func(v *idempotency.Voter, nowMS int64) {
		held = v.HasRecord(idempotency.Key(hash(x.cfg.Service, key)))
	})
	return held
}

// Guards against a second run when a caller loses its connection during a submission and
// resends it with the same key to other agents. While the first run is in progress a
// resend is told so; afterwards it gets the first run's response.
func TestResponseLostAndResentToOtherAgents(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 5, target.Faults{Work: 200 * time.Millisecond}, Limits{Slots: 4})
	c.hosts[0].submitAndDisconnect("k1", "note")

	during := c.hosts[1].submitKeyed("k1", "note")
	if during.header.Get(HeaderReplayed) == "" { // otherwise the run has already ended
		is.Equal(during.status, http.StatusConflict)
		is.Equal(during.unknown(), string(ReasonKeyRunning))
	}
	for _, h := range c.hosts {
		var got reply
		eventually(t, "stored response", func() bool {
			got = h.submitKeyed("k1", "note")
			return got.status == http.StatusOK
		})
		is.Equal(got.header.Get(HeaderReplayed), "true")
		is.Equal(got.header.Get(target.HostHeader), "h1") // the stored headers are replayed too
		is.Equal(got.notRun(), "")
	}
	is.Equal(c.runs("k1"), 1)
}

// Guards against a second run after the target closed the connection at the end of a run:
// the caller and every resend get "unknown".
func TestOutcomeUnknownStaysUnknown(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4, target.Faults{Cut: target.CutAfter}, Limits{Slots: 4})
	first := c.hosts[0].submitKeyed("k1", "note")
	is.Equal(first.unknown(), string(ReasonConnectionCut))
	for _, h := range c.hosts {
		eventually(t, "unknown", func() bool { return h.submitKeyed("k1", "note").unknown() == string(ReasonKeyOutcomeUnknown) })
	}
	is.Equal(c.runs("k1"), 1)
}

// Guards against a second run when some of the key's three voters restart, and so lose
// their records, before a resend. After one or two restarts the resend gets the response.
// After three it is refused as not run, and so are new keys of the same three voters
// until the lookback is over.
func TestVoterRestartsBetweenClaimAndResend(t *testing.T) {
	for _, restarts := range []int{1, 2, 3} {
		t.Run(fmt.Sprint(restarts), func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 6, target.Faults{}, Limits{Slots: 4})
			now := time.Now().UnixMilli()
			got := c.hosts[0].submitKeyed("k1", "note")
			is.Equal(got.status, http.StatusOK)
			eventually(t, "records", func() bool { return len(c.votersOf("k1")) == 3 })
			voters := c.votersOf("k1")
			for _, h := range voters[:restarts] {
				c.crash(h)
				c.table.Targets[h.number-1].State = table.Retired
				c.add(target.Faults{}, Limits{Slots: 4})
				c.table.Targets[len(c.table.Targets)-1].JoinedAtMS = now
			}
			c.publish()
			for _, h := range c.hosts {
				if slices.Contains(voters[:restarts], h) {
					continue
				}
				if restarts == 3 {
					// Right after another agent's attempt, that attempt may still hold
					// the key.
					eventually(t, "refusal", func() bool { return h.submitKeyed("k1", "note").notRun() == string(ReasonKeyQuorum) })
					continue
				}
				is.Equal(h.submitKeyed("k1", "note").header.Get(HeaderReplayed), "true")
			}
			is.Equal(c.runs("k1"), 1)
		})
	}
}

// Guards against losing keys when all agents restart one after another as planned. A
// resend of an old key still gets its response, and new keys run at every step.
func TestRollingRestartKeepsResponses(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, target.Faults{}, Limits{Slots: 4})
	now := time.Now().UnixMilli()
	is.Equal(c.hosts[0].submitKeyed("old", "note").status, http.StatusOK)
	eventually(t, "records", func() bool { return len(c.votersOf("old")) == 3 })
	for i := range 3 {
		c.hosts[i].stopGracefully()
		c.table.Targets[i].State = table.Retired
		fresh := c.add(target.Faults{}, Limits{Slots: 4})
		c.table.Targets[fresh.number-1].JoinedAtMS = now + int64(i)
		c.publish()
		key := fmt.Sprint("new", i)
		is.Equal(fresh.submitKeyed(key, "note").status, http.StatusOK)
		is.Equal(c.runs(key), 1)
		is.Equal(fresh.submitKeyed("old", "note").header.Get(HeaderReplayed), "true")
	}
	is.Equal(c.runs("old"), 1)
}

// Guards against replaying a response to another body or another caller with the same
// key: both get an error.
func TestKeyReusedForOtherBodyOrByOtherCaller(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4, target.Faults{}, Limits{Slots: 4})
	alice := []string{"Authorization", "Bearer alice"}
	is.Equal(c.hosts[0].submitKeyed("k1", "note", alice...).status, http.StatusOK)
	eventually(t, "records", func() bool { return len(c.votersOf("k1")) == 3 })
	for _, h := range c.hosts {
		body := h.submitKeyed("k1", "other note", alice...)
		is.Equal(body.status, http.StatusUnprocessableEntity)
		caller := h.submitKeyed("k1", "note", "Authorization", "Bearer bob")
		is.Equal(caller.status, http.StatusUnprocessableEntity)
		is.Equal(caller.header.Get(target.HostHeader), "") // no part of the response
		is.Equal(h.count("refused.key-misused"), int64(2))
	}
	is.Equal(c.runs("k1"), 1)
}

// Guards against a refused submission that keeps its key: the caller may resend it with
// the same key, and it then runs.
func TestRefusedSubmissionReleasesItsKey(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, target.Faults{}, Limits{Slots: 4})
	for _, h := range c.hosts {
		h.target.Kill()
	}
	got := c.hosts[0].submitKeyed("k1", "note")
	is.Equal(got.notRun(), string(ReasonUnreachable))
	restarted := c.add(target.Faults{}, Limits{Slots: 4})
	c.publish()
	eventually(t, "run", func() bool { return restarted.submitKeyed("k1", "note").status == http.StatusOK })
	is.Equal(c.runs("k1"), 1)
}

// Guards against voting with an old table when control is unreachable. If one agent's
// table is too old, its submissions with a key run elsewhere. If all are too old, they
// are refused as not run, while submissions without a key still run.
func TestOldTableStopsKeyedSubmissionsOnly(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, target.Faults{}, Limits{Slots: 4})
	old := func() time.Duration { return idempotency.MaxTableAge + 1 }
	c.hosts[0].proxy.cfg.TableAge = old
	is.Equal(c.hosts[0].submitKeyed("k1", "note").status, http.StatusOK)
	is.Equal(c.hosts[0].target.LedgerEntry("k1").Seen, 0)
	c.hosts[1].proxy.cfg.TableAge = old
	c.hosts[2].proxy.cfg.TableAge = old
	is.Equal(c.hosts[0].submitKeyed("k2", "note").notRun(), string(ReasonKeyTableStale))
	is.Equal(c.hosts[0].submit("plain", "note").status, http.StatusOK)
	is.Equal(c.seen("k2"), 0)
}
