// Package scheduling decides which statement an endpoint runs next and which it
// refuses. A Queue is not safe for concurrent use; the caller holds a lock.
package scheduling

import (
	"iter"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// smoothingFactor is the weight of a new service time in the moving averages,
	// which cover about the last ten statements.
	smoothingFactor = 0.1
	// defaultServiceTime is the expected service time before the first measurement.
	defaultServiceTime = 5 * time.Millisecond
	// deadlineDeviations is the number of mean deviations of the service time that
	// must fit before a deadline, in addition to the mean, while more items wait
	// than there are slots. With statements of 2 and 50 ms on one subject and an
	// offered load of 5 times the endpoint's capacity, 2 deviations give 92% of the
	// peak throughput and 4 give 98%.
	deadlineDeviations = 4
	// maxFlows is the number of subjects above which idle ones are removed.
	maxFlows = 1024
	// lowestPriority places an item after all items of its subject.
	lowestPriority = math.MaxInt
	// minServiceTime keeps estimates finite when service times round to 0.
	minServiceTime = 10 * time.Microsecond
	// minRetryAfter is the shortest retry delay in a refusal.
	minRetryAfter = 10 * time.Millisecond
	// measurementTTL is the time since its last measurement after which a subject's
	// own average is stale. The endpoint's average is then used if it is smaller.
	measurementTTL = time.Second
	// maxTransactionLeadStatements is how far, in average statements, transaction
	// steps may take a subject ahead of its share.
	maxTransactionLeadStatements = 20
	// minShareFraction is the smallest share of a subject, as a fraction of an equal
	// share.
	minShareFraction = 0.25
)

// Config configures a Queue.
type Config struct {
	// Policy is the order in which items are served; WeightedFair if nil.
	Policy Policy
	// Slots is the number of items that run concurrently; at least 1.
	Slots int
	// MaxWait is the expected wait above which items are refused with the reason
	// overloaded; 0 for no limit.
	MaxWait time.Duration
	// InitialServiceTime is the expected service time before the first measurement;
	// defaultServiceTime if 0.
	InitialServiceTime time.Duration
	// AdmitAll disables refusals at arrival and expiry before the deadline. The
	// benchmark uses it as a baseline.
	AdmitAll bool
	// MayStart reports whether an item that is next may start now. If not, no item starts. It
	// may be nil.
	MayStart func(Item) bool
	// Held reports whether the statements of a subject start only if no other item can. It may be
	// nil.
	Held func(subject string) bool
}

// Item is one statement that waits for a slot.
type Item struct {
	// ID is unique among the items that wait or run.
	ID uint64
	// Subject is a workspace or a public route.
	Subject string
	// Weight is the weight of the subject; at least 1.
	Weight int
	// ArrivedAt and Deadline are times of the process's own timer service.
	ArrivedAt, Deadline time.Time
	// Transaction is true for a step of an open transaction.
	Transaction bool
	// Priority orders the items of one subject; 0 is the most urgent.
	Priority int
	// Write is true for a write, which counts towards the limit of writes.
	Write bool
	// Target is the time until which a caller is well served; zero if there is none.
	Target time.Time
	// Requests is how many requests the endpoint gets for the item; only MayStart uses it.
	Requests int
	// Spread, in [0, 1), places the return of the caller after a refusal among others.
	Spread float64
}

// Queue orders the statements of one endpoint.
type Queue struct {
	config          Config
	serviceTime     movingAverage
	flows           []*flow
	flowsBySubject  map[string]*flow
	waitingItems    map[uint64]Item
	running         map[uint64]runningItem
	lastSequence    uint64
	roundRobinIndex int
	// readCost and writeCost are the parts of the slots that an item takes. They differ if the
	// limits of reads and writes do.
	readCost, writeCost float64
	usedSlots           float64
	// virtualTime is the largest value that minStartTag has returned at the start of
	// an item.
	virtualTime float64
	// fairService is the service that a subject of weight 1 has been entitled to so
	// far, in seconds, as of fairServiceAt.
	fairService   float64
	fairServiceAt time.Time
	// classes holds the service times by priority. It and the following fields are used under
	// MostUrgentFirst.
	classes [urgencyClasses]movingAverage
	// exceptionBalance is the service time, in seconds, that exceptions may take; they wait while
	// it is negative.
	exceptionBalance float64
	// arrivals is the number of items since the last search for items to displace.
	arrivals int
	// earliestDeadline is not after the deadline of any waiting item.
	earliestDeadline time.Time
	// returns is, by priority, the time until which returns of refused callers are planned.
	returns [urgencyClasses]time.Time
}

// runningItem is an item that holds a slot.
type runningItem struct {
	flow    *flow
	started time.Time
	// chargedTime and chargedWeight were used to charge the flow at the start.
	chargedTime   time.Duration
	chargedWeight float64
	item          Item
	priority      int
	// usedSlots is the part of the slots that the item takes.
	usedSlots float64
}

// New returns an empty queue.
func New(config Config) *Queue {
	if config.Policy == nil {
		config.Policy = WeightedFair{}
	}
	if config.InitialServiceTime == 0 {
		config.InitialServiceTime = defaultServiceTime
	}
	config.Slots = max(config.Slots, 1)
	return &Queue{
		config:         config,
		serviceTime:    movingAverage{mean: config.InitialServiceTime.Seconds()},
		flowsBySubject: map[string]*flow{},
		waitingItems:   map[uint64]Item{},
		running:        map[uint64]runningItem{},
		readCost:       1,
		writeCost:      1,
	}
}

// Enqueue accepts an item (Enqueued) or refuses it (Refused).
func (q *Queue) Enqueue(now time.Time, item Item) Decision {
	f := q.recordArrival(now, item)
	if refused, ok := q.checkAdmission(now, f, item); ok {
		return refused
	}
	if f.waitingCount() == 0 {
		f.startTag = max(f.startTag, q.virtualTime)
	}
	q.lastSequence++
	f.push(item, q.lastSequence)
	q.waitingItems[item.ID] = item
	q.arrivals++
	if q.earliestDeadline.IsZero() || item.Deadline.Before(q.earliestDeadline) {
		q.earliestDeadline = item.Deadline
	}
	return Enqueued{}
}

// ExpectedWait estimates how long a new statement of the subject would wait if it
// had the lowest priority.
func (q *Queue) ExpectedWait(now time.Time, subject string) time.Duration {
	f, ok := q.flowsBySubject[subject]
	if !ok {
		f = &flow{
			subject:  subject,
			weight:   1,
			startTag: q.virtualTime,
		}
	}
	return q.expectedWait(now, f, Item{Priority: lowestPriority})
}

// ExpectedWaitFor estimates how long a new statement of the subject would wait if it had the
// priority and could meet its target.
func (q *Queue) ExpectedWaitFor(now time.Time, subject string, priority int) time.Duration {
	return q.expectedWait(now, q.findOrAddFlow(subject), Item{
		Priority: priority,
		Deadline: now.Add(math.MaxInt64),
	})
}

// Complete releases the slot of an item and records its service time. An id that is
// not running is ignored.
func (q *Queue) Complete(now time.Time, id uint64) {
	r, ok := q.running[id]
	if !ok {
		return
	}
	q.releaseSlot(id, r)
	service := max(now.Sub(r.started), 0)
	// The flow was charged the expected time at the start; correct the difference.
	r.flow.startTag += (service - r.chargedTime).Seconds() / r.chargedWeight
	r.flow.serviceReceived += (service - r.chargedTime).Seconds() / r.chargedWeight
	r.flow.urgent.correct(r.priority, (service-r.chargedTime).Seconds()/r.chargedWeight)
	r.flow.serviceTime.add(service)
	r.flow.lastMeasured = now
	q.serviceTime.add(service)
	q.classes[urgencyClass(r.priority)].add(service)
}

// ReleaseUnmeasured releases the slot of an item that the endpoint did not respond
// to, without recording a service time. After a failover, averages that included the
// time until a lost connection was detected caused new items to be refused as
// overloaded.
func (q *Queue) ReleaseUnmeasured(id uint64) {
	if r, ok := q.running[id]; ok {
		q.releaseSlot(id, r)
	}
}

// Next returns the item to start (Run), an item that was dropped (Expired), or Idle.
// Call it until it returns Idle.
func (q *Queue) Next(now time.Time) Decision {
	if item, ok := q.removeExpired(now); ok {
		return Expired{
			Item:       item,
			RetryAfter: q.retryAfter(now, item, 0),
		}
	}
	if displaced, ok := q.displace(now); ok {
		return displaced
	}
	if len(q.running) >= q.config.Slots {
		return Idle{}
	}
	q.updateFairService(now)
	minTag := q.minStartTag()
	next, ok := q.chooseNext(now)
	if !ok || !q.fits(next.item) {
		return Idle{}
	}
	if q.config.MayStart != nil && !q.config.MayStart(next.item) {
		return Idle{}
	}
	f, item := next.flow, next.item
	next.take()
	q.virtualTime = max(q.virtualTime, minTag)
	delete(q.waitingItems, item.ID)
	r := runningItem{
		flow:          f,
		started:       now,
		chargedTime:   q.chargedTime(f, item),
		chargedWeight: q.activeWeights().effective(f),
		item:          item,
		usedSlots:     q.cost(item),
		priority:      item.Priority,
	}
	q.usedSlots += r.usedSlots
	f.startTag += r.chargedTime.Seconds() / r.chargedWeight
	f.serviceReceived = max(f.serviceReceived, q.fairService) + r.chargedTime.Seconds()/r.chargedWeight
	f.urgent.charge(q.fairService, item.Priority, r.chargedTime.Seconds()/r.chargedWeight)
	f.runningCount++
	q.running[item.ID] = r
	return Run{Item: item}
}

// Remove removes a waiting item. It returns false if the item is not waiting.
func (q *Queue) Remove(id uint64) bool {
	item, ok := q.waitingItems[id]
	if !ok {
		return false
	}
	delete(q.waitingItems, id)
	q.flowsBySubject[item.Subject].remove(item)
	return true
}

// Running returns the number of items that hold a slot.
func (q *Queue) Running() int {
	return len(q.running)
}

// Waiting returns the number of items that wait.
func (q *Queue) Waiting() int {
	return q.waitingCount()
}

// WaitingItems returns the items that wait, in no particular order.
func (q *Queue) WaitingItems() iter.Seq[Item] {
	return maps.Values(q.waitingItems)
}

// removeExpired removes one item that can no longer finish before its deadline, if
// there is one. It checks whole queues because an item can expire while more urgent
// items are ahead of it.
func (q *Queue) removeExpired(now time.Time) (Item, bool) {
	if q.urgent() {
		return q.removeUrgentExpired(now)
	}
	for _, f := range q.flows {
		required := q.requiredTime(now, f)
		if q.config.AdmitAll {
			required = 0
		}
		for _, queue := range []*[]queuedItem{&f.steps, &f.statements} {
			at := slices.IndexFunc(*queue, func(w queuedItem) bool { return !now.Add(required).Before(w.item.Deadline) })
			if at < 0 {
				continue
			}
			item := (*queue)[at].item
			*queue = slices.Delete(*queue, at, at+1)
			delete(q.waitingItems, item.ID)
			return item, true
		}
	}
	return Item{}, false
}

// findOrAddFlow returns the flow of the subject. It creates the flow if there is none
// and then removes idle flows if there are too many.
func (q *Queue) findOrAddFlow(subject string) *flow {
	f, ok := q.flowsBySubject[subject]
	if ok {
		return f
	}
	if len(q.flows) >= maxFlows {
		q.flows = slices.DeleteFunc(q.flows, func(f *flow) bool {
			forget := f.idle() && f.startTag <= q.virtualTime && f.serviceReceived <= q.fairService
			if forget {
				delete(q.flowsBySubject, f.subject)
			}
			return forget
		})
	}
	f = &flow{
		subject:  subject,
		weight:   1,
		startTag: q.virtualTime,
	}
	q.flows = append(q.flows, f)
	q.flowsBySubject[subject] = f
	return f
}

func (q *Queue) releaseSlot(id uint64, r runningItem) {
	delete(q.running, id)
	r.flow.runningCount--
	q.usedSlots -= r.usedSlots
	if len(q.running) == 0 {
		// Rounding errors must not add up.
		q.usedSlots = 0
	}
}

func (q *Queue) waitingCount() int {
	return len(q.waitingItems)
}
