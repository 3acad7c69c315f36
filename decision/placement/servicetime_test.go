package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/placement"
)

var _ = Describe("ExcessTimes", func() {
	// times returns the measured times of the priorities 0, 1 and so on, in milliseconds.
	times := func(age time.Duration, milliseconds ...int) placement.ServiceTimes {
		t := placement.ServiceTimes{}
		for priority, ms := range milliseconds {
			if ms > 0 {
				t[priority] = placement.MeasuredTime{
					Time: time.Duration(ms) * time.Millisecond,
					Age:  age,
				}
			}
		}
		return t
	}
	// expectExcess checks the excess of the second endpoint, in milliseconds. It guards against
	// reads that go on to a slow endpoint, and against avoiding one that is not slow.
	expectExcess := func(milliseconds int, first, second placement.ServiceTimes) {
		GinkgoHelper()
		excess := placement.ExcessTimes([]placement.ServiceTimes{first, second})
		Expect(excess).To(Equal([]time.Duration{0, time.Duration(milliseconds) * time.Millisecond}))
	}

	It("is the difference from the fastest endpoint", func() {
		expectExcess(75, times(0, 25), times(0, 100))
	})

	It("is 0 for endpoints that differ as measurements of equal ones do", func() {
		expectExcess(0, times(0, 25), times(0, 45))
	})

	It("compares only reads of the same priority", func() {
		// Guards against taking an endpoint that got the expensive reads for a slow one.
		expectExcess(0, times(0, 8), times(0, 0, 80))
		expectExcess(0, times(0, 8, 40), times(0, 9, 45))
		expectExcess(0, times(0, 8), nil)
	})

	It("falls with the age of the report", func() {
		// Guards against an endpoint that gets no reads any more after it has recovered.
		expectExcess(20, times(0, 20), times(time.Second, 100))
		expectExcess(0, times(0, 20), times(20*time.Second, 100))
	})
})
