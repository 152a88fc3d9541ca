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

// holds tells whether this agent's keeper has a record of the key.
func (x *Relay) holds(key string) bool {
	held := false
	x.keep(func(k *idempotency.Voter, nowMS int64) {
		held = k.HasRecord(idempotency.Key(sum(x.cfg.Service, key)))
	})
	return held
}

// The caller's connection dies while its submission runs. It resends with the
// same key, and meets another agent each time: while the first still runs it is
// told so, afterwards it gets the first one's answer. One run in all.
func TestAnswerLostAndResentToOtherAgents(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 5, target.Faults{Work: 200 * time.Millisecond}, Limits{Slots: 4})
	c.hosts[0].loseAnswer("k1", "note")

	during := c.hosts[1].keyed("k1", "note")
	if during.header.Get(HeaderReplayed) == "" { // it may have ended meanwhile
		is.Equal(during.status, http.StatusConflict)
		is.Equal(during.unknown(), string(ReasonKeyRunning))
	}
	for _, h := range c.hosts {
		var got reply
		eventually(t, "the answer", func() bool {
			got = h.keyed("k1", "note")
			return got.status == http.StatusOK
		})
		is.Equal(got.header.Get(HeaderReplayed), "true")
		is.Equal(got.header.Get(target.HostHeader), "h1") // whole, headers too
		is.Equal(got.notRun(), "")
	}
	is.Equal(c.runs("k1"), 1)
}

// The target cuts the connection after the submission ran: the caller is told
// "unknown", and so is each resender. Nobody runs it again.
func TestOutcomeUnknownStaysUnknown(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4, target.Faults{Cut: target.CutAfter}, Limits{Slots: 4})
	first := c.hosts[0].keyed("k1", "note")
	is.Equal(first.unknown(), string(ReasonCut))
	for _, h := range c.hosts {
		eventually(t, "unknown", func() bool { return h.keyed("k1", "note").unknown() == string(ReasonKeyUnknown) })
	}
	is.Equal(c.runs("k1"), 1)
}

// The caller resends after some of the key's three keepers have restarted and
// forgotten. One restart: the resender learns the outcome. All three: it is
// refused as not run, and so are new keys of the same three until the lookback
// is over. In no case is there a second run.
func TestKeeperRestartsBetweenClaimAndResend(t *testing.T) {
	for _, restarts := range []int{1, 2, 3} {
		t.Run(fmt.Sprint(restarts), func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 6, target.Faults{}, Limits{Slots: 4})
			now := time.Now().UnixMilli()
			got := c.hosts[0].keyed("k1", "note")
			is.Equal(got.status, http.StatusOK)
			eventually(t, "records", func() bool { return len(c.keepersOf("k1")) == 3 })
			keepers := c.keepersOf("k1")
			for _, h := range keepers[:restarts] {
				c.crash(h)
				c.table.Targets[h.number-1].State = table.Retired
				c.add(target.Faults{}, Limits{Slots: 4})
				c.table.Targets[len(c.table.Targets)-1].JoinedAtMS = now
			}
			c.publish()
			for _, h := range c.hosts {
				if slices.Contains(keepers[:restarts], h) {
					continue
				}
				if restarts == 3 {
					// Right after another's try the key may still be held by it.
					eventually(t, "refusal", func() bool { return h.keyed("k1", "note").notRun() == string(ReasonKeyQuorum) })
					continue
				}
				is.Equal(h.keyed("k1", "note").header.Get(HeaderReplayed), "true")
			}
			is.Equal(c.runs("k1"), 1)
		})
	}
}

// All agents are restarted as planned, one after the other. The resender of an
// old key still gets its answer, and new keys run at every step.
func TestRollingRestartKeepsAnswers(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, target.Faults{}, Limits{Slots: 4})
	now := time.Now().UnixMilli()
	is.Equal(c.hosts[0].keyed("old", "note").status, http.StatusOK)
	eventually(t, "records", func() bool { return len(c.keepersOf("old")) == 3 })
	for i := range 3 {
		c.hosts[i].leave()
		c.table.Targets[i].State = table.Retired
		fresh := c.add(target.Faults{}, Limits{Slots: 4})
		c.table.Targets[fresh.number-1].JoinedAtMS = now + int64(i)
		c.publish()
		key := fmt.Sprint("new", i)
		is.Equal(fresh.keyed(key, "note").status, http.StatusOK)
		is.Equal(c.runs(key), 1)
		is.Equal(fresh.keyed("old", "note").header.Get(HeaderReplayed), "true")
	}
	is.Equal(c.runs("old"), 1)
}

// A key that comes again with another body, or from another caller: an error,
// and never the first one's answer.
func TestKeyReusedForOtherBodyOrByOtherCaller(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4, target.Faults{}, Limits{Slots: 4})
	alice := []string{"Authorization", "Bearer alice"}
	is.Equal(c.hosts[0].keyed("k1", "note", alice...).status, http.StatusOK)
	eventually(t, "records", func() bool { return len(c.keepersOf("k1")) == 3 })
	for _, h := range c.hosts {
		body := h.keyed("k1", "other note", alice...)
		is.Equal(body.status, http.StatusUnprocessableEntity)
		caller := h.keyed("k1", "note", "Authorization", "Bearer bob")
		is.Equal(caller.status, http.StatusUnprocessableEntity)
		is.Equal(caller.header.Get(target.HostHeader), "") // nothing of the answer
		is.Equal(h.count("refused.key-misused"), int64(2))
	}
	is.Equal(c.runs("k1"), 1)
}

// A keyed submission that is refused gives its key back: "not run" is true, and
// the caller may send it again with the same key.
func TestRefusedSubmissionGivesItsKeyBack(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, target.Faults{}, Limits{Slots: 4})
	for _, h := range c.hosts {
		h.target.Kill()
	}
	got := c.hosts[0].keyed("k1", "note")
	is.Equal(got.notRun(), string(ReasonUnreachable))
	back := c.add(target.Faults{}, Limits{Slots: 4})
	c.publish()
	eventually(t, "run", func() bool { return back.keyed("k1", "note").status == http.StatusOK })
	is.Equal(c.runs("k1"), 1)
}

// Control has been silent for too long for one agent: its submissions with a key
// run elsewhere. For all of them: refused as not run, while others go on.
func TestOldTableStopsKeyedSubmissionsOnly(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3, target.Faults{}, Limits{Slots: 4})
	old := func() time.Duration { return idempotency.MaxTableAge + 1 }
	c.hosts[0].relay.cfg.TableAge = old
	is.Equal(c.hosts[0].keyed("k1", "note").status, http.StatusOK)
	is.Equal(c.hosts[0].target.Run("k1").Seen, 0)
	c.hosts[1].relay.cfg.TableAge = old
	c.hosts[2].relay.cfg.TableAge = old
	is.Equal(c.hosts[0].keyed("k2", "note").notRun(), string(ReasonKeyStale))
	is.Equal(c.hosts[0].submit("plain", "note").status, http.StatusOK)
	is.Equal(c.seen("k2"), 0)
}
