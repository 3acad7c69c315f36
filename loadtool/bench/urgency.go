package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"amaranthdock.dev/decision/scheduling"
)

const (
	// urgencyWorkspaces send to one endpoint. The first sends as much as largestFactor others.
	urgencyWorkspaces = 8
	largestFactor     = 2.33
	// callerTimeout is how long a caller tries an operation, with callerRetries.
	callerTimeout = 6 * time.Second
	callerRetries = 2
	// callerBackoff is the delay before a retry if the refusal has no hint.
	callerBackoff = 50 * time.Millisecond
	// urgencyMaxWait is the expected wait above which a home refuses statements.
	urgencyMaxWait = 500 * time.Millisecond
	// burstFrom is when a burst begins.
	burstFrom = 5 * time.Second
)

// requestKind is a kind of route of the example in docs/hard-load.md. usualLoad is its share of
// the capacity.
type requestKind struct {
	target, timeout, work          time.Duration
	utilityOnTime, utilityWhenLate float64
	usualLoad                      float64
}

// requestKinds returns the kinds by priority.
func requestKinds() []requestKind {
	return []requestKind{
		{target: 500 * time.Millisecond, timeout: 800 * time.Millisecond, work: 8 * time.Millisecond,
			utilityOnTime: 3.5, utilityWhenLate: 0.43, usualLoad: 0.2},
		{target: time.Second, timeout: 1200 * time.Millisecond, work: 24 * time.Millisecond,
			utilityOnTime: 1.9, utilityWhenLate: 0.28, usualLoad: 0.25},
		{target: 2500 * time.Millisecond, timeout: 2 * time.Second, work: 40 * time.Millisecond,
			utilityOnTime: 0.47, utilityWhenLate: 0.21, usualLoad: 0.3},
	}
}

// urgencyScenario multiplies the rates of some kinds and workspaces for a time.
type urgencyScenario struct {
	name   string
	length time.Duration
	factor func(workspace, kind int) float64
}

func urgencyScenarios() []urgencyScenario {
	only := func(kind int) func(int, int) float64 {
		return func(_, k int) float64 {
			if k == kind {
				return 4
			}
			return 1
		}
	}
	return []urgencyScenario{
		{name: "least urgent kind at 4x", length: 15 * time.Second, factor: only(2)},
		{name: "most urgent kind at 4x", length: 15 * time.Second, factor: only(0)},
		{name: "largest workspace at 6x", length: 15 * time.Second, factor: func(workspace, _ int) float64 {
			if workspace == 0 {
				return 6
			}
			return 1
		}},
		{name: "3x capacity for 3 s", length: 3 * time.Second, factor: func(int, int) float64 { return 4 }},
	}
}

// measureUrgency compares the order by urgency across workspaces with that by shares alone.
func measureUrgency(config Config) []Result {
	var results []Result
	for _, scenario := range urgencyScenarios() {
		for _, choice := range []schedulingChoice{
			{name: "weightedFair", config: scheduling.Config{Policy: scheduling.WeightedFair{}, MaxWait: urgencyMaxWait}},
			{name: "mostUrgentFirst", usedByProxy: true,
				config: scheduling.Config{Policy: scheduling.MostUrgentFirst{}, MaxWait: urgencyMaxWait}},
		} {
			r := newUrgencyRun(config, choice.config)
			r.simulate(config, scenario)
			results = append(results, Result{
				Section:     "urgency",
				Scenario:    scenario.name,
				Choice:      choice.name,
				UsedByProxy: choice.usedByProxy,
				Measures:    r.measures(scenario),
			})
		}
	}
	return results
}

// urgencyRun simulates one endpoint with callers that retry.
type urgencyRun struct {
	*eventLoop
	queue      *scheduling.Queue
	random     *rand.Rand
	lastID     uint64
	operations map[uint64]*urgentOperation
	kinds      [3]utility
	workspaces [urgencyWorkspaces]utility
	workInTime time.Duration
	refused    int
	// lastRefused is the latest arrival of an operation of which an attempt was refused.
	lastRefused time.Time
}

type utility struct {
	earned, possible float64
}

func (u utility) ratio() float64 { return u.earned / max(u.possible, 1e-9) }

type urgentOperation struct {
	workspace, kind int
	arrivedAt       time.Time
	attempts        int
}

func newUrgencyRun(config Config, queue scheduling.Config) *urgencyRun {
	queue.Slots = slots
	return &urgencyRun{
		eventLoop:  newEventLoop(),
		queue:      scheduling.New(queue),
		random:     newRandom(config.Seed, 31),
		operations: map[uint64]*urgentOperation{},
	}
}

func (r *urgencyRun) simulate(config Config, scenario urgencyScenario) {
	start := r.now
	end := start.Add(max(config.Duration, burstFrom+scenario.length+10*time.Second))
	for w := range urgencyWorkspaces {
		for k, kind := range requestKinds() {
			rate := kind.usualLoad * slots / kind.work.Seconds() / (urgencyWorkspaces - 1 + largestFactor)
			if w == 0 {
				rate *= largestFactor
			}
			stream := uint64(100 + 10*w + k)
			arrive := func() { r.arrive(w, k) }
			r.poisson(newRandom(config.Seed, stream), rate, end, arrive)
			if extra := scenario.factor(w, k) - 1; extra > 0 {
				r.after(burstFrom, func() {
					r.poisson(newRandom(config.Seed, 100+stream), rate*extra, r.now.Add(scenario.length), arrive)
				})
			}
		}
	}
	r.runAll()
}

func (r *urgencyRun) arrive(workspace, kind int) {
	onTime := requestKinds()[kind].utilityOnTime
	r.kinds[kind].possible += onTime
	r.workspaces[workspace].possible += onTime
	r.attempt(&urgentOperation{
		workspace: workspace,
		kind:      kind,
		arrivedAt: r.now,
	})
}

func (r *urgencyRun) attempt(o *urgentOperation) {
	o.attempts++
	r.lastID++
	kind := requestKinds()[o.kind]
	decision := r.queue.Enqueue(r.now, scheduling.Item{
		ID:        r.lastID,
		Subject:   fmt.Sprintf("w%d", o.workspace),
		Weight:    1,
		ArrivedAt: r.now,
		Deadline:  r.now.Add(kind.timeout),
		Priority:  o.kind,
		Target:    o.arrivedAt.Add(kind.target),
		Spread:    r.random.Float64(),
	})
	if refused, ok := decision.(scheduling.Refused); ok {
		r.refuse(o, refused.RetryAfter)
		return
	}
	r.operations[r.lastID] = o
	r.startStatements()
}

func (r *urgencyRun) refuse(o *urgentOperation, retryAfter time.Duration) {
	r.refused++
	if o.arrivedAt.After(r.lastRefused) {
		r.lastRefused = o.arrivedAt
	}
	if retryAfter == 0 {
		retryAfter = callerBackoff
	}
	if o.attempts <= callerRetries && r.now.Add(retryAfter).Before(o.arrivedAt.Add(callerTimeout)) {
		r.after(retryAfter, func() { r.attempt(o) })
	}
}

func (r *urgencyRun) startStatements() {
	for {
		switch d := r.queue.Next(r.now).(type) {
		case scheduling.Run:
			o := r.takeOperation(d.Item.ID)
			serviceTime := time.Duration((0.5 + r.random.Float64()) * float64(requestKinds()[o.kind].work))
			r.after(serviceTime, func() { r.complete(d.Item, o, serviceTime) })
		case scheduling.Expired:
			r.refuse(r.takeOperation(d.Item.ID), d.RetryAfter)
		case scheduling.Displaced:
			r.refuse(r.takeOperation(d.Item.ID), d.RetryAfter)
		default:
			return
		}
	}
}

func (r *urgencyRun) takeOperation(id uint64) *urgentOperation {
	o := r.operations[id]
	delete(r.operations, id)
	return o
}

func (r *urgencyRun) complete(item scheduling.Item, o *urgentOperation, serviceTime time.Duration) {
	r.queue.Complete(r.now, item.ID)
	if !r.now.After(item.Deadline) {
		kind := requestKinds()[o.kind]
		earned := kind.utilityOnTime
		if r.now.After(item.Target) {
			earned = kind.utilityWhenLate
		}
		r.kinds[o.kind].earned += earned
		r.workspaces[o.workspace].earned += earned
		r.workInTime += serviceTime
	}
	r.startStatements()
}

func (r *urgencyRun) measures(scenario urgencyScenario) []Measure {
	worst := 1.0
	for _, w := range r.workspaces {
		worst = min(worst, w.ratio())
	}
	burstEnd := time.Unix(0, 0).Add(burstFrom + scenario.length)
	return []Measure{
		newMeasure("utility0", r.kinds[0].ratio()),
		newMeasure("utility1", r.kinds[1].ratio()),
		newMeasure("utility2", r.kinds[2].ratio()),
		newMeasure("worstWorkspace", worst),
		newMeasure("goodWork", r.workInTime.Seconds()/(slots*r.now.Sub(time.Unix(0, 0)).Seconds())),
		newMeasure("refused", float64(r.refused)),
		newMeasure("normalAfterSeconds", max(r.lastRefused.Sub(burstEnd).Seconds(), 0)),
	}
}
