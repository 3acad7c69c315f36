package timer_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/timer"
)

func TestTimer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "timer")
}

// expectTick checks that exactly one tick is pending if one is due, and none otherwise.
// It guards against a tick that is delivered early, late or twice.
func expectTick(subscription timer.Subscription, due bool) {
	GinkgoHelper()
	if due {
		Expect(subscription.C()).To(Receive())
	}
	Expect(subscription.C()).NotTo(Receive())
}

var _ = Describe("Manual", func() {
	var clock *timer.Manual

	BeforeEach(func() {
		clock = timer.NewManual(timer.ManualConfig{})
	})

	DescribeTable("delivers ticks when they are due",
		func(wait, advance time.Duration, due bool) {
			subscription := clock.After(wait)
			clock.Advance(advance)
			expectTick(subscription, due)
		},
		Entry("early", 2*time.Second, time.Second, false),
		Entry("exactly", time.Second, time.Second, true),
		Entry("late", time.Second, time.Minute, true),
		Entry("no wait", time.Duration(0), time.Duration(0), true),
	)

	It("drops ticks that were not received", func() {
		subscription := clock.Every(time.Second)
		clock.Advance(3 * time.Second)
		expectTick(subscription, true)
		clock.Advance(time.Second)
		expectTick(subscription, true)
	})

	It("delivers nothing after Stop", func() {
		subscription := clock.After(time.Second)
		subscription.Stop()
		clock.Advance(time.Second)
		expectTick(subscription, false)
		Expect(clock.Subscribers()).To(BeZero())
	})
})

var _ = Describe("SinceBoot", func() {
	It("advances while the machine is suspended, unlike Now", func() {
		clock := timer.NewManual(timer.ManualConfig{})
		clock.Advance(time.Second)
		before := clock.Now()
		clock.Suspend(5 * time.Second)
		Expect(clock.SinceBoot()).To(Equal(6 * time.Second))
		Expect(clock.Now()).To(Equal(before))
	})

	It("never decreases on the system clock", func() {
		clock := timer.NewSystem()
		first := clock.SinceBoot()
		Expect(clock.SinceBoot()).To(BeNumerically(">=", first))
	})
})
