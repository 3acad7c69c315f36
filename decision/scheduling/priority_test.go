package scheduling_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/scheduling"
)

var _ = Describe("priority", func() {
	const (
		urgent     = 1
		lessUrgent = 2
	)
	var f *fixture

	BeforeEach(func() {
		f = newFixture(scheduling.Config{
			Slots:   1,
			MaxWait: 20 * service,
		})
	})

	arrive := func(subject string, priority int, timeout time.Duration) scheduling.Decision {
		f.next++
		return f.Enqueue(f.now, scheduling.Item{
			ID:        f.next,
			Subject:   subject,
			Priority:  priority,
			ArrivedAt: f.now,
			Deadline:  f.now.Add(timeout),
		})
	}

	It("orders the statements of one workspace by priority, then by arrival", func() {
		for _, priority := range []int{lessUrgent, urgent, lessUrgent, urgent} {
			arrive("w", priority, time.Hour)
		}
		f.expectOrder(2, 4, 1, 3)
	})

	It("gives no precedence over another workspace", func() {
		arrive("a", lessUrgent, time.Hour)
		arrive("a", lessUrgent, time.Hour)
		arrive("b", urgent, time.Hour)
		arrive("b", urgent, time.Hour)
		f.expectOrder(1, 3, 2, 4)
	})

	// Reads fill the queue of a primary, for example, while the replicas of its database
	// lag.
	It("accepts urgent statements while less urgent ones fill the queue", func() {
		// Guards against refusing urgent statements because of queued less urgent ones,
		// which do not delay them.
		for range 21 {
			Expect(arrive("w", lessUrgent, time.Hour)).To(Equal(scheduling.Enqueued{}))
		}
		Expect(arrive("w", lessUrgent, time.Hour)).To(BeAssignableToTypeOf(scheduling.Refused{}))
		Expect(arrive("w", urgent, time.Hour)).To(Equal(scheduling.Enqueued{}))
		refused, ok := arrive("w", lessUrgent, 10*service).(scheduling.Refused)
		Expect(ok).To(BeTrue())
		Expect(refused.Reason).To(Equal(refusal.DeadlineTooShort))
	})

	It("drops a less urgent statement as soon as it cannot finish", func() {
		arrive("w", lessUrgent, 3*service)
		arrive("w", urgent, time.Hour)
		arrive("w", urgent, time.Hour)
		f.expectOrder(2, 3)
		expired, ok := f.Next(f.now.Add(service)).(scheduling.Expired)
		Expect(ok).To(BeTrue())
		Expect(expired.Item.ID).To(Equal(uint64(1)))
	})

	It("drops a less urgent statement that expires while it waits behind others", func() {
		arrive("w", urgent, time.Hour)
		arrive("w", lessUrgent, 2*service)
		expired, ok := f.Next(f.now.Add(2 * service)).(scheduling.Expired)
		Expect(ok).To(BeTrue())
		Expect(expired.Item.ID).To(Equal(uint64(2)))
	})
})
