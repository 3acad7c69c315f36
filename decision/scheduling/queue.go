// Package scheduling decides which statement an endpoint runs next and which it
// refuses. A Queue is not safe for concurrent use; the caller locks.
package scheduling

import (
	"math"
	"slices"
	"time"

	"amaranthdock.dev/decision/refusal"
)

const (
	// averageGain is the weight of a new service time in the moving averages:
	// about the last ten statements count.
	averageGain = 0.1
	// defaultCost is the expected service time before the first measurement.
	defaultCost = 5 * time.Millisecond
	// deviations of the service time, beside its mean, that must fit before a
	// deadline while more items wait than there are slots. With statements of 2 and
	// 50 ms on one subject, 2 deviations give 92% of the peak at 5x, 4 give 98%.
	deviations = 4
	// maxFlows is the number of subjects above which idle ones are forgotten.
	maxFlows = 1024
	// leastUrgent goes behind all items of its subject.
	leastUrgent = math.MaxInt
	// minCost keeps estimates finite when service times round to nothing.
	minCost = 10 * time.Microsecond
	// minRetryAfter is the shortest retry delay that a refusal names.
	minRetryAfter = 10 * time.Millisecond
	// probeInterval without a measurement, after which a subject is judged by the
	// endpoint's average if that is smaller.
	probeInterval = time.Second
	// transactionLeadStatements is how many statements a subject may get ahead of
	// its share through transaction steps.
	transactionLeadStatements = 20
	// worstServedShare is the smallest share of a subject, as a fraction of an
	// equal share.
	worstServedShare = 0.25
)

// Config configures a Queue.
type Config struct {
	// Policy is the order of service; WeightedFair if nil.
	Policy Policy
	// Slots is the number of items that run at once, from 1.
	Slots int
	// MaxWait is the expected wait above which items are refused as overloaded;
	// 0 for no bound.
	MaxWait time.Duration
	// InitialServiceTime is the expected service time before the first measurement;
	// defaultCost if 0.
	InitialServiceTime time.Duration
	// AdmitAll turns off refusals at arrival and expiry before the deadline. It
	// is a baseline of the benchmark.
	AdmitAll bool
}

// Item is one statement that waits for a slot.
type Item struct {
	// ID is unique among the items that wait or run.
	ID uint64
	// Subject is a workspace, or a public route.
	Subject string
	// Weight is the weight of the subject, from 1.
	Weight int
	// Arrived and Deadline are readings of the process's own timer service.
	Arrived, Deadline time.Time
	// Transaction marks a step of an open transaction.
	Transaction bool
	// Priority orders the items of one subject; 0 is the most urgent.
	Priority int
}

// Queue orders the statements of one endpoint.
type Queue struct {
	config    Config
	average   average
	flows     []*flow
	bySubject map[string]*flow
	items     map[uint64]Item
	running   map[uint64]run
	sequence  uint64
	cursor    int
	// virtual is the largest of the smallest start tags seen.
	virtual float64
	// fair is the service that a subject of weight 1 is due since the start, in
	// seconds, as of fairAt.
	fair   float64
	fairAt time.Time
}

// run is an item that holds a slot.
type run struct {
	flow    *flow
	started time.Time
	// cost and weight with which the flow was charged.
	cost   time.Duration
	weight float64
}

// New returns an empty queue.
func New(config Config) *Queue {
	if config.Policy == nil {
		config.Policy = WeightedFair{}
	}
	if config.InitialServiceTime == 0 {
		config.InitialServiceTime = defaultCost
	}
	config.Slots = max(config.Slots, 1)
	return &Queue{
		config:    config,
		average:   average{seconds: config.InitialServiceTime.Seconds()},
		bySubject: map[string]*flow{},
		items:     map[uint64]Item{},
		running:   map[uint64]run{},
	}
}

// Enqueue accepts an item (Enqueued) or turns it away (Refused).
func (q *Queue) Enqueue(now time.Time, item Item) Decision {
	f := q.flow(item.Subject)
	f.worth = float64(max(item.Weight, 1))
	f.last = now
	q.advance(now)
	if !q.config.AdmitAll {
		if refused, ok := q.refuse(now, f, item); ok {
			return refused
		}
	}
	if f.waiting() == 0 {
		f.start = max(f.start, q.virtual)
	}
	q.sequence++
	f.push(item, q.sequence)
	q.items[item.ID] = item
	return Enqueued{}
}

// ExpectedWait estimates how long a new statement of the subject would wait at most.
func (q *Queue) ExpectedWait(now time.Time, subject string) time.Duration {
	f, ok := q.bySubject[subject]
	if !ok {
		f = &flow{
			subject: subject,
			worth:   1,
			start:   q.virtual,
		}
	}
	return q.expectedWait(now, f, Item{Priority: leastUrgent})
}

// Complete frees the slot of an item and measures its service time. An id that
// does not run is ignored.
func (q *Queue) Complete(now time.Time, id uint64) {
	r, ok := q.running[id]
	if !ok {
		return
	}
	q.free(id, r)
	service := max(now.Sub(r.started), 0)
	// The flow was charged with the expected time; the rest is settled now.
	r.flow.start += (service - r.cost).Seconds() / r.weight
	r.flow.long += (service - r.cost).Seconds() / r.weight
	r.flow.average.add(service)
	r.flow.measured = now
	q.average.add(service)
}

// ReleaseUnmeasured frees the slot of an item that the endpoint did not answer. Its time says
// nothing of the service time: after a failover, averages that held the time until
// a lost connection was noticed refused new items as overloaded.
func (q *Queue) ReleaseUnmeasured(id uint64) {
	if r, ok := q.running[id]; ok {
		q.free(id, r)
	}
}

// Next returns the item to start (Run), an item to drop (Expired), or Idle. Call
// it until it returns Idle.
func (q *Queue) Next(now time.Time) Decision {
	if item, ok := q.expired(now); ok {
		return Expired{Item: item}
	}
	if len(q.running) >= q.config.Slots {
		return Idle{}
	}
	q.advance(now)
	f, steps := q.pick()
	if f == nil {
		return Idle{}
	}
	q.virtual = max(q.virtual, q.smallestStart())
	item := f.pop(steps)
	delete(q.items, item.ID)
	r := run{
		flow:    f,
		started: now,
		cost:    time.Duration(q.cost(f) * float64(time.Second)),
		weight:  q.weights().of(f),
	}
	f.start += r.cost.Seconds() / r.weight
	f.long = max(f.long, q.fair) + r.cost.Seconds()/r.weight
	f.running++
	q.running[item.ID] = r
	return Run{Item: item}
}

// Remove takes a waiting item out. It returns false if the item does not wait.
func (q *Queue) Remove(id uint64) bool {
	item, ok := q.items[id]
	if !ok {
		return false
	}
	delete(q.items, id)
	q.bySubject[item.Subject].remove(item)
	return true
}

// Running returns the number of items that hold a slot.
func (q *Queue) Running() int {
	return len(q.running)
}

// Waiting returns the number of items that wait.
func (q *Queue) Waiting() int {
	return q.waiting()
}

// expired removes an item that can no longer finish in time. Less urgent items may
// expire behind others.
func (q *Queue) expired(now time.Time) (Item, bool) {
	for _, f := range q.flows {
		needed := q.needed(now, f)
		if q.config.AdmitAll {
			needed = 0
		}
		for _, list := range []*[]queued{&f.steps, &f.statements} {
			at := slices.IndexFunc(*list, func(w queued) bool { return !now.Add(needed).Before(w.item.Deadline) })
			if at < 0 {
				continue
			}
			item := (*list)[at].item
			*list = slices.Delete(*list, at, at+1)
			delete(q.items, item.ID)
			return item, true
		}
	}
	return Item{}, false
}

func (q *Queue) flow(subject string) *flow {
	f, ok := q.bySubject[subject]
	if ok {
		return f
	}
	if len(q.flows) >= maxFlows {
		q.flows = slices.DeleteFunc(q.flows, func(f *flow) bool {
			forget := f.idle() && f.start <= q.virtual && f.long <= q.fair
			if forget {
				delete(q.bySubject, f.subject)
			}
			return forget
		})
	}
	f = &flow{
		subject: subject,
		worth:   1,
		start:   q.virtual,
	}
	q.flows = append(q.flows, f)
	q.bySubject[subject] = f
	return f
}

func (q *Queue) free(id uint64, r run) {
	delete(q.running, id)
	r.flow.running--
}

func (q *Queue) refuse(now time.Time, f *flow, item Item) (Refused, bool) {
	wait := q.expectedWait(now, f, item)
	if !now.Add(wait + q.needed(now, f)).Before(item.Deadline) {
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

func (q *Queue) waiting() int {
	return len(q.items)
}
