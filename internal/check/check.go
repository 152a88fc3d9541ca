// Package check evaluates a finished run against the system's promises. It compares
// what callers sent and which answers they got with what the targets ran and which
// revisions the balancers had in force. It works on records alone, without network.
package check

import (
	"fmt"
	"time"
)

// Outcome is the result of one attempt as its caller saw it.
type Outcome uint8

const (
	// Answered attempts got the target's complete answer.
	Answered Outcome = iota + 1
	// NotRun attempts were refused with the assurance that no target ran them.
	NotRun
	// Unknown attempts were reported by the system as possibly run.
	Unknown
	// Refused attempts got another error, such as 400 Bad Request.
	Refused
	// Cut attempts ended without an answer or in the middle of one.
	Cut
	// Cancelled attempts were cancelled by the caller.
	Cancelled
)

func (o Outcome) String() string {
	names := [...]string{"none", "answered", "not run", "unknown", "refused", "cut", "cancelled"}
	if int(o) < len(names) {
		return names[o]
	}
	return fmt.Sprintf("outcome %d", o)
}

// Attempt is one request as its caller saw it.
type Attempt struct {
	// ID is unique for each attempt and is sent to the target.
	ID string
	// Submission is the same for all attempts of one submission. It is empty for
	// requests that may be repeated.
	Submission string
	Service    string
	Outcome    Outcome
	// Reason is the stated reason of a refusal or an unknown outcome, or the error
	// of a cut attempt.
	Reason string
	// Damaged tells that the answer has a wrong length, wrong content or the content
	// of another request.
	Damaged bool
	// AnsweredBy is the service named in the answer.
	AnsweredBy string
	Began      time.Time
	Took       time.Duration
}

// Run is one execution at a target.
type Run struct {
	// ID and Submission are those of the Attempt.
	ID         string
	Submission string
	// Service and Host are those of the target.
	Service string
	Host    string
	At      time.Time
}

// Flow is a flow as its caller saw it.
type Flow struct {
	Service string
	Opened  time.Time
	// Broken tells that the flow ended before its caller closed it. A graceful
	// shutdown without a request in progress doesn't count.
	Broken bool
	Reason string
}

// Drain is the drain of a host's target.
type Drain struct {
	Host string
	At   time.Time
	// Until is when the drain ended; zero if it didn't.
	Until time.Time
}

// RevisionSample is the revision in force at a balancer at one time.
type RevisionSample struct {
	Balancer string
	Revision uint64
	At       time.Time
}

// Switch is an accepted change of preset.
type Switch struct {
	Preset string
	// Took is the time until every balancer had it in force; zero if that wasn't
	// observed.
	Took time.Duration
}

// Record is everything recorded about a run.
type Record struct {
	Attempts        []Attempt
	Runs            []Run
	Flows           []Flow
	Drains          []Drain
	RevisionSamples []RevisionSample
	Switches        []Switch
}

// Verdict is the result of checking one promise.
type Verdict struct {
	// Promise is a short form of the promise.
	Promise string
	// Checked is the number of records checked. With 0, the verdict proves nothing.
	Checked int
	// Violations describes the violations, at most MaxListed of them.
	Violations []string
	// Count is the number of all violations.
	Count int
}

// Held reports whether the promise held.
func (v Verdict) Held() bool { return v.Count == 0 }

// MaxListed bounds the number of violations that a verdict describes.
const MaxListed = 10

func (v *Verdict) addViolation(format string, args ...any) {
	v.Count++
	if len(v.Violations) < MaxListed {
		v.Violations = append(v.Violations, fmt.Sprintf(format, args...))
	}
}

// Limits are the time limits of the promises.
type Limits struct {
	// DrainTime is how long after a drain a target may still get new work.
	DrainTime time.Duration
	// SwitchTime is how long a switch may take until it is in force everywhere.
	SwitchTime time.Duration
	// Unplanned tells that the run included crashes. Flows and requests of a crashed
	// target may be cut, so the promises about planned changes aren't checked.
	Unplanned bool
}

// DefaultLimits returns 3 s for a drain, which is to take effect within a few seconds,
// and 9 s for a switch.
func DefaultLimits() Limits {
	return Limits{DrainTime: 3 * time.Second, SwitchTime: 9 * time.Second}
}

// All checks every promise.
func All(r Record, l Limits) []Verdict {
	return []Verdict{
		flowsSurvive(r, l),
		correctService(r),
		wholeAnswers(r),
		notRunDidNotRun(r),
		ranAtMostOnce(r),
		answeredRan(r),
		drainedGetsNoNewWork(r, l),
		plannedStopCutsNothing(r, l),
		switchesInForce(r, l),
		revisionsNeverDecrease(r),
	}
}

// Held reports whether every promise held.
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
		return v // Checked is 0: not checked
	}
	v.Checked = len(r.Flows)
	for _, f := range r.Flows {
		if f.Broken {
			v.addViolation("flow to %s opened %s broke: %s", f.Service, formatTime(f.Opened), f.Reason)
		}
	}
	return v
}

func correctService(r Record) Verdict {
	v := Verdict{Promise: "work reaches its own service only"}
	services := serviceByAttempt(r.Attempts)
	for _, a := range r.Attempts {
		if a.AnsweredBy == "" {
			continue
		}
		v.Checked++
		if a.AnsweredBy != a.Service {
			v.addViolation("attempt %s to %s was answered by %s", a.ID, a.Service, a.AnsweredBy)
		}
	}
	for _, run := range r.Runs {
		want, known := services[run.ID]
		if !known {
			continue
		}
		v.Checked++
		if want != run.Service {
			v.addViolation("attempt %s to %s ran at %s of %s", run.ID, want, run.Host, run.Service)
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
		v.Checked++
		if a.Damaged {
			v.addViolation("attempt %s to %s: %s", a.ID, a.Service, a.Reason)
		}
	}
	return v
}

func notRunDidNotRun(r Record) Verdict {
	v := Verdict{Promise: "not run means not run"}
	ran := runsByAttempt(r.Runs)
	for _, a := range r.Attempts {
		if a.Outcome != NotRun {
			continue
		}
		v.Checked++
		if n := ran[a.ID]; n > 0 {
			v.addViolation("attempt %s was refused as not run (%s) but ran %d times", a.ID, a.Reason, n)
		}
	}
	return v
}

func ranAtMostOnce(r Record) Verdict {
	v := Verdict{Promise: "at most once"}
	ran := runsBySubmission(r.Runs)
	for _, id := range submissions(r.Attempts) {
		v.Checked++
		if n := ran[id]; n > 1 {
			v.addViolation("submission %s ran %d times", id, n)
		}
	}
	return v
}

func answeredRan(r Record) Verdict {
	v := Verdict{Promise: "an answered submission ran"}
	ran := runsBySubmission(r.Runs)
	for _, a := range r.Attempts {
		if a.Submission == "" || a.Outcome != Answered {
			continue
		}
		v.Checked++
		if ran[a.Submission] == 0 {
			v.addViolation("submission %s was answered but no target ran it", a.Submission)
		}
	}
	return v
}

func drainedGetsNoNewWork(r Record, l Limits) Verdict {
	v := Verdict{Promise: "a leaving target gets nothing new", Checked: len(r.Drains)}
	for _, d := range r.Drains {
		from := d.At.Add(l.DrainTime)
		for _, run := range r.Runs {
			lifted := !d.Until.IsZero() && !run.At.Before(d.Until)
			if run.Host == d.Host && run.At.After(from) && !lifted {
				v.addViolation("%s ran %s %v after its drain", d.Host, run.ID, run.At.Sub(d.At))
			}
		}
	}
	return v
}

func plannedStopCutsNothing(r Record, l Limits) Verdict {
	v := Verdict{Promise: "a planned stop cuts nothing"}
	if l.Unplanned {
		return v
	}
	v.Checked = len(r.Attempts)
	for _, a := range r.Attempts {
		if a.Outcome == Cut || a.Outcome == Unknown {
			v.addViolation("attempt %s to %s at %s: %s: %s", a.ID, a.Service, formatTime(a.Began), a.Outcome, a.Reason)
		}
	}
	return v
}

func switchesInForce(r Record, l Limits) Verdict {
	v := Verdict{Promise: "a switch is in force within seconds", Checked: len(r.Switches)}
	for _, s := range r.Switches {
		if s.Took == 0 || s.Took > l.SwitchTime {
			v.addViolation("preset %s took %v", s.Preset, s.Took)
		}
	}
	return v
}

func revisionsNeverDecrease(r Record) Verdict {
	v := Verdict{Promise: "revisions never fall", Checked: len(r.RevisionSamples)}
	last := map[string]RevisionSample{}
	for _, sample := range r.RevisionSamples {
		previous, seen := last[sample.Balancer]
		if seen && sample.Revision < previous.Revision {
			v.addViolation("%s went from revision %d to %d at %s", sample.Balancer, previous.Revision, sample.Revision, formatTime(sample.At))
		}
		last[sample.Balancer] = sample
	}
	return v
}

func formatTime(t time.Time) string { return t.Format("15:04:05.000") }

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

// submissions returns the distinct submissions in the order of their first attempts.
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
