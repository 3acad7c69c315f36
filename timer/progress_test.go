package timer_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/timer"
)

var _ = Describe("WithProgress", func() {
	config := timer.ProgressConfig{
		InitialTimeout: time.Second,
		StallTimeout:   2 * time.Second,
		TotalTimeout:   5 * time.Second,
	}
	var (
		clock *timer.Manual
		ctx   context.Context
		moved func()
	)

	BeforeEach(func() {
		clock = timer.NewManual(timer.ManualConfig{})
		var cancel context.CancelFunc
		ctx, moved, cancel = timer.WithProgress(context.Background(), clock, config)
		DeferCleanup(cancel)
	})

	// advance moves the time once the work waits for it.
	advance := func(duration time.Duration) {
		GinkgoHelper()
		Eventually(clock.Subscribers).Should(Equal(1))
		clock.Advance(duration)
	}

	expectEnded := func() {
		GinkgoHelper()
		Eventually(ctx.Done()).Should(BeClosed())
		Expect(context.Cause(ctx)).To(MatchError(context.DeadlineExceeded))
	}

	It("ends work that does not begin", func() {
		advance(time.Second)
		expectEnded()
	})

	It("ends work that stalls", func() {
		advance(900 * time.Millisecond)
		moved()
		advance(1900 * time.Millisecond)
		Consistently(ctx.Done()).WithTimeout(50 * time.Millisecond).ShouldNot(BeClosed())
		advance(100 * time.Millisecond)
		expectEnded()
	})

	It("ends work that moves on for too long", func() {
		advance(900 * time.Millisecond)
		for range 4 {
			moved()
			advance(time.Second)
		}
		moved()
		advance(100 * time.Millisecond)
		expectEnded()
	})

	It("leaves no subscriber behind", func() {
		ctx, _, cancel := timer.WithProgress(context.Background(), clock, config)
		Expect(clock.Subscribers()).To(Equal(2))
		cancel()
		Eventually(ctx.Done()).Should(BeClosed())
		Eventually(clock.Subscribers).Should(Equal(1))
	})
})
