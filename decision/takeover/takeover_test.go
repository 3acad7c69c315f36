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

// calm is a reported primary with a store that has answered for long.
func calm() takeover.DatabaseState {
	return takeover.DatabaseState{
		PrimaryReported: true,
		StoreHealthyFor: time.Minute,
	}
}

// expectDecision guards against a promotion without cause, and against a database
// that stays without a primary.
func expectDecision(change func(*takeover.DatabaseState), expected takeover.Decision) {
	GinkgoHelper()
	s := calm()
	change(&s)
	Expect(takeover.Decide(s)).To(Equal(expected))
}

var _ = Describe("Decide", func() {
	DescribeTable("what happens to a primary",
		expectDecision,
		Entry("it is well", func(*takeover.DatabaseState) {}, takeover.Keep{}),
		Entry("it is leaving", func(s *takeover.DatabaseState) { s.PrimaryDraining = true }, takeover.Switchover{}),
		Entry("a home does not reach it", func(s *takeover.DatabaseState) { s.SuspectedFor = time.Millisecond }, takeover.VerifyPrimary{}),
		Entry("its report has just lapsed", func(s *takeover.DatabaseState) {
			s.PrimaryReported = false
			s.MissingFor = takeover.MissingFor - time.Millisecond
		}, takeover.Keep{}),
		Entry("its report is gone for long", func(s *takeover.DatabaseState) {
			s.PrimaryReported = false
			s.MissingFor = takeover.MissingFor
		}, takeover.Failover{}),
		Entry("its report lapsed during an outage of the store", func(s *takeover.DatabaseState) {
			s.PrimaryReported = false
			s.MissingFor = time.Minute
			s.StoreHealthyFor = 2 * time.Second
		}, takeover.Keep{}),
		// A leader that had just started left a primary that was leaving in place for
		// 2.5 s, of the 7 s in which it has to be out of use.
		Entry("it is leaving, and the leader has just started", func(s *takeover.DatabaseState) {
			s.PrimaryDraining = true
			s.StoreHealthyFor = time.Millisecond
		}, takeover.Switchover{}),
		Entry("it is leaving, and the store does not answer", func(s *takeover.DatabaseState) {
			s.PrimaryDraining = true
			s.StoreHealthyFor = 0
		}, takeover.Keep{}),
		Entry("a home does not reach it, and the store has just come back", func(s *takeover.DatabaseState) {
			s.SuspectedFor = time.Second
			s.StoreHealthyFor = 2 * time.Second
		}, takeover.Keep{}),
		Entry("an order is on its way", func(s *takeover.DatabaseState) {
			s.PrimaryReported = false
			s.MissingFor = time.Minute
			s.Ordered = true
			s.SinceOrder = takeover.OrderPause - time.Millisecond
		}, takeover.Keep{}),
		Entry("an order had no effect", func(s *takeover.DatabaseState) {
			s.PrimaryReported = false
			s.MissingFor = time.Minute
			s.Ordered = true
			s.SinceOrder = takeover.OrderPause
		}, takeover.Failover{}),
	)

	DescribeTable("a lost primary is confirmed by another VM",
		func(answers takeover.ReachabilityResults, confirmed bool) {
			Expect(answers.ConfirmsLoss()).To(Equal(confirmed))
		},
		Entry("nobody reaches it", takeover.ReachabilityResults{
			Asked:     6,
			Unreached: 6,
		}, true),
		Entry("only the leader tried, which may be cut off", takeover.ReachabilityResults{}, false),
		Entry("the leader is cut off with a few others", takeover.ReachabilityResults{
			Asked:     6,
			Unreached: 2,
		}, false),
		Entry("most say so and the rest do not answer", takeover.ReachabilityResults{
			Asked:     6,
			Unreached: 3,
		}, true),
		Entry("another VM reaches it", takeover.ReachabilityResults{
			Asked:     3,
			Reached:   1,
			Unreached: 2,
		}, false),
		Entry("the leader reaches it", takeover.ReachabilityResults{
			LeaderReached: true,
			Asked:         2,
			Unreached:     2,
		}, false),
	)
})

var _ = Describe("Enough", func() {
	// An acknowledged commit is on as many replicas as confirm it, and on any of them.
	DescribeTable("answers hold each acknowledged commit",
		func(answered, known, syncReplicas int, enough bool) {
			Expect(takeover.CoversAcknowledgedCommits(answered, known, syncReplicas)).To(Equal(enough))
		},
		Entry("none answered", 0, 2, 0, false),
		Entry("nothing is promised", 1, 2, 0, true),
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

	It("takes the endpoint that has received most, also when it is far", func() {
		chosen, ok := takeover.Choose([]takeover.Candidate{
			{
				ID:         "near",
				Received:   position(10),
				SameRegion: true,
			},
			{
				ID:       "far",
				Received: position(11),
			},
		})
		Expect(ok).To(BeTrue())
		Expect(chosen.ID).To(Equal("far"))
	})

	It("takes the nearer one of two that have received the same", func() {
		for _, first := range []string{"a", "z"} {
			chosen, ok := takeover.Choose([]takeover.Candidate{
				{
					ID:       first,
					Received: position(10),
				},
				{
					ID:         "m",
					Received:   position(10),
					SameRegion: true,
				},
			})
			Expect(ok).To(BeTrue())
			Expect(chosen.ID).To(Equal("m"))
		}
	})

	It("finds none among none", func() {
		_, ok := takeover.Choose(nil)
		Expect(ok).To(BeFalse())
	})
})
