package scheduling_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/scheduling"
)

const (
	burstStart = 3 * time.Second
	burstEnd   = 13 * time.Second
	// every stands for all workspaces or kinds.
	every = -1
)

// burst multiplies the rates of a kind and a workspace until the end.
func burst(workspace, kind int, factor float64, end time.Duration) load {
	return load{
		duration: end + 7*time.Second,
		phases: []phase{{
			from:  burstStart,
			until: end,
			factor: func(w, k int) float64 {
				if (workspace == every || w == workspace) && (kind == every || k == kind) {
					return factor
				}
				return 1
			},
		}},
	}
}

// The replays compare with WeightedFair, which the queue uses without the setting. At the
// usual rates the load is 75% of the capacity.
var _ = Describe("MostUrgentFirst in a replayed load", func() {
	play := func(l load) (before, after *replay) {
		before, after = replayLoad(scheduling.WeightedFair{}, l), replayLoad(scheduling.MostUrgentFirst{}, l)
		for name, r := range map[string]*replay{"before": before, "after": after} {
			fmt.Fprintf(GinkgoWriter, "%s: utility by kind %.3f %.3f %.3f, worst workspace %.3f, goodput %.1f s, longest waits %v, refused in a second %d, last refused %v, displaced %d\n",
				name, r.kinds[0].share(), r.kinds[1].share(), r.kinds[2].share(), r.worstWorkspace(), r.work.Seconds(), r.longest, r.mostRefusals(), r.lastRefused, r.displaced)
		}
		return before, after
	}

	It("keeps the urgent kinds on time in a burst of the least urgent one", func() {
		// Guards against urgent statements, above all of the largest workspace, that wait
		// behind the least urgent ones of the others, and against starving the latter.
		before, after := play(burst(every, 2, 4, burstEnd))
		Expect(before.kinds[0].share()).To(BeNumerically("<", 0.98))
		Expect(before.worstWorkspace()).To(BeNumerically("<", 0.85))
		Expect(after.kinds[0].share()).To(BeNumerically(">", 0.99))
		Expect(after.kinds[1].share()).To(BeNumerically(">", 0.99))
		Expect(after.kinds[2].share()).To(BeNumerically(">", 0.98*before.kinds[2].share()))
		Expect(after.worstWorkspace()).To(BeNumerically(">", 0.92))
		Expect(after.work).To(BeNumerically(">", before.work))
	})

	It("serves the largest workspace in a burst of the most urgent kind", func() {
		// Guards against a workspace whose urgent statements have no share left because of its
		// less urgent ones.
		before, after := play(burst(every, 0, 4, burstEnd))
		Expect(before.worstWorkspace()).To(BeNumerically("<", 0.35))
		Expect(after.worstWorkspace()).To(BeNumerically(">", 0.6))
		Expect(after.kinds[0].share()).To(BeNumerically(">", before.kinds[0].share()+0.05))
	})

	It("gives a workspace that marks everything as urgent nothing beyond its share", func() {
		// Guards against a workspace at 6 times its rate that crowds out the less urgent
		// statements of the others.
		l := burst(0, every, 6, burstEnd)
		l.priority = func(workspace, priority int) int {
			if workspace == 0 {
				return 0
			}
			return priority
		}
		before, after := play(l)
		Expect(after.workspaces[0].share()).To(BeNumerically("<=", before.workspaces[0].share()))
		for i := 1; i < len(after.workspaces); i++ {
			Expect(after.workspaces[i].share()).To(BeNumerically(">", 0.99))
		}
	})

	It("is back to normal after a burst of three times the capacity with callers that retry", func() {
		// Guards against retries that double the burst, and that keep the endpoint full after
		// it. Urgent kinds are normal again within the time limit of a statement (1.2 s), and the
		// least urgent within the time that a caller tries an operation (6 s).
		end := burstStart + 3*time.Second
		before, after := play(burst(every, every, 4, end))
		Expect(before.mostRefusals()).To(BeNumerically(">", 2*after.mostRefusals()))
		Expect(before.worstWorkspace()).To(BeNumerically("<", 0.6))
		Expect(after.worstWorkspace()).To(BeNumerically(">", 0.7))
		Expect(after.lastRefused[0]).To(BeNumerically("<", end+1200*time.Millisecond))
		Expect(after.lastRefused[1]).To(BeNumerically("<", end+1200*time.Millisecond))
		Expect(after.lastRefused[2]).To(BeNumerically("<", end+operationTimeout))
	})
})

var _ = Describe("MostUrgentFirst", func() {
	var f *fixture

	BeforeEach(func() {
		f = newFixture(scheduling.Config{
			Policy:  scheduling.MostUrgentFirst{},
			Slots:   1,
			MaxWait: 20 * service,
		})
	})

	arrive := func(subject string, priority int, target, timeout time.Duration) scheduling.Decision {
		f.next++
		item := scheduling.Item{
			ID:        f.next,
			Subject:   subject,
			Priority:  priority,
			ArrivedAt: f.now,
			Deadline:  f.now.Add(timeout),
			Spread:    0.5,
		}
		if target != 0 {
			item.Target = f.now.Add(target)
		}
		return f.Enqueue(f.now, item)
	}

	It("orders the statements of all workspaces by priority", func() {
		// Guards against urgent statements of one workspace behind less urgent ones of another.
		arrive("a", 2, time.Second, time.Second)
		arrive("a", 2, time.Second, time.Second)
		arrive("b", 0, time.Second, time.Second)
		arrive("c", 1, time.Second, time.Second)
		f.expectOrder(3, 4, 1, 2)
	})

	It("serves statements that have missed their target after those that can meet it", func() {
		// Guards against a late statement that makes others late, too.
		arrive("a", 0, -time.Millisecond, time.Second)
		arrive("b", 2, time.Second, time.Second)
		f.expectOrder(2, 1)
	})

	It("lets an urgent statement that can wait yield to one that would miss its target", func() {
		// Guards against counting priority alone.
		arrive("a", 2, 2*service, time.Second)
		arrive("b", 0, time.Second, time.Second)
		arrive("b", 0, time.Second, time.Second)
		f.now = f.now.Add(service)
		f.expectOrder(1, 2, 3)
	})

	It("starts a statement that has waited for half of its time limit, within a fifth of the service", func() {
		// Guards against starving the least urgent work, and against starved work that starves
		// the urgent.
		for range 4 {
			arrive("a", 2, 0, time.Second)
		}
		f.now = f.now.Add(500 * time.Millisecond)
		starved := 0
		for range 10 {
			arrive("b", 0, time.Second, time.Second)
			run, ok := f.Next(f.now).(scheduling.Run)
			Expect(ok).To(BeTrue())
			if run.Item.Priority == 2 {
				starved++
			}
			f.now = f.now.Add(service)
			f.Complete(f.now, run.Item.ID)
		}
		Expect(starved).To(Equal(2))
	})

	DescribeTable("admits by the time that the statement itself has",
		// Guards against one limit for all: with 200 ms, a statement with a target of 150 ms was
		// admitted behind as much work, and one with a target of 2 s was refused.
		func(backlog int, target, timeout time.Duration, want scheduling.Decision) {
			for range backlog {
				arrive("a", 0, time.Hour, time.Hour)
				f.Next(f.now)
			}
			decision := arrive("b", 1, target, timeout)
			if refused, ok := decision.(scheduling.Refused); ok {
				Expect(refused.RetryAfter).To(BeNumerically(">=", 10*time.Millisecond))
				decision = scheduling.Refused{Reason: refused.Reason}
			}
			Expect(decision).To(Equal(want))
		},
		Entry("much time", 100, 2*time.Second, 2*time.Second, scheduling.Enqueued{}),
		Entry("short target", 15, 150*time.Millisecond, time.Second, scheduling.Refused{Reason: refusal.Overloaded}),
		Entry("short time limit", 15, 2*time.Second, 150*time.Millisecond, scheduling.Refused{Reason: refusal.DeadlineTooShort}),
		Entry("missed target", 45, -time.Second, time.Second, scheduling.Enqueued{}),
		Entry("missed target and a long queue", 55, -time.Second, time.Second, scheduling.Refused{Reason: refusal.Overloaded}),
	)

	It("orders transaction steps beyond their lead by urgency", func() {
		// Guards against steps that wait behind all statements once their workspace leads, and
		// against a workspace that takes more than its share with steps.
		f.priority = 2
		f.flood("a", 100)
		f.priority = 0
		for range 200 {
			f.arrive("b", 1, time.Hour, true)
		}
		served, _ := f.serve(80)
		Expect(served["b"]).To(Equal(80))
		f.serve(40)
		served, _ = f.serve(80)
		Expect(served["a"]).To(BeNumerically("~", 40, 5))
	})

	It("admits a transaction step whose target is near", func() {
		// Guards against rolling a transaction back because of a short wait near its target.
		for range 5 {
			f.arrive("a", 1, time.Hour, true)
			f.Next(f.now)
		}
		f.target = f.now.Add(2 * service)
		Expect(f.arrive("b", 1, time.Second, true)).To(Equal(scheduling.Enqueued{}))
	})

	It("displaces waiting statements of lower urgency that more urgent ones leave no time", func() {
		// Guards against statements that wait in vain until their time limit.
		for range 70 {
			arrive("a", 2, time.Second, time.Second)
		}
		run := f.Next(f.now).(scheduling.Run)
		for range 40 {
			Expect(arrive("b", 0, time.Second, time.Second)).To(Equal(scheduling.Enqueued{}))
		}
		displaced := 0
		for {
			d, ok := f.Next(f.now).(scheduling.Displaced)
			if !ok {
				break
			}
			displaced++
			Expect(d.Item.Priority).To(Equal(2))
			Expect(d.RetryAfter).To(BeNumerically(">", 0))
		}
		Expect(displaced).To(Equal(10))
		f.Complete(f.now.Add(service), run.Item.ID)
		Expect(f.Next(f.now.Add(service))).To(BeAssignableToTypeOf(scheduling.Run{}))
	})

	It("tells refused callers to return one after the other, the urgent ones first", func() {
		// Guards against callers that were refused together and return together.
		for range 200 {
			arrive("a", 0, time.Hour, time.Hour)
		}
		retryAfter := func(priority int) time.Duration {
			return arrive("a", priority, 500*time.Millisecond, time.Second).(scheduling.Refused).RetryAfter
		}
		less, urgent, nextUrgent, nextLess := retryAfter(2), retryAfter(0), retryAfter(0), retryAfter(2)
		Expect(urgent).To(BeNumerically("<=", less))
		Expect(nextUrgent).To(BeNumerically(">", urgent))
		Expect(nextLess).To(BeNumerically(">", nextUrgent))
		for range 200 {
			Expect(retryAfter(2)).To(BeNumerically("<=", 2*time.Second))
		}
	})

	It("grants permits by urgency, and each fourth to a starved item", func() {
		// Guards against transactions that wait for a connection in the order of arrival.
		now := time.Unix(0, 0)
		items := []scheduling.Item{
			{ArrivedAt: now.Add(-time.Second), Deadline: now.Add(500 * time.Millisecond), Priority: 2},
			{ArrivedAt: now, Deadline: now.Add(time.Second), Priority: 1},
			{ArrivedAt: now, Deadline: now.Add(time.Second), Priority: 0},
		}
		Expect(scheduling.NextPermit(now, 1, items)).To(Equal(2))
		Expect(scheduling.NextPermit(now, 4, items)).To(Equal(0))
	})
})
