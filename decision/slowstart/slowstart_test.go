package slowstart_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthdock.dev/decision/slowstart"
)

func TestSlowStart(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "decision/slowstart")
}

var tolerance = slowstart.Config{
	Overage: 1.5,
	Slack:   5,
}

// sendDuring sends single requests as soon as there is room, looking every 10 ms, and returns
// how many were sent.
func sendDuring(b *slowstart.Budget, from, until time.Duration) int {
	sent := 0
	for now := from; now < until; now += 10 * time.Millisecond {
		for b.Reserve(now, 1) {
			b.Send(now, 1, 1)
			sent++
		}
	}
	return sent
}

var _ = Describe("the budget of a cold endpoint", func() {
	const warm = time.Minute
	newBudget := func(rate, share float64) *slowstart.Budget {
		b := slowstart.New(tolerance)
		b.Update(0, slowstart.Coldness{
			Rate:  rate,
			Until: warm,
			Share: share,
		})
		return b
	}

	// Guards against a budget that is more than half of what the endpoint tolerates, which two
	// homes that do not know of each other could exceed together.
	DescribeTable("allows a home in 1.1 s",
		func(rate, share float64, expected int) {
			Expect(sendDuring(newBudget(rate, share), 2*time.Second, 3100*time.Millisecond)).To(Equal(expected))
		},
		Entry("the rate, if that is less than half of the tolerance", 7.0, 1.0, 7),
		Entry("half of the tolerance, if that is less than the rate", 20.0, 1.0, 17),
		Entry("half of that, if it is a second home", 20.0, slowstart.SecondHomeShare, 8),
		Entry("one request, if the rate is 1", 1.0, 1.0, 1),
	)

	It("allows one request in several seconds if the rate is below 1", func() {
		Expect(sendDuring(newBudget(0.25, 1), 2*time.Second, 15*time.Second)).To(Equal(3))
	})

	It("counts as spent at first when a VM becomes a home", func() {
		// Guards against a new home that sends in the same second as the lost one before it.
		b := newBudget(10, 1)
		Expect(sendDuring(b, 0, 1100*time.Millisecond)).To(BeZero())
		Expect(sendDuring(b, 1100*time.Millisecond, 2*time.Second)).To(Equal(10))
		b.Update(2*time.Second, slowstart.Coldness{Rate: 10, Until: warm})
		b.Update(4*time.Second, slowstart.Coldness{Rate: 10, Until: warm, Share: 1})
		Expect(b.Wait(4500*time.Millisecond, 1)).To(Equal(600 * time.Millisecond))
	})

	It("counts a request from the time at which it is sent, and not from its reservation", func() {
		// Guards against requests that wait for a connection and are then sent together with
		// the next ones.
		b := newBudget(2, 1)
		Expect(b.Reserve(2*time.Second, 2)).To(BeTrue())
		Expect(b.Reserve(4*time.Second, 1)).To(BeFalse())
		b.Send(4*time.Second, 2, 2)
		Expect(b.Wait(4500*time.Millisecond, 1)).To(Equal(600 * time.Millisecond))
	})

	It("gets back what was reserved and not sent", func() {
		b := newBudget(2, 1)
		Expect(b.Reserve(2*time.Second, 2)).To(BeTrue())
		b.Release(2)
		Expect(b.Reserve(2*time.Second, 2)).To(BeTrue())
	})

	// Guards against refusals of requests that would get room in time, and against requests
	// that wait although they cannot.
	DescribeTable("states the wait behind other requests",
		func(ahead, requests int, expected time.Duration) {
			b := newBudget(2, 1)
			b.Send(2*time.Second, 1, 0)
			b.Send(2500*time.Millisecond, 1, 0)
			Expect(b.WaitBehind(3*time.Second, ahead, requests)).To(Equal(expected))
		},
		Entry("none ahead", 0, 1, 100*time.Millisecond),
		Entry("none ahead of two", 0, 2, 600*time.Millisecond),
		Entry("one ahead", 1, 1, 600*time.Millisecond),
		Entry("three ahead", 3, 1, 1700*time.Millisecond),
		Entry("more requests than the allowance", 0, 3, 600*time.Millisecond),
	)

	It("doubles each second after the cold period", func() {
		// Guards against an endpoint that gets its whole share at once.
		b := newBudget(10, 1)
		sendDuring(b, warm-2*time.Second, warm)
		last := 10
		for second := range 5 {
			from := warm + time.Duration(second)*time.Second
			sent := sendDuring(b, from, from+time.Second)
			Expect(sent).To(And(BeNumerically(">", last), BeNumerically("<=", 2*last+4)), "second %d", second)
			last = sent
		}
	})

	It("ends after the rise", func() {
		c := slowstart.Coldness{Rate: 10, Until: warm}
		Expect(c.Limited(warm + 9*time.Second)).To(BeTrue())
		Expect(c.Limited(warm + 10*time.Second)).To(BeFalse())
		Expect(slowstart.Coldness{Rate: 10}.Limited(0)).To(BeFalse())
		Expect(slowstart.Coldness{Until: warm}.Limited(0)).To(BeFalse())
	})
})

// Guards against any sequence of requests and changes of the home in which a cold endpoint gets
// more in a second than it tolerates. At most two VMs take themselves for a home at a time.
var _ = It("no second contains more requests than a cold endpoint tolerates", func() {
	rapid.Check(GinkgoT(), func(t *rapid.T) {
		rate := rapid.Float64Range(1, 60).Draw(t, "rate")
		homes := []*slowstart.Budget{slowstart.New(tolerance), slowstart.New(tolerance), slowstart.New(tolerance)}
		var sent []time.Duration
		now := 5 * time.Second
		first, second := 0, -1
		for range rapid.IntRange(20, 400).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond
			if rapid.IntRange(0, 15).Draw(t, "change") == 0 {
				first, second = rapid.IntRange(0, 2).Draw(t, "first"), rapid.IntRange(-1, 2).Draw(t, "second")
			}
			for i, b := range homes {
				c := slowstart.Coldness{Rate: rate, Until: time.Hour}
				switch i {
				case first:
					c.Share = 1
				case second:
					c.Share = slowstart.SecondHomeShare
				}
				b.Update(now, c)
				requests := rapid.IntRange(1, 3).Draw(t, "requests")
				if c.Share == 0 || requests > int(rate/2) || !b.Reserve(now, requests) {
					continue
				}
				b.Send(now, requests, requests)
				sent = append(sent, slices.Repeat([]time.Duration{now}, requests)...)
			}
		}
		oldest := 0
		for i, at := range sent {
			for sent[oldest] <= at-time.Second {
				oldest++
			}
			if count := i + 1 - oldest; float64(count) > rate*tolerance.Overage+tolerance.Slack {
				t.Fatalf("%d requests in the second before %v at a rate of %v", count, at, rate)
			}
		}
	})
})
