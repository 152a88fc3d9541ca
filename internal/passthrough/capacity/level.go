package capacity

import (
	"math"
	"time"
)

// level follows the mean of the logarithms of the times of one kind of requests. The mean
// moves little with the share of long requests, where a quantile jumps from short ones to
// long ones.
type level struct {
	mean, variance float64
	// samples is the number of samples since the mean was begun at since; heard is their
	// number over the last few seconds, until heardAt.
	samples        int
	since, heardAt time.Duration
	heard          float64
	// run is the number of samples on one side of the mean in a row, negative below,
	// runSince the time of the first of them, and runSum the sum of their differences.
	run      int
	runSince time.Duration
	runSum   float64
	// first is the mean when it was certain for the first time.
	first float64
	begun bool
}

const (
	// meanOver and varianceOver are the numbers of samples over which a mean extends.
	meanOver, varianceOver = 100, 256
	// maxDeviation bounds a sample's difference from the mean, so that few very long or
	// very short requests don't decide.
	maxDeviation = 2.5
	// maxError is the standard error up to which a mean is certain: a quarter of what
	// callers notice, some 1.8 times (placement.samePace).
	maxError = 0.13
	// steadyFor is for how long a mean must have been followed: shorter stalls and bursts
	// pass before placement could answer them.
	steadyFor = time.Second
	// heardOver is the time over which samples count as recent, minHeard how many of them
	// a mean needs. A target that gets next to no requests because it was slow is tried
	// again.
	heardOver, minHeard = 5 * time.Second, 8
	// changedAbove and changedBelow are how many samples in a row lie above or below the
	// mean only if the target has changed, changedFor how long such a run takes at least:
	// at a target that answers many, short runs happen by chance. changedBy is the least
	// difference between their mean and that before.
	changedAbove, changedBelow = 8, 12
	changedFor                 = 300 * time.Millisecond
	changedBy                  = 0.2
	// plausibleFall is the logarithm of the factor, 1.5, by which a target may become faster
	// than it was at first. Beyond, more likely it answers without doing the work.
	plausibleFall = 0.41
	// lastsLong is the logarithm of how many times longer than usual a request counts that
	// wasn't answered.
	lastsLong = 1.5
)

// add adds a sample.
func (v *level) add(now time.Duration, x float64) {
	if v.samples == 0 || now-v.heardAt > forgetAfter {
		*v = level{mean: x, since: now, heardAt: now, first: v.first, begun: v.begun, variance: v.variance}
	}
	v.heard = v.recent(now) + 1
	v.heardAt = now
	v.samples++
	d := max(-maxDeviation, min(maxDeviation, x-v.mean))
	v.count(now, d)
	if v.changed(now) {
		v.restart(now)
		return
	}
	v.variance += (d*d - v.variance) / float64(min(v.samples, varianceOver))
	v.mean += d / float64(min(v.samples, meanOver))
	if !v.begun && v.certain(now) {
		v.first, v.begun = v.mean, true
	}
}

// count counts samples on one side of the mean.
func (v *level) count(now time.Duration, d float64) {
	if d > 0 != (v.run > 0) {
		v.run, v.runSum, v.runSince = 0, 0, now
	}
	if d > 0 {
		v.run++
	} else {
		v.run--
	}
	v.runSum += d
}

// changed reports whether the last samples are unlike those before.
func (v *level) changed(now time.Duration) bool {
	return (v.run >= changedAbove || -v.run >= changedBelow) && now-v.runSince >= changedFor && math.Abs(v.runSum) >= changedBy*math.Abs(float64(v.run))
}

// changing reports whether the last samples seem unlike those before.
func (v *level) changing() bool {
	return v.run >= changedAbove/2 || -v.run >= changedBelow/2 || v.samples < minSamples
}

// restart begins the mean again with the last samples, which are unlike those before.
func (v *level) restart(now time.Duration) {
	n := max(v.run, -v.run)
	v.mean += v.runSum / float64(n)
	v.samples, v.since, v.run, v.runSum = n, now, 0, 0
}

// addLong adds a request that wasn't answered.
func (v *level) addLong(now time.Duration) {
	switch {
	case v.begun:
		v.add(now, max(v.mean, v.first+lastsLong))
	case v.samples > 0:
		v.add(now, v.mean+lastsLong)
	}
}

// recent returns the number of samples over the last few seconds.
func (v *level) recent(now time.Duration) float64 {
	return v.heard * math.Exp(-(now-v.heardAt).Seconds()/heardOver.Seconds())
}

// certain reports whether the mean is known well enough to compare targets by it.
func (v *level) certain(now time.Duration) bool {
	return v.samples >= minSamples && now-v.since >= steadyFor && now-v.heardAt <= forgetAfter && v.recent(now) >= minHeard &&
		v.variance <= maxError*maxError*float64(min(v.samples, 2*meanOver-1))
}

// service returns the time that the mean stands for, 0 if it isn't certain or not plausible.
func (v *level) service(now time.Duration) time.Duration {
	if !v.certain(now) || v.mean < v.first-plausibleFall {
		return 0
	}
	return time.Duration(math.Exp(v.mean) * float64(time.Microsecond))
}
