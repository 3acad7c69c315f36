package scheduling_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/scheduling"
)

var _ = Describe("SetLimits", func() {
	var f *fixture
	BeforeEach(func() {
		f = newFixture(scheduling.Config{
			Slots:   6,
			MaxWait: 100 * time.Millisecond,
		})
	})

	// enqueue adds reads or writes.
	enqueue := func(count int, write bool) {
		for range count {
			f.next++
			f.Enqueue(f.now, scheduling.Item{
				ID:       f.next,
				Subject:  "a",
				Weight:   1,
				Deadline: f.now.Add(time.Hour),
				Write:    write,
			})
		}
	}

	// start starts items until none can start, and returns their number.
	start := func() int {
		count := 0
		for {
			if _, ok := f.Next(f.now).(scheduling.Run); !ok {
				return count
			}
			count++
		}
	}

	DescribeTable("bounds the running items",
		// Guards against a learned limit that the queue does not follow, and against reads that
		// are held back by the limit of writes.
		func(reads, writes, limitReads, limitWrites, want int) {
			f.SetLimits(limitReads, limitWrites)
			enqueue(reads, false)
			enqueue(writes, true)
			Expect(start()).To(Equal(want))
		},
		Entry("reads", 20, 0, 2, 6, 2),
		Entry("writes", 0, 20, 2, 6, 6),
		Entry("limits below 1", 20, 0, 0, -1, 1),
		Entry("half of the reads and half of the writes", 1, 20, 2, 6, 4),
	)

	It("leaves running items alone when the limit falls, and starts more when it rises", func() {
		// Guards against slots that are lost or counted twice when the limit changes.
		enqueue(20, false)
		Expect(start()).To(Equal(6))
		f.SetLimits(2, 2)
		for id := range uint64(4) {
			f.Complete(f.now, id+1)
		}
		Expect(start()).To(BeZero())
		f.Complete(f.now, 5)
		Expect(start()).To(Equal(1))
		f.SetLimits(6, 6)
		Expect(start()).To(Equal(4))
	})

	It("changes the expected wait and the retry delay of refusals", func() {
		// Guards against hints for a number of slots that the endpoint does not have.
		enqueue(40, false)
		start()
		before := f.ExpectedWait(f.now, "a")
		f.SetLimits(2, 2)
		Expect(f.ExpectedWait(f.now, "a")).To(BeNumerically("~", 3*before, time.Microsecond))
		refused, ok := f.arrive("a", 1, time.Hour, false).(scheduling.Refused)
		Expect(ok).To(BeTrue())
		Expect(refused.Reason).To(Equal(refusal.Overloaded))
		Expect(refused.RetryAfter).To(BeNumerically("~", 3*before-100*time.Millisecond, time.Microsecond))
	})
})
