package promotion_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/promotion"
	"amaranthdock.dev/decision/routing"
)

func TestPromotion(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "promotion")
}

var members = []promotion.Member{
	{Endpoint: "a", Region: "far"},
	{Endpoint: "b", Region: "far"},
	{Endpoint: "c", Region: "near"},
}

func position(term, index uint64) logpos.Position {
	return logpos.Position{
		Term:  term,
		Index: index,
	}
}

// acceptedFence returns the result of a fence that the member accepted.
func acceptedFence(endpoint string, term, index uint64) promotion.FenceResult {
	return promotion.FenceResult{
		Endpoint:     endpoint,
		Accepted:     true,
		LastPosition: position(term, index),
	}
}

var _ = DescribeTable("Choose (guards against the promotion of a member without a durable entry)",
	func(leaving string, reports []promotion.FenceResult, expected string) {
		declared := append([]promotion.Member(nil), members...)
		for i := range declared {
			declared[i].Leaving = declared[i].Endpoint == leaving
		}
		got, ok := promotion.Choose(declared, reports, "near")
		Expect(got).To(Equal(expected))
		Expect(ok).To(Equal(expected != ""))
	},
	Entry("one response", "", []promotion.FenceResult{acceptedFence("a", 1, 1)}, ""),
	Entry("a rejected fence", "", []promotion.FenceResult{acceptedFence("a", 1, 1), {Endpoint: "b"}}, ""),
	Entry("an undeclared endpoint", "", []promotion.FenceResult{acceptedFence("a", 1, 1), acceptedFence("x", 1, 1)}, ""),
	Entry("highest index", "", []promotion.FenceResult{acceptedFence("a", 1, 5), acceptedFence("c", 1, 4)}, "a"),
	Entry("term before index", "", []promotion.FenceResult{acceptedFence("a", 1, 9), acceptedFence("b", 2, 3)}, "b"),
	Entry("tie", "", []promotion.FenceResult{acceptedFence("a", 1, 5), acceptedFence("c", 1, 5)}, "c"),
	Entry("leaving, two others", "a", []promotion.FenceResult{acceptedFence("a", 1, 9), acceptedFence("b", 1, 5), acceptedFence("c", 1, 4)}, "b"),
	Entry("leaving, one other", "a", []promotion.FenceResult{acceptedFence("a", 1, 9), acceptedFence("b", 1, 5)}, "a"),
)

var _ = DescribeTable("DurablePosition (guards against acknowledging an entry that can be lost)",
	func(start logpos.Position, lasts []logpos.Position, durable uint64) {
		var statuses []promotion.Status
		for _, last := range lasts {
			statuses = append(statuses, promotion.Status{LastPosition: last})
		}
		got, ok := promotion.DurablePosition(3, start, statuses)
		Expect(ok).To(Equal(durable > 0))
		if ok {
			Expect(got).To(Equal(position(3, durable)))
		}
	},
	Entry("primary alone", position(3, 5), []logpos.Position{position(3, 9), position(2, 4), {}}, uint64(0)),
	Entry("two members", position(3, 5), []logpos.Position{position(3, 9), position(3, 7), {}}, uint64(7)),
	Entry("three members", position(3, 5), []logpos.Position{position(3, 6), position(3, 9), position(3, 8)}, uint64(8)),
	Entry("longer log of an old term", position(3, 5), []logpos.Position{position(3, 9), position(2, 99), position(2, 99)}, uint64(0)),
	Entry("first entry of the term on one member", position(3, 5), []logpos.Position{position(3, 5), position(2, 4), position(2, 4)}, uint64(0)),
	Entry("start of another term", position(2, 1), []logpos.Position{position(3, 5), position(3, 5), position(3, 5)}, uint64(0)),
)

// harness drives a Monitor. Each member in statuses sends its status once per tick.
type harness struct {
	now      time.Time
	monitor  *promotion.Monitor
	rank     int
	statuses map[string]promotion.Status
}

const tick = 10 * time.Millisecond

// newHarness returns a healthy database whose primary is endpoint a in term 1.
func newHarness(rank int) *harness {
	start := time.Unix(0, 0)
	h := &harness{
		now:  start,
		rank: rank,
		monitor: promotion.New(promotion.Config{
			Database:    "db",
			Claimant:    "vm/1",
			Members:     members,
			StoreRegion: "near",
			StartedAt:   start,
		}),
		statuses: map[string]promotion.Status{},
	}
	for _, m := range members {
		h.statuses[m.Endpoint] = promotion.Status{
			Endpoint:     m.Endpoint,
			Role:         routing.RoleReplica,
			FencedTerm:   1,
			LastPosition: position(1, 1),
		}
	}
	h.updateStatus("a", func(s *promotion.Status) {
		s.Role = routing.RolePrimary
		s.TermStart = position(1, 1)
	})
	for range 100 {
		h.step()
	}
	return h
}

func (h *harness) updateStatus(endpoint string, change func(*promotion.Status)) {
	s := h.statuses[endpoint]
	change(&s)
	h.statuses[endpoint] = s
}

func (h *harness) step() promotion.Decision {
	h.now = h.now.Add(tick)
	for _, s := range h.statuses {
		h.monitor.Observe(h.now, s)
	}
	return h.monitor.Step(h.now, h.rank, 0)
}

// nextDecision returns the next decision other than None, and the time until it.
func (h *harness) nextDecision(limit time.Duration) (promotion.Decision, time.Duration) {
	for elapsed := tick; elapsed <= limit; elapsed += tick {
		decision := h.step()
		if _, none := decision.(promotion.None); !none {
			return decision, elapsed
		}
	}
	return promotion.None{}, limit
}

// expectFence checks that the next decision claims a term, neither too early nor too
// late. It guards against a missing, early or late claim.
func (h *harness) expectFence(cause promotion.Cause, term uint64, earliest, latest time.Duration) {
	GinkgoHelper()
	decision, elapsed := h.nextDecision(latest)
	fence, ok := decision.(promotion.Fence)
	Expect(ok).To(BeTrue(), "%#v", decision)
	Expect(fence.Cause).To(Equal(cause))
	Expect(fence.Term).To(Equal(term))
	Expect(fence.Targets).To(Equal([]string{"a", "b", "c"}))
	Expect(elapsed).To(BeNumerically(">=", earliest))
}

var _ = Describe("Monitor", func() {
	DescribeTable("claims a term when a new primary is needed (guards against a database without a primary)",
		func(cause promotion.Cause, term uint64, earliest, latest time.Duration, fault func(*harness)) {
			h := newHarness(0)
			fault(h)
			h.expectFence(cause, term, earliest, latest)
		},
		Entry("restarted primary", promotion.CauseNoPrimary, uint64(2), 100*time.Millisecond, 300*time.Millisecond, func(h *harness) {
			h.updateStatus("a", func(s *promotion.Status) { s.Role = routing.RoleReplica })
		}),
		Entry("claim of a claimant that failed", promotion.CauseTermWithoutPrimary, uint64(3), 300*time.Millisecond, 600*time.Millisecond, func(h *harness) {
			h.updateStatus("b", func(s *promotion.Status) { s.FencedTerm = 2 })
		}),
		Entry("leaving primary", promotion.CauseLeaving, uint64(2), tick, 2*tick, func(h *harness) {
			declared := append([]promotion.Member(nil), members...)
			declared[0].Leaving = true
			h.monitor.SetMembers(declared)
		}),
		Entry("stalled replicas", promotion.CauseReplicasStalled, uint64(2), tick, 2*tick, func(h *harness) {
			for endpoint := range h.statuses {
				h.updateStatus(endpoint, func(s *promotion.Status) { s.ReplicationSilence = promotion.FailureDetectionTimeout })
			}
		}),
		Entry("replicas that receive only heartbeats", promotion.CauseReplicasStalled, uint64(2), promotion.FailureDetectionTimeout, promotion.FailureDetectionTimeout+2*tick, func(h *harness) {
			h.updateStatus("a", func(s *promotion.Status) {
				s.LastPosition = position(1, 9)
				s.ReplicationSilence = promotion.FailureDetectionTimeout
			})
		}),
		Entry("new database", promotion.CauseNoPrimary, uint64(1), tick, time.Second, func(h *harness) {
			h.monitor = promotion.New(promotion.Config{
				Claimant:  "vm/1",
				Members:   members,
				StartedAt: h.now,
			})
			for endpoint := range h.statuses {
				h.statuses[endpoint] = promotion.Status{Endpoint: endpoint, Role: routing.RoleReplica}
			}
		}),
	)

	DescribeTable("claims no term while the primary works (guards against needless write outages)",
		func(fault func(*harness)) {
			h := newHarness(0)
			fault(h)
			decision, _ := h.nextDecision(3 * time.Second)
			Expect(decision).To(Equal(promotion.None{}))
		},
		Entry("healthy", func(*harness) {}),
		Entry("a replica is lost", func(h *harness) { delete(h.statuses, "b") }),
		Entry("all replicas are lost", func(h *harness) {
			delete(h.statuses, "b")
			delete(h.statuses, "c")
		}),
		Entry("one replica receives the primary's messages", func(h *harness) {
			for _, endpoint := range []string{"a", "b"} {
				h.updateStatus(endpoint, func(s *promotion.Status) { s.ReplicationSilence = time.Minute })
			}
		}),
	)

	DescribeTable("replaces a lost primary once a second VM confirms",
		// Guards against a promotion that no second VM confirmed, and against a late
		// claim.
		func(rank int, latest time.Duration) {
			h := newHarness(rank)
			delete(h.statuses, "a")
			confirm, _ := h.nextDecision(time.Second)
			Expect(confirm).To(Equal(promotion.ConfirmSuspicion{Endpoint: "a"}))
			h.monitor.HandleConfirmation(h.now, "a", true)
			h.expectFence(promotion.CausePrimaryLost, 2, 0, latest)
			h.monitor.HandleFenceResults(h.now, 2, []promotion.FenceResult{acceptedFence("b", 1, 4), acceptedFence("c", 1, 3)})
			promote, _ := h.nextDecision(tick)
			Expect(promote).To(Equal(promotion.Promote{Endpoint: "b", Term: 2, Claimant: "vm/1"}))
			h.monitor.HandlePromoteResult(h.now, 2, true)
			publish, _ := h.nextDecision(tick)
			Expect(publish).To(Equal(promotion.Publish{Endpoint: "b", Term: 2}))
		},
		Entry("rank 0", 0, 2*tick),
		Entry("rank 2", 2, 700*time.Millisecond),
	)

	DescribeTable("passes over a stalled primary (guards against an endless write outage)",
		func(reports []promotion.FenceResult, expected string) {
			h := newHarness(0)
			for endpoint := range h.statuses {
				h.updateStatus(endpoint, func(s *promotion.Status) { s.ReplicationSilence = promotion.FailureDetectionTimeout })
			}
			h.expectFence(promotion.CauseReplicasStalled, 2, 0, 2*tick)
			h.monitor.HandleFenceResults(h.now, 2, reports)
			promote, _ := h.nextDecision(tick)
			Expect(promote).To(Equal(promotion.Promote{Endpoint: expected, Term: 2, Claimant: "vm/1"}))
		},
		Entry("two others", []promotion.FenceResult{acceptedFence("a", 1, 9), acceptedFence("b", 1, 5), acceptedFence("c", 1, 4)}, "b"),
		Entry("one other", []promotion.FenceResult{acceptedFence("a", 1, 9), acceptedFence("b", 1, 5)}, "a"),
	)

	It("replaces the next primary too if it stalls (guards against a failover interval that applies after the stall was resolved)", func() {
		h := newHarness(0)
		stall := func(s *promotion.Status) { s.ReplicationSilence = promotion.FailureDetectionTimeout }
		for endpoint := range h.statuses {
			h.updateStatus(endpoint, stall)
		}
		h.expectFence(promotion.CauseReplicasStalled, 2, 0, 2*tick)
		h.monitor.HandleFenceResults(h.now, 2, []promotion.FenceResult{acceptedFence("b", 1, 1), acceptedFence("c", 1, 1)})
		h.nextDecision(tick)
		h.monitor.HandlePromoteResult(h.now, 2, true)
		for endpoint := range h.statuses {
			h.updateStatus(endpoint, func(s *promotion.Status) {
				s.FencedTerm = 2
				s.LastPosition = position(2, 2)
				s.Role = routing.RoleReplica
				s.ReplicationSilence = 0
			})
		}
		h.updateStatus("b", func(s *promotion.Status) {
			s.Role = routing.RolePrimary
			s.TermStart = position(2, 2)
		})
		h.nextDecision(time.Second)
		h.nextDecision(time.Second)
		for endpoint := range h.statuses {
			h.updateStatus(endpoint, stall)
		}
		h.expectFence(promotion.CauseReplicasStalled, 3, 0, 2*tick)
	})

	It("leaves the promotion to other VMs if they reach the primary (guards against a promotion by a partitioned VM)", func() {
		h := newHarness(0)
		delete(h.statuses, "a")
		for range 3 {
			confirm, _ := h.nextDecision(time.Second)
			Expect(confirm).To(Equal(promotion.ConfirmSuspicion{Endpoint: "a"}))
			h.monitor.HandleConfirmation(h.now, "a", false)
			decision, _ := h.nextDecision(time.Second)
			Expect(decision).To(Equal(promotion.DeferToOthers{Endpoint: "a"}))
		}
	})

	It("waits for the claim of another VM (guards against claimants that fence each other's terms)", func() {
		h := newHarness(0)
		delete(h.statuses, "a")
		h.nextDecision(time.Second)
		h.monitor.HandleConfirmation(h.now, "a", true)
		for _, endpoint := range []string{"b", "c"} {
			h.updateStatus(endpoint, func(s *promotion.Status) { s.FencedTerm = 2 })
		}
		decision, _ := h.nextDecision(300 * time.Millisecond)
		Expect(decision).To(Or(Equal(promotion.None{}), BeAssignableToTypeOf(promotion.ConfirmSuspicion{})))
		h.updateStatus("b", func(s *promotion.Status) {
			s.Role = routing.RolePrimary
			s.LastPosition = position(2, 2)
			s.TermStart = position(2, 2)
		})
		h.nextDecision(tick)
		decision, _ = h.nextDecision(time.Second)
		Expect(decision).To(Or(Equal(promotion.None{}), BeAssignableToTypeOf(promotion.Publish{})))
		Expect(h.monitor.IsTermSuperseded(1)).To(BeTrue())
		Expect(h.monitor.IsDurable(1, position(1, 1))).To(BeFalse())
	})

	It("tries a higher term after a rejected fence (guards against a claim that never ends)", func() {
		h := newHarness(0)
		h.updateStatus("a", func(s *promotion.Status) { s.Role = routing.RoleReplica })
		h.expectFence(promotion.CauseNoPrimary, 2, 0, time.Second)
		h.monitor.HandleFenceResults(h.now, 2, []promotion.FenceResult{acceptedFence("a", 1, 1)})
		h.expectFence(promotion.CauseNoPrimary, 3, 100*time.Millisecond, time.Second)
	})

	It("passes over a primary that no replica receives messages from (guards against promoting it again)", func() {
		h := newHarness(0)
		for endpoint := range h.statuses {
			h.updateStatus(endpoint, func(s *promotion.Status) { s.ReplicationSilence = promotion.FailureDetectionTimeout })
		}
		h.expectFence(promotion.CauseReplicasStalled, 2, 0, 2*tick)
		h.monitor.HandleFenceResults(h.now, 2, []promotion.FenceResult{acceptedFence("a", 1, 9), acceptedFence("b", 1, 4), acceptedFence("c", 1, 3)})
		promote, _ := h.nextDecision(tick)
		Expect(promote).To(Equal(promotion.Promote{Endpoint: "b", Term: 2, Claimant: "vm/1"}))
	})

	DescribeTable("stops new writes when replication stalls (guards against writes with an unknown outcome)",
		func(healthy bool, fault func(*harness)) {
			h := newHarness(0)
			fault(h)
			h.nextDecision(1500 * time.Millisecond)
			Expect(h.monitor.WritesHealthy(h.now)).To(Equal(healthy))
		},
		Entry("healthy", true, func(*harness) {}),
		Entry("one replica lost", true, func(h *harness) { delete(h.statuses, "b") }),
		Entry("both replicas lost", false, func(h *harness) {
			delete(h.statuses, "b")
			delete(h.statuses, "c")
		}),
		Entry("both replicas behind", false, func(h *harness) {
			h.updateStatus("a", func(s *promotion.Status) { s.LastPosition = position(1, 9) })
		}),
		Entry("no primary", false, func(h *harness) { delete(h.statuses, "a") }),
	)

	It("limits the age of a replica by the primary's samples (guards against a stale read)", func() {
		h := newHarness(0)
		primary := h.statuses["a"]
		start := h.now
		for i := range 5 {
			primary.LastPosition = position(1, uint64(10*i+1))
			Expect(h.monitor.AddSample(start.Add(time.Duration(i)*time.Second), []promotion.Status{primary})).To(BeFalse(), "only the primary")
			Expect(h.monitor.AddSample(start.Add(time.Duration(i)*time.Second), []promotion.Status{primary, h.statuses["b"]})).To(BeTrue())
		}
		now := start.Add(4 * time.Second)
		Expect(h.monitor.PrimaryConfirmed(now)).To(BeTrue())
		Expect(h.monitor.PrimaryConfirmed(now.Add(promotion.FailureDetectionTimeout))).To(BeFalse())
		for index, want := range map[uint64]time.Duration{1: 4 * time.Second, 15: 3 * time.Second, 41: 0, 99: 0} {
			age, known := h.monitor.DataAge(now, position(1, index))
			Expect(known).To(BeTrue())
			Expect(age).To(Equal(want), "index %d", index)
		}
		_, known := h.monitor.DataAge(now, position(0, 500))
		Expect(known).To(BeFalse())
	})
})
