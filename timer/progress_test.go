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
		clock          *timer.Manual
		ctx            context.Context
		recordProgress func()
	)

	BeforeEach(func() {
		clock = timer.NewManual(timer.ManualConfig{})
		var cancel context.CancelFunc
		ctx, recordProgress, cancel = timer.WithProgress(context.Background(), clock, config)
		DeferCleanup(cancel)
	})

	// advance moves the time after the context has subscribed to the clock.
	advance := func(duration time.Duration) {
		GinkgoHelper()
		Eventually(clock.Subscribers).Should(Equal(1))
		clock.Advance(duration)
	}

	// expectCanceled checks that a timeout canceled the context.
	expectCanceled := func() {
		GinkgoHelper()
		Eventually(ctx.Done()).Should(BeClosed())
		Expect(context.Cause(ctx)).To(MatchError(context.DeadlineExceeded))
	}

	It("cancels work that makes no progress", func() {
		advance(time.Second)
		expectCanceled()
	})

	It("cancels work that stalls", func() {
		advance(900 * time.Millisecond)
		recordProgress()
		advance(1900 * time.Millisecond)
		Consistently(ctx.Done()).WithTimeout(50 * time.Millisecond).ShouldNot(BeClosed())
		advance(100 * time.Millisecond)
		expectCanceled()
	})

	It("cancels work at the total timeout even if it makes progress", func() {
		advance(900 * time.Millisecond)
		for range 4 {
			recordProgress()
			advance(time.Second)
		}
		recordProgress()
		advance(100 * time.Millisecond)
		expectCanceled()
	})

	It("ends its subscription when it is canceled", func() {
		ctx, _, cancel := timer.WithProgress(context.Background(), clock, config)
		Expect(clock.Subscribers()).To(Equal(2))
		cancel()
		Eventually(ctx.Done()).Should(BeClosed())
		Eventually(clock.Subscribers).Should(Equal(1))
	})
})
