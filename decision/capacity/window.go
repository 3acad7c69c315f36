package capacity

import (
	"math"
	"slices"
	"time"
)

const (
	// minServiceTime keeps logarithms finite when a service time rounds to 0.
	minServiceTime = 10 * time.Microsecond
	// minVariance is the least assumed variance of the logarithm of comparable service times, so
	// that a few samples that happen to be alike do not count as certain.
	minVariance = 0.05
)

// moments are the statistics of the logarithms of service times. Logarithms make a slowdown by a
// factor the same difference for short and long statements, and keep the few very long
// statements from deciding the mean.
type moments struct {
	count, sum, squares float64
}

func (m *moments) add(value float64) {
	m.count++
	m.sum += value
	m.squares += value * value
}

func (m *moments) merge(other moments) {
	m.count += other.count
	m.sum += other.sum
	m.squares += other.squares
}

func (m *moments) mean() float64 { return m.sum / m.count }

// deviations returns the sum of the squared deviations from the mean.
func (m *moments) deviations() float64 {
	return max(m.squares-m.sum*m.sum/m.count, 0)
}

// kindMoments holds the statistics of one kind, indexed by the number of statements in progress.
type kindMoments struct {
	kind   Kind
	levels []moments
}

// epoch holds the samples that were sent within one period.
type epoch struct {
	number int64
	// kinds is a slice, because the results must not depend on the order of a map.
	kinds []kindMoments
	// total and busy count the statements and the rejected ones by the number in progress.
	total, busy []float64
	// seconds is the sum of the service times by the number in progress.
	seconds []float64
}

func (e *epoch) add(sample Sample, level int) {
	e.total[level]++
	if sample.Outcome == Busy {
		e.busy[level]++
		return
	}
	e.seconds[level] += sample.ServiceTime.Seconds()
	value := math.Log(max(sample.ServiceTime, minServiceTime).Seconds())
	for i := range e.kinds {
		if e.kinds[i].kind == sample.Kind {
			e.kinds[i].levels[level].add(value)
			return
		}
	}
	if len(e.kinds) == maxKinds {
		return
	}
	k := kindMoments{
		kind:   sample.Kind,
		levels: make([]moments, len(e.total)),
	}
	k.levels[level].add(value)
	e.kinds = append(e.kinds, k)
}

// mergeEpochs returns the samples of several epochs as those of one.
func mergeEpochs(epochs []epoch) *epoch {
	merged := &epoch{}
	for _, e := range epochs {
		for _, k := range e.kinds {
			merged.merge(k)
		}
	}
	return merged
}

func (e *epoch) merge(other kindMoments) {
	at := slices.IndexFunc(e.kinds, func(k kindMoments) bool { return k.kind == other.kind })
	if at < 0 {
		other.levels = slices.Clone(other.levels)
		e.kinds = append(e.kinds, other)
		return
	}
	for level, m := range other.levels {
		e.kinds[at].levels[level].merge(m)
	}
}

// split returns the statistics up to a number of statements in progress, those above it, the sum of
// the numbers in progress of the latter, and the part of that sum beyond the slots.
func (k *kindMoments) split(at, slots int) (low, high moments, highLevels, excess float64) {
	for level, m := range k.levels {
		if level <= at {
			low.merge(m)
			continue
		}
		high.merge(m)
		highLevels += m.count * float64(level)
		excess += m.count * float64(max(level-slots, 0))
	}
	return low, high, highLevels, excess
}

// contrast compares the service times above a number of statements in progress with those up to
// it, among statements of the same kind and the same period.
type contrast struct {
	// exact excludes statements with fewer in progress than level.
	exact bool
	// level is the number of statements in progress that separates the groups.
	level float64
	// difference is the weighted sum of the differences of the logarithms, and weight the sum of
	// the weights.
	difference, weight float64
	// expected is the weighted sum of the differences that a healthy endpoint has, because it runs
	// only as many statements as it has slots.
	expected float64
	// deviations and freedom give the variance within the compared groups.
	deviations, freedom float64
	highLevels, high    float64
}

// addEpoch adds the statements of an epoch. The wait is that of a statement at a healthy endpoint
// for each statement in progress beyond its slots, in seconds.
func (c *contrast) addEpoch(e *epoch, at, slots int, wait float64) {
	c.level = float64(at)
	for i := range e.kinds {
		low, high, highLevels, excess := e.kinds[i].split(at, slots)
		if c.exact {
			low = e.kinds[i].levels[at]
		}
		if low.count == 0 || high.count == 0 {
			continue
		}
		weight := low.count * high.count / (low.count + high.count)
		c.weight += weight
		c.difference += weight * (high.mean() - low.mean())
		c.expected += weight * math.Log1p(wait*excess/high.count/math.Exp(low.mean()))
		c.deviations += low.deviations() + high.deviations()
		c.freedom += low.count + high.count - 2
		c.highLevels += highLevels
		c.high += high.count
	}
}

// without returns the contrast without a part of it. The variance stays that of the whole.
func (c *contrast) without(part contrast) contrast {
	rest := *c
	rest.difference -= part.difference
	rest.expected -= part.expected
	rest.weight -= part.weight
	return rest
}

// slowdown returns the mean difference of the logarithms, that of a healthy endpoint, and the
// standard error.
func (c *contrast) slowdown() (difference, expected, standardError float64) {
	variance := minVariance
	if c.freedom > 0 {
		variance = max(variance, c.deviations/c.freedom)
	}
	return c.difference / c.weight, c.expected / c.weight, math.Sqrt(variance / c.weight)
}

// meanHigh returns the mean number of statements in progress in the upper group.
func (c *contrast) meanHigh() float64 { return c.highLevels / c.high }

// flat returns the logarithm of the slowdown at which the statements above the level add no
// throughput, apart from the tolerance.
func (c *contrast) flat() float64 {
	return math.Log(c.meanHigh() / c.level / throughputTolerance)
}

// isEvidence reports whether the statements above the level add no throughput and are slower than
// at a healthy endpoint by more than a number of standard errors.
func (c *contrast) isEvidence(errors float64) bool {
	if c.weight < minWeight {
		return false
	}
	difference, expected, standardError := c.slowdown()
	return difference >= c.flat() && difference-expected-errors*standardError > minSlowdown
}
