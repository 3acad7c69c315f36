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

// at returns a position.
func at(term, index uint64) logpos.Position {
	return logpos.Position{
		Term:  term,
		Index: index,
	}
}

// report returns an accepted fence.
func report(endpoint string, term, index uint64) promotion.FenceResult {
	return promotion.FenceResult{
		Endpoint: endpoint,
		Accepted: true,
		Last:     at(term, index),
	}
}

var _ = DescribeTable("Choose (guards against the promotion of a member without a durable entry)",
	func(leaving string, reports []promotion.FenceResult, chosen string) {
		declared := append([]promotion.Member(nil), members...)
		for i := range declared {
			declared[i].Leaving = declared[i].Endpoint == leaving
		}
		got, ok := promotion.Choose(declared, reports, "near")
		Expect(got).To(Equal(chosen))
		Expect(ok).To(Equal(chosen != ""))
	},
	Entry("one answer", "", []promotion.FenceResult{report("a", 1, 1)}, ""),
	Entry("a refusal", "", []promotion.FenceResult{report("a", 1, 1), {Endpoint: "b"}}, ""),
	Entry("a stranger", "", []promotion.FenceResult{report("a", 1, 1), report("x", 1, 1)}, ""),
	Entry("highest index", "", []promotion.FenceResult{report("a", 1, 5), report("c", 1, 4)}, "a"),
	Entry("term before index", "", []promotion.FenceResult{report("a", 1, 9), report("b", 2, 3)}, "b"),
	Entry("tie", "", []promotion.FenceResult{report("a", 1, 5), report("c", 1, 5)}, "c"),
	Entry("leaving, two others", "a", []promotion.FenceResult{report("a", 1, 9), report("b", 1, 5), report("c", 1, 4)}, "b"),
	Entry("leaving, one other", "a", []promotion.FenceResult{report("a", 1, 9), report("b", 1, 5)}, "a"),
)

var _ = DescribeTable("Durable (guards against acknowledging an entry that can be lost)",
	func(start logpos.Position, lasts []logpos.Position, durable uint64) {
		var statuses []promotion.Status
		for _, last := range lasts {
			statuses = append(statuses, promotion.Status{Last: last})
		}
		position, ok := promotion.DurablePosition(3, start, statuses)
		Expect(ok).To(Equal(durable > 0))
		if ok {
			Expect(position).To(Equal(at(3, durable)))
		}
	},
	Entry("primary alone", at(3, 5), []logpos.Position{at(3, 9), at(2, 4), {}}, uint64(0)),
	Entry("two members", at(3, 5), []logpos.Position{at(3, 9), at(3, 7), {}}, uint64(7)),
	Entry("three members", at(3, 5), []logpos.Position{at(3, 6), at(3, 9), at(3, 8)}, uint64(8)),
	Entry("longer log of an old term", at(3, 5), []logpos.Position{at(3, 9), at(2, 99), at(2, 99)}, uint64(0)),
	Entry("opening entry on one member", at(3, 5), []logpos.Position{at(3, 5), at(2, 4), at(2, 4)}, uint64(0)),
	Entry("start of another term", at(2, 1), []logpos.Position{at(3, 5), at(3, 5), at(3, 5)}, uint64(0)),
)

// bench drives a Monitor: members that answer send a status in each tick.
type bench struct {
	now      time.Time
	monitor  *promotion.Monitor
	rank     int
	statuses map[string]promotion.Status
}

const tick = 10 * time.Millisecond

// newBench returns a healthy database with primary a in term 1.
func newBench(rank int) *bench {
	start := time.Unix(0, 0)
	b := &bench{
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
		b.statuses[m.Endpoint] = promotion.Status{
			Endpoint:   m.Endpoint,
			Role:       routing.RoleReplica,
			FencedTerm: 1,
			Last:       at(1, 1),
		}
	}
	b.set("a", func(s *promotion.Status) {
		s.Role = routing.RolePrimary
		s.TermStart = at(1, 1)
	})
	for range 100 {
		b.step()
	}
	return b
}

func (b *bench) set(endpoint string, change func(*promotion.Status)) {
	s := b.statuses[endpoint]
	change(&s)
	b.statuses[endpoint] = s
}

func (b *bench) step() promotion.Decision {
	b.now = b.now.Add(tick)
	for _, s := range b.statuses {
		b.monitor.Observe(b.now, s)
	}
	return b.monitor.Step(b.now, b.rank, 0)
}

// until returns the next decision that is something to do, and the time it took.
func (b *bench) until(limit time.Duration) (promotion.Decision, time.Duration) {
	for passed := tick; passed <= limit; passed += tick {
		decision := b.step()
		if _, none := decision.(promotion.None); !none {
			return decision, passed
		}
	}
	return promotion.None{}, limit
}

// expectFence guards against a missing, early or late claim.
func (b *bench) expectFence(cause promotion.Cause, term uint64, earliest, latest time.Duration) {
	GinkgoHelper()
	decision, passed := b.until(latest)
	fence, ok := decision.(promotion.Fence)
	Expect(ok).To(BeTrue(), "%#v", decision)
	Expect(fence.Cause).To(Equal(cause))
	Expect(fence.Term).To(Equal(term))
	Expect(fence.Targets).To(Equal([]string{"a", "b", "c"}))
	Expect(passed).To(BeNumerically(">=", earliest))
}

var _ = Describe("Monitor", func() {
	DescribeTable("claims a term when it must (guards against a database without a primary)",
		func(cause promotion.Cause, term uint64, earliest, latest time.Duration, fault func(*bench)) {
			b := newBench(0)
			fault(b)
			b.expectFence(cause, term, earliest, latest)
		},
		Entry("restarted primary", promotion.CauseNoPrimary, uint64(2), 100*time.Millisecond, 300*time.Millisecond, func(b *bench) {
			b.set("a", func(s *promotion.Status) { s.Role = routing.RoleReplica })
		}),
		Entry("claim of a dead claimant", promotion.CauseTermUnled, uint64(3), 300*time.Millisecond, 600*time.Millisecond, func(b *bench) {
			b.set("b", func(s *promotion.Status) { s.FencedTerm = 2 })
		}),
		Entry("leaving primary", promotion.CauseLeaving, uint64(2), tick, 2*tick, func(b *bench) {
			declared := append([]promotion.Member(nil), members...)
			declared[0].Leaving = true
			b.monitor.SetMembers(declared)
		}),
		Entry("stalled replicas", promotion.CauseReplicasStalled, uint64(2), tick, 2*tick, func(b *bench) {
			for endpoint := range b.statuses {
				b.set(endpoint, func(s *promotion.Status) { s.ReplicationSilence = promotion.DetectionTime })
			}
		}),
		Entry("replicas that hear heartbeats only", promotion.CauseReplicasStalled, uint64(2), promotion.DetectionTime, promotion.DetectionTime+2*tick, func(b *bench) {
			b.set("a", func(s *promotion.Status) {
				s.Last = at(1, 9)
				s.ReplicationSilence = promotion.DetectionTime
			})
		}),
		Entry("new database", promotion.CauseNoPrimary, uint64(1), tick, time.Second, func(b *bench) {
			b.monitor = promotion.New(promotion.Config{
				Claimant:  "vm/1",
				Members:   members,
				StartedAt: b.now,
			})
			for endpoint := range b.statuses {
				b.statuses[endpoint] = promotion.Status{Endpoint: endpoint, Role: routing.RoleReplica}
			}
		}),
	)

	DescribeTable("claims nothing without need (guards against needless write gaps)",
		func(fault func(*bench)) {
			b := newBench(0)
			fault(b)
			decision, _ := b.until(3 * time.Second)
			Expect(decision).To(Equal(promotion.None{}))
		},
		Entry("healthy", func(*bench) {}),
		Entry("a replica is lost", func(b *bench) { delete(b.statuses, "b") }),
		Entry("all replicas are lost", func(b *bench) {
			delete(b.statuses, "b")
			delete(b.statuses, "c")
		}),
		Entry("one replica hears the primary", func(b *bench) {
			for _, endpoint := range []string{"a", "b"} {
				b.set(endpoint, func(s *promotion.Status) { s.ReplicationSilence = time.Minute })
			}
		}),
	)

	DescribeTable("replaces a lost primary once a second VM confirms",
		func(rank int, latest time.Duration) {
			b := newBench(rank)
			delete(b.statuses, "a")
			asked, _ := b.until(time.Second)
			Expect(asked).To(Equal(promotion.ConfirmSuspicion{Endpoint: "a"}))
			b.monitor.HandleConfirmation(b.now, "a", true)
			b.expectFence(promotion.CausePrimaryLost, 2, 0, latest)
			b.monitor.HandleFenceResults(b.now, 2, []promotion.FenceResult{report("b", 1, 4), report("c", 1, 3)})
			promoted, _ := b.until(tick)
			Expect(promoted).To(Equal(promotion.Promote{Endpoint: "b", Term: 2, Claimant: "vm/1"}))
			b.monitor.HandlePromoteResult(b.now, 2, true)
			published, _ := b.until(tick)
			Expect(published).To(Equal(promotion.Publish{Endpoint: "b", Term: 2}))
		},
		Entry("rank 0", 0, 2*tick),
		Entry("rank 2", 2, 700*time.Millisecond),
	)

	DescribeTable("passes over a stalled primary (guards against a write gap without end)",
		func(reports []promotion.FenceResult, chosen string) {
			b := newBench(0)
			for endpoint := range b.statuses {
				b.set(endpoint, func(s *promotion.Status) { s.ReplicationSilence = promotion.DetectionTime })
			}
			b.expectFence(promotion.CauseReplicasStalled, 2, 0, 2*tick)
			b.monitor.HandleFenceResults(b.now, 2, reports)
			promoted, _ := b.until(tick)
			Expect(promoted).To(Equal(promotion.Promote{Endpoint: chosen, Term: 2, Claimant: "vm/1"}))
		},
		Entry("two others", []promotion.FenceResult{report("a", 1, 9), report("b", 1, 5), report("c", 1, 4)}, "b"),
		Entry("one other", []promotion.FenceResult{report("a", 1, 9), report("b", 1, 5)}, "a"),
	)

	It("replaces the next primary too if that stalls (guards against a hold that outlives its cause)", func() {
		b := newBench(0)
		stall := func(s *promotion.Status) { s.ReplicationSilence = promotion.DetectionTime }
		for endpoint := range b.statuses {
			b.set(endpoint, stall)
		}
		b.expectFence(promotion.CauseReplicasStalled, 2, 0, 2*tick)
		b.monitor.HandleFenceResults(b.now, 2, []promotion.FenceResult{report("b", 1, 1), report("c", 1, 1)})
		b.until(tick)
		b.monitor.HandlePromoteResult(b.now, 2, true)
		for endpoint := range b.statuses {
			b.set(endpoint, func(s *promotion.Status) {
				s.FencedTerm = 2
				s.Last = at(2, 2)
				s.Role = routing.RoleReplica
				s.ReplicationSilence = 0
			})
		}
		b.set("b", func(s *promotion.Status) {
			s.Role = routing.RolePrimary
			s.TermStart = at(2, 2)
		})
		b.until(time.Second)
		b.until(time.Second)
		for endpoint := range b.statuses {
			b.set(endpoint, stall)
		}
		b.expectFence(promotion.CauseReplicasStalled, 3, 0, 2*tick)
	})

	It("hands over if others reach the primary (guards against a promotion by a VM that is cut off)", func() {
		b := newBench(0)
		delete(b.statuses, "a")
		for range 3 {
			asked, _ := b.until(time.Second)
			Expect(asked).To(Equal(promotion.ConfirmSuspicion{Endpoint: "a"}))
			b.monitor.HandleConfirmation(b.now, "a", false)
			decision, _ := b.until(time.Second)
			Expect(decision).To(Equal(promotion.DeferToOthers{Endpoint: "a"}))
		}
	})

	It("waits for the claim of another VM (guards against duelling claimants)", func() {
		b := newBench(0)
		delete(b.statuses, "a")
		b.until(time.Second)
		b.monitor.HandleConfirmation(b.now, "a", true)
		for _, endpoint := range []string{"b", "c"} {
			b.set(endpoint, func(s *promotion.Status) { s.FencedTerm = 2 })
		}
		decision, _ := b.until(300 * time.Millisecond)
		Expect(decision).To(Or(Equal(promotion.None{}), BeAssignableToTypeOf(promotion.ConfirmSuspicion{})))
		b.set("b", func(s *promotion.Status) {
			s.Role = routing.RolePrimary
			s.Last = at(2, 2)
			s.TermStart = at(2, 2)
		})
		b.until(tick)
		decision, _ = b.until(time.Second)
		Expect(decision).To(Or(Equal(promotion.None{}), BeAssignableToTypeOf(promotion.Publish{})))
		Expect(b.monitor.IsTermSuperseded(1)).To(BeTrue())
		Expect(b.monitor.IsDurable(1, at(1, 1))).To(BeFalse())
	})

	It("tries a higher term after a refused fence (guards against a claim that never ends)", func() {
		b := newBench(0)
		b.set("a", func(s *promotion.Status) { s.Role = routing.RoleReplica })
		b.expectFence(promotion.CauseNoPrimary, 2, 0, time.Second)
		b.monitor.HandleFenceResults(b.now, 2, []promotion.FenceResult{report("a", 1, 1)})
		b.expectFence(promotion.CauseNoPrimary, 3, 100*time.Millisecond, time.Second)
	})

	It("passes over a primary that no replica hears (guards against promoting it again)", func() {
		b := newBench(0)
		for endpoint := range b.statuses {
			b.set(endpoint, func(s *promotion.Status) { s.ReplicationSilence = promotion.DetectionTime })
		}
		b.expectFence(promotion.CauseReplicasStalled, 2, 0, 2*tick)
		b.monitor.HandleFenceResults(b.now, 2, []promotion.FenceResult{report("a", 1, 9), report("b", 1, 4), report("c", 1, 3)})
		promoted, _ := b.until(tick)
		Expect(promoted).To(Equal(promotion.Promote{Endpoint: "b", Term: 2, Claimant: "vm/1"}))
	})

	DescribeTable("stops new writes when replication stalls (guards against writes that end as unknown)",
		func(healthy bool, fault func(*bench)) {
			b := newBench(0)
			fault(b)
			b.until(1500 * time.Millisecond)
			Expect(b.monitor.WritesHealthy(b.now)).To(Equal(healthy))
		},
		Entry("healthy", true, func(*bench) {}),
		Entry("one replica lost", true, func(b *bench) { delete(b.statuses, "b") }),
		Entry("both replicas lost", false, func(b *bench) {
			delete(b.statuses, "b")
			delete(b.statuses, "c")
		}),
		Entry("both replicas behind", false, func(b *bench) {
			b.set("a", func(s *promotion.Status) { s.Last = at(1, 9) })
		}),
		Entry("no primary", false, func(b *bench) { delete(b.statuses, "a") }),
	)

	It("bounds the age of a replica by the primary's samples (guards against a stale read)", func() {
		b := newBench(0)
		primary := b.statuses["a"]
		start := b.now
		for i := range 5 {
			primary.Last = at(1, uint64(10*i+1))
			Expect(b.monitor.AddSample(start.Add(time.Duration(i)*time.Second), []promotion.Status{primary})).To(BeFalse(), "the primary alone")
			Expect(b.monitor.AddSample(start.Add(time.Duration(i)*time.Second), []promotion.Status{primary, b.statuses["b"]})).To(BeTrue())
		}
		now := start.Add(4 * time.Second)
		Expect(b.monitor.PrimaryConfirmed(now)).To(BeTrue())
		Expect(b.monitor.PrimaryConfirmed(now.Add(promotion.DetectionTime))).To(BeFalse())
		for index, want := range map[uint64]time.Duration{1: 4 * time.Second, 15: 3 * time.Second, 41: 0, 99: 0} {
			age, known := b.monitor.DataAge(now, at(1, index))
			Expect(known).To(BeTrue())
			Expect(age).To(Equal(want), "index %d", index)
		}
		_, known := b.monitor.DataAge(now, at(0, 500))
		Expect(known).To(BeFalse())
	})
})
