package scheduling

import (
	"math"
	"time"
)

const (
	// starvationBound is the fraction of its own time limit after which a waiting item
	// counts as starved and goes before more urgent ones.
	starvationBound = 0.5
	// exceptionShare is the fraction of the service time that starved items, and items that
	// would otherwise miss their target, may take from more urgent ones. It is below the
	// fifth of an endpoint that urgent work leaves unused at the usual peak load of 80%.
	exceptionShare = 0.2
	// yieldShare is the fraction of the time until its target that an urgent item may have
	// waited and still yield to an item that would otherwise miss its target.
	yieldShare = 0.1
	// tightShare is the fraction of the time until its target below which the remaining
	// slack of an item counts as used up.
	tightShare = 0.1
	// starvedPermitInterval is the number of permits of which one goes to a starved item.
	starvedPermitInterval = 4
	// urgencyClasses is the number of priorities with their own service time; all less
	// urgent ones share the last.
	urgencyClasses = 8
)

// MostUrgentFirst serves the items of all subjects in the order of their urgency, for
// deployments whose kinds of requests differ in urgency and work (8 ms for the most urgent
// kind, 40 ms for the least urgent). It answers a burst of the least urgent kind of all
// subjects at a full endpoint, in which urgent items waited behind those of other subjects. Subjects within their share come first, then items
// that can still meet their target, then those with the more urgent priority, and among
// equals the subject that is furthest behind its share. Steps of open transactions have the
// same precedence as under WeightedFair. Items that would miss their target or have
// waited for starvationBound of their time limit take up to exceptionShare of the service
// time from more urgent ones.
type MostUrgentFirst struct{}

func (MostUrgentFirst) policy() {}

// urgent reports whether the queue orders items by urgency across subjects.
func (q *Queue) urgent() bool {
	_, ok := q.config.Policy.(MostUrgentFirst)
	return ok
}

// NextPermit returns the index of the item that gets a permit which is not a slot, such as the
// permission to pin a connection to a transaction. It answers a burst of less urgent
// transactions that wait at a full primary before an urgent one. Every starvedPermitInterval-th permit goes to
// the item that has been starved for longest, if there is one; the others go to the most
// urgent item. The argument granted is the number of permits so far.
func NextPermit(now time.Time, granted uint64, items []Item) int {
	next, starved := 0, -1
	for i, item := range items {
		if MoreUrgent(now, item, items[next]) {
			next = i
		}
		if item.Starved(now) && (starved < 0 || item.ArrivedAt.Before(items[starved].ArrivedAt)) {
			starved = i
		}
	}
	if starved >= 0 && granted%starvedPermitInterval == 0 {
		return starved
	}
	return next
}

// MoreUrgent reports whether item a comes before item b if both are of subjects within
// their share and neither is starved.
func MoreUrgent(now time.Time, a, b Item) bool {
	if lateA, lateB := a.late(now, 0), b.late(now, 0); lateA != lateB {
		return lateB
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.ArrivedAt.Before(b.ArrivedAt)
}

// due returns the time until which the item should have ended: its target, or its deadline
// if it has none or the deadline is earlier.
func (i *Item) due() time.Time {
	if i.Target.IsZero() || i.Deadline.Before(i.Target) {
		return i.Deadline
	}
	return i.Target
}

// late reports whether the item misses its target even if it starts now.
func (i *Item) late(now time.Time, service time.Duration) bool {
	return now.Add(service).After(i.due())
}

// Starved reports whether the item has waited for starvationBound of its time limit.
func (i *Item) Starved(now time.Time) bool {
	limit := i.Deadline.Sub(i.ArrivedAt)
	return now.Sub(i.ArrivedAt) >= time.Duration(starvationBound*float64(limit))
}

// waitedShare returns how much of the time until it is due an item will have waited at a
// time: 0 at its arrival, 1 when it is due.
func (i *Item) waitedShare(at time.Time) float64 {
	allowed := i.due().Sub(i.ArrivedAt)
	if allowed <= 0 {
		return 1
	}
	return float64(at.Sub(i.ArrivedAt)) / float64(allowed)
}

// waiting is a waiting item with its place in its flow.
type waiting struct {
	flow *flow
	// item is only valid until an item of the flow is added or removed.
	item     *Item
	sequence uint64
	index    int
	late     bool
}

func (w waiting) overShare() bool {
	return w.flow.urgent.over[urgencyClass(w.item.Priority)]
}

// precedes reports whether a statement is served before another one.
func (w waiting) precedes(other waiting) bool {
	switch {
	case w.overShare() != other.overShare():
		return other.overShare()
	case w.late != other.late:
		return other.late
	case w.item.Priority != other.item.Priority:
		return w.item.Priority < other.item.Priority
	case w.flow.startTag != other.flow.startTag:
		return w.flow.startTag < other.flow.startTag
	default:
		return w.sequence < other.sequence
	}
}

// equalUrgency reports whether only the shares of the subjects and the arrival decide
// which of two statements is served first.
func (w waiting) equalUrgency(other waiting) bool {
	return w.overShare() == other.overShare() && w.late == other.late && w.item.Priority == other.item.Priority
}

// eachStatement calls visit for all waiting items that are no steps of transactions.
func (q *Queue) eachStatement(now time.Time, visit func(waiting)) {
	var ends [urgencyClasses]time.Time
	for class := range ends {
		ends[class] = now.Add(q.classServiceTime(class))
	}
	for _, f := range q.flows {
		for i := range f.statements {
			s := &f.statements[i]
			visit(waiting{
				flow:     f,
				item:     &s.item,
				sequence: s.arrivalSequence,
				index:    i,
				late:     ends[urgencyClass(s.item.Priority)].After(s.item.due()),
			})
		}
	}
}

// eachLeadingStep calls visit for the next transaction step of each flow. Steps that are beyond
// their lead have no precedence, and are ordered like statements.
func (q *Queue) eachLeadingStep(now time.Time, visit func(waiting)) {
	for _, f := range q.flows {
		if len(f.steps) == 0 {
			continue
		}
		s := &f.steps[0]
		visit(waiting{
			flow:     f,
			item:     &s.item,
			sequence: s.arrivalSequence,
			late:     s.item.late(now, q.classServiceTime(s.item.Priority)),
		})
	}
}

// chooseMostUrgent returns the item to start; false if none waits.
func (q *Queue) chooseMostUrgent(now time.Time) (choice, bool) {
	if f := q.pickStep(); f != nil {
		return choice{
			flow: f,
			item: f.steps[0].item,
			take: func() { f.pop(true) },
		}, true
	}
	var next, exception waiting
	consider := func(w waiting) {
		if next.flow == nil || w.precedes(next) {
			next = w
		}
		if q.exceptionBalance >= 0 && !w.overShare() && q.isException(now, w) && (exception.flow == nil || w.item.due().Before(exception.item.due())) {
			exception = w
		}
	}
	q.eachStatement(now, consider)
	q.eachLeadingStep(now, consider)
	if next.flow == nil {
		return choice{}, false
	}
	chosen := next
	if exception.flow != nil && q.yields(now, next, exception) {
		chosen = exception
	}
	return choice{
		flow: chosen.flow,
		item: *chosen.item,
		take: func() {
			q.chargeException(chosen, next)
			if chosen.item.Transaction {
				chosen.flow.pop(true)
				return
			}
			chosen.flow.popStatement(chosen.index)
		},
	}, true
}

// pickStep returns the flow of the transaction step to serve next, or nil if no step waits
// within the lead that transaction steps may have.
func (q *Queue) pickStep() *flow {
	var step *flow
	minTag := q.minStartTag()
	weights := q.activeWeights()
	for _, f := range q.flows {
		if len(f.steps) == 0 || (f.startTag-minTag)*weights.effective(f) > q.maxTransactionLead() {
			continue
		}
		if step == nil || f.steps[0].item.Priority < step.steps[0].item.Priority ||
			(f.steps[0].item.Priority == step.steps[0].item.Priority && f.startTag < step.startTag) {
			step = f
		}
	}
	return step
}

// isException reports whether a statement is starved, or would soon be unable to meet its
// target.
func (q *Queue) isException(now time.Time, w waiting) bool {
	if w.item.Starved(now) {
		return true
	}
	return !w.late && w.item.waitedShare(now.Add(q.classServiceTime(w.item.Priority))) >= 1-tightShare
}

// yields reports whether the statement that is next in order lets an exception go first. It
// yields to a starved one always, and to one that would miss its target only if it can
// itself wait for the exception.
func (q *Queue) yields(now time.Time, next, exception waiting) bool {
	if next.item.ID == exception.item.ID || exception.item.Starved(now) {
		return true
	}
	return next.item.waitedShare(now.Add(q.classServiceTime(exception.item.Priority))) < yieldShare
}

// chargeException accounts for the start of a statement in the share of exceptions.
func (q *Queue) chargeException(chosen, next waiting) {
	service := q.classServiceTime(chosen.item.Priority).Seconds()
	if chosen.item.ID != next.item.ID {
		q.exceptionBalance -= service
		return
	}
	q.exceptionBalance = min(q.exceptionBalance+service*exceptionShare/(1-exceptionShare), 0)
}

// urgentWorkAhead returns the expected service time, in seconds, of the waiting items that
// start before a new item of the flow under MostUrgentFirst. Of other subjects with equally
// urgent items only those with smaller tags count.
func (q *Queue) urgentWorkAhead(now time.Time, f *flow, item Item) float64 {
	seconds := 0.0
	for _, other := range q.flows {
		for _, s := range other.steps {
			seconds += q.classServiceTime(s.item.Priority).Seconds()
		}
	}
	if item.Transaction {
		return seconds
	}
	arriving := waiting{
		flow: f,
		item: &item,
		late: item.late(now, q.classServiceTime(item.Priority)),
	}
	service := q.classServiceTime(item.Priority).Seconds()
	for _, other := range q.flows {
		other.equalItems = 0
	}
	var ahead [urgencyClasses]int
	q.eachStatement(now, func(w waiting) {
		switch {
		case w.equalUrgency(arriving):
			w.flow.equalItems++
		case w.precedes(arriving):
			ahead[urgencyClass(w.item.Priority)]++
		}
	})
	for class, count := range ahead {
		seconds += float64(count) * q.classServiceTime(class).Seconds()
	}
	weights := q.activeWeights()
	tag := max(f.startTag, q.virtualTime) + float64(f.equalItems)*service/weights.effective(f)
	for _, other := range q.flows {
		before := float64(other.equalItems)
		if other != f {
			before = min(before, max(math.Floor((tag-other.startTag)*weights.effective(other)/service)+1, 0))
		}
		seconds += before * service
	}
	return seconds
}

// classServiceTime returns the expected service time of an item with a priority under
// MostUrgentFirst. It is that of all subjects, because the mean of a subject covers kinds of
// requests that differ in work.
func (q *Queue) classServiceTime(priority int) time.Duration {
	class := &q.classes[urgencyClass(priority)]
	mean := q.serviceTime.mean
	if class.measured {
		mean = class.mean
	}
	return time.Duration(max(mean, minServiceTime.Seconds()) * float64(time.Second))
}

// urgencyClass returns the index of a priority among the classes.
func urgencyClass(priority int) int {
	return min(max(priority, 0), urgencyClasses-1)
}

// urgentShare is the service that a subject received under MostUrgentFirst. A subject's share
// covers its most urgent work first: its work of one priority is over the share if the service
// for this and all more urgent priorities is. With one account for all work, a subject with
// twice the usual load had its urgent statements served after the least urgent ones of
// all others; and a subject that marks everything as urgent soon has no share left.
type urgentShare struct {
	// received is by priority, for items that are at least as urgent, and comparable with
	// Queue.fairService.
	received [urgencyClasses]float64
	over     [urgencyClasses]bool
}

// charge adds the service, in seconds divided by weight, of an item that starts.
func (u *urgentShare) charge(fairService float64, priority int, service float64) {
	for class := urgencyClass(priority); class < urgencyClasses; class++ {
		u.received[class] = max(u.received[class], fairService) + service
	}
}

// correct adds the difference to the service that was charged.
func (u *urgentShare) correct(priority int, difference float64) {
	for class := urgencyClass(priority); class < urgencyClasses; class++ {
		u.received[class] += difference
	}
}

// update limits the lead of the subject and finds out whether it is over its share.
func (u *urgentShare) update(fairService, averageStatement float64) {
	for class := range u.received {
		u.received[class] = min(u.received[class], fairService+maxLeadStatements*averageStatement)
		u.over[class] = u.received[class]-fairService > overShareStatements*averageStatement
	}
}
