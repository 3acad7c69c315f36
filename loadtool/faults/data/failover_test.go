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
	// gapBound is the stated target for the write gap of a failover.
	gapBound = 2 * time.Second
	// warmUp of the load before a fault and after its end.
	warmUp = 500 * time.Millisecond
)

// memberFault is something that happens to a primary.
type memberFault func(d *data, primary *harness.Member)

func killMember(_ *data, primary *harness.Member) {
	GinkgoHelper()
	Expect(primary.Kill()).To(Succeed())
}

func pauseMember(_ *data, primary *harness.Member) {
	GinkgoHelper()
	Expect(primary.Pause()).To(Succeed())
}

func isolateMember(d *data, primary *harness.Member) {
	d.IsolateMember(primary)
}

func cutToMembers(d *data, primary *harness.Member) {
	for _, m := range d.replicas() {
		d.Network.PartitionOneWay(primary.Endpoint, m.Endpoint)
	}
}

func cutFromMembers(d *data, primary *harness.Member) {
	for _, m := range d.replicas() {
		d.Network.PartitionOneWay(m.Endpoint, primary.Endpoint)
	}
}

func cutBothWays(d *data, primary *harness.Member) {
	for _, m := range d.replicas() {
		d.Network.Partition(m.Endpoint, primary.Endpoint)
	}
}

var _ = Describe("Failover of a primary", Ordered, ContinueOnFailure, func() {
	var d *data

	BeforeAll(func(ctx SpecContext) {
		d = startData(context.WithoutCancel(ctx), 50, dataShape())
	})

	AfterEach(func(ctx SpecContext) { d.finishCase(ctx) })

	// Guards against a write that only the replaced primary holds (G2), a refusal
	// as not run of a write that ran (G9), a write that ran twice (G10), a stale
	// read (G1), a write gap above the target, and, if no VM reaches the primary,
	// writes that are refused instead of waiting for the next one.
	DescribeTable("under write load from several sessions", func(ctx SpecContext, fault memberFault, store string, waits bool) {
		d.setStore(ctx, store)
		l := d.startLoad(ctx)
		d.sleep(ctx, warmUp)
		replaced := d.primary()
		fault(d, replaced)
		d.waitReplaced(ctx, replaced)
		d.sleep(ctx, warmUp)
		d.Network.Heal()
		d.revive(replaced.Process)
		d.sleep(ctx, warmUp)
		l.finish()
		d.restore(ctx)
		verdict := d.expectClean()
		l.expectNoStaleRead()
		d.reportGap(l)
		GinkgoWriter.Printf("so far %d acknowledged, %d not run, %d unknown\n", verdict.Acknowledged, verdict.NotRun, verdict.Unknown)
		Expect(l.gap()).To(BeNumerically("<", gapBound))
		if waits {
			for reason := range l.reasons() {
				Expect(reason).To(HavePrefix(client.Unknown.String()), "writes that were refused")
			}
		}
	},
		Entry("killed, store up", killMember, storeUp, true),
		Entry("killed, store out", killMember, storeOut, true),
		Entry("paused, store up", pauseMember, storeUp, true),
		Entry("paused, store out", pauseMember, storeOut, true),
		Entry("cut off from everything, store up", isolateMember, storeUp, true),
		Entry("cut off from everything, store out", isolateMember, storeOut, true),
		Entry("cut off towards the members, store up", cutToMembers, storeUp, false),
		Entry("cut off towards the members, store out", cutToMembers, storeOut, false),
		Entry("cut off from the members, store up", cutFromMembers, storeUp, false),
		Entry("cut off from the members, store out", cutFromMembers, storeOut, false),
		Entry("cut off from the members both ways, store up", cutBothWays, storeUp, false),
		Entry("cut off from the members both ways, store out", cutBothWays, storeOut, false),
	)
})
