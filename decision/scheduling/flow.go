package scheduling

import (
	"math"
	"slices"
	"time"
)

// flow is the state of one subject.
type flow struct {
	subject string
	worth   float64
	// start is the virtual time at which the flow's next item starts, in seconds
	// of service divided by weight.
	start      float64
	average    average
	steps      []queued
	statements []queued
	running    int
	// long is the service taken, in seconds divided by weight, on the scale of
	// the queue's fair clock. over marks a subject that is far ahead of it.
	long float64
	over bool
	last time.Time
	// measured is when a statement of the subject ended last.
	measured time.Time
}

// before tells whether a waiting flow is served before another: those within
// their share first, then by start tags, then by arrival.
func (f *flow) before(other *flow) bool {
	switch {
	case f.over != other.over:
		return other.over
	case f.start != other.start:
		return f.start < other.start
	default:
		return f.oldest() < other.oldest()
	}
}

func (f *flow) idle() bool {
	return f.waiting() == 0 && f.running == 0
}

func (f *flow) list(steps bool) *[]queued {
	if steps {
		return &f.steps
	}
	return &f.statements
}

// oldest returns the rank by arrival of the oldest item that waits.
func (f *flow) oldest() uint64 {
	oldest := uint64(math.MaxUint64)
	for _, list := range [][]queued{f.steps, f.statements} {
		for _, w := range list {
			oldest = min(oldest, w.sequence)
		}
	}
	return oldest
}

func (f *flow) pop(steps bool) Item {
	list := f.list(steps)
	item := (*list)[0].item
	*list = slices.Delete(*list, 0, 1)
	return item
}

// push puts an item behind those of its list that are as urgent.
func (f *flow) push(item Item, sequence uint64) {
	list := f.list(item.Transaction)
	*list = slices.Insert(*list, f.behind(item), queued{
		item:     item,
		sequence: sequence,
	})
}

// behind returns how many items of its list go before a new item.
func (f *flow) behind(item Item) int {
	list := *f.list(item.Transaction)
	at := len(list)
	for at > 0 && list[at-1].item.Priority > item.Priority {
		at--
	}
	return at
}

// ahead returns how many waiting items of the flow go before a new statement.
func (f *flow) ahead(item Item) int {
	return len(f.steps) + f.behind(item)
}

func (f *flow) remove(item Item) {
	list := f.list(item.Transaction)
	*list = slices.DeleteFunc(*list, func(w queued) bool { return w.item.ID == item.ID })
}

func (f *flow) waiting() int {
	return len(f.steps) + len(f.statements)
}

// queued is an item and its rank by arrival.
type queued struct {
	item     Item
	sequence uint64
}

// average is an exponentially weighted moving average of service times.
type average struct {
	seconds float64
	// deviation is the mean absolute deviation, in seconds.
	deviation float64
	known     bool
}

func (a *average) add(service time.Duration) {
	if !a.known {
		a.seconds = service.Seconds()
		a.known = true
		return
	}
	a.deviation += averageGain * (math.Abs(service.Seconds()-a.seconds) - a.deviation)
	a.seconds += averageGain * (service.Seconds() - a.seconds)
}
