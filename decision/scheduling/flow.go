package scheduling

import (
	"math"
	"slices"
	"time"
)

// flow is the scheduling state of one subject, as in fair queueing.
type flow struct {
	subject string
	weight  float64
	// startTag is the virtual time at which the flow's next item starts, in seconds
	// of service divided by weight.
	startTag     float64
	serviceTime  movingAverage
	steps        []queuedItem
	statements   []queuedItem
	runningCount int
	// serviceReceived is in seconds divided by weight, comparable with
	// Queue.fairService. overShare is true while the subject is far ahead of that.
	serviceReceived float64
	overShare       bool
	// urgent is used in place of serviceReceived and overShare under MostUrgentFirst.
	urgent urgentShare
	// equalItems is a count of waiting items within urgentWorkAhead.
	equalItems  int
	lastArrival time.Time
	// lastMeasured is when a statement of the subject last completed.
	lastMeasured time.Time
}

// precedes reports whether a waiting flow is served before another: flows within
// their share first, then by start tag, then by arrival.
func (f *flow) precedes(other *flow) bool {
	switch {
	case f.overShare != other.overShare:
		return other.overShare
	case f.startTag != other.startTag:
		return f.startTag < other.startTag
	default:
		return f.oldestSequence() < other.oldestSequence()
	}
}

func (f *flow) idle() bool {
	return f.waitingCount() == 0 && f.runningCount == 0
}

// queue returns the queue of transaction steps or that of other statements.
func (f *flow) queue(steps bool) *[]queuedItem {
	if steps {
		return &f.steps
	}
	return &f.statements
}

// oldestSequence returns the arrival number of the oldest waiting item.
func (f *flow) oldestSequence() uint64 {
	oldest := uint64(math.MaxUint64)
	for _, queue := range [][]queuedItem{f.steps, f.statements} {
		for _, w := range queue {
			oldest = min(oldest, w.arrivalSequence)
		}
	}
	return oldest
}

func (f *flow) pop(fromSteps bool) Item {
	queue := f.queue(fromSteps)
	item := (*queue)[0].item
	*queue = slices.Delete(*queue, 0, 1)
	return item
}

// popStatement removes and returns the statement with the given index.
func (f *flow) popStatement(index int) Item {
	item := f.statements[index].item
	f.statements = slices.Delete(f.statements, index, index+1)
	return item
}

// push inserts an item after those with the same or a more urgent priority.
func (f *flow) push(item Item, sequence uint64) {
	queue := f.queue(item.Transaction)
	*queue = slices.Insert(*queue, f.insertIndex(item), queuedItem{
		item:            item,
		arrivalSequence: sequence,
	})
}

// insertIndex returns how many items of its queue are served before a new item.
func (f *flow) insertIndex(item Item) int {
	queue := *f.queue(item.Transaction)
	at := len(queue)
	for at > 0 && queue[at-1].item.Priority > item.Priority {
		at--
	}
	return at
}

// itemsAhead returns how many waiting items of the flow are served before a new
// statement.
func (f *flow) itemsAhead(item Item) int {
	return len(f.steps) + f.insertIndex(item)
}

func (f *flow) remove(item Item) {
	queue := f.queue(item.Transaction)
	*queue = slices.DeleteFunc(*queue, func(w queuedItem) bool { return w.item.ID == item.ID })
}

func (f *flow) waitingCount() int {
	return len(f.steps) + len(f.statements)
}

// queuedItem is an item with its number in the order of arrival.
type queuedItem struct {
	item            Item
	arrivalSequence uint64
}

// movingAverage is an exponentially weighted moving average of service times.
type movingAverage struct {
	// mean is in seconds.
	mean float64
	// deviation is the mean absolute deviation, in seconds.
	deviation float64
	measured  bool
}

func (a *movingAverage) add(service time.Duration) {
	if !a.measured {
		a.mean = service.Seconds()
		a.measured = true
		return
	}
	a.deviation += smoothingFactor * (math.Abs(service.Seconds()-a.mean) - a.deviation)
	a.mean += smoothingFactor * (service.Seconds() - a.mean)
}
