package data_test

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/client"
	"amaranthdock.dev/loadtool/workload"
	"amaranthdock.dev/timer"
)

const (
	// adders write at once for addTime.
	adders  = 8
	addTime = 1300 * time.Millisecond
	// tryTimeout of one try; the write is sent again with its request id then.
	tryTimeout = 700 * time.Millisecond
	// tryPause between two tries.
	tryPause = 50 * time.Millisecond
	// maxTries of one write; together they outlast a failover.
	maxTries = 40
)

// add adds 1 to a counter. While the outcome is unknown, it sends the request
// again with the same id, each time to another proxy.
func (d *data) add(ctx context.Context, key string, first int) workload.WriteRecord {
	id := uuid.NewString()
	began := d.timer.Now()
	uncertain := false
	var err error
	for try := range maxTries {
		targets := d.targetVMs()
		limited, cancel := timer.WithTimeout(ctx, d.timer, tryTimeout)
		_, err = d.client(targets[(first+try)%len(targets)], nil).Execute(limited, client.Statement{
			Database:  d.database,
			Command:   "add",
			Arguments: []string{key, "1"},
			Write:     true,
			RequestID: id,
		})
		cancel()
		outcome, _ := workload.Classify(err)
		if outcome == client.Done || outcome == client.NotRun && !uncertain {
			return d.record(id, []string{key}, began, err)
		}
		// A try that was not run says nothing of the earlier ones.
		uncertain = true
		if timer.Sleep(ctx, d.timer, tryPause) != nil {
			break
		}
	}
	return d.record(id, []string{key}, began, fmt.Errorf("unknown after %d tries: %w", maxTries, context.Canceled))
}

// expectSum checks that a counter in the log of the final primary is the number
// of the requests there that added to it.
func (d *data) expectSum(key string) {
	GinkgoHelper()
	primary := d.primary().Endpoint
	for _, log := range d.logs() {
		if log.Endpoint != primary {
			continue
		}
		ids := map[string]bool{}
		last := "0"
		for _, e := range log.Entries {
			if len(e.Writes) == 1 && e.Writes[0].Key == key {
				ids[e.RequestID] = true
				last = e.Writes[0].Value
			}
		}
		Expect(last).To(Equal(strconv.Itoa(len(ids))), "the counter and its requests")
	}
}

var _ = Describe("Non-idempotent writes", Ordered, ContinueOnFailure, func() {
	var d *data

	BeforeAll(func(ctx SpecContext) {
		d = startData(context.WithoutCancel(ctx), 54, dataShape())
	})

	AfterEach(func(ctx SpecContext) { d.finishCase(ctx) })

	// Guards against a write that runs twice (G10): by a retry of the entry, by a
	// second home, or by a new primary that does not know the request id.
	DescribeTable("run at most once", func(ctx SpecContext, fault func()) {
		running, cancel := timer.WithTimeout(ctx, d.timer, addTime)
		defer cancel()
		key := "sum/" + CurrentSpecReport().LeafNodeText
		d.togetherWithFault(ctx, addTime/3, fault, adders, func(i int) {
			for number := i; running.Err() == nil; number++ {
				d.add(ctx, key, number)
			}
		})
		d.restore(ctx)
		verdict := d.expectClean()
		d.expectSum(key)
		GinkgoWriter.Printf("%s: so far %d acknowledged, %d not run, %d unknown\n",
			CurrentSpecReport().LeafNodeText, verdict.Acknowledged, verdict.NotRun, verdict.Unknown)
	},
		Entry("the home killed", func() { Expect(d.homeOf(d.primary()).Kill()).To(Succeed()) }),
		Entry("the home paused", func() { Expect(d.homeOf(d.primary()).Pause()).To(Succeed()) }),
		Entry("the home cut off", func() { d.Network.Isolate(d.homeOf(d.primary()).Name) }),
		Entry("an entry killed", func() { Expect(d.others(d.homeOf(d.primary()))[0].Kill()).To(Succeed()) }),
		Entry("the primary killed", func() { killMember(d, d.primary()) }),
		Entry("the primary paused", func() { pauseMember(d, d.primary()) }),
		Entry("the primary cut off", func() { isolateMember(d, d.primary()) }),
		Entry("the primary cut off from the members", func() { cutBothWays(d, d.primary()) }),
	)
})
