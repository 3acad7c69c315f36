package scheduling

import "time"

const (
	// overShareStatements is how far a subject must be ahead of its share, in average
	// statements of a subject with average weight, to yield to the others. It is above
	// the usual variation of a subject that stays within its share.
	overShareStatements = 50
	// maxLeadStatements caps that lead, so that a subject is back within its share
	// soon after it has stopped flooding the endpoint.
	maxLeadStatements = 200
	// recentWindow is how long after its last arrival an idle subject still counts
	// as sharing the endpoint.
	recentWindow = 5 * time.Second
)

// updateFairService advances fairService to now, assuming that all recent subjects
// share the slots, and updates overShare of all flows. Start tags cannot show which
// subjects are ahead, because a tag jumps forward with each statement that finds its
// flow empty.
func (q *Queue) updateFairService(now time.Time) {
	switch policy := q.config.Policy.(type) {
	case WeightedFair:
		if policy.DisableYielding {
			return
		}
	case MostUrgentFirst:
	default:
		return
	}
	total, count := q.recentWeights(now)
	if total == 0 {
		q.fairServiceAt = now
		return
	}
	if now.After(q.fairServiceAt) && !q.fairServiceAt.IsZero() {
		q.fairService += now.Sub(q.fairServiceAt).Seconds() * float64(q.config.Slots) / total
	}
	q.fairServiceAt = now
	averageStatement := q.serviceTime.mean * count / total
	for _, f := range q.flows {
		f.serviceReceived = min(f.serviceReceived, q.fairService+maxLeadStatements*averageStatement)
		f.overShare = f.serviceReceived-q.fairService > overShareStatements*averageStatement
		f.urgent.update(q.fairService, averageStatement)
	}
}

// recentWeights returns the sum of the effective weights of the recently active
// subjects and their number.
func (q *Queue) recentWeights(now time.Time) (total, count float64) {
	var w weightSums
	recent := func(f *flow) bool { return !f.idle() || now.Sub(f.lastArrival) < recentWindow }
	for _, f := range q.flows {
		if recent(f) {
			w.total += f.weight
			w.count++
		}
	}
	for _, f := range q.flows {
		if recent(f) {
			total += max(f.weight, minShareFraction*w.total/w.count)
		}
	}
	return total, w.count
}
