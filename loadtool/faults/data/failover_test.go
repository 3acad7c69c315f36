package data_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/client"
	"amaranthdock.dev/loadtool/harness"
)

const (
	// maxWriteGap is the documented target for the write gap of a failover.
	maxWriteGap = 2 * time.Second
	// settleTime is how long the load runs before a fault and after each later step.
	settleTime = 500 * time.Millisecond
)

// memberFault injects a fault into a primary.
type memberFault func(d *deployment, primary *harness.Member)

func killMember(_ *deployment, primary *harness.Member) {
	GinkgoHelper()
	Expect(primary.Kill()).To(Succeed())
}

func pauseMember(_ *deployment, primary *harness.Member) {
	GinkgoHelper()
	Expect(primary.Pause()).To(Succeed())
}

func isolateMember(d *deployment, primary *harness.Member) {
	d.IsolateMember(primary)
}

// partitionToReplicas blocks the data from the primary to the replicas.
func partitionToReplicas(d *deployment, primary *harness.Member) {
	for _, m := range d.replicas() {
		d.Network.PartitionOneWay(primary.Endpoint, m.Endpoint)
	}
}

// partitionFromReplicas blocks the data from the replicas to the primary.
func partitionFromReplicas(d *deployment, primary *harness.Member) {
	for _, m := range d.replicas() {
		d.Network.PartitionOneWay(m.Endpoint, primary.Endpoint)
	}
}

func partitionBothWays(d *deployment, primary *harness.Member) {
	for _, m := range d.replicas() {
		d.Network.Partition(m.Endpoint, primary.Endpoint)
	}
}

var _ = Describe("Failover of a primary", Ordered, ContinueOnFailure, func() {
	var d *deployment

	BeforeAll(func(ctx SpecContext) {
		d = startDeployment(context.WithoutCancel(ctx), 50, singleDatabaseSpec())
	})

	AfterEach(func(ctx SpecContext) { d.finishCase(ctx) })

	// Guards against an acknowledged write that only the replaced primary holds
	// (G2), a write that ran but is reported as not run (G9), a write that runs
	// twice (G10), a stale read (G1) and a write gap above the target. If no VM
	// reaches the primary, writes must wait for the new primary and not be refused.
	DescribeTable("under write load from several sessions", func(ctx SpecContext, fault memberFault, storeFaults string, noRefusals bool) {
		d.setStoreFaults(ctx, storeFaults)
		l := d.startLoad(ctx)
		d.sleep(ctx, settleTime)
		oldPrimary := d.primary()
		fault(d, oldPrimary)
		d.waitReplaced(ctx, oldPrimary)
		d.sleep(ctx, settleTime)
		d.Network.Heal()
		d.ensureRunning(oldPrimary.Process)
		d.sleep(ctx, settleTime)
		l.finish()
		d.restore(ctx)
		result := d.expectWritesMatchLogs()
		l.expectNoStaleReads()
		d.reportWriteGap(l)
		GinkgoWriter.Printf("so far %d acknowledged, %d not run, %d unknown\n", result.Acknowledged, result.NotRun, result.Unknown)
		Expect(l.writeGap()).To(BeNumerically("<", maxWriteGap))
		if noRefusals {
			for reason := range l.failureReasons() {
				Expect(reason).To(HavePrefix(client.Unknown.String()), "reason of a refused write")
			}
		}
	},
		Entry("killed, store up", killMember, storeUp, true),
		Entry("killed, store down", killMember, storeDown, true),
		Entry("paused, store up", pauseMember, storeUp, true),
		Entry("paused, store down", pauseMember, storeDown, true),
		Entry("isolated, store up", isolateMember, storeUp, true),
		Entry("isolated, store down", isolateMember, storeDown, true),
		Entry("cannot send to the replicas, store up", partitionToReplicas, storeUp, false),
		Entry("cannot send to the replicas, store down", partitionToReplicas, storeDown, false),
		Entry("cannot receive from the replicas, store up", partitionFromReplicas, storeUp, false),
		Entry("cannot receive from the replicas, store down", partitionFromReplicas, storeDown, false),
		Entry("partitioned from the replicas, store up", partitionBothWays, storeUp, false),
		Entry("partitioned from the replicas, store down", partitionBothWays, storeDown, false),
	)
})
