// Package check judges a finished run against what must always hold: it
// compares what callers sent and were told with what targets ran and what
// balancers had in force. It decides from records alone and touches no network.
package check

import (
	"fmt"
	"time"
)

// Outcome is what a caller was told about one attempt.
type Outcome uint8

const (
	// Answered attempts got the target's whole answer.
	Answered Outcome = iota + 1
	// NotRun attempts were refused with the promise that no target saw them.
	NotRun
	// Unknown attempts may have run: so the system said.
	Unknown
	// Refused attempts got an answer of neither kind, such as a bad request.
	Refused
	// Cut attempts ended without any answer, or in the middle of one.
	Cut
	// Cancelled attempts were given up by the caller itself.
	Cancelled
)

func (o Outcome) String() string {
	names := [...]string{"none", "answered", "not run", "unknown", "refused", "cut", "cancelled"}
	if int(o) < len(names) {
		return names[o]
	}
	return fmt.Sprintf("outcome %d", o)
}

// Attempt is one request as a caller saw it.
type Attempt struct {
	// ID is unique for each attempt; targets see it.
	ID string
	// Submission is the same for each resend of one submission, empty for
	// requests that may be repeated.
	Submission string
	Service    string
	Outcome    Outcome
	// Reason is what a refusal or an unknown outcome gave as its reason, or the
	// error of a cut attempt.
	Reason string
	// Damaged answers have a wrong length, wrong content, or another request's
	// content.
	Damaged bool
	// AnsweredBy is the service that the answer names as its own.
	AnsweredBy string
	Began      time.Time
	Took       time.Duration
}

// Run is one execution at a target.
type Run struct {
	// ID is the attempt's, Submission as in Attempt.
	ID         string
	Submission string
	// Service and Host are the target's own.
	Service string
	Host    string
	At      time.Time
}

// Flow is one flow as its caller saw it.
type Flow struct {
	Service string
	Opened  time.Time
	// Broken tells that the flow ended before its caller closed it, other than
	// by a graceful shutdown with nothing in progress.
	Broken bool
	Reason string
}

// Drain is a target that was told to leave.
type Drain struct {
	Host string
	At   time.Time
	// Until is when the drain was lifted; zero is never.
	Until time.Time
}

// InForce is one look at a balancer's revision.
type InForce struct {
	Balancer string
	Revision uint64
	At       time.Time
}

// Switch is one accepted change of preset.
type Switch struct {
	Preset string
	// Took is the time until every balancer had it in force; zero if that was
	// never seen.
	Took time.Duration
}

// Record is all that is known of a run.
type Record struct {
	Attempts []Attempt
	Runs     []Run
	Flows    []Flow
	Drains   []Drain
	Looks    []InForce
	Switches []Switch
}

// Verdict is the judgement of one promise.
type Verdict struct {
	// Promise is the line of the contract in short.
	Promise string
	// Looked is how many records were judged. A verdict that looked at none
	// proves nothing.
	Looked int
	// Violations lists what broke the promise, at most MaxListed of them.
	Violations []string
	// Count is the number of violations, listed or not.
	Count int
}

// Held tells whether the promise held.
func (v Verdict) Held() bool { return v.Count == 0 }

// MaxListed bounds the violations that a verdict spells out.
const MaxListed = 10

func (v *Verdict) violate(format string, args ...any) {
	v.Count++
	if len(v.Violations) < MaxListed {
		v.Violations = append(v.Violations, fmt.Sprintf(format, args...))
	}
}

// Limits are the times within which promises bind.
type Limits struct {
	// Leaving is how long after a drain a target may still get new work.
	Leaving time.Duration
	// InForce is how long a switch may take to be in force everywhere.
	InForce time.Duration
	// Unplanned tells that the run had crashes: flows and requests of a crashed
	// target may then be cut, and only the promises that hold regardless bind.
	Unplanned bool
}

// DefaultLimits are the brief's "a few seconds" and the plan's 9 s.
func DefaultLimits() Limits {
	return Limits{Leaving: 3 * time.Second, InForce: 9 * time.Second}
}

// All judges every promise.
func All(r Record, l Limits) []Verdict {
	return []Verdict{
		flowsSurvive(r, l),
		rightService(r),
		wholeAnswers(r),
		notRunIsTrue(r),
		atMostOnce(r),
		noneLost(r),
		leavingGetsNothingNew(r, l),
		gracefulStop(r, l),
		switchesInForce(r, l),
		revisionsNeverFall(r),
	}
}

// Held tells whether every verdict holds.
func Held(all []Verdict) bool {
	for _, v := range all {
		if !v.Held() {
			return false
		}
	}
	return true
}

func flowsSurvive(r Record, l Limits) Verdict {
	v := Verdict{Promise: "flows survive planned change"}
	if l.Unplanned {
		return v // nothing is judged, and the verdict says so
	}
	v.Looked = len(r.Flows)
	for _, f := range r.Flows {
		if f.Broken {
			v.violate("flow to %s opened %s broke: %s", f.Service, stamp(f.Opened), f.Reason)
		}
	}
	return v
}

func rightService(r Record) Verdict {
	v := Verdict{Promise: "work reaches its own service only"}
	services := serviceByAttempt(r.Attempts)
	for _, a := range r.Attempts {
		if a.AnsweredBy == "" {
			continue
		}
		v.Looked++
		if a.AnsweredBy != a.Service {
			v.violate("attempt %s to %s was answered by %s", a.ID, a.Service, a.AnsweredBy)
		}
	}
	for _, run := range r.Runs {
		want, known := services[run.ID]
		if !known {
			continue
		}
		v.Looked++
		if want != run.Service {
			v.violate("attempt %s to %s ran at %s of %s", run.ID, want, run.Host, run.Service)
		}
	}
	return v
}

func wholeAnswers(r Record) Verdict {
	v := Verdict{Promise: "whole answer to one's own request"}
	for _, a := range r.Attempts {
		if a.Outcome != Answered {
			continue
		}
		v.Looked++
		if a.Damaged {
			v.violate("attempt %s to %s: %s", a.ID, a.Service, a.Reason)
		}
	}
	return v
}

func notRunIsTrue(r Record) Verdict {
	v := Verdict{Promise: "not run means not run"}
	ran := runsByAttempt(r.Runs)
	for _, a := range r.Attempts {
		if a.Outcome != NotRun {
			continue
		}
		v.Looked++
		if n := ran[a.ID]; n > 0 {
			v.violate("attempt %s was refused as not run (%s) but ran %d times", a.ID, a.Reason, n)
		}
	}
	return v
}

func atMostOnce(r Record) Verdict {
	v := Verdict{Promise: "at most once"}
	ran := runsBySubmission(r.Runs)
	for _, id := range submissions(r.Attempts) {
		v.Looked++
		if n := ran[id]; n > 1 {
			v.violate("submission %s ran %d times", id, n)
		}
	}
	return v
}

func noneLost(r Record) Verdict {
	v := Verdict{Promise: "an answered submission ran"}
	ran := runsBySubmission(r.Runs)
	for _, a := range r.Attempts {
		if a.Submission == "" || a.Outcome != Answered {
			continue
		}
		v.Looked++
		if ran[a.Submission] == 0 {
			v.violate("submission %s was answered but no target ran it", a.Submission)
		}
	}
	return v
}

func leavingGetsNothingNew(r Record, l Limits) Verdict {
	v := Verdict{Promise: "a leaving target gets nothing new", Looked: len(r.Drains)}
	for _, d := range r.Drains {
		from := d.At.Add(l.Leaving)
		for _, run := range r.Runs {
			lifted := !d.Until.IsZero() && !run.At.Before(d.Until)
			if run.Host == d.Host && run.At.After(from) && !lifted {
				v.violate("%s ran %s %v after its drain", d.Host, run.ID, run.At.Sub(d.At))
			}
		}
	}
	return v
}

func gracefulStop(r Record, l Limits) Verdict {
	v := Verdict{Promise: "a planned stop cuts nothing"}
	if l.Unplanned {
		return v
	}
	v.Looked = len(r.Attempts)
	for _, a := range r.Attempts {
		if a.Outcome == Cut || a.Outcome == Unknown {
			v.violate("attempt %s to %s at %s: %s: %s", a.ID, a.Service, stamp(a.Began), a.Outcome, a.Reason)
		}
	}
	return v
}

func switchesInForce(r Record, l Limits) Verdict {
	v := Verdict{Promise: "a switch is in force within seconds", Looked: len(r.Switches)}
	for _, s := range r.Switches {
		if s.Took == 0 || s.Took > l.InForce {
			v.violate("preset %s took %v", s.Preset, s.Took)
		}
	}
	return v
}

func revisionsNeverFall(r Record) Verdict {
	v := Verdict{Promise: "revisions never fall", Looked: len(r.Looks)}
	last := map[string]InForce{}
	for _, look := range r.Looks {
		before, seen := last[look.Balancer]
		if seen && look.Revision < before.Revision {
			v.violate("%s went from revision %d to %d at %s", look.Balancer, before.Revision, look.Revision, stamp(look.At))
		}
		last[look.Balancer] = look
	}
	return v
}

func stamp(t time.Time) string { return t.Format("15:04:05.000") }

func serviceByAttempt(all []Attempt) map[string]string {
	out := make(map[string]string, len(all))
	for _, a := range all {
		out[a.ID] = a.Service
	}
	return out
}

func runsByAttempt(all []Run) map[string]int {
	out := make(map[string]int, len(all))
	for _, run := range all {
		out[run.ID]++
	}
	return out
}

func runsBySubmission(all []Run) map[string]int {
	out := make(map[string]int, len(all))
	for _, run := range all {
		out[run.Submission]++
	}
	return out
}

// submissions returns the distinct submissions in order of first attempt.
func submissions(all []Attempt) []string {
	seen := map[string]bool{}
	var out []string
	for _, a := range all {
		if a.Submission == "" || seen[a.Submission] {
			continue
		}
		seen[a.Submission] = true
		out = append(out, a.Submission)
	}
	return out
}
