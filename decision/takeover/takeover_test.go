package takeover_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/takeover"
)

func TestTakeover(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "takeover")
}

// healthy is a database with a reported primary, and a store that has responded for a
// long time.
func healthy() takeover.DatabaseState {
	return takeover.DatabaseState{
		PrimaryReported: true,
		StoreHealthyFor: time.Minute,
	}
}

// expectDecision checks the decision about a changed state. It guards against needless
// promotions and against a database that stays without a primary.
func expectDecision(change func(*takeover.DatabaseState), expected takeover.Decision) {
	GinkgoHelper()
	s := healthy()
	change(&s)
	Expect(takeover.Decide(s)).To(Equal(expected))
}

var _ = Describe("Decide", func() {
	DescribeTable("what the leader does about a primary",
		expectDecision,
		Entry("it is healthy", func(*takeover.DatabaseState) {}, takeover.KeepPrimary{}),
		Entry("it is leaving", func(s *takeover.DatabaseState) { s.PrimaryDraining = true }, takeover.Switchover{}),
		Entry("a home cannot reach it", func(s *takeover.DatabaseState) { s.PrimarySuspectedFor = time.Millisecond }, takeover.VerifyPrimary{}),
		Entry("its report has just expired", func(s *takeover.DatabaseState) {
			s.PrimaryReported = false
			s.PrimaryMissingFor = takeover.MissingPrimaryTimeout - time.Millisecond
		}, takeover.KeepPrimary{}),
		Entry("its report has been missing for the timeout", func(s *takeover.DatabaseState) {
			s.PrimaryReported = false
			s.PrimaryMissingFor = takeover.MissingPrimaryTimeout
		}, takeover.Failover{}),
		Entry("its report expired during an outage of the store", func(s *takeover.DatabaseState) {
			s.PrimaryReported = false
			s.PrimaryMissingFor = time.Minute
			s.StoreHealthyFor = 2 * time.Second
		}, takeover.KeepPrimary{}),
		// Guards against a leader that waits 2.5 s after its start before it replaces a
		// leaving primary, which has to be out of use within 7 s.
		Entry("it is leaving, and the leader has just started", func(s *takeover.DatabaseState) {
			s.PrimaryDraining = true
			s.StoreHealthyFor = time.Millisecond
		}, takeover.Switchover{}),
		Entry("it is leaving, and the store does not respond", func(s *takeover.DatabaseState) {
			s.PrimaryDraining = true
			s.StoreHealthyFor = 0
		}, takeover.KeepPrimary{}),
		// Guards against a database without a primary for the time that a missing report takes.
		Entry("it has stepped down for a leader that was lost", func(s *takeover.DatabaseState) {
			s.PrimaryReported = false
			s.IntentPending = true
			s.StoreHealthyFor = time.Millisecond
		}, takeover.ResumeReplacement{}),
		Entry("it has stepped down, and the store does not respond", func(s *takeover.DatabaseState) {
			s.PrimaryReported = false
			s.IntentPending = true
			s.StoreHealthyFor = 0
		}, takeover.KeepPrimary{}),
		Entry("a home cannot reach it, and the store has just come back", func(s *takeover.DatabaseState) {
			s.PrimarySuspectedFor = time.Second
			s.StoreHealthyFor = 2 * time.Second
		}, takeover.KeepPrimary{}),
		Entry("a promotion was requested recently", func(s *takeover.DatabaseState) {
			s.PrimaryReported = false
			s.PrimaryMissingFor = time.Minute
			s.PromotionRequested = true
			s.SincePromotionRequest = takeover.PromotionCooldown - time.Millisecond
		}, takeover.KeepPrimary{}),
		Entry("a promotion request did not take effect in time", func(s *takeover.DatabaseState) {
			s.PrimaryReported = false
			s.PrimaryMissingFor = time.Minute
			s.PromotionRequested = true
			s.SincePromotionRequest = takeover.PromotionCooldown
		}, takeover.Failover{}),
	)

	DescribeTable("the loss of a primary is confirmed by other VMs",
		// Guards against the replacement of a primary that another VM still reaches, or
		// that only the leader or a minority of the VMs cannot reach.
		func(results takeover.ReachabilityResults, confirmed bool) {
			Expect(results.ConfirmsLoss()).To(Equal(confirmed))
		},
		Entry("no VM reaches it", takeover.ReachabilityResults{
			AskedCount:   6,
			FailureCount: 6,
		}, true),
		Entry("only the leader tried, which may be cut off", takeover.ReachabilityResults{}, false),
		Entry("the leader is cut off with a few others", takeover.ReachabilityResults{
			AskedCount:   6,
			FailureCount: 2,
		}, false),
		Entry("a majority with the leader cannot reach it, and the others do not respond", takeover.ReachabilityResults{
			AskedCount:   6,
			FailureCount: 3,
		}, true),
		Entry("another VM reaches it", takeover.ReachabilityResults{
			AskedCount:   3,
			SuccessCount: 1,
			FailureCount: 2,
		}, false),
		Entry("the leader reaches it", takeover.ReachabilityResults{
			LeaderReached: true,
			AskedCount:    2,
			FailureCount:  2,
		}, false),
	)
})

var _ = Describe("CoversAcknowledgedCommits", func() {
	// An acknowledged commit is on at least syncReplicas replicas, which may be any of
	// them.
	DescribeTable("whether each acknowledged commit is on a replica that responded",
		// Guards against a promotion that loses an acknowledged commit, which may be only
		// on replicas that did not respond.
		func(responded, known, syncReplicas int, enough bool) {
			Expect(takeover.CoversAcknowledgedCommits(responded, known, syncReplicas)).To(Equal(enough))
		},
		Entry("none responded", 0, 2, 0, false),
		Entry("no replica confirms commits", 1, 2, 0, true),
		Entry("one of two, of which one confirms", 1, 2, 1, false),
		Entry("both of two", 2, 2, 1, true),
		Entry("one of two, of which both confirm", 1, 2, 2, true),
		Entry("the only one left", 1, 1, 1, true),
		Entry("none is known any longer", 0, 0, 1, false),
	)
})

var _ = Describe("Choose", func() {
	position := func(index uint64) logpos.Position {
		return logpos.Position{
			Term:  3,
			Index: index,
		}
	}

	It("chooses the endpoint that has received most, also from another region", func() {
		// Guards against losing log entries by preferring a nearer endpoint.
		chosen, ok := takeover.Choose([]takeover.Candidate{
			{
				ID:               "near",
				ReceivedPosition: position(10),
				SameRegion:       true,
			},
			{
				ID:               "far",
				ReceivedPosition: position(11),
			},
		})
		Expect(ok).To(BeTrue())
		Expect(chosen.ID).To(Equal("far"))
	})

	It("prefers the endpoint that most routes allow among those that have received the same", func() {
		// Guards against a primary where fewer routes may use it, and against the loss of log
		// entries for the sake of routes.
		allowed := takeover.Candidate{
			ID:               "z",
			ReceivedPosition: position(10),
			AllowingRoutes:   2,
		}
		near := takeover.Candidate{
			ID:               "a",
			ReceivedPosition: position(10),
			AllowingRoutes:   1,
			SameRegion:       true,
		}
		for _, candidates := range [][]takeover.Candidate{{allowed, near}, {near, allowed}} {
			chosen, ok := takeover.Choose(candidates)
			Expect(ok).To(BeTrue())
			Expect(chosen.ID).To(Equal("z"))
		}
		near.ReceivedPosition = position(11)
		chosen, _ := takeover.Choose([]takeover.Candidate{allowed, near})
		Expect(chosen.ID).To(Equal("a"))
	})

	It("prefers the region of the old primary among endpoints that have received the same", func() {
		// Guards against a primary that moves to another region without need.
		for _, first := range []string{"a", "z"} {
			chosen, ok := takeover.Choose([]takeover.Candidate{
				{
					ID:               first,
					ReceivedPosition: position(10),
				},
				{
					ID:               "m",
					ReceivedPosition: position(10),
					SameRegion:       true,
				},
			})
			Expect(ok).To(BeTrue())
			Expect(chosen.ID).To(Equal("m"))
		}
	})

	It("prefers an endpoint that is not cold, but not to one with more of the log or of the routes", func() {
		// Guards against a primary that refuses most requests after a replacement, although
		// another one had the same log, and against the loss of log entries for that.
		cold := takeover.Candidate{
			ID:               "a",
			ReceivedPosition: position(10),
			SameRegion:       true,
			Cold:             true,
		}
		warm := takeover.Candidate{
			ID:               "z",
			ReceivedPosition: position(10),
		}
		chosen := func() string {
			first, _ := takeover.Choose([]takeover.Candidate{cold, warm})
			second, _ := takeover.Choose([]takeover.Candidate{warm, cold})
			Expect(first).To(Equal(second))
			return first.ID
		}
		Expect(chosen()).To(Equal("z"))
		cold.AllowingRoutes = 1
		Expect(chosen()).To(Equal("a"))
		cold.AllowingRoutes, cold.ReceivedPosition = 0, position(11)
		Expect(chosen()).To(Equal("a"))
	})

	It("returns false without candidates", func() {
		_, ok := takeover.Choose(nil)
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("the successor of a primary", func() {
	candidate := func(id string, index uint64, draining bool) takeover.Candidate {
		return takeover.Candidate{
			ID: id,
			ReceivedPosition: logpos.Position{
				Term:  3,
				Index: index,
			},
			Draining: draining,
		}
	}

	// forEach calls check for all positions and states of two replicas, of which each may
	// respond or not.
	forEach := func(check func(responded, all []takeover.Candidate)) {
		for choice := range 6 * 6 * 4 {
			a := candidate("a", uint64(choice%3), choice/3%2 == 1)
			b := candidate("b", uint64(choice/6%3), choice/18%2 == 1)
			var responded []takeover.Candidate
			if choice/36%2 == 1 {
				responded = append(responded, a)
			}
			if choice/72%2 == 1 {
				responded = append(responded, b)
			}
			check(responded, []takeover.Candidate{a, b})
		}
	}

	It("has each commit that a synchronous replica has confirmed, in all cases of a lost primary", func() {
		// Guards against the loss of an acknowledged commit: it is on one of the replicas.
		forEach(func(responded, all []takeover.Candidate) {
			chosen, ok := takeover.ChooseAfterLoss(responded, len(all), 1)
			if !ok {
				return
			}
			for _, c := range all {
				Expect(chosen.ReceivedPosition.Covers(c.ReceivedPosition)).To(BeTrue(), "%v of %v", chosen, all)
			}
		})
	})

	It("drains only if no other may lead, in all cases of a lost primary", func() {
		// Guards against draining endpoints that are promoted in turn.
		forEach(func(responded, all []takeover.Candidate) {
			for _, syncReplicas := range []int{0, 1} {
				chosen, ok := takeover.ChooseAfterLoss(responded, len(all), syncReplicas)
				if !ok || !chosen.Draining {
					continue
				}
				for _, c := range responded {
					couldLead := !c.Draining && (syncReplicas == 0 || c.ReceivedPosition.Covers(chosen.ReceivedPosition))
					Expect(couldLead).To(BeFalse(), "%v instead of %v", chosen, c)
				}
			}
		})
	})

	It("does not drain and has the whole log if one has stepped down with synchronous replicas, or that one leads again", func() {
		// Guards against a planned replacement that loses an acknowledged commit because a
		// replica does not catch up, or that moves the lead to another draining endpoint.
		primary := candidate("p", 2, true)
		forEach(func(responded, _ []takeover.Candidate) {
			for _, timeOver := range []bool{false, true} {
				chosen, ok := takeover.ChooseAfterStepDown(primary, responded, 1, timeOver)
				Expect(ok || !timeOver).To(BeTrue(), "a database without a primary")
				if !ok || chosen.ID == primary.ID {
					Expect(timeOver || !ok).To(BeTrue())
					continue
				}
				Expect(chosen.Draining).To(BeFalse())
				Expect(chosen.ReceivedPosition.Covers(primary.ReceivedPosition)).To(BeTrue())
			}
		})
	})

	It("is not the one that has stepped down in an evacuated data centre", func() {
		// Guards against a primary that gets no writes after it leads again.
		primary := candidate("p", 9, false)
		primary.Evacuated = true
		behind := []takeover.Candidate{candidate("a", 7, false)}
		_, ok := takeover.ChooseAfterStepDown(primary, behind, 1, true)
		Expect(ok).To(BeFalse())
		chosen, _ := takeover.ChooseAfterStepDown(primary, behind, 0, true)
		Expect(chosen.ID).To(Equal("a"))
		primary.Evacuated = false
		chosen, _ = takeover.ChooseAfterStepDown(primary, behind, 1, true)
		Expect(chosen.ID).To(Equal("p"))
	})

	It("has received most if one has stepped down without synchronous replicas", func() {
		primary := candidate("p", 9, true)
		others := []takeover.Candidate{candidate("a", 7, false), candidate("b", 8, false), candidate("c", 9, true)}
		_, ok := takeover.ChooseAfterStepDown(primary, others, 0, false)
		Expect(ok).To(BeFalse())
		chosen, ok := takeover.ChooseAfterStepDown(primary, others, 0, true)
		Expect(ok).To(BeTrue())
		Expect(chosen.ID).To(Equal("b"))
	})

	DescribeTable("exists before a draining primary is told to step down",
		// Guards against a database that has no primary for a while and then the same one.
		func(syncReplicas int, other takeover.Candidate, expected bool) {
			Expect(takeover.MayStepDown(candidate("p", 100, true), []takeover.Candidate{other}, syncReplicas)).To(Equal(expected))
		},
		Entry("up to date", 1, candidate("a", 99, false), true),
		Entry("far behind a database with synchronous replicas", 1, candidate("a", 40, false), false),
		Entry("far behind", 0, candidate("a", 40, false), true),
		Entry("draining", 0, candidate("a", 100, true), false),
	)
})
