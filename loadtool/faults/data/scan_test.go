package data_test

import (
	"context"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/client"
	"amaranthdock.dev/loadtool/harness"
	"amaranthdock.dev/timer"
)

const (
	// scanGroups is the number of key prefixes; each has scanRows rows.
	scanGroups = 5
	scanRows   = 300
	// concurrentScanners is the number of clients that query for scanDuration.
	concurrentScanners = 16
	scanDuration       = 1200 * time.Millisecond
	// Every cancelEvery-th query is canceled after cancelAfter, before its response is
	// complete.
	cancelEvery = 4
	cancelAfter = 15 * time.Millisecond
)

// delayedScanSpec describes members that send a response in many delayed pieces,
// out of order.
func delayedScanSpec() harness.Spec {
	spec := singleDatabaseSpec()
	spec.ResponseDelay = 8 * time.Millisecond
	spec.PieceRows = 30
	return spec
}

func scanKey(group, row int) string {
	return fmt.Sprintf("scan/%d/%04d", group, row)
}

func scanValue(group, row int) string {
	return fmt.Sprintf("value %d of group %d", row, group)
}

// insertScanRows writes the rows of each group in scanGroups concurrent transactions.
func (d *deployment) insertScanRows(ctx context.Context) {
	GinkgoHelper()
	runConcurrently(scanGroups, func(group int) {
		c := d.client(d.VMs[group%len(d.VMs)], nil)
		runConcurrently(scanGroups, func(offset int) {
			t, err := c.Begin(ctx, d.database)
			Expect(err).NotTo(HaveOccurred())
			var keys []string
			for row := offset; row < scanRows; row += scanGroups {
				keys = append(keys, scanKey(group, row))
				_, err = t.Execute(ctx, insertStatement(scanKey(group, row), scanValue(group, row)))
				Expect(err).NotTo(HaveOccurred())
			}
			Expect(d.commitAndRecord(ctx, t, keys...)).To(Equal(client.Done))
		})
	})
}

// scan queries one group, checks each row and reports whether the query succeeded.
// The response to a successful query must be complete.
func (d *deployment) scan(ctx context.Context, c *client.Client, group, limit int) bool {
	GinkgoHelper()
	row := 0
	_, err := c.Query(ctx, client.Statement{
		Database:  d.database,
		Command:   "scan",
		Arguments: []string{fmt.Sprintf("scan/%d/", group), strconv.Itoa(limit)},
	}, func(columns []string) error {
		Expect(columns).To(Equal([]string{scanKey(group, row), scanValue(group, row)}), "row %d of group %d", row, group)
		row++
		return nil
	})
	if err != nil {
		return false
	}
	Expect(row).To(Equal(min(limit, scanRows)), "rows of group %d", group)
	return true
}

var _ = Describe("Complete responses", Ordered, ContinueOnFailure, func() {
	var d *deployment

	BeforeAll(func(ctx SpecContext) {
		d = startDeployment(context.WithoutCancel(ctx), 55, delayedScanSpec())
		d.insertScanRows(ctx)
		d.restore(ctx)
		d.expectWritesMatchLogs()
	})

	AfterEach(func(ctx SpecContext) { d.finishCase(ctx) })

	// Guards against rows of another request, and against a response with missing
	// or duplicated pieces, or with pieces in the order of their arrival.
	DescribeTable("scans while members respond late and out of order", func(ctx SpecContext, maxFailureRatio float64, fault func()) {
		loadCtx, cancel := timer.WithTimeout(ctx, d.timer, scanDuration)
		defer cancel()
		var complete, failed atomic.Int64
		d.runConcurrentlyWithFault(ctx, scanDuration/3, fault, concurrentScanners, func(i int) {
			session := client.NewSession()
			for iteration := 0; loadCtx.Err() == nil; iteration++ {
				targets := d.targetVMs()
				c := d.client(targets[(i+iteration)%len(targets)], session)
				timeout := requestTimeout
				if (i+iteration)%cancelEvery == 0 {
					timeout = cancelAfter
				}
				requestCtx, cancel := timer.WithTimeout(ctx, d.timer, timeout)
				if d.scan(requestCtx, c, (i+iteration)%scanGroups, scanRows-iteration%scanGroups*10) {
					complete.Add(1)
				} else if timeout == requestTimeout {
					failed.Add(1)
				}
				cancel()
			}
		})
		d.restore(ctx)
		d.expectWritesMatchLogs()
		GinkgoWriter.Printf("%s: %d complete responses, %d failed queries\n", CurrentSpecReport().LeafNodeText, complete.Load(), failed.Load())
		Expect(complete.Load()).To(BeNumerically(">", concurrentScanners))
		Expect(float64(failed.Load())).To(BeNumerically("<=", maxFailureRatio*float64(complete.Load())), "failed queries")
	},
		Entry("without a fault", 0.0, func() {}),
		Entry("a proxy killed", 1.0, func() {
			home := d.homeOf(d.primary())
			d.exclude(home, true)
			Expect(home.Kill()).To(Succeed())
		}),
		Entry("a replica killed", 1.0, func() { Expect(d.replicas()[0].Kill()).To(Succeed()) }),
		Entry("the primary killed", 1.0, func() { killMember(d, d.primary()) }),
		Entry("the primary isolated", 1.0, func() { isolateMember(d, d.primary()) }),
	)
})
