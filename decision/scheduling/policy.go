package scheduling

import "time"

// Policy is the order in which waiting items are served: FirstInFirstOut,
// RoundRobin, WeightedFair or MostUrgentFirst.
type Policy interface {
	policy()
}

// FirstInFirstOut serves items in the order of arrival. The benchmark uses it as a
// baseline.
type FirstInFirstOut struct{}

// RoundRobin serves one item of each subject in turn. The benchmark uses it as a
// baseline.
type RoundRobin struct{}

// WeightedFair divides the service time among the subjects by weight, with a minimum
// share for each, and gives precedence to steps of open transactions. It is
// start-time fair queueing that charges the measured service times. A subject that
// recently used clearly more than its share yields to those that did not.
type WeightedFair struct {
	// DisableYielding serves subjects above their share like all others. The
	// benchmark uses it as a baseline.
	DisableYielding bool
}

func (FirstInFirstOut) policy() {}
func (RoundRobin) policy()      {}
func (WeightedFair) policy()    {}

// choice is the item to start next.
type choice struct {
	flow *flow
	item Item
	// take removes the item from its flow.
	take func()
}

// chooseFromFlows returns the item of the flows to start next; false if none waits.
func (q *Queue) chooseFromFlows(now time.Time) (choice, bool) {
	if q.urgent() {
		return q.chooseMostUrgent(now)
	}
	f, steps := q.pickNext()
	if f == nil {
		return choice{}, false
	}
	return choice{
		flow: f,
		item: (*f.queue(steps))[0].item,
		take: func() { f.pop(steps) },
	}, true
}

// pickNext returns the flow to serve next, or nil if nothing waits, and whether to
// serve its transaction steps.
func (q *Queue) pickNext() (*flow, bool) {
	switch q.config.Policy.(type) {
	case FirstInFirstOut:
		return q.pickOldest()
	case RoundRobin:
		return q.pickRoundRobin()
	default:
		return q.pickFair()
	}
}

// pickFair picks the flow with the smallest start tag. Transaction steps come first,
// up to a bounded lead, and flows over their share come last.
func (q *Queue) pickFair() (*flow, bool) {
	var next, step *flow
	minTag := q.minStartTag()
	weights := q.activeWeights()
	for _, f := range q.flows {
		if f.waitingCount() == 0 {
			continue
		}
		if next == nil || f.precedes(next) {
			next = f
		}
		if len(f.steps) == 0 || (f.startTag-minTag)*weights.effective(f) > q.maxTransactionLead() {
			continue
		}
		if step == nil || f.startTag < step.startTag {
			step = f
		}
	}
	if step != nil {
		return step, true
	}
	if next == nil {
		return nil, false
	}
	return next, len(next.steps) > 0
}

func (q *Queue) pickRoundRobin() (*flow, bool) {
	for i := range q.flows {
		at := (q.roundRobinIndex + i) % len(q.flows)
		if f := q.flows[at]; f.waitingCount() > 0 {
			q.roundRobinIndex = at + 1
			return f, len(f.steps) > 0 && (len(f.statements) == 0 || f.steps[0].arrivalSequence < f.statements[0].arrivalSequence)
		}
	}
	return nil, false
}

func (q *Queue) pickOldest() (*flow, bool) {
	var (
		oldest    *flow
		sequence  uint64
		fromSteps bool
	)
	for _, f := range q.flows {
		for _, queue := range [][]queuedItem{f.steps, f.statements} {
			if len(queue) == 0 || (oldest != nil && queue[0].arrivalSequence > sequence) {
				continue
			}
			oldest = f
			sequence = queue[0].arrivalSequence
			fromSteps = queue[0].item.Transaction
		}
	}
	return oldest, fromSteps
}

// minStartTag returns the smallest start tag of the waiting flows, which shows how far
// fair service has progressed. It returns virtualTime if no flow waits.
func (q *Queue) minStartTag() float64 {
	smallest := q.virtualTime
	found := false
	for _, f := range q.flows {
		if f.waitingCount() > 0 && (!found || f.startTag < smallest) {
			smallest = f.startTag
			found = true
		}
	}
	return smallest
}

// maxTransactionLead returns how much service, in seconds, a subject may receive
// ahead of its share because its transaction steps have precedence. The bound keeps
// a subject with many open transactions from starving the others.
func (q *Queue) maxTransactionLead() float64 {
	return maxTransactionLeadStatements * q.serviceTime.mean
}

// weightSums holds the sum and the number of weights, from which the effective
// weights follow.
type weightSums struct {
	total float64
	count float64
}

// activeWeights sums the weights of the active flows.
func (q *Queue) activeWeights() weightSums {
	var w weightSums
	for _, f := range q.flows {
		if !f.idle() {
			w.total += f.weight
			w.count++
		}
	}
	return w
}

// effective returns the weight of the flow, raised to the minimum share.
func (w weightSums) effective(f *flow) float64 {
	total, count := w.total, w.count
	if f.idle() {
		total += f.weight
		count++
	}
	return max(f.weight, minShareFraction*total/count)
}
