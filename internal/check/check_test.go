package check

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var began = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

// validRecord returns the record of a run without violations. Each check has at least
// one record to examine.
func validRecord() Record {
	return Record{
		Attempts: []Attempt{
			{ID: "d1", Service: "archive", Outcome: Answered, AnsweredBy: "archive", Began: began},
			{ID: "s1-1", Submission: "s1", Service: "desk", Outcome: NotRun, Reason: "queue-full", Began: began},
			{ID: "s1-2", Submission: "s1", Service: "desk", Outcome: Answered, AnsweredBy: "desk", Began: began},
		},
		Runs: []Run{
			{ID: "d1", Service: "archive", Host: "a1", At: began},
			{ID: "s1-2", Submission: "s1", Service: "desk", Host: "d1", At: began.Add(time.Second)},
		},
		Flows:           []Flow{{Service: "desk", Opened: began}},
		Drains:          []Drain{{Host: "d1", At: began}},
		RevisionSamples: []RevisionSample{{Balancer: "b1", Revision: 4}, {Balancer: "b1", Revision: 5}},
		Switches:        []Switch{{Preset: "peak", Took: time.Second}},
	}
}

func TestValidRunPassesEveryCheck(t *testing.T) {
	is := is.New(t)
	for _, v := range All(validRecord(), DefaultLimits()) {
		is.True(v.Held())
		is.True(v.Checked > 0) // a check of no records proves nothing
	}
}

// Guards against checks that can't fail, or that fail when only another promise is
// violated.
func TestEachViolationIsDetected(t *testing.T) {
	for _, c := range []struct {
		promise string
		violate func(*Record)
	}{
		{"flows survive planned change", func(r *Record) { r.Flows[0].Broken = true }},
		{"work reaches its own service only", func(r *Record) { r.Attempts[0].AnsweredBy = "desk" }},
		{"work reaches its own service only", func(r *Record) { r.Runs[0].Service = "desk" }},
		{"whole answer to one's own request", func(r *Record) { r.Attempts[0].Damaged = true }},
		{"not run means not run", func(r *Record) { r.Runs = append(r.Runs, Run{ID: "s1-1", Service: "desk", Host: "d2", At: began}) }},
		{"at most once", func(r *Record) {
			r.Runs = append(r.Runs, Run{ID: "s1-2", Submission: "s1", Service: "desk", Host: "d2", At: began})
		}},
		{"an answered submission ran", func(r *Record) { r.Runs = r.Runs[:1] }},
		{"a leaving target gets nothing new", func(r *Record) { r.Runs[1].At = began.Add(4 * time.Second) }},
		{"a planned stop cuts nothing", func(r *Record) { r.Attempts = append(r.Attempts, Attempt{ID: "d2", Outcome: Cut}) }},
		{"a planned stop cuts nothing", func(r *Record) { r.Attempts = append(r.Attempts, Attempt{ID: "d2", Outcome: Unknown}) }},
		{"a switch is in force within seconds", func(r *Record) { r.Switches[0].Took = 10 * time.Second }},
		{"a switch is in force within seconds", func(r *Record) { r.Switches[0].Took = 0 }},
		{"revisions never fall", func(r *Record) { r.RevisionSamples[1].Revision = 3 }},
	} {
		t.Run(c.promise, func(t *testing.T) {
			is := is.New(t)
			r := validRecord()
			c.violate(&r)
			for _, v := range All(r, DefaultLimits()) {
				is.Equal(v.Held(), v.Promise != c.promise)
			}
		})
	}
}

// Guards against verdicts that report success although nothing was checked. Two promises
// aren't checked in a run with crashes; their verdicts must show zero checked records.
func TestUnplannedRunSkipsTwoChecks(t *testing.T) {
	is := is.New(t)
	r, limits := validRecord(), DefaultLimits()
	limits.Unplanned = true
	r.Flows[0].Broken = true
	empty := 0
	for _, v := range All(r, limits) {
		is.True(v.Held())
		if v.Checked == 0 {
			empty++
		}
	}
	is.Equal(empty, 2)
}

func TestImbalance(t *testing.T) {
	is := is.New(t)
	var runs []Run
	for _, host := range []string{"h1", "h1", "h1", "h2"} {
		runs = append(runs, Run{Service: "desk", Host: host})
	}
	got := Imbalances(Shares(runs))
	is.Equal(len(got), 1)
	is.Equal(got[0].MaxToMean, 1.5)
	is.Equal(got[0].Variation, 0.5)
}
