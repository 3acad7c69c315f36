package scheduling

import (
	"math"
	"time"
)

// expectedWait estimates how long a new item of the flow waits for a slot, from the
// items that run and those that the policy serves first.
func (q *Queue) expectedWait(now time.Time, f *flow, item Item) time.Duration {
	if len(q.running) < q.config.Slots && q.waitingCount() == 0 {
		return 0
	}
	seconds := q.remainingRunningWork(now)
	switch q.config.Policy.(type) {
	case FirstInFirstOut:
		seconds += q.queuedWork()
	case RoundRobin:
		for _, other := range q.flows {
			seconds += q.expectedServiceTime(other) * float64(min(other.waitingCount(), f.waitingCount()+1))
		}
	case MostUrgentFirst:
		seconds += q.urgentWorkAhead(now, f, item)
	default:
		seconds += q.workAhead(f, item)
	}
	return time.Duration(seconds / float64(q.config.Slots) * float64(time.Second))
}

// queuedWork returns the expected service time of all waiting items, in seconds.
func (q *Queue) queuedWork() float64 {
	seconds := 0.0
	for _, f := range q.flows {
		seconds += q.expectedServiceTime(f) * float64(f.waitingCount())
	}
	return seconds
}

// workAhead returns the expected service time, in seconds, of the items that start
// before a new item of the flow under WeightedFair. Of its own subject these are the
// items that are at least as urgent. Of other subjects only items with smaller tags
// count, so a subject that floods the endpoint mostly delays itself.
func (q *Queue) workAhead(f *flow, item Item) float64 {
	seconds := 0.0
	if item.Transaction {
		for _, other := range q.flows {
			seconds += q.expectedServiceTime(other) * float64(len(other.steps))
		}
		return seconds
	}
	weights := q.activeWeights()
	tag := max(f.startTag, q.virtualTime)
	ahead := float64(f.itemsAhead(item))
	if f.waitingCount() > 0 {
		tag = f.startTag + ahead*q.expectedServiceTime(f)/weights.effective(f)
	}
	for _, other := range q.flows {
		if other == f {
			seconds += q.expectedServiceTime(f) * ahead
			continue
		}
		if f.overShare != other.overShare {
			// Flows within their share come first, except for transaction steps.
			before := len(other.steps)
			if f.overShare {
				before = other.waitingCount()
			}
			seconds += q.expectedServiceTime(other) * float64(before)
			continue
		}
		before := math.Floor((tag-other.startTag)*weights.effective(other)/q.expectedServiceTime(other)) + 1
		before = max(before, float64(len(other.steps)))
		seconds += q.expectedServiceTime(other) * min(max(before, 0), float64(other.waitingCount()))
	}
	return seconds
}

// remainingRunningWork returns the service time that the running items are expected
// to need still, in seconds.
func (q *Queue) remainingRunningWork(now time.Time) float64 {
	// Sum integers: a sum of floats would depend on the iteration order of the map.
	var left time.Duration
	for _, r := range q.running {
		left += max(0, r.chargedTime-now.Sub(r.started))
	}
	return left.Seconds()
}

// expectedServiceTime returns the expected service time of the flow's next item, in
// seconds.
func (q *Queue) expectedServiceTime(f *flow) float64 {
	if f.serviceTime.measured {
		return max(f.serviceTime.mean, minServiceTime.Seconds())
	}
	return max(q.serviceTime.mean, minServiceTime.Seconds())
}

// chargedTime returns the service time for which a flow is charged when the item starts.
func (q *Queue) chargedTime(f *flow, item Item) time.Duration {
	if q.urgent() {
		return q.classServiceTime(item.Priority)
	}
	return time.Duration(q.expectedServiceTime(f) * float64(time.Second))
}

// requiredTime returns the service time that must fit before an item's deadline: the
// mean and, in a long queue, a multiple of the mean deviation, because a statement
// that misses its deadline has wasted its slot. For a subject without a recent
// measurement the smaller of its own and the endpoint's average is used, and an idle
// endpoint accepts every statement. Otherwise one slow statement could exclude a
// subject forever, because a refused subject never measures a shorter time.
func (q *Queue) requiredTime(now time.Time, f *flow) time.Duration {
	if len(q.running) == 0 {
		return 0
	}
	seconds := q.expectedServiceTime(f)
	if f.runningCount == 0 && now.Sub(f.lastMeasured) > measurementTTL {
		seconds = min(seconds, q.serviceTime.mean)
	} else if q.waitingCount() > q.config.Slots {
		seconds += deadlineDeviations * f.serviceTime.deviation
	}
	return time.Duration(seconds * float64(time.Second))
}
