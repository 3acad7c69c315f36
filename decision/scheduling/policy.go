package scheduling

// Policy chooses the order of waiting items: FirstInFirstOut, RoundRobin or
// WeightedFair.
type Policy interface {
	policy()
}

// FirstInFirstOut serves items in the order of their arrival. It is a baseline
// of the benchmark.
type FirstInFirstOut struct{}

// RoundRobin serves one item of each subject in turn. It is a baseline of the
// benchmark.
type RoundRobin struct{}

// WeightedFair shares the service time among the subjects by worth, with a floor
// for the worst-served, and gives precedence to steps of open transactions. It
// is start-time fair queueing, charged with the measured service times. A subject
// that took clearly more than its share lately yields to those that did not.
type WeightedFair struct {
	// DisableYielding turns the yielding off. It is a baseline of the benchmark.
	DisableYielding bool
}

func (FirstInFirstOut) policy() {}
func (RoundRobin) policy()      {}
func (WeightedFair) policy()    {}

// pick returns the flow to serve next and which of its two lists to serve, or
// nil if nothing waits.
func (q *Queue) pick() (*flow, bool) {
	switch q.config.Policy.(type) {
	case FirstInFirstOut:
		return q.pickOldest()
	case RoundRobin:
		return q.pickInTurn()
	default:
		return q.pickFair()
	}
}

// pickFair takes the flow with the smallest start tag, transaction steps first.
func (q *Queue) pickFair() (*flow, bool) {
	var ordinary, step *flow
	first := q.smallestStart()
	weights := q.weights()
	for _, f := range q.flows {
		if f.waiting() == 0 {
			continue
		}
		if ordinary == nil || f.before(ordinary) {
			ordinary = f
		}
		if len(f.steps) == 0 || (f.start-first)*weights.of(f) > q.transactionLead() {
			continue
		}
		if step == nil || f.start < step.start {
			step = f
		}
	}
	if step != nil {
		return step, true
	}
	if ordinary == nil {
		return nil, false
	}
	return ordinary, len(ordinary.steps) > 0
}

func (q *Queue) pickInTurn() (*flow, bool) {
	for i := range q.flows {
		at := (q.cursor + i) % len(q.flows)
		if f := q.flows[at]; f.waiting() > 0 {
			q.cursor = at + 1
			return f, len(f.steps) > 0 && (len(f.statements) == 0 || f.steps[0].sequence < f.statements[0].sequence)
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
		for _, list := range [][]queued{f.steps, f.statements} {
			if len(list) == 0 || (oldest != nil && list[0].sequence > sequence) {
				continue
			}
			oldest = f
			sequence = list[0].sequence
			fromSteps = list[0].item.Transaction
		}
	}
	return oldest, fromSteps
}

// smallestStart returns the smallest start tag of the waiting flows, which is
// how far the fair service has come.
func (q *Queue) smallestStart() float64 {
	smallest := q.virtual
	found := false
	for _, f := range q.flows {
		if f.waiting() > 0 && (!found || f.start < smallest) {
			smallest = f.start
			found = true
		}
	}
	return smallest
}

// transactionLead is the service, in seconds, that a subject may get ahead of its
// share through precedence. It is bounded so that a subject with many open
// transactions cannot starve the others.
func (q *Queue) transactionLead() float64 {
	return transactionLeadStatements * q.average.seconds
}

// weights holds the sums from which the weights of the flows follow.
type weights struct {
	total float64
	count float64
}

// weights sums the worth of the active flows.
func (q *Queue) weights() weights {
	var w weights
	for _, f := range q.flows {
		if !f.idle() {
			w.total += f.worth
			w.count++
		}
	}
	return w
}

// of returns the worth of the flow, raised to the floor.
func (w weights) of(f *flow) float64 {
	total, count := w.total, w.count
	if f.idle() {
		total += f.worth
		count++
	}
	return max(f.worth, worstServedShare*total/count)
}
