package capacity

import "math"

// A target is taken to run a number of requests at full speed, its knee, and more than these
// at the speed that remains for each. The knee is the one of some candidates that explains
// the times of requests that started beside many others and of those that started beside
// few.
//
// Two things would mislead a plain comparison. A target that turns slow as a whole fills up
// meanwhile; therefore each request is compared with the last few that ended before it
// started. And a long request makes those beside it run beside others, without being their
// cause; therefore the number of requests that ran when one started, which doesn't depend on
// its own length, decides whether a candidate is right (an instrumental variable), and the
// mean number that ran meanwhile only what the candidate explains.

const (
	// kneeStep is the factor between two candidates.
	kneeStep = 4.0 / 3
	// maxCandidates bounds the candidates, of which the first is a single request.
	maxCandidates = 12
	// minRecent is the least number of requests that one is compared with, recentPerSlot the
	// number for each slot: requests that run at once are compared with the same ones, and
	// the error of a shorter mean would be theirs together.
	minRecent, recentPerSlot = 8, 2
	// comparedOver is over which sum of squares, knees.starts, comparisons extend: some 300
	// requests at a target of two slots that is half busy. Requests that start beside the
	// usual number of others, as on a target that is always full, add nothing; while
	// a knee is known, each replaces some of it all the same, agedBy, so that it doesn't
	// hold for good.
	comparedOver, agedBy = 40, 0.04
	// minCompared is how many requests must have been compared: the variance of fewer is a
	// guess.
	minCompared = 64
	// refuted is the square of the number of standard deviations from which no knee counts
	// as wrong, doubtful that below which it may be right after all, plausible that up to
	// which a candidate may be right.
	refuted, doubtful, plausible = 16, 6, 1
	// maxDifference bounds a difference between two times, in logarithms, so that few very
	// long or very short requests don't decide.
	maxDifference = 1.5
)

// traits are what is compared of a request, in logarithms: its time, how many requests ran
// when it started, and how many times longer each candidate expects it to take than alone.
type traits struct {
	// samples is the number of requests in a mean.
	samples     int
	time, start float64
	expected    [maxCandidates]float64
}

// knees compares the candidates.
type knees struct {
	// moments are, for each candidate and at last for no knee, the sums of what it leaves
	// unexplained times the number of requests at the start; variances are the means of the
	// squares of the former, starts is the sum of the squares of the latter.
	moments, variances [maxCandidates + 1]float64
	starts             float64
	compared           int
	// found is set while there certainly is a knee.
	found bool
}

// knee returns the candidate with the given index, in requests.
func knee(i int) float64 { return math.Pow(kneeStep, float64(i)) }

// slowdown returns the logarithm of how many times longer a request takes with a knee than
// alone.
func slowdown(knee, concurrency float64) float64 { return math.Log(max(1, concurrency/knee)) }

// traitsOf returns the traits of a request that took a time, started as one of several
// running requests and ran beside a mean number of them, itself included.
func traitsOf(took float64, running int, concurrency float64) traits {
	t := traits{time: took, start: math.Log(float64(running))}
	for i := range t.expected {
		t.expected[i] = slowdown(knee(i), concurrency)
	}
	return t
}

// compare compares a request with the means of those that ended before it started.
func (k *knees) compare(now, before *traits) {
	difference := max(-maxDifference, min(maxDifference, now.time-before.time))
	start := now.start - before.start
	keep := math.Exp(-start * start / comparedOver)
	if k.found {
		keep *= math.Exp(-agedBy / comparedOver)
	}
	k.starts = k.starts*keep + start*start
	k.compared++
	weight := 1 / float64(min(k.compared, varianceOver))
	for i := range k.moments {
		unexplained := difference
		if i < maxCandidates {
			unexplained -= now.expected[i] - before.expected[i]
		}
		k.moments[i] = k.moments[i]*keep + unexplained*start
		k.variances[i] += (unexplained*unexplained - k.variances[i]) * weight
	}
	if k.compared >= minCompared {
		doubt := k.doubt(maxCandidates)
		k.found = doubt >= refuted || k.found && doubt >= doubtful
	}
}

// recentOver is the number of requests that one is compared with at a target.
func recentOver(slots int) int { return max(minRecent, recentPerSlot*slots) }

// approach moves means over a number of requests towards the values of one more.
func (t *traits) approach(x *traits, over int) {
	t.samples++
	weight := 1 / float64(min(t.samples, over))
	t.time += (x.time - t.time) * weight
	t.start += (x.start - t.start) * weight
	for i := range t.expected {
		t.expected[i] += (x.expected[i] - t.expected[i]) * weight
	}
}

// doubt returns the square of the number of standard deviations by which a candidate expects
// too little slowdown, negative if it expects too much.
func (k *knees) doubt(i int) float64 {
	m := k.moments[i]
	if m == 0 {
		return 0
	}
	return math.Copysign(m*m/(k.variances[i]*k.starts), m)
}

// highest returns the highest candidate that may be right, in requests, false if it isn't
// certain that there is a knee below the slots.
func (k *knees) highest(slots int) (float64, bool) {
	if !k.found {
		return 0, false
	}
	at := 0
	for i := range maxCandidates {
		if k.doubt(i) < plausible {
			at = i
		}
	}
	if knee(at)*kneeStep > float64(slots) {
		return 0, false
	}
	return knee(at), true
}
