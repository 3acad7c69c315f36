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
	// scanGroups is the number of key prefixes, of scanRows rows each.
	scanGroups = 5
	scanRows   = 300
	// scanners query at once for scanTime.
	scanners = 16
	scanTime = 1200 * time.Millisecond
	// cancelEvery such query is given up before its answer is complete.
	cancelEvery = 4
	cancelAfter = 15 * time.Millisecond
)

// scanShape has members whose answers consist of many late pieces out of order.
func scanShape() harness.Spec {
	shape := dataShape()
	shape.ResponseDelay = 8 * time.Millisecond
	shape.PieceRows = 30
	return shape
}

func scanKey(group, row int) string {
	return fmt.Sprintf("scan/%d/%04d", group, row)
}

func scanValue(group, row int) string {
	return fmt.Sprintf("value %d of group %d", row, group)
}

// fillScans writes the rows in one transaction for each group.
func (d *data) fillScans(ctx context.Context) {
	GinkgoHelper()
	together(scanGroups, func(group int) {
		c := d.client(d.VMs[group%len(d.VMs)], nil)
		together(scanGroups, func(part int) {
			t, err := c.Begin(ctx, d.database)
			Expect(err).NotTo(HaveOccurred())
			var keys []string
			for row := part; row < scanRows; row += scanGroups {
				keys = append(keys, scanKey(group, row))
				_, err = t.Execute(ctx, insertStatement(scanKey(group, row), scanValue(group, row)))
				Expect(err).NotTo(HaveOccurred())
			}
			Expect(d.commit(ctx, t, keys...)).To(Equal(client.Done))
		})
	})
}

// scan queries one group and checks each row; a query that fails passes no
// answer as complete.
func (d *data) scan(ctx context.Context, c *client.Client, group, limit int) bool {
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

var _ = Describe("Complete answers", Ordered, ContinueOnFailure, func() {
	var d *data

	BeforeAll(func(ctx SpecContext) {
		d = startData(context.WithoutCancel(ctx), 55, scanShape())
		d.fillScans(ctx)
		d.restore(ctx)
		d.expectClean()
	})

	AfterEach(func(ctx SpecContext) { d.finishCase(ctx) })

	// Guards against rows of another request, and against an answer that lacks
	// pieces, has them twice or in the order of their arrival.
	DescribeTable("scans while members answer late and out of order", func(ctx SpecContext, share float64, fault func()) {
		running, cancel := timer.WithTimeout(ctx, d.timer, scanTime)
		defer cancel()
		var complete, failed atomic.Int64
		d.togetherWithFault(ctx, scanTime/3, fault, scanners, func(i int) {
			session := client.NewSession()
			for number := 0; running.Err() == nil; number++ {
				targets := d.targetVMs()
				c := d.client(targets[(i+number)%len(targets)], session)
				wait := requestTimeout
				if (i+number)%cancelEvery == 0 {
					wait = cancelAfter
				}
				limited, cancel := timer.WithTimeout(ctx, d.timer, wait)
				if d.scan(limited, c, (i+number)%scanGroups, scanRows-number%scanGroups*10) {
					complete.Add(1)
				} else if wait == requestTimeout {
					failed.Add(1)
				}
				cancel()
			}
		})
		d.restore(ctx)
		d.expectClean()
		GinkgoWriter.Printf("%s: %d answers complete, %d failed\n", CurrentSpecReport().LeafNodeText, complete.Load(), failed.Load())
		Expect(complete.Load()).To(BeNumerically(">", scanners))
		Expect(float64(failed.Load())).To(BeNumerically("<=", share*float64(complete.Load())), "queries that failed")
	},
		Entry("without a fault", 0.0, func() {}),
		Entry("a proxy killed", 1.0, func() {
			victim := d.homeOf(d.primary())
			d.exclude(victim, true)
			Expect(victim.Kill()).To(Succeed())
		}),
		Entry("a replica killed", 1.0, func() { Expect(d.replicas()[0].Kill()).To(Succeed()) }),
		Entry("the primary killed", 1.0, func() { killMember(d, d.primary()) }),
		Entry("the primary cut off", 1.0, func() { isolateMember(d, d.primary()) }),
	)
})
