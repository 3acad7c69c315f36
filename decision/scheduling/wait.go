package scheduling

import (
	"math"
	"time"
)

// expectedWait estimates how long a new item of the flow waits for a slot, from
// the statements that the policy serves before it.
func (q *Queue) expectedWait(now time.Time, f *flow, item Item) time.Duration {
	if len(q.running) < q.config.Slots && q.waiting() == 0 {
		return 0
	}
	seconds := q.runningWork(now)
	switch q.config.Policy.(type) {
	case FirstInFirstOut:
		seconds += q.allWork()
	case RoundRobin:
		for _, other := range q.flows {
			seconds += q.cost(other) * float64(min(other.waiting(), f.waiting()+1))
		}
	default:
		seconds += q.fairWork(f, item)
	}
	return time.Duration(seconds / float64(q.config.Slots) * float64(time.Second))
}

// allWork is the service time of all waiting items, in seconds.
func (q *Queue) allWork() float64 {
	seconds := 0.0
	for _, f := range q.flows {
		seconds += q.cost(f) * float64(f.waiting())
	}
	return seconds
}

// fairWork is the service time of the items that start before a new item of the
// flow under WeightedFair, of its own subject those that are as urgent. The backlog of another subject counts only as far as
// its tags are smaller, so a flood delays mostly itself.
func (q *Queue) fairWork(f *flow, item Item) float64 {
	seconds := 0.0
	if item.Transaction {
		for _, other := range q.flows {
			seconds += q.cost(other) * float64(len(other.steps))
		}
		return seconds
	}
	weights := q.weights()
	tag := max(f.start, q.virtual)
	ahead := float64(f.ahead(item))
	if f.waiting() > 0 {
		tag = f.start + ahead*q.cost(f)/weights.of(f)
	}
	for _, other := range q.flows {
		if other == f {
			seconds += q.cost(f) * ahead
			continue
		}
		if f.over != other.over {
			// Those within their share go first, but for steps.
			before := len(other.steps)
			if f.over {
				before = other.waiting()
			}
			seconds += q.cost(other) * float64(before)
			continue
		}
		before := math.Floor((tag-other.start)*weights.of(other)/q.cost(other)) + 1
		before = max(before, float64(len(other.steps)))
		seconds += q.cost(other) * min(max(before, 0), float64(other.waiting()))
	}
	return seconds
}

// runningWork is the service time that the running items still need, in seconds.
func (q *Queue) runningWork(now time.Time) float64 {
	// Integers, because the order of a map must not change the sum.
	var left time.Duration
	for _, r := range q.running {
		left += max(0, r.cost-now.Sub(r.started))
	}
	return left.Seconds()
}

// cost is the expected service time of the flow's next item, in seconds.
func (q *Queue) cost(f *flow) float64 {
	if f.average.known {
		return max(f.average.seconds, minCost.Seconds())
	}
	return max(q.average.seconds, minCost.Seconds())
}

// needed is the service time that must fit before an item's deadline: the mean and
// a multiple of the mean deviation, because a statement that ends late wastes a
// slot for all of its time. A subject that has measured nothing lately is judged
// by the smaller of its own and the endpoint's average, and an idle endpoint tries
// every statement: otherwise one slow statement could keep a subject out for good,
// since a refused subject never measures a shorter time.
func (q *Queue) needed(now time.Time, f *flow) time.Duration {
	if len(q.running) == 0 {
		return 0
	}
	seconds := q.cost(f)
	if f.running == 0 && now.Sub(f.measured) > probeInterval {
		seconds = min(seconds, q.average.seconds)
	} else if q.waiting() > q.config.Slots {
		seconds += deviations * f.average.deviation
	}
	return time.Duration(seconds * float64(time.Second))
}
