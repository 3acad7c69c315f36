package failover_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/proxy/failover"
)

// writeGap is the goal of the design for the write gap of a failover.
const writeGap = 2 * time.Second

func TestFailover(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(10 * time.Second)
	SetDefaultEventuallyPollingInterval(5 * time.Millisecond)
	RunSpecs(t, "failover")
}

var _ = Describe("Part", func() {
	var c *cluster

	BeforeEach(func() {
		c = newCluster()
	})

	DescribeTable("restores writes within the goal (guards against a long write gap)",
		func(ctx SpecContext, fault func(c *cluster, primary int)) {
			primary, term, _ := c.primary(ctx, c.vms[0], 0)
			c.primary(ctx, c.vms[1], 0)
			start := time.Now()
			fault(c, primary)
			_, _, restored := c.primary(ctx, c.vms[1], term)
			gap := restored.Sub(start)
			AddReportEntry("write gap", gap.String())
			Expect(gap).To(BeNumerically("<", writeGap))
		},
		Entry("primary killed", func(c *cluster, primary int) { c.stops[primary]() }),
		Entry("primary frozen", func(c *cluster, primary int) {
			c.cutOff(primary, true)
			c.replicate(primary, "stopped")
		}),
		Entry("primary cut off from all proxies only", func(c *cluster, primary int) { c.cutOff(primary, true) }),
		Entry("primary cut off from its replicas only", func(c *cluster, primary int) { c.replicate(primary, "stopped") }),
		Entry("store out", func(c *cluster, primary int) {
			c.store.mu.Lock()
			c.store.out = true
			c.store.mu.Unlock()
			c.stops[primary]()
		}),
		Entry("two claimants of the first rank at once", func(c *cluster, primary int) {
			c.split.Store(true)
			c.stops[primary]()
		}),
	)

	It("publishes the primary", func(ctx SpecContext) {
		c.primary(ctx, c.vms[0], 0)
		Eventually(c.store.value).Should(ContainSubstring(`"primary":"m`))
	})

	It("survives a claimant that pauses between fence and promote (guards against a late promotion)", func(ctx SpecContext) {
		primary, term, _ := c.primary(ctx, c.vms[0], 0)
		c.primary(ctx, c.vms[1], 0)
		first := c.claimant()
		other := c.vms[0]
		if first == other {
			other = c.vms[1]
		}
		first.pausePromote.set(true)
		start := time.Now()
		c.stops[primary]()
		_, next, restored := c.primary(ctx, other, term)
		AddReportEntry("write gap", restored.Sub(start).String())
		Expect(restored.Sub(start)).To(BeNumerically("<", writeGap))
		first.pausePromote.set(false)
		Consistently(func() uint64 {
			view, _ := other.part.View("flock")
			return view.Term
		}, 500*time.Millisecond).Should(Equal(next))
	})

	It("leaves a primary alone that only this VM cannot reach (guards against a needless promotion)", func(ctx SpecContext) {
		primary, term, _ := c.primary(ctx, c.vms[0], 0)
		c.primary(ctx, c.vms[1], 0)
		c.claimant().links[c.members[primary]].set(true)
		Consistently(func() uint64 {
			return max(c.term(0), c.term(1))
		}, 2*time.Second).Should(Equal(term))
	})

	It("replaces a leaving primary (guards against work on an endpoint that goes)", func(ctx SpecContext) {
		primary, term, _ := c.primary(ctx, c.vms[0], 0)
		c.leave(primary)
		next, _, _ := c.primary(ctx, c.vms[0], term)
		Expect(next).NotTo(Equal(primary))
	})

	It("resolves unknown writes (guards against a false not run)", func(ctx SpecContext) {
		v := c.vms[0]
		primary, term, _ := c.primary(ctx, v, 0)
		position, err := c.put(ctx, primary, term, "kept")
		Expect(err).NotTo(HaveOccurred())
		Expect(v.part.WaitDurable(ctx, "flock", position)).To(Succeed())
		c.replicate(primary, "stopped")
		lost, err := c.put(ctx, primary, term, "lost")
		Expect(err).NotTo(HaveOccurred())
		short, endShort := context.WithTimeout(ctx, 50*time.Millisecond)
		defer endShort()
		expectRefusal(v.part.WaitDurable(short, "flock", lost), refusal.Unknown, refusal.DeadlineExceeded)
		Expect(v.part.Resolve(short, "flock", "lost", term).Outcome).To(Equal(refusal.Unknown))

		long, cancel := context.WithTimeout(ctx, 2*writeGap)
		defer cancel()
		expectRefusal(v.part.WaitDurable(long, "flock", lost), refusal.Unknown, refusal.NotPrimary)
		Expect(v.part.Resolve(long, "flock", "lost", term).Outcome).To(Equal(refusal.NotRun))
		done := v.part.Resolve(long, "flock", "kept", term)
		Expect(done.Outcome).To(Equal(refusal.Done))
		Expect(done.Position.Term).To(BeNumerically(">", term))
		Expect(v.part.LookUpOutcome(long, "flock", "never sent").Outcome).To(Equal(refusal.Unknown))
	})

	It("observes replicas and other VMs' databases", func(ctx SpecContext) {
		v := c.vms[0]
		primary, term, _ := c.primary(ctx, v, 0)
		position, err := c.put(ctx, primary, term, "k")
		Expect(err).NotTo(HaveOccurred())
		for _, endpoint := range []string{"m0", "m1", "m2"} {
			Expect(v.part.WaitApplied(ctx, endpoint, position)).To(Succeed())
		}
		Expect(v.part.WritesHealthy("flock")).To(BeTrue())
		Eventually(func() bool { return v.part.PrimaryConfirmed("flock") }).Should(BeTrue())
		Expect(v.part.ConfirmPrimary(ctx, "flock")).To(BeTrue())
		Eventually(func(g Gomega) {
			view, _ := v.part.View("flock")
			for _, m := range view.Members {
				g.Expect(m.Reachable && m.AgeKnown).To(BeTrue())
				g.Expect(m.Age).To(BeNumerically("<", time.Second))
			}
		}).Should(Succeed())
		short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		position.Index += 100
		expectRefusal(v.part.WaitApplied(short, "m0", position), refusal.NotRun, refusal.ReplicaBehind)

		c.live.Store(&[]routing.VM{c.vms[1].self})
		moved := time.Now()
		// Commits of transactions that are still open here need the watch.
		Consistently(func() bool { return v.part.WritesHealthy("flock") }, handoverTime/2).Should(BeTrue())
		Eventually(func(g Gomega) {
			g.Expect(v.part.Dump().(failover.Dump).Databases).To(BeEmpty())
			view, ok := v.part.View("flock")
			g.Expect(ok).To(BeTrue())
			g.Expect(view.Members).To(HaveLen(3))
		}).WithTimeout(10 * handoverTime).Should(Succeed())
		Expect(time.Since(moved)).To(BeNumerically(">=", handoverTime))
		expectRefusal(v.part.WaitDurable(ctx, "flock", position), refusal.Unknown, refusal.NotHome)
	})

	It("watches a database that it attends (guards against writes that wait until a lost home is dropped)", func() {
		v := c.vms[0]
		c.live.Store(&[]routing.VM{c.vms[1].self})
		Eventually(func() bool { return v.part.WritesHealthy("flock") }).WithTimeout(10 * handoverTime).Should(BeFalse())
		Consistently(func() bool { return v.part.WritesHealthy("flock") }, 200*time.Millisecond).Should(BeFalse())
		v.part.WatchTemporarily("flock")
		Eventually(func() bool { return v.part.WritesHealthy("flock") }).Should(BeTrue())
	})
})

// handoverTime is short, so that a test sees the watch end.
const handoverTime = 500 * time.Millisecond

// expectRefusal guards against a wrong outcome or reason.
func expectRefusal(err error, outcome refusal.Outcome, reason refusal.Reason) {
	GinkgoHelper()
	refused, ok := refusal.As(err)
	Expect(ok).To(BeTrue(), "%v", err)
	Expect(refused.Outcome).To(Equal(outcome))
	Expect(refused.Reason).To(Equal(reason))
}
