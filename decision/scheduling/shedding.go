package scheduling

import (
	"slices"
	"time"

	"amaranthdock.dev/decision/refusal"
)

const (
	// admissionShare is the fraction of the time until an item is due that its expected wait
	// may take. The rest covers the error of the estimate, which does not include more urgent
	// items that arrive later.
	admissionShare = 0.75
	// lateAdmissionShare is the fraction of the time limit that the expected wait of an item may
	// take if it cannot meet its target any more.
	lateAdmissionShare = 0.5
	// returnShare is the fraction of an endpoint's capacity that is planned for callers that
	// return after a refusal. It is what a usual load of 75% leaves. With 0.5, statements of the
	// second priority were refused for 3 s longer after a burst.
	returnShare = 0.25
	// maxRetryAfter bounds the retry delay in a refusal, so that a caller with a time limit of
	// 6 s for an operation can return twice.
	maxRetryAfter = 2 * time.Second
)

// Displaced means that a waiting item was dropped because of more urgent ones: its wait
// would exceed its time limit. It has not run. The caller refuses it with the reason
// overloaded.
type Displaced struct {
	Item Item
	// RetryAfter is the delay after which a retry can succeed.
	RetryAfter time.Duration
}

func (Displaced) decision() {}

// checkUrgentAdmission returns a refusal and true if the item must not be accepted. The
// permitted wait follows from the item itself. It answers a burst of requests with much time
// at a full endpoint: with one limit of 500 ms for all, these were refused although they
// could wait, and urgent ones were accepted behind as much work as their whole target.
func (q *Queue) checkUrgentAdmission(now time.Time, f *flow, item Item) (Refused, bool) {
	wait := q.expectedWait(now, f, item)
	required := q.urgentRequiredTime(item)
	reason := refusal.Overloaded
	permitted := q.permittedWait(now, item)
	switch {
	case !now.Add(wait + required).Before(item.Deadline):
		reason = refusal.DeadlineTooShort
	case wait <= permitted || item.Transaction:
		// To refuse a step would discard the work of its transaction.
		return Refused{}, false
	}
	return Refused{
		Reason:     reason,
		RetryAfter: q.retryAfter(now, item, wait-permitted),
	}, true
}

// removeUrgentExpired removes and returns one item that can no longer finish before its
// deadline, if there is one.
func (q *Queue) removeUrgentExpired(now time.Time) (Item, bool) {
	var required [urgencyClasses]time.Duration
	longest := time.Duration(0)
	for class := range required {
		required[class] = q.urgentRequiredTime(Item{Priority: class})
		longest = max(longest, required[class])
	}
	if now.Add(longest).Before(q.earliestDeadline) {
		return Item{}, false
	}
	q.earliestDeadline = time.Time{}
	for _, f := range q.flows {
		for _, queue := range []*[]queuedItem{&f.steps, &f.statements} {
			for at := range *queue {
				item := &(*queue)[at].item
				if now.Add(required[urgencyClass(item.Priority)]).Before(item.Deadline) {
					if q.earliestDeadline.IsZero() || item.Deadline.Before(q.earliestDeadline) {
						q.earliestDeadline = item.Deadline
					}
					continue
				}
				expired := *item
				*queue = slices.Delete(*queue, at, at+1)
				delete(q.waitingItems, expired.ID)
				q.earliestDeadline = now
				return expired, true
			}
		}
	}
	return Item{}, false
}

// urgentRequiredTime returns the service time that must fit before the deadline of an item, as
// requiredTime does, from the item's priority. It is 0 at an idle endpoint.
func (q *Queue) urgentRequiredTime(item Item) time.Duration {
	class := q.classes[urgencyClass(item.Priority)]
	if len(q.running) == 0 || q.config.AdmitAll {
		return 0
	}
	if !class.measured {
		return time.Duration(q.serviceTime.mean * float64(time.Second))
	}
	seconds := class.mean
	if q.waitingCount() > q.config.Slots {
		seconds += deadlineDeviations * class.deviation
	}
	return time.Duration(seconds * float64(time.Second))
}

// permittedWait returns the expected wait above which an item is refused.
func (q *Queue) permittedWait(now time.Time, item Item) time.Duration {
	service := q.classServiceTime(item.Priority)
	if item.late(now, service) {
		return time.Duration(lateAdmissionShare * float64(item.Deadline.Sub(now)))
	}
	return time.Duration(admissionShare * float64(item.due().Sub(now)-service))
}

// displace removes and returns the waiting statement that is served last, if it cannot
// start in time because of the work ahead of it. It answers a burst that fills the queue and
// is followed by more urgent statements: the last items would wait in vain until their
// time limit, and their callers could not use the rest of their own time.
func (q *Queue) displace(now time.Time) (Displaced, bool) {
	if q.arrivals < q.config.Slots || !q.urgent() || q.config.AdmitAll {
		// The search costs time for each waiting item, so that several arrivals share it.
		return Displaced{}, false
	}
	var last waiting
	seconds := q.remainingRunningWork(now)
	for _, f := range q.flows {
		for _, s := range f.steps {
			seconds += q.classServiceTime(s.item.Priority).Seconds()
		}
	}
	q.eachStatement(now, func(w waiting) {
		seconds += q.classServiceTime(w.item.Priority).Seconds()
		if last.flow == nil || last.precedes(w) {
			last = w
		}
	})
	if last.flow == nil {
		q.arrivals = 0
		return Displaced{}, false
	}
	// The work includes the service of the last item itself.
	end := now.Add(time.Duration(seconds / float64(q.config.Slots) * float64(time.Second)))
	if !end.After(last.item.Deadline) {
		q.arrivals = 0
		return Displaced{}, false
	}
	item := last.flow.popStatement(last.index)
	delete(q.waitingItems, item.ID)
	return Displaced{
		Item:       item,
		RetryAfter: q.retryAfter(now, item, end.Sub(item.Deadline)),
	}, true
}

// retryAfter returns the delay after which a refused item can succeed: the time in which
// the queue drains by the excess, and then the next free place in the plan of returning
// callers. The plan gives each return the time in which returnShare of the slots serve
// it, and places it behind the planned returns that are at least as urgent, so that callers
// that were refused together do not come back together.
func (q *Queue) retryAfter(now time.Time, item Item, excess time.Duration) time.Duration {
	if !q.urgent() {
		return 0
	}
	class := urgencyClass(item.Priority)
	interval := time.Duration(float64(q.classServiceTime(item.Priority)) / float64(q.config.Slots) / returnShare)
	at := now.Add(max(excess, minRetryAfter))
	if q.returns[class].After(at) {
		at = q.returns[class]
	}
	planned := at.Add(interval)
	if planned.Sub(now) > maxRetryAfter {
		// The plan is full. The argument spreads the rest over the second half of the limit.
		return time.Duration(float64(maxRetryAfter) * (1 + item.Spread) / 2)
	}
	for less := class; less < urgencyClasses; less++ {
		if q.returns[less].After(at) {
			q.returns[less] = q.returns[less].Add(interval)
		} else {
			q.returns[less] = planned
		}
	}
	return at.Sub(now) + time.Duration(item.Spread*float64(interval))
}
