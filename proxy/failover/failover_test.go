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

// writeGap is the design goal for the longest time without writes in a failover.
const writeGap = 2 * time.Second

func TestFailover(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(10 * time.Second)
	SetDefaultEventuallyPollingInterval(5 * time.Millisecond)
	RunSpecs(t, "failover")
}

var _ = Describe("Manager", func() {
	var c *cluster

	BeforeEach(func() {
		c = newCluster()
	})

	DescribeTable("restores writes within the goal (guards against a long write gap)",
		func(ctx SpecContext, fault func(c *cluster, primary int)) {
			primary, term, _ := c.waitForPrimary(ctx, c.vms[0], 0)
			c.waitForPrimary(ctx, c.vms[1], 0)
			start := time.Now()
			fault(c, primary)
			_, _, restored := c.waitForPrimary(ctx, c.vms[1], term)
			gap := restored.Sub(start)
			AddReportEntry("write gap", gap.String())
			Expect(gap).To(BeNumerically("<", writeGap))
		},
		Entry("primary killed", func(c *cluster, primary int) { c.stopMember[primary]() }),
		Entry("primary frozen", func(c *cluster, primary int) {
			c.setBlocked(primary, true)
			c.setReplication(primary, "stopped")
		}),
		Entry("primary cut off from all proxies only", func(c *cluster, primary int) { c.setBlocked(primary, true) }),
		Entry("primary cut off from its replicas only", func(c *cluster, primary int) { c.setReplication(primary, "stopped") }),
		Entry("store unavailable", func(c *cluster, primary int) {
			c.store.mu.Lock()
			c.store.unavailable = true
			c.store.mu.Unlock()
			c.stopMember[primary]()
		}),
		Entry("two claimants of the first rank at once", func(c *cluster, primary int) {
			c.splitMembership.Store(true)
			c.stopMember[primary]()
		}),
	)

	It("publishes the primary", func(ctx SpecContext) {
		c.waitForPrimary(ctx, c.vms[0], 0)
		Eventually(c.store.value).Should(ContainSubstring(`"primary":"m`))
	})

	It("survives a claimant that pauses between fence and promote (guards against a late promotion)", func(ctx SpecContext) {
		primary, term, _ := c.waitForPrimary(ctx, c.vms[0], 0)
		c.waitForPrimary(ctx, c.vms[1], 0)
		first := c.firstClaimant()
		other := c.vms[0]
		if first == other {
			other = c.vms[1]
		}
		first.promoteLink.setBlocked(true)
		start := time.Now()
		c.stopMember[primary]()
		_, next, restored := c.waitForPrimary(ctx, other, term)
		AddReportEntry("write gap", restored.Sub(start).String())
		Expect(restored.Sub(start)).To(BeNumerically("<", writeGap))
		first.promoteLink.setBlocked(false)
		Consistently(func() uint64 {
			view, _ := other.manager.View("flock")
			return view.Term
		}, 500*time.Millisecond).Should(Equal(next))
	})

	It("keeps a primary that only one VM cannot reach (guards against a needless promotion)", func(ctx SpecContext) {
		primary, term, _ := c.waitForPrimary(ctx, c.vms[0], 0)
		c.waitForPrimary(ctx, c.vms[1], 0)
		c.firstClaimant().links[c.members[primary]].setBlocked(true)
		Consistently(func() uint64 {
			return max(c.term(0), c.term(1))
		}, 2*time.Second).Should(Equal(term))
	})

	It("replaces a leaving primary (guards against serving writes on an endpoint that is being removed)", func(ctx SpecContext) {
		primary, term, _ := c.waitForPrimary(ctx, c.vms[0], 0)
		c.markLeaving(primary)
		next, _, _ := c.waitForPrimary(ctx, c.vms[0], term)
		Expect(next).NotTo(Equal(primary))
	})

	It("resolves writes with an unknown outcome (guards against reporting an executed write as not run)", func(ctx SpecContext) {
		v := c.vms[0]
		primary, term, _ := c.waitForPrimary(ctx, v, 0)
		position, err := c.write(ctx, primary, term, "kept")
		Expect(err).NotTo(HaveOccurred())
		Expect(v.manager.WaitDurable(ctx, "flock", position)).To(Succeed())
		c.setReplication(primary, "stopped")
		lost, err := c.write(ctx, primary, term, "lost")
		Expect(err).NotTo(HaveOccurred())
		short, endShort := context.WithTimeout(ctx, 50*time.Millisecond)
		defer endShort()
		expectRefusal(v.manager.WaitDurable(short, "flock", lost), refusal.Unknown, refusal.DeadlineExceeded)
		Expect(v.manager.Resolve(short, "flock", "lost", term).Outcome).To(Equal(refusal.Unknown))

		long, cancel := context.WithTimeout(ctx, 2*writeGap)
		defer cancel()
		expectRefusal(v.manager.WaitDurable(long, "flock", lost), refusal.Unknown, refusal.NotPrimary)
		Expect(v.manager.Resolve(long, "flock", "lost", term).Outcome).To(Equal(refusal.NotRun))
		done := v.manager.Resolve(long, "flock", "kept", term)
		Expect(done.Outcome).To(Equal(refusal.Done))
		Expect(done.Position.Term).To(BeNumerically(">", term))
		Expect(v.manager.LookUpOutcome(long, "flock", "never sent").Outcome).To(Equal(refusal.Unknown))
	})

	It("reports the state of replicas and of databases that other VMs watch", func(ctx SpecContext) {
		// Guards against a watch that ends while transactions are still open on this VM,
		// and against a view that is lost when another VM takes over the watch.
		v := c.vms[0]
		primary, term, _ := c.waitForPrimary(ctx, v, 0)
		position, err := c.write(ctx, primary, term, "k")
		Expect(err).NotTo(HaveOccurred())
		for _, endpoint := range []string{"m0", "m1", "m2"} {
			Expect(v.manager.WaitApplied(ctx, endpoint, position)).To(Succeed())
		}
		Expect(v.manager.WritesHealthy("flock")).To(BeTrue())
		Eventually(func() bool { return v.manager.PrimaryConfirmed("flock") }).Should(BeTrue())
		Expect(v.manager.ConfirmPrimary(ctx, "flock")).To(BeTrue())
		Eventually(func(g Gomega) {
			view, _ := v.manager.View("flock")
			for _, m := range view.Members {
				g.Expect(m.Reachable && m.AgeKnown).To(BeTrue())
				g.Expect(m.Age).To(BeNumerically("<", time.Second))
			}
		}).Should(Succeed())
		short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		position.Index += 100
		expectRefusal(v.manager.WaitApplied(short, "m0", position), refusal.NotRun, refusal.ReplicaBehind)

		c.live.Store(&[]routing.VM{c.vms[1].self})
		moved := time.Now()
		// Commits of transactions that are still open on this VM need the watch.
		Consistently(func() bool { return v.manager.WritesHealthy("flock") }, handoverGracePeriod/2).Should(BeTrue())
		Eventually(func(g Gomega) {
			g.Expect(v.manager.Dump().(failover.Dump).Databases).To(BeEmpty())
			view, ok := v.manager.View("flock")
			g.Expect(ok).To(BeTrue())
			g.Expect(view.Members).To(HaveLen(3))
		}).WithTimeout(10 * handoverGracePeriod).Should(Succeed())
		Expect(time.Since(moved)).To(BeNumerically(">=", handoverGracePeriod))
		expectRefusal(v.manager.WaitDurable(ctx, "flock", position), refusal.Unknown, refusal.NotHome)
	})

	It("watches a database temporarily on request (guards against writes that wait until a lost home is removed)", func() {
		v := c.vms[0]
		c.live.Store(&[]routing.VM{c.vms[1].self})
		Eventually(func() bool { return v.manager.WritesHealthy("flock") }).WithTimeout(10 * handoverGracePeriod).Should(BeFalse())
		Consistently(func() bool { return v.manager.WritesHealthy("flock") }, 200*time.Millisecond).Should(BeFalse())
		v.manager.WatchTemporarily("flock")
		Eventually(func() bool { return v.manager.WritesHealthy("flock") }).Should(BeTrue())
	})
})

// handoverGracePeriod is short, so that the test can wait for the end of the watch.
const handoverGracePeriod = 500 * time.Millisecond

// expectRefusal checks that an error is a refusal with the given outcome and reason. It
// guards against a wrong outcome or reason.
func expectRefusal(err error, outcome refusal.Outcome, reason refusal.Reason) {
	GinkgoHelper()
	refused, ok := refusal.As(err)
	Expect(ok).To(BeTrue(), "%v", err)
	Expect(refused.Outcome).To(Equal(outcome))
	Expect(refused.Reason).To(Equal(reason))
}
