package capacity_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"amaranthdock.dev/decision/capacity"
)

// load is a stream of statements of one kind.
type load struct {
	kind capacity.Kind
	// rate is in statements per second.
	rate float64
	mean time.Duration
}

// simulation runs statements at an endpoint in simulated time, through a queue whose slots are the
// learned limit. A statement takes its kind's mean times a random factor with a heavy tail.
type simulation struct {
	now     time.Time
	random  *rand.Rand
	limiter *capacity.Limiter
	events  events
	// slowdown is the factor of a service time at a simulated time with a number of statements
	// in progress; nil for none.
	slowdown func(elapsed time.Duration, inFlight int) float64
	// slots is the number of statements that the endpoint runs at a simulated time. The others
	// wait at the endpoint.
	slots func(elapsed time.Duration) int
	// outcome is the outcome of a statement; nil if all are served.
	outcome func(elapsed time.Duration, inFlight int) capacity.Outcome

	waiting []pending
	sent    []pending
	running int
	served  int
	// reduced is the time with a limit of reads below the upper limit.
	reduced time.Duration
}

type pending struct {
	kind     capacity.Kind
	inFlight int
	work     time.Duration
	sentAt   time.Time
}

type event struct {
	at  time.Time
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const testSlots = 5

var start = time.Unix(1000, 0)

func newSimulation(seed uint64, loads ...load) *simulation {
	s := &simulation{
		now:    start,
		random: rand.New(rand.NewPCG(seed, 1)),
		limiter: capacity.New(capacity.Config{
			Slots:  testSlots,
			Margin: 1,
		}),
		slots: func(time.Duration) int { return testSlots },
	}
	for _, l := range loads {
		s.arrive(l)
	}
	s.observe()
	return s
}

// observe counts the time with a reduced limit.
func (s *simulation) observe() {
	const interval = 20 * time.Millisecond
	s.after(interval, func() {
		if s.limit(false) < upperLimit {
			s.reduced += interval
		}
		s.observe()
	})
}

func (s *simulation) elapsed() time.Duration { return s.now.Sub(start) }

func (s *simulation) after(delay time.Duration, run func()) {
	heap.Push(&s.events, event{
		at:  s.now.Add(delay),
		run: run,
	})
}

func (s *simulation) arrive(l load) {
	s.after(time.Duration(s.random.ExpFloat64()/l.rate*float64(time.Second)), func() {
		// An open queue that is too long is refused, as by the home.
		if len(s.waiting) < 50 {
			s.waiting = append(s.waiting, pending{
				kind: l.kind,
				work: time.Duration(float64(l.mean) * s.factor()),
			})
		}
		s.startWaiting()
		s.arrive(l)
	})
}

// factor returns the random factor of a service time: 3% are 7 times as long.
func (s *simulation) factor() float64 {
	f := 0.4 + 0.6*s.random.ExpFloat64()
	if s.random.Float64() < 0.03 {
		f *= 7
	}
	return f
}

func (s *simulation) limit(write bool) int {
	limits := s.limiter.Limits(s.now)
	if write {
		return limits.Writes
	}
	return limits.Reads
}

func (s *simulation) startWaiting() {
	for len(s.waiting) > 0 && s.running < s.limit(s.waiting[0].kind.Write) {
		p := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		p.inFlight = s.running
		p.sentAt = s.now
		s.sent = append(s.sent, p)
		s.startSent()
	}
}

// startSent starts statements in the slots of the endpoint.
func (s *simulation) startSent() {
	busy := s.running - len(s.sent)
	for len(s.sent) > 0 && busy < s.slots(s.elapsed()) {
		p := s.sent[0]
		s.sent = s.sent[1:]
		busy++
		if s.slowdown != nil {
			p.work = time.Duration(float64(p.work) * s.slowdown(s.elapsed(), busy))
		}
		outcome := capacity.Served
		if s.outcome != nil {
			outcome = s.outcome(s.elapsed(), p.inFlight)
		}
		if outcome == capacity.Busy || outcome == capacity.Ignored {
			p.work = time.Millisecond
		}
		s.after(p.work, func() {
			s.running--
			s.served++
			s.limiter.Add(s.now, capacity.Sample{
				Kind:        p.kind,
				InFlight:    p.inFlight,
				ServiceTime: s.now.Sub(p.sentAt),
				Outcome:     outcome,
			})
			s.startSent()
			s.startWaiting()
		})
	}
}

// run advances the simulated time to the given time since the start.
func (s *simulation) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at.Sub(start) <= until {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	s.now = start.Add(until)
}
