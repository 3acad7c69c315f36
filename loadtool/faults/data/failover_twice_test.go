package data_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/loadtool/harness"
)

const (
	// rejoinTime lets a restarted member follow the new primary, so that two of
	// three members are left after the second fault.
	rejoinTime = 300 * time.Millisecond
	// pollInterval is how often the proxies' logs are searched for a claimed term.
	pollInterval = time.Millisecond
)

// waitReplaced waits until a member other than oldPrimary is the primary.
func (d *deployment) waitReplaced(ctx context.Context, oldPrimary *harness.Member) *harness.Member {
	GinkgoHelper()
	var newPrimary *harness.Member
	Expect(harness.WaitFor(ctx, d.timer, 2*maxWriteGap, func() error {
		var ok bool
		if newPrimary, ok = d.findPrimary(); !ok || newPrimary.Endpoint == oldPrimary.Endpoint {
			return fmt.Errorf("%s has not been replaced", oldPrimary.Endpoint)
		}
		return nil
	})).To(Succeed())
	return newPrimary
}

// countClaims returns the number of terms that a VM has claimed, according to its
// log.
func (d *deployment) countClaims(v *harness.VM) int {
	GinkgoHelper()
	text, err := os.ReadFile(filepath.Join(d.workDir, v.Name+".log"))
	Expect(err).NotTo(HaveOccurred())
	return bytes.Count(text, []byte("failover: claiming a term"))
}

// pauseClaimant pauses the next VM that claims a term, before it can promote a
// member. claimsBefore holds the number of earlier claims of each VM.
func (d *deployment) pauseClaimant(ctx context.Context, claimsBefore map[*harness.VM]int) *harness.VM {
	GinkgoHelper()
	deadline := d.timer.Now().Add(maxWriteGap)
	for d.timer.Now().Before(deadline) {
		for _, v := range d.VMs {
			if d.countClaims(v) > claimsBefore[v] {
				Expect(v.Pause()).To(Succeed())
				return v
			}
		}
		d.sleep(ctx, pollInterval)
	}
	Fail("no VM claimed a term")
	return nil
}

func (d *deployment) reportWriteGap(l *load) {
	gap := l.writeGap().Round(time.Millisecond)
	AddReportEntry("write gap", gap.String(), ReportEntryVisibilityAlways)
	GinkgoWriter.Printf("%s: write gap %s, reasons of failed writes: %v\n", CurrentSpecReport().LeafNodeText, gap, l.failureReasons())
}

var _ = Describe("Overlapping failovers", Ordered, ContinueOnFailure, func() {
	var d *deployment

	BeforeAll(func(ctx SpecContext) {
		d = startDeployment(context.WithoutCancel(ctx), 51, singleDatabaseSpec())
	})

	AfterEach(func(ctx SpecContext) { d.finishCase(ctx) })

	// Guards against a write that is lost in the second promotion: entries of an
	// earlier term are durable only when the first entry of the new term is.
	DescribeTable("two failovers in quick succession", func(ctx SpecContext, firstFault, secondFault memberFault) {
		l := d.startLoad(ctx)
		d.sleep(ctx, settleTime)
		oldPrimary := d.primary()
		firstFault(d, oldPrimary)
		newPrimary := d.waitReplaced(ctx, oldPrimary)
		d.Network.Heal()
		d.ensureRunning(oldPrimary.Process)
		d.sleep(ctx, rejoinTime)
		secondFault(d, newPrimary)
		d.waitReplaced(ctx, newPrimary)
		d.sleep(ctx, rejoinTime)
		l.finish()
		d.restore(ctx)
		d.expectWritesMatchLogs()
		l.expectNoStaleReads()
		d.reportWriteGap(l)
		// The second fault may happen before any write succeeds after the first one.
		Expect(l.writeGap()).To(BeNumerically("<", 2*maxWriteGap))
	},
		Entry("killed, then killed", killMember, killMember),
		Entry("paused, then killed", pauseMember, killMember),
		Entry("isolated, then isolated", isolateMember, isolateMember),
		Entry("partitioned from the replicas, then killed", partitionBothWays, killMember),
	)

	// Guards against a claimant that resumes after a pause and promotes a second
	// member in a term that has been superseded.
	DescribeTable("a proxy is paused while it requests a promotion", func(ctx SpecContext, fault memberFault) {
		l := d.startLoad(ctx)
		d.sleep(ctx, settleTime)
		claimsBefore := map[*harness.VM]int{}
		for _, v := range d.VMs {
			claimsBefore[v] = d.countClaims(v)
		}
		oldPrimary := d.primary()
		fault(d, oldPrimary)
		claimant := d.pauseClaimant(ctx, claimsBefore)
		d.exclude(claimant, true)
		d.waitReplaced(ctx, oldPrimary)
		d.sleep(ctx, settleTime)
		Expect(claimant.Continue()).To(Succeed())
		d.sleep(ctx, settleTime)
		l.finish()
		d.restore(ctx)
		d.expectWritesMatchLogs()
		l.expectNoStaleReads()
		d.reportWriteGap(l)
		// The fault and the pause may each cause a gap of up to maxWriteGap.
		Expect(l.writeGap()).To(BeNumerically("<", 2*maxWriteGap))
	},
		Entry("primary killed", killMember),
		Entry("primary isolated", isolateMember),
	)
})
