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
	// betweenFaults lets a revived member follow the new primary, so that the
	// second fault leaves two of three members.
	betweenFaults = 300 * time.Millisecond
	// pollInterval between two looks for the claimant of a term.
	pollInterval = time.Millisecond
)

// waitReplaced waits for a primary other than the given one.
func (d *data) waitReplaced(ctx context.Context, former *harness.Member) *harness.Member {
	GinkgoHelper()
	var next *harness.Member
	Expect(harness.WaitFor(ctx, d.timer, 2*gapBound, func() error {
		var ok bool
		if next, ok = d.findPrimary(); !ok || next.Endpoint == former.Endpoint {
			return fmt.Errorf("%s is not replaced", former.Endpoint)
		}
		return nil
	})).To(Succeed())
	return next
}

// claims returns the number of terms that each VM has claimed, from its log.
func (d *data) claims(v *harness.VM) int {
	GinkgoHelper()
	text, err := os.ReadFile(filepath.Join(d.directory, v.Name+".log"))
	Expect(err).NotTo(HaveOccurred())
	return bytes.Count(text, []byte("failover: claiming a term"))
}

// pauseClaimant pauses the next VM that claims a term, before it can promote.
func (d *data) pauseClaimant(ctx context.Context, before map[*harness.VM]int) *harness.VM {
	GinkgoHelper()
	end := d.timer.Now().Add(gapBound)
	for d.timer.Now().Before(end) {
		for _, v := range d.VMs {
			if d.claims(v) > before[v] {
				Expect(v.Pause()).To(Succeed())
				return v
			}
		}
		d.sleep(ctx, pollInterval)
	}
	Fail("no VM claimed a term")
	return nil
}

func (d *data) reportGap(l *load) {
	gap := l.gap().Round(time.Millisecond)
	AddReportEntry("write gap", gap.String(), ReportEntryVisibilityAlways)
	GinkgoWriter.Printf("%s: write gap %s, reasons of writes that failed: %v\n", CurrentSpecReport().LeafNodeText, gap, l.reasons())
}

var _ = Describe("Failovers that overlap", Ordered, ContinueOnFailure, func() {
	var d *data

	BeforeAll(func(ctx SpecContext) {
		d = startData(context.WithoutCancel(ctx), 51, dataShape())
	})

	AfterEach(func(ctx SpecContext) { d.finishCase(ctx) })

	// Guards against a record that the second promotion drops, because nothing of
	// an earlier term is durable before the new term's opening entry is.
	DescribeTable("two failovers shortly after each other", func(ctx SpecContext, first, second memberFault) {
		l := d.startLoad(ctx)
		d.sleep(ctx, warmUp)
		former := d.primary()
		first(d, former)
		next := d.waitReplaced(ctx, former)
		d.Network.Heal()
		d.revive(former.Process)
		d.sleep(ctx, betweenFaults)
		second(d, next)
		d.waitReplaced(ctx, next)
		d.sleep(ctx, betweenFaults)
		l.finish()
		d.restore(ctx)
		d.expectClean()
		l.expectNoStaleRead()
		d.reportGap(l)
		// The second fault may come before the first write after the first one.
		Expect(l.gap()).To(BeNumerically("<", 2*gapBound))
	},
		Entry("killed, then killed", killMember, killMember),
		Entry("paused, then killed", pauseMember, killMember),
		Entry("cut off, then cut off", isolateMember, isolateMember),
		Entry("cut off from the members, then killed", cutBothWays, killMember),
	)

	// Guards against a claimant that promotes a second member after its pause, in
	// a term that others have passed.
	DescribeTable("a proxy is paused while it orders a promotion", func(ctx SpecContext, fault memberFault) {
		l := d.startLoad(ctx)
		d.sleep(ctx, warmUp)
		before := map[*harness.VM]int{}
		for _, v := range d.VMs {
			before[v] = d.claims(v)
		}
		former := d.primary()
		fault(d, former)
		claimant := d.pauseClaimant(ctx, before)
		d.exclude(claimant, true)
		d.waitReplaced(ctx, former)
		d.sleep(ctx, warmUp)
		Expect(claimant.Continue()).To(Succeed())
		d.sleep(ctx, warmUp)
		l.finish()
		d.restore(ctx)
		d.expectClean()
		l.expectNoStaleRead()
		d.reportGap(l)
		// Each of the two faults has the bound of one.
		Expect(l.gap()).To(BeNumerically("<", 2*gapBound))
	},
		Entry("primary killed", killMember),
		Entry("primary cut off", isolateMember),
	)
})
