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
	const first = 100 * time.Second

	// observe lets l observe the state of vm1 every second from one time until another, and
	// returns the claims that may be removed at the end.
	observe := func(l *limits.LapsedClaims, from, until time.Duration, lapsed, hears bool) []string {
		var ended []string
		for at := from; at <= until; at += time.Second {
			o := limits.Observation{
				RequestedAt:         at,
				RespondedAt:         at,
				HearsMostNeighbours: hears,
			}
			if lapsed {
				o.Lapsed = []string{"vm1"}
			}
			ended = l.Update(o)
		}
		return ended
	}

	It("ends a claim only after its retention", func() {
		// Guards against shares that others use while a VM that is cut off does so, too.
		var l limits.LapsedClaims
		Expect(observe(&l, first, first+limits.ClaimRetention-time.Second, true, true)).To(BeEmpty())
		Expect(observe(&l, first+limits.ClaimRetention, first+limits.ClaimRetention, true, true)).To(ConsistOf("vm1"))
	})

	It("counts from the end of the first read to the begin of the last", func() {
		var l limits.LapsedClaims
		l.Update(limits.Observation{
			RequestedAt:         first - time.Second,
			RespondedAt:         first + time.Second,
			Lapsed:              []string{"vm1"},
			HearsMostNeighbours: true,
		})
		Expect(observe(&l, first+time.Second, first+limits.ClaimRetention, true, true)).To(BeEmpty())
		Expect(observe(&l, first+limits.ClaimRetention+time.Second, first+limits.ClaimRetention+time.Second, true, true)).To(ConsistOf("vm1"))
	})

	It("waits longer while most neighbours are not heard", func() {
		var l limits.LapsedClaims
		Expect(observe(&l, first, first+limits.UnheardClaimRetention-time.Second, true, false)).To(BeEmpty())
		Expect(observe(&l, first+limits.UnheardClaimRetention, first+limits.UnheardClaimRetention, true, false)).To(ConsistOf("vm1"))
	})

	It("starts anew when the VM has registered in between", func() {
		// Guards against the removal of the claim of a VM that has used its shares since.
		var l limits.LapsedClaims
		observe(&l, first, first+4*time.Second, true, true)
		observe(&l, first+5*time.Second, first+5*time.Second, false, true)
		Expect(observe(&l, first+6*time.Second, first+5*time.Second+limits.ClaimRetention, true, true)).To(BeEmpty())
		Expect(observe(&l, first+6*time.Second+limits.ClaimRetention, first+6*time.Second+limits.ClaimRetention, true, true)).To(ConsistOf("vm1"))
	})

	It("starts anew when the VM may have registered in between", func() {
		// Guards against a leader that was cut off from the store or suspended.
		var l limits.LapsedClaims
		observe(&l, first, first+9*time.Second, true, true)
		resumed := first + 13*time.Second
		Expect(observe(&l, resumed, resumed+limits.ClaimRetention-time.Second, true, true)).To(BeEmpty())
		Expect(observe(&l, resumed+limits.ClaimRetention, resumed+limits.ClaimRetention, true, true)).To(ConsistOf("vm1"))
	})

	It("ends no claim before its retention, in all short schedules of registrations and reads", func() {
		// Guards against a leader that counts over reads which it did not make, or which missed a
		// registration. A step is 2 s; a registration lasts for two, and some steps have a read.
		const (
			step  = 2 * time.Second
			steps = 9
		)
		removals := 0
		for schedule := range 1 << (2 * steps) {
			var l limits.LapsedClaims
			lapsedAt := first
			for i := range steps {
				at := first + time.Duration(i)*step
				if schedule>>(2*i)&1 == 1 {
					lapsedAt = at + 2*step
				}
				if schedule>>(2*i+1)&1 == 0 {
					continue
				}
				o := limits.Observation{
					RequestedAt:         at + step/4,
					RespondedAt:         at + step/2,
					HearsMostNeighbours: true,
				}
				if at >= lapsedAt {
					o.Lapsed = []string{"vm1"}
				}
				if len(l.Update(o)) > 0 {
					removals++
					Expect(at-lapsedAt).To(BeNumerically(">=", limits.ClaimRetention), "schedule %b", schedule)
				}
			}
		}
		Expect(removals).To(BeNumerically(">", 0))
	})
})
