package takeover_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/takeover"
)

// resumption is an intent to replace "p", the primary of term 3, of which all endpoints have the
// whole log and respond.
func resumption() takeover.Resumption {
	report := func(id string) takeover.Report {
		return takeover.Report{
			Candidate: takeover.Candidate{
				ID: id,
				ReceivedPosition: logpos.Position{
					Term:  3,
					Index: 9,
				},
			},
			Term: 3,
		}
	}
	return takeover.Resumption{
		Intent: takeover.Intent{
			Primary: "p",
			Term:    3,
			Step:    takeover.StepDown,
		},
		Reports: []takeover.Report{report("p"), report("a"), report("b")},
	}
}

var _ = Describe("an intent of a lost leader", func() {
	type change = func(*takeover.Resumption)
	promoting := func(r *takeover.Resumption) { r.Intent.Step, r.Intent.Successor = takeover.Promote, "b" }
	both := func(changes ...change) change {
		return func(r *takeover.Resumption) {
			for _, c := range changes {
				c(r)
			}
		}
	}
	without := func(i int) change {
		return func(r *takeover.Resumption) { r.Reports = append(r.Reports[:i:i], r.Reports[i+1:]...) }
	}

	DescribeTable("is carried on, left or discarded",
		// Guards against a database without a primary for seconds, against a second promotion
		// beside one that may take effect, and against an intent that outlives its replacement.
		func(c change, expected takeover.ResumeDecision) {
			r := resumption()
			c(&r)
			decided := r.Decide()
			Expect(decided).To(BeAssignableToTypeOf(expected))
			if promoted, ok := expected.(takeover.PromoteSuccessor); ok {
				Expect(decided.(takeover.PromoteSuccessor).Successor.ID).To(Equal(promoted.Successor.ID))
			}
		},
		Entry("the primary has stepped down", func(*takeover.Resumption) {}, promote("a")),
		Entry("it still leads", func(r *takeover.Resumption) { r.Reports[0].IsPrimary = true }, takeover.UseRegularRules{}),
		Entry("it does not respond", without(0), takeover.UseRegularRules{}),
		Entry("it has restarted and lost its log", func(r *takeover.Resumption) { r.Reports[0].Restarted = true }, takeover.UseRegularRules{}),
		Entry("no other has its whole log", both(without(2), func(r *takeover.Resumption) { r.Reports[1].ReceivedPosition.Index = 8 }),
			takeover.AwaitSuccessor{}),
		Entry("an older primary does not know of it", both(without(2), func(r *takeover.Resumption) { r.Reports[1].IsPrimary, r.Reports[1].Term = true, 2 }),
			takeover.AwaitSuccessor{}),
		Entry("another leads", func(r *takeover.Resumption) { r.Reports[2].IsPrimary, r.Reports[2].Term = true, 4 }, takeover.DiscardIntent{}),
		Entry("it leads again", func(r *takeover.Resumption) { r.Reports[0].IsPrimary, r.Reports[0].Term = true, 4 }, takeover.DiscardIntent{}),
		Entry("another has led since and is lost", both(without(2), func(r *takeover.Resumption) { r.Reports[1].ReceivedPosition.Term = 4 }),
			takeover.DiscardIntent{}),
		Entry("a promotion was requested since", func(r *takeover.Resumption) { r.Superseded = true }, takeover.DiscardIntent{}),
		Entry("the promotion of an endpoint may have been requested", promoting, promote("b")),
		Entry("that endpoint does not respond", both(promoting, without(2)), takeover.UseRegularRules{}),
		Entry("that endpoint has restarted", both(promoting, func(r *takeover.Resumption) { r.Reports[2].Restarted = true }), takeover.UseRegularRules{}),
		Entry("that endpoint lacks a part of the log", both(promoting, func(r *takeover.Resumption) { r.Reports[2].ReceivedPosition.Index = 8 }),
			takeover.UseRegularRules{}),
	)

	// leads makes an endpoint the primary of a term.
	leads := func(i int, term uint64) change {
		return func(r *takeover.Resumption) { r.Reports[i].IsPrimary, r.Reports[i].Term = true, term }
	}
	contested := func(r *takeover.Resumption) { r.Intent.Contested = true }
	requesting := func(r *takeover.Resumption) { r.Intent.Step, r.Intent.Successor = takeover.Request, "b" }

	DescribeTable("is superseded if its promotion request may still take effect",
		// Guards against a late promotion, and against the promotion of an endpoint that does not know yet
		// that it was replaced.
		func(c change, expected takeover.ResumeDecision) {
			r := resumption()
			r.KnownReplicas, r.SyncReplicas = 2, 1
			requesting(&r)
			c(&r)
			Expect(r.Decide()).To(BeAssignableToTypeOf(expected))
		},
		Entry("the primary leads again", leads(0, 3), takeover.ConfirmPrimary{}),
		Entry("it leads again, and the promotion was planned", both(promoting, leads(0, 3)), takeover.ConfirmPrimary{}),
		Entry("the successor leads", leads(2, 4), takeover.DiscardIntent{}),
		Entry("it may lead because of an earlier request", both(contested, leads(2, 4)), takeover.ConfirmPrimary{}),
		Entry("the target of an earlier request leads", both(contested, leads(1, 4)), takeover.ConfirmPrimary{}),
		Entry("no endpoint leads", func(*takeover.Resumption) {}, takeover.UseRegularRules{}),
		Entry("the successor has led and is lost", both(without(2), func(r *takeover.Resumption) { r.Reports[1].ReceivedPosition.Term = 4 }), takeover.DiscardIntent{}),
		Entry("another may have led", both(contested, func(r *takeover.Resumption) { r.Reports[1].ReceivedPosition.Term = 4 }), takeover.UseRegularRules{}),
		Entry("the successor does not respond and may lead", both(leads(0, 3), without(2)), takeover.UseRegularRules{}),
		Entry("the primary was replaced and does not know it", both(leads(0, 3), func(r *takeover.Resumption) { r.Reports[1].ReceivedPosition.Term = 4 }),
			takeover.UseRegularRules{}),
		Entry("the store has been away", both(both(contested, leads(0, 3)), func(r *takeover.Resumption) { r.MayMissReplicas = true }), takeover.UseRegularRules{}),
		Entry("a step down after an unknown request", both(both(contested, leads(0, 3)), func(r *takeover.Resumption) { r.Intent.Step = takeover.StepDown }),
			takeover.ConfirmPrimary{}),
	)
})

func promote(id string) takeover.PromoteSuccessor {
	return takeover.PromoteSuccessor{Successor: takeover.Candidate{ID: id}}
}

var _ = Describe("planned replacements by leaders that are lost", func() {
	for syncReplicas, name := range []string{"without synchronous replicas", "with a synchronous replica"} {
		It("lose no acknowledged commit and go on at once, in all short schedules "+name, func() {
			// Guards against a promotion that drops a commit which an endpoint still has, in any
			// order of the steps of leaders, their loss, late commands and restarts.
			seen := map[schedule]bool{}
			states := []schedule{newSchedule(syncReplicas)}
			for depth := 0; depth < maxScheduleLength && len(states) > 0; depth++ {
				var following []schedule
				for _, s := range states {
					for _, n := range s.next() {
						if !seen[n] {
							seen[n] = true
							n.check()
							following = append(following, n)
						}
					}
				}
				states = following
			}
			AddReportEntry("states", len(seen))
			Expect(states).To(BeEmpty(), "schedules are not searched to their end")
			Expect(len(seen)).To(BeNumerically(">", 10_000))
		})
	}
})
