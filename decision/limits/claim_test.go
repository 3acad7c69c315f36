package limits_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/limits"
)

var _ = Describe("a VM's right to use its shares", func() {
	DescribeTable("ends before others may have them",
		// Guards against a VM that is cut off and spends shares that others have taken over,
		// and against one that stops although nobody else can have them.
		func(sinceRegistered time.Duration, hears, expected bool) {
			standing := limits.Standing{
				SinceRegistered:     sinceRegistered,
				RegistrationTTL:     4 * time.Second,
				HearsMostNeighbours: hears,
			}
			Expect(standing.MayUseShares()).To(Equal(expected))
		},
		Entry("registered a moment ago and alone", time.Second, false, true),
		Entry("alone until its claim may be removed", limits.ClaimRetention+3900*time.Millisecond, false, true),
		Entry("alone and its claim may be removed", limits.ClaimRetention+4*time.Second, false, false),
		Entry("without the store for long, but among its neighbours", time.Hour, true, true),
	)

	It("leaves a part that is within the tolerance for all VMs together", func() {
		Expect(limits.UncertainShare(limits.TotalMillionths, 0.1)).To(Equal(int64(50_000)))
		Expect(limits.UncertainShare(limits.TotalMillionths/8, 0)).To(BeZero())
	})
})

var _ = Describe("LapsedClaims", func() {
	lapsed := map[string]uint64{"vm1": 7}
	const observed = 100 * time.Second

	It("ends a claim only after its retention", func() {
		// Guards against shares that others use while a VM that is cut off does so, too.
		var l limits.LapsedClaims
		Expect(l.Update(observed, lapsed, true)).To(BeEmpty())
		Expect(l.Update(observed+limits.ClaimRetention-time.Millisecond, lapsed, true)).To(BeEmpty())
		Expect(l.Update(observed+limits.ClaimRetention, lapsed, true)).To(ConsistOf("vm1"))
	})

	It("waits longer while most neighbours are not heard", func() {
		var l limits.LapsedClaims
		l.Update(observed, lapsed, false)
		Expect(l.Update(observed+limits.ClaimRetention, lapsed, false)).To(BeEmpty())
		Expect(l.Update(observed+limits.UnheardClaimRetention, lapsed, false)).To(ConsistOf("vm1"))
	})

	It("starts anew when the VM has registered in between", func() {
		// Guards against the removal of a new process's claim.
		var l limits.LapsedClaims
		l.Update(observed, lapsed, true)
		l.Update(observed+5*time.Second, nil, true)
		Expect(l.Update(observed+limits.ClaimRetention, lapsed, true)).To(BeEmpty())
		Expect(l.Update(observed+limits.ClaimRetention+time.Second, map[string]uint64{"vm1": 9}, true)).To(BeEmpty())
		Expect(l.Update(observed+2*limits.ClaimRetention, map[string]uint64{"vm1": 9}, true)).To(BeEmpty())
	})
})
