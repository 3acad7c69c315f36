package outlier_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/outlier"
)

func TestOutlier(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "decision/outlier")
}

// interval is the time between two statements at an endpoint.
const interval = 20 * time.Millisecond

// replay records one statement in each interval from a time on, and returns the end.
func replay(d *outlier.Detector, from, length time.Duration, outcome func(i int) outlier.Outcome) time.Duration {
	at := from
	for i := 0; at < from+length; i++ {
		d.Record(at, fmt.Sprintf("ws%d", i%5), outcome(i))
		at += interval
	}
	return at
}

func always(outcome outlier.Outcome) func(int) outlier.Outcome {
	return func(int) outlier.Outcome { return outcome }
}

// everyNth returns an outcome for each nth statement; the others succeed.
func everyNth(n int, outcome outlier.Outcome) func(int) outlier.Outcome {
	return func(i int) outlier.Outcome {
		if i%n == 0 {
			return outcome
		}
		return outlier.Succeeded
	}
}

// admittedShare returns the share of statements that an endpoint gets in a time.
func admittedShare(d *outlier.Detector, from, length time.Duration) float64 {
	admitted, asked := 0, 0
	for at := from; at < from+length; at += interval {
		asked++
		if d.Admit(at) {
			admitted++
		}
	}
	return float64(admitted) / float64(asked)
}

var _ = Describe("an endpoint", func() {
	var d *outlier.Detector

	BeforeEach(func() { d = outlier.New() })

	// Guards against reads that keep failing at an endpoint whose health check is good.
	DescribeTable("that fails a part of its statements is ejected", func(outcome outlier.Outcome) {
		end := replay(d, time.Second, time.Second, everyNth(3, outcome))
		Expect(d.State()).To(BeAssignableToTypeOf(outlier.Ejected{}))
		Expect(admittedShare(d, end, time.Second)).To(BeNumerically("<=", 0.2))
	},
		Entry("with errors", outlier.Failed),
		Entry("without a response", outlier.NoResponse),
		Entry("as busy although it has free slots", outlier.Rejected),
	)

	// Guards against the ejection of healthy endpoints for rare errors.
	DescribeTable("is not ejected", func(outcome func(int) outlier.Outcome, length time.Duration) {
		replay(d, time.Second, length, outcome)
		Expect(d.State()).To(Equal(outlier.Healthy{}))
	},
		Entry("for one error in 20", everyNth(20, outlier.Failed), 5*time.Second),
		Entry("for three failures in a row", always(outlier.NoResponse), 3*interval),
	)

	// Guards against an endpoint that is blamed for the statements of one caller, which would
	// fail everywhere.
	It("is not ejected for the errors of a single workspace", func() {
		for at := time.Second; at < 3*time.Second; at += interval {
			d.Record(at, "ws", outlier.Failed)
		}
		Expect(d.State()).To(Equal(outlier.Healthy{}))
		Expect(d.ShouldReplacePrimary(3 * time.Second)).To(BeFalse())
	})

	// Guards against an endpoint that stays ejected for good, and against a return of all
	// statements at once.
	It("that has recovered gets its statements back in steps", func() {
		now := replay(d, time.Second, time.Second, always(outlier.Failed))
		now = replay(d, now, 300*time.Millisecond, always(outlier.Succeeded))
		Expect(d.State()).To(Equal(outlier.Recovering{Share: 0.25}))
		Expect(admittedShare(d, now, time.Second)).To(BeNumerically("~", 0.25, 0.05))
		now = replay(d, now, 600*time.Millisecond, always(outlier.Succeeded))
		Expect(d.State()).To(Equal(outlier.Recovering{Share: 0.5}))
		replay(d, now, time.Second, always(outlier.Succeeded))
		Expect(d.State()).To(Equal(outlier.Healthy{}))
	})

	// Guards against an endpoint that goes up and down by turns and takes statements with it
	// each time.
	It("that fails again after its return is ejected for longer", func() {
		now := replay(d, time.Second, time.Second, always(outlier.Failed))
		now = replay(d, now, 300*time.Millisecond, always(outlier.Succeeded))
		now = replay(d, now, 100*time.Millisecond, always(outlier.Failed))
		s, ok := d.State().(outlier.Ejected)
		Expect(ok).To(BeTrue())
		Expect(s.Until - now).To(BeNumerically(">", 1500*time.Millisecond))
	})

	// Guards against an endpoint that stays ejected for good because it gets too few statements
	// for three probes within the window.
	DescribeTable("that gets few statements is healthy about 10 s after its ejection", func(perSecond float64) {
		now := replay(d, time.Second, time.Second, always(outlier.Failed))
		s, ok := d.State().(outlier.Ejected)
		Expect(ok).To(BeTrue())
		end, next := max(now, s.Until)+10*time.Second+200*time.Millisecond, now
		for ; now <= end; now += 100 * time.Millisecond {
			d.Advance(now)
			if perSecond > 0 && now >= next {
				next += time.Duration(float64(time.Second) / perSecond)
				if d.Admit(now) {
					d.Record(now, "ws", outlier.Succeeded)
				}
			}
		}
		Expect(d.State()).To(Equal(outlier.Healthy{}))
	},
		Entry("1.4 per second", 1.4),
		Entry("one in two seconds", 0.5),
		Entry("one in eight seconds", 0.125),
		Entry("none", 0.0),
	)

	It("that still fails its few statements is not readmitted", func() {
		// Guards against reads that go to an endpoint at which each probe fails.
		now := replay(d, time.Second, time.Second, always(outlier.Failed))
		for range 20 {
			now += 2 * time.Second
			Expect(d.Admit(now)).To(BeTrue())
			d.Record(now, "ws", outlier.Failed)
			Expect(d.State()).To(BeAssignableToTypeOf(outlier.Ejected{}))
		}
	})

	// Guards against a promotion for a disturbance that is over before the promotion is, and
	// against a primary that keeps failing a third of its writes.
	It("is reported for replacement only after it has failed for a while", func() {
		now := replay(d, time.Second, 200*time.Millisecond, everyNth(3, outlier.Failed))
		Expect(d.ShouldReplacePrimary(now)).To(BeFalse())
		now = replay(d, now, time.Second, everyNth(3, outlier.Failed))
		Expect(d.ShouldReplacePrimary(now)).To(BeTrue())
		now = replay(d, now, 3*time.Second, always(outlier.Succeeded))
		Expect(d.ShouldReplacePrimary(now)).To(BeFalse())
		Expect(d.ServesWell(now)).To(BeTrue())
	})
})
