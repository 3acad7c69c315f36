package scheduling

import (
	"time"

	"amaranthdock.dev/decision/refusal"
)

// Evaluate returns the decision that Enqueue would make on an item, and the expected
// wait of the item. It changes nothing in the queue.
func (q *Queue) Evaluate(now time.Time, item Item) (Decision, time.Duration) {
	copied := q.copyFlows()
	f := copied.recordArrival(now, item)
	wait := copied.expectedWait(now, f, item)
	if refused, ok := copied.checkAdmission(now, f, item); ok {
		return refused, wait
	}
	return Enqueued{}, wait
}

// copyFlows returns a queue on which the decisions about arrivals have no effect on q. It
// shares the items with q.
func (q *Queue) copyFlows() *Queue {
	copied := *q
	copied.flows = make([]*flow, 0, len(q.flows)+1)
	copied.flowsBySubject = make(map[string]*flow, len(q.flows)+1)
	for _, f := range q.flows {
		copiedFlow := *f
		copied.flows = append(copied.flows, &copiedFlow)
		copied.flowsBySubject[f.subject] = &copiedFlow
	}
	return &copied
}

// recordArrival updates the state that decisions about an arriving item depend on, and
// returns the item's flow.
func (q *Queue) recordArrival(now time.Time, item Item) *flow {
	f := q.findOrAddFlow(item.Subject)
	f.weight = float64(max(item.Weight, 1))
	f.lastArrival = now
	q.updateFairService(now)
	return f
}

// checkAdmission returns a refusal and true if the item must not be accepted.
func (q *Queue) checkAdmission(now time.Time, f *flow, item Item) (Refused, bool) {
	if q.config.AdmitAll {
		return Refused{}, false
	}
	if q.urgent() {
		return q.checkUrgentAdmission(now, f, item)
	}
	wait := q.expectedWait(now, f, item)
	if !now.Add(wait + q.requiredTime(now, f)).Before(item.Deadline) {
		return Refused{Reason: refusal.DeadlineTooShort}, true
	}
	if q.config.MaxWait > 0 && wait > q.config.MaxWait {
		return Refused{
			Reason:     refusal.Overloaded,
			RetryAfter: max(wait-q.config.MaxWait, minRetryAfter),
		}, true
	}
	return Refused{}, false
}
