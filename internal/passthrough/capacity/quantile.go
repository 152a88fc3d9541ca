package capacity

// quantile follows a quantile of a stream of logarithms by steps of a fixed size, up for
// each sample above it and down for each below it. Single samples, however long, move it by
// no more than others do.
type quantile struct {
	log     float64
	samples int
	// run is the number of samples on one side in a row, negative below.
	run int
}

const (
	// upper is the quantile that is followed.
	upper = 0.75
	// serviceStep is the size of a step.
	serviceStep = 0.05
	// surpriseAbove and surpriseBelow are how many samples in a row lie above or below only
	// if the target has changed; the steps grow by surpriseFactor then. By chance it happens
	// once in 4,000 and once in 30 samples.
	surpriseAbove, surpriseBelow = 6, 12
	surpriseFactor               = 4
)

// direction returns the direction of a step, which is longer upwards, so that it balances at
// the quantile.
func direction(above bool) float64 {
	if above {
		return upper
	}
	return upper - 1
}

// move moves the estimate towards a sample above or below it.
func (q *quantile) move(above bool) {
	q.samples++
	switch {
	case above:
		q.run = max(q.run, 0) + 1
	default:
		q.run = min(q.run, 0) - 1
	}
	step := max(serviceStep, 1/float64(q.samples))
	if q.surprised() {
		step = max(step, surpriseFactor*serviceStep)
	}
	q.log += step * direction(above)
}

// surprised reports whether the last samples are unlike those before.
func (q *quantile) surprised() bool { return q.run >= surpriseAbove || -q.run >= surpriseBelow }
