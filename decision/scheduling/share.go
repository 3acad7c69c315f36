package scheduling

import "time"

const (
	// aheadStatements is the lead over its share, in average statements of an
	// average subject, above which a subject yields to the others. It is above
	// the usual variation of a subject that keeps to its share.
	aheadStatements = 50
	// maxAheadStatements bounds the lead, so that a subject is back within its
	// share soon after it has stopped flooding.
	maxAheadStatements = 200
	// recentTime is how long an idle subject still counts as one that shares the
	// endpoint.
	recentTime = 5 * time.Second
)

// advance moves the fair clock to now, by the service that a subject of weight 1
// is due if all recent subjects share the slots, and marks those that are ahead
// of it. Start tags cannot tell them, because the tags jump forward with each
// statement that finds the queue empty.
func (q *Queue) advance(now time.Time) {
	if policy, ok := q.config.Policy.(WeightedFair); !ok || policy.DisableYielding {
		return
	}
	total, count := q.recentWeights(now)
	if total == 0 {
		q.fairAt = now
		return
	}
	if now.After(q.fairAt) && !q.fairAt.IsZero() {
		q.fair += now.Sub(q.fairAt).Seconds() * float64(q.config.Slots) / total
	}
	q.fairAt = now
	statement := q.average.seconds * count / total
	for _, f := range q.flows {
		f.long = min(f.long, q.fair+maxAheadStatements*statement)
		f.over = f.long-q.fair > aheadStatements*statement
	}
}

// recentWeights sums the weights of the subjects that were active lately.
func (q *Queue) recentWeights(now time.Time) (total, count float64) {
	var w weights
	recent := func(f *flow) bool { return !f.idle() || now.Sub(f.last) < recentTime }
	for _, f := range q.flows {
		if recent(f) {
			w.total += f.worth
			w.count++
		}
	}
	for _, f := range q.flows {
		if recent(f) {
			total += max(f.worth, worstServedShare*w.total/w.count)
		}
	}
	return total, w.count
}
