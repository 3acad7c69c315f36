package bench

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// eventLoop runs functions in the order of their simulated times, and functions with
// equal times in the order in which they were scheduled.
type eventLoop struct {
	now          time.Time
	pending      eventHeap
	lastSequence uint64
}

type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

func newEventLoop() *eventLoop {
	return &eventLoop{now: time.Unix(0, 0).UTC()}
}

func (e *eventLoop) after(delay time.Duration, run func()) {
	e.lastSequence++
	heap.Push(&e.pending, event{
		at:       e.now.Add(delay),
		sequence: e.lastSequence,
		run:      run,
	})
}

// poisson calls run at random intervals, at the given mean rate in calls per second, until
// the end.
func (e *eventLoop) poisson(random *rand.Rand, rate float64, end time.Time, run func()) {
	delay := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
	e.after(delay, func() {
		if e.now.After(end) {
			return
		}
		run()
		e.poisson(random, rate, end, run)
	})
}

// runAll runs events until none is left.
func (e *eventLoop) runAll() {
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

// Pop removes and returns the last element, as heap.Interface requires.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// Push appends an element, as heap.Interface requires.
func (h *eventHeap) Push(x any) {
	*h = append(*h, x.(event))
}

// newRandom returns a random source that depends only on the seed and the stream number.
func newRandom(seed, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, stream))
}
