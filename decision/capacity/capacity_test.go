package capacity_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/capacity"
)

func TestCapacity(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "capacity")
}

var (
	read      = capacity.Kind{Priority: 0}
	slowRead  = capacity.Kind{Priority: 2}
	write     = capacity.Kind{Write: true}
	readLimit = func(s *simulation) int { return s.limiter.Limits(s.now).Reads }
)

const (
	upperLimit = testSlots + 1
	// probeTime is the time with a reduced limit of one probe: half of each of its epochs.
	probeTime = 800 * time.Millisecond
)

// usualLoad uses about 60% of the slots.
func usualLoad() []load {
	return []load{
		{kind: read, rate: 120, mean: 8 * time.Millisecond},
		{kind: slowRead, rate: 30, mean: 40 * time.Millisecond},
	}
}

// slowAbove returns a slowdown by a factor with more than the given number in progress.
func slowAbove(inFlight int, factor float64) func(time.Duration, int) float64 {
	return func(_ time.Duration, n int) float64 {
		if n > inFlight {
			return factor
		}
		return 1
	}
}

// between returns a slowdown by a factor during a period.
func between(from, to time.Duration, factor float64) func(time.Duration, int) float64 {
	return func(elapsed time.Duration, _ int) float64 {
		if elapsed >= from && elapsed < to {
			return factor
		}
		return 1
	}
}

var _ = Describe("Limiter", func() {
	It("keeps the upper limit under usual load with a heavy tail", func() {
		// Guards against limits that fall because of single long statements: a deployment
		// with equal endpoints would lose capacity.
		for seed := range uint64(20) {
			s := newSimulation(seed, usualLoad()...)
			s.run(60 * time.Second)
			Expect(s.reduced).To(BeZero(), "seed %d", seed)
		}
	})

	It("keeps the upper limit of a healthy endpoint that is overloaded", func() {
		// Guards against taking the wait for the endpoint's own slots for a slowdown.
		for seed := range uint64(10) {
			s := newSimulation(seed, load{
				kind: read,
				rate: 300,
				mean: 24 * time.Millisecond,
			})
			s.run(30 * time.Second)
			Expect(s.reduced).To(BeZero(), "seed %d", seed)
		}
	})

	DescribeTable("lowers the limit of an endpoint that slows down above half of its slots",
		// Guards against an endpoint that is kept in the range in which it serves less.
		func(loads ...load) {
			s := newSimulation(1, loads...)
			s.run(5 * time.Second)
			s.slowdown = slowAbove(2, 3)
			s.run(13 * time.Second)
			Expect(readLimit(s)).To(BeNumerically("<=", 3))
			Expect(readLimit(s)).To(BeNumerically(">=", 2))
		},
		Entry("usual load", usualLoad()[0], usualLoad()[1]),
		Entry("saturated", load{kind: read, rate: 240, mean: 20 * time.Millisecond}),
	)

	It("raises the limit again once more work in progress increases the throughput", func() {
		// Guards against a limit that stays low after its cause is gone.
		s := newSimulation(2, usualLoad()...)
		s.run(3 * time.Second)
		s.slowdown = slowAbove(2, 3)
		s.run(10 * time.Second)
		Expect(readLimit(s)).To(BeNumerically("<", testSlots))
		s.slowdown = nil
		s.run(35 * time.Second)
		Expect(readLimit(s)).To(Equal(upperLimit))
	})

	It("follows a slow drift", func() {
		// Guards against a baseline that adapts to each small step, so that the limit never
		// falls.
		s := newSimulation(3, usualLoad()...)
		s.slowdown = func(elapsed time.Duration, inFlight int) float64 {
			if inFlight <= 2 {
				return 1
			}
			return 1 + 2.5*min(elapsed.Seconds()/30, 1)
		}
		s.run(8 * time.Second)
		Expect(s.reduced).To(BeNumerically("<=", probeTime), "the throughput still rises")
		s.run(40 * time.Second)
		Expect(readLimit(s)).To(BeNumerically("<=", 3))
	})

	It("does not take a slow drift of all service times for a lower limit", func() {
		// Guards against a comparison with times of a long time ago: the endpoint still runs
		// as many statements at the same time.
		for seed := range uint64(5) {
			s := newSimulation(seed, usualLoad()...)
			s.slowdown = func(elapsed time.Duration, _ int) float64 { return 1 + elapsed.Seconds()/30 }
			s.run(30 * time.Second)
			Expect(s.reduced).To(BeNumerically("<=", probeTime), "seed %d", seed)
		}
	})

	It("follows a sudden loss of slots and the recovery", func() {
		// Guards against statements that wait at an endpoint which runs fewer of them than it
		// reports, where they are in no order of urgency.
		s := newSimulation(4, load{kind: read, rate: 200, mean: 15 * time.Millisecond})
		s.slots = func(elapsed time.Duration) int {
			if elapsed >= 10*time.Second && elapsed < 20*time.Second {
				return 2
			}
			return testSlots
		}
		s.run(10 * time.Second)
		Expect(s.reduced).To(BeZero())
		s.run(20 * time.Second)
		Expect(readLimit(s)).To(BeNumerically("<=", 4))
		Expect(s.reduced).To(BeNumerically(">", 5*time.Second))
		s.run(40 * time.Second)
		Expect(readLimit(s)).To(Equal(upperLimit))
	})

	It("follows rejections", func() {
		// Guards against a rate of rejected statements that the limit does not reduce.
		s := newSimulation(5, load{kind: read, rate: 300, mean: 15 * time.Millisecond})
		s.outcome = func(elapsed time.Duration, inFlight int) capacity.Outcome {
			if inFlight > 3 && elapsed < 10*time.Second {
				return capacity.Busy
			}
			return capacity.Served
		}
		s.run(5 * time.Second)
		Expect(readLimit(s)).To(BeNumerically("~", 3, 1))
		s.run(35 * time.Second)
		Expect(readLimit(s)).To(Equal(upperLimit))
	})

	DescribeTable("keeps the limit if rejections do not depend on it",
		// Guards against an endpoint that rejects a part of its statements at any load and
		// loses its capacity in addition.
		func(rate, share float64) {
			var reduced time.Duration
			for seed := range uint64(10) {
				s := newSimulation(seed, load{kind: read, rate: rate, mean: 15 * time.Millisecond})
				s.outcome = func(time.Duration, int) capacity.Outcome {
					if s.random.Float64() < share {
						return capacity.Busy
					}
					return capacity.Served
				}
				s.run(30 * time.Second)
				reduced += s.reduced
			}
			Expect(reduced).To(BeNumerically("<", 10*30*time.Second/8))
		},
		Entry("usual load", 150.0, 0.1),
		Entry("usual load, many rejections", 150.0, 0.2),
		Entry("overload", 600.0, 0.2),
	)

	It("learns nothing from an idle endpoint", func() {
		// Guards against a limit that changes without information, and against one that stays
		// low because an endpoint with a low limit gets no statements.
		s := newSimulation(6)
		s.run(60 * time.Second)
		Expect(s.reduced).To(BeZero())
		for range 5 {
			s.limiter.Add(s.now, capacity.Sample{
				Kind:     read,
				InFlight: 2,
				Outcome:  capacity.Busy,
			})
		}
		Expect(readLimit(s)).To(BeNumerically("<=", testSlots))
		lowered := s.limiter.Limits(s.now.Add(time.Second)).Reads
		Expect(lowered).To(BeNumerically("<=", testSlots))
		for at := s.now; at.Before(s.now.Add(30 * time.Second)); at = at.Add(100 * time.Millisecond) {
			s.limiter.Limits(at)
		}
		Expect(s.limiter.Limits(s.now.Add(30 * time.Second)).Reads).To(Equal(upperLimit))
	})

	It("does not take an expensive kind of statement for a slow endpoint", func() {
		// Guards against comparing statements of different cost: bursts of an expensive kind
		// have both more statements in progress and longer times.
		expensive := capacity.Kind{Priority: 1}
		for seed := range uint64(5) {
			s := newSimulation(seed, load{kind: read, rate: 100, mean: 8 * time.Millisecond})
			for burst := time.Second; burst < 40*time.Second; burst += 1500 * time.Millisecond {
				s.after(burst, func() {
					for range 6 {
						s.waiting = append(s.waiting, pending{
							kind: expensive,
							work: time.Duration(100 * s.factor() * float64(time.Millisecond)),
						})
					}
					s.startWaiting()
				})
			}
			s.run(40 * time.Second)
			Expect(s.reduced).To(BeZero(), "seed %d", seed)
			Expect(s.limiter.ServiceTime(read)).To(BeNumerically("<", 16*time.Millisecond))
			Expect(s.limiter.ServiceTime(expensive)).To(BeNumerically(">", 50*time.Millisecond))
		}
	})

	It("does not lower the limit of a replica that is slow because it catches up", func() {
		// Guards against a limit that falls while the replica is equally slow with one
		// statement, against fast refusals that count as service times, and against a time
		// that stays long afterwards.
		for seed := range uint64(5) {
			s := newSimulation(seed, usualLoad()...)
			s.slowdown = between(10*time.Second, 16*time.Second, 4)
			s.outcome = func(elapsed time.Duration, _ int) capacity.Outcome {
				if elapsed >= 10*time.Second && elapsed < 16*time.Second && s.random.Float64() < 0.3 {
					return capacity.Ignored
				}
				return capacity.Served
			}
			s.run(10 * time.Second)
			before := s.limiter.ServiceTime(read)
			s.run(16 * time.Second)
			Expect(s.limiter.ServiceTime(read)).To(BeNumerically(">", 2*before), "seed %d", seed)
			s.run(25 * time.Second)
			Expect(s.reduced).To(BeNumerically("<=", probeTime), "seed %d", seed)
			Expect(s.limiter.ServiceTime(read)).To(BeNumerically("<", 2*before), "seed %d", seed)
		}
	})

	It("limits writes apart from reads", func() {
		// Guards against reads that are held back because writes slow each other down.
		s := newSimulation(8, load{kind: read, rate: 80, mean: 15 * time.Millisecond})
		s.run(5 * time.Second)
		for i := range 400 {
			at := s.now.Add(time.Duration(i) * 5 * time.Millisecond)
			inFlight := 1 + i%5
			s.limiter.Add(at, capacity.Sample{
				Kind:        write,
				InFlight:    inFlight,
				ServiceTime: time.Duration(inFlight*10) * time.Millisecond,
				Outcome:     capacity.Served,
			})
			s.limiter.Limits(at)
		}
		limits := s.limiter.Limits(s.now.Add(2 * time.Second))
		Expect(limits.Writes).To(BeNumerically("<=", 2))
		Expect(limits.Reads).To(Equal(upperLimit))
	})
})
