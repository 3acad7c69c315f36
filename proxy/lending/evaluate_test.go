package lending

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/refusal"
)

var _ = Describe("Evaluate", func() {
	// newReadyFleet returns a fleet of one VM with a full bucket, in which no request waits:
	// the next token takes longer than a request may wait.
	newReadyFleet := func() *fakeFleet {
		f := newFleet(1, 10, "a")
		f.reconcileAll()
		f.clock.Advance(20 * time.Second)
		return f
	}

	It("takes no token and counts nothing", func() {
		// Guards against an explanation that uses up the limit of the workspace that it is
		// about.
		evaluated, reference := newReadyFleet(), newReadyFleet()
		for range 100 {
			admission, err := evaluated.limiters["a"].Evaluate("w")
			Expect(err).NotTo(HaveOccurred())
			Expect(admission.Tokens).To(BeNumerically(">", 0))
			Expect(admission.Limit.Rate).To(BeEquivalentTo(1))
		}
		Expect(evaluated.admitUntilRefused("a", 100)).To(Equal(reference.admitUntilRefused("a", 100)))
		refusedBefore := evaluated.limiters["a"].counters.refused.Count()
		_, err := evaluated.limiters["a"].Evaluate("w")
		expectRefused(err, refusal.RateExceeded)
		Expect(evaluated.limiters["a"].counters.refused.Count()).To(Equal(refusedBefore))
		Expect(evaluated.limiters["a"].counters.wrongful.Count()).To(Equal(reference.limiters["a"].counters.wrongful.Count()))
	})

	It("does not begin to fill the bucket of a subject that this VM has not admitted yet", func() {
		// Guards against a subject whose state exists only because it was explained.
		f := newReadyFleet()
		limiter := f.limiters["a"]
		delete(limiter.subjects, "w")
		_, _ = limiter.Evaluate("w")
		Expect(limiter.subjects).To(BeEmpty())
	})

	It("returns the refusal of an unknown subject", func() {
		_, err := newReadyFleet().limiters["a"].Evaluate("unknown")
		expectRefused(err, refusal.NotAllowed)
	})
})

func expectRefused(err error, reason refusal.Reason) {
	GinkgoHelper()
	refused, ok := refusal.As(err)
	Expect(ok).To(BeTrue())
	Expect(refused.Reason).To(Equal(reason))
	Expect(refused.Outcome).To(Equal(refusal.NotRun))
}
