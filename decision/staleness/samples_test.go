package staleness_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/staleness"
)

func TestStaleness(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "staleness")
}

func at(milliseconds int, term, index uint64) staleness.Sample {
	return staleness.Sample{
		At: time.Duration(milliseconds) * time.Millisecond,
		Position: logpos.Position{
			Term:  term,
			Index: index,
		},
	}
}

// expectRequired guards against reads of data that is older than the maximum age, and
// against reads that wait for a more recent position than necessary.
func expectRequired(samples []staleness.Sample, nowMS, ageMS int, index uint64, found bool) {
	GinkgoHelper()
	var s staleness.Samples
	for _, sample := range samples {
		s.Add(sample)
	}
	required, ok := s.RequiredPosition(time.Duration(nowMS)*time.Millisecond, time.Duration(ageMS)*time.Millisecond)
	Expect(ok).To(Equal(found))
	if found {
		Expect(required.Index).To(Equal(index))
	}
}

var _ = Describe("Samples", func() {
	three := []staleness.Sample{at(1000, 1, 10), at(2000, 1, 20), at(3000, 1, 30)}

	DescribeTable("requires the oldest position that is recent enough",
		expectRequired,
		Entry("all are recent enough", three, 3000, 2500, uint64(10), true),
		Entry("the first has exactly the maximum age", three, 3000, 2000, uint64(10), true),
		Entry("the first is too old", three, 3001, 2000, uint64(20), true),
		Entry("only the newest is recent enough", three, 3500, 600, uint64(30), true),
		Entry("all are too old", three, 9000, 1500, uint64(0), false),
		Entry("there are none", nil, 3000, 1500, uint64(0), false),
	)

	It("skips positions that the log of a newer term may lack", func() {
		expectRequired([]staleness.Sample{at(1000, 1, 50), at(2000, 2, 40)}, 2100, 2000, 40, true)
	})

	It("accepts samples that arrive out of order", func() {
		expectRequired([]staleness.Sample{at(3000, 1, 30), at(1000, 1, 10)}, 3000, 2500, 10, true)
	})

	It("keeps a bounded number of samples under load", func() {
		// Guards against dropping the newest sample, or samples near the maximum age, to
		// keep the number of samples bounded.
		var s staleness.Samples
		for i := range 100_000 {
			s.Add(at(i, 1, uint64(i)))
		}
		age, ok := s.NewestAge(100 * time.Second)
		Expect(ok).To(BeTrue())
		Expect(age).To(BeNumerically("<", 100*time.Millisecond))
		required, ok := s.RequiredPosition(100*time.Second, time.Second)
		Expect(ok).To(BeTrue())
		Expect(required.Index).To(BeNumerically("~", 99_000, 100))
	})
})
