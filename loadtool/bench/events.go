package bench

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// events runs functions in the order of their times, and of their scheduling if
// the times are equal.
type events struct {
	now     time.Time
	pending eventHeap
	count   uint64
}

type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

func newEvents() *events {
	return &events{now: time.Unix(0, 0).UTC()}
}

func (e *events) after(wait time.Duration, run func()) {
	e.count++
	heap.Push(&e.pending, event{
		at:       e.now.Add(wait),
		sequence: e.count,
		run:      run,
	})
}

// poisson calls run at random times with a rate in calls per second until the end.
func (e *events) poisson(random *rand.Rand, rate float64, end time.Time, run func()) {
	wait := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
	e.after(wait, func() {
		if e.now.After(end) {
			return
		}
		run()
		e.poisson(random, rate, end, run)
	})
}

// runAll runs until no event is left.
func (e *events) runAll() {
	for len(e.pending) > 0 {
		next := heap.Pop(&e.pending).(event)
		e.now = next.at
		next.run()
	}
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}

// Pop removes the last event, for package heap.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// Push appends an event, for package heap.
func (h *eventHeap) Push(x any) {
	*h = append(*h, x.(event))
}

// newRandom returns a source that depends on the seed and a stream number only.
func newRandom(seed, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, stream))
}
