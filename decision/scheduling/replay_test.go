package scheduling_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"amaranthdock.dev/decision/scheduling"
)

const (
	// replaySlots is the number of statements that the replayed endpoint runs concurrently.
	replaySlots = 5
	// operationTimeout is how long a caller tries to complete an operation; it retries twice.
	operationTimeout = 6 * time.Second
	callerRetries    = 2
	// callerBackoff is the delay before a retry without a hint.
	callerBackoff = 50 * time.Millisecond
)

// kind is a kind of route of the example in docs/hard-load.md. usualShare is its share of the
// capacity in usual load.
type kind struct {
	target, timeout, work time.Duration
	onTime, late          float64
	usualShare            float64
}

var kinds = []kind{
	{target: 500 * time.Millisecond, timeout: 800 * time.Millisecond, work: 8 * time.Millisecond, onTime: 3.5, late: 0.43, usualShare: 0.2},
	{target: 1000 * time.Millisecond, timeout: 1200 * time.Millisecond, work: 24 * time.Millisecond, onTime: 1.9, late: 0.28, usualShare: 0.25},
	{target: 2500 * time.Millisecond, timeout: 2000 * time.Millisecond, work: 40 * time.Millisecond, onTime: 0.47, late: 0.21, usualShare: 0.3},
}

// phase multiplies the usual rates from a time until another.
type phase struct {
	from, until time.Duration
	factor      func(workspace, priority int) float64
}

// load is the load that a replay sends: 8 workspaces, of which the first has a quarter.
type load struct {
	duration time.Duration
	phases   []phase
	// priority changes the priority that a workspace gives to its statements; may be nil.
	priority func(workspace, priority int) int
}

// tally is the result of the operations of one kind or workspace.
type tally struct {
	utility, possible float64
}

func (t *tally) share() float64 { return t.utility / t.possible }

type operation struct {
	workspace, kind int
	arrived         time.Time
	attempts        int
}

// replay is a run of a load against a queue in simulated time.
type replay struct {
	queue      *scheduling.Queue
	load       load
	now        time.Time
	events     eventHeap
	lastID     uint64
	operations map[uint64]*operation
	random     *rand.Rand
	kinds      [3]tally
	workspaces [8]tally
	// work is the service time that ended in time.
	work time.Duration
	// refusals counts the refused attempts by second, and lastRefused is the latest arrival of an
	// operation of a kind of which an attempt was refused.
	refusals    map[int]int
	lastRefused [3]time.Duration
	displaced   int
	// longest is the longest wait for a slot of each kind.
	longest [3]time.Duration
}

func replayLoad(policy scheduling.Policy, l load) *replay {
	r := &replay{
		queue: scheduling.New(scheduling.Config{
			Policy:             policy,
			Slots:              replaySlots,
			MaxWait:            500 * time.Millisecond,
			InitialServiceTime: 30 * time.Millisecond,
		}),
		load:       l,
		now:        time.Unix(0, 0),
		operations: map[uint64]*operation{},
		random:     rand.New(rand.NewPCG(7, 11)),
		refusals:   map[int]int{},
	}
	for w := range r.workspaces {
		for k := range kinds {
			r.scheduleArrivals(rand.New(rand.NewPCG(uint64(w), uint64(k))), w, k)
		}
	}
	for len(r.events) > 0 {
		next := heap.Pop(&r.events).(event)
		r.now = next.at
		next.run()
	}
	return r
}

// scheduleArrivals sends a workspace's operations of a kind at random intervals.
func (r *replay) scheduleArrivals(random *rand.Rand, workspace, k int) {
	rate := kinds[k].usualShare * replaySlots / kinds[k].work.Seconds() / 9.33
	if workspace == 0 {
		rate *= 2.33
	}
	var next func()
	next = func() {
		elapsed := r.now.Sub(time.Unix(0, 0))
		if elapsed > r.load.duration {
			return
		}
		factor := 1.0
		for _, p := range r.load.phases {
			if elapsed >= p.from && elapsed < p.until {
				factor *= p.factor(workspace, k)
			}
		}
		r.arrive(&operation{
			workspace: workspace,
			kind:      k,
			arrived:   r.now,
		})
		r.after(time.Duration(random.ExpFloat64()/(rate*factor)*float64(time.Second)), next)
	}
	r.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), next)
}

func (r *replay) arrive(o *operation) {
	for _, t := range []*tally{&r.kinds[o.kind], &r.workspaces[o.workspace]} {
		t.possible += kinds[o.kind].onTime
	}
	r.attempt(o)
}

func (r *replay) attempt(o *operation) {
	o.attempts++
	r.lastID++
	k := kinds[o.kind]
	priority := o.kind
	if r.load.priority != nil {
		priority = r.load.priority(o.workspace, o.kind)
	}
	decision := r.queue.Enqueue(r.now, scheduling.Item{
		ID:        r.lastID,
		Subject:   fmt.Sprint("w", o.workspace),
		Weight:    1,
		ArrivedAt: r.now,
		Deadline:  r.now.Add(k.timeout),
		Priority:  priority,
		Target:    o.arrived.Add(k.target),
		Spread:    r.random.Float64(),
	})
	if refused, ok := decision.(scheduling.Refused); ok {
		r.refuse(o, refused.RetryAfter)
		return
	}
	r.operations[r.lastID] = o
	r.start()
}

func (r *replay) refuse(o *operation, retryAfter time.Duration) {
	elapsed := r.now.Sub(time.Unix(0, 0))
	r.refusals[int(elapsed/time.Second)]++
	r.lastRefused[o.kind] = max(r.lastRefused[o.kind], o.arrived.Sub(time.Unix(0, 0)))
	if retryAfter == 0 {
		retryAfter = callerBackoff
	}
	if o.attempts <= callerRetries && r.now.Add(retryAfter).Before(o.arrived.Add(operationTimeout)) {
		r.after(retryAfter, func() { r.attempt(o) })
	}
}

func (r *replay) start() {
	for {
		switch d := r.queue.Next(r.now).(type) {
		case scheduling.Run:
			o := r.operations[d.Item.ID]
			r.longest[o.kind] = max(r.longest[o.kind], r.now.Sub(d.Item.ArrivedAt))
			service := time.Duration((0.5 + r.random.Float64()) * float64(kinds[o.kind].work))
			r.after(service, func() { r.complete(d.Item, o, service) })
		case scheduling.Expired:
			r.refuse(r.operations[d.Item.ID], d.RetryAfter)
		case scheduling.Displaced:
			r.displaced++
			r.refuse(r.operations[d.Item.ID], d.RetryAfter)
		default:
			return
		}
	}
}

func (r *replay) complete(item scheduling.Item, o *operation, service time.Duration) {
	r.queue.Complete(r.now, item.ID)
	k := kinds[o.kind]
	for _, t := range []*tally{&r.kinds[o.kind], &r.workspaces[o.workspace]} {
		switch {
		case r.now.After(item.Deadline):
		case r.now.After(o.arrived.Add(k.target)):
			t.utility += k.late
		default:
			t.utility += k.onTime
		}
	}
	if !r.now.After(item.Deadline) {
		r.work += service
	}
	r.start()
}

// worstWorkspace returns the smallest share of its utility that a workspace got.
func (r *replay) worstWorkspace() float64 {
	worst := 1.0
	for i := range r.workspaces {
		worst = min(worst, r.workspaces[i].share())
	}
	return worst
}

func (r *replay) after(delay time.Duration, run func()) {
	heap.Push(&r.events, event{
		at:       r.now.Add(delay),
		sequence: len(r.events),
		run:      run,
	})
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// mostRefusals returns the largest number of refused attempts in one second.
func (r *replay) mostRefusals() int {
	most := 0
	for _, count := range r.refusals {
		most = max(most, count)
	}
	return most
}
