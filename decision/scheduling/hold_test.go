package scheduling_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/scheduling"
)

var _ = Describe("a queue that holds items back", func() {
	var f *fixture
	mayStart := false

	BeforeEach(func() {
		mayStart = false
		f = newFixture(scheduling.Config{
			Slots:    2,
			MayStart: func(scheduling.Item) bool { return mayStart },
		})
	})

	It("starts nothing while a slot is free, and steps of transactions first afterwards", func() {
		// Guards against statements that reach a cold endpoint without a budget, and against
		// open transactions that wait for new work.
		f.arrive("a", 1, time.Hour, false)
		f.arrive("b", 1, time.Hour, true)
		Expect(f.Next(f.now)).To(Equal(scheduling.Idle{}))
		Expect(f.Running()).To(BeZero())
		mayStart = true
		_, order := f.serve(2)
		Expect(order).To(Equal([]string{"b", "a"}))
	})

	It("drops items at their deadline", func() {
		// Guards against items that are held beyond their deadline.
		f.arrive("a", 1, service, false)
		Expect(f.Next(f.now.Add(service))).To(BeAssignableToTypeOf(scheduling.Expired{}))
	})
})
