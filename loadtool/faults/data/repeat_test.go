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
	// concurrentAdders is the number of clients that write for addDuration.
	concurrentAdders = 8
	addDuration      = 1300 * time.Millisecond
	// attemptTimeout is the timeout of one attempt. After it, the write is sent
	// again with the same request id.
	attemptTimeout = 700 * time.Millisecond
	// retryDelay is the delay between two attempts.
	retryDelay = 50 * time.Millisecond
	// maxAttempts is the limit for one write; together the attempts outlast a failover.
	maxAttempts = 40
)

// add adds 1 to a counter. While the outcome is unknown, it sends the request
// again with the same id, each time to a different proxy.
func (d *deployment) add(ctx context.Context, key string, firstTarget int) workload.WriteRecord {
	id := uuid.NewString()
	startedAt := d.timer.Now()
	mayHaveRun := false
	var err error
	for attempt := range maxAttempts {
		targets := d.targetVMs()
		attemptCtx, cancel := timer.WithTimeout(ctx, d.timer, attemptTimeout)
		_, err = d.client(targets[(firstTarget+attempt)%len(targets)], nil).Execute(attemptCtx, client.Statement{
			Database:  d.database,
			Command:   "add",
			Arguments: []string{key, "1"},
			Write:     true,
			RequestID: id,
		})
		cancel()
		outcome, _ := workload.Classify(err)
		if outcome == client.Done || outcome == client.NotRun && !mayHaveRun {
			return d.recordWrite(id, []string{key}, startedAt, err)
		}
		// If a later attempt was not run, an earlier one may still have run.
		mayHaveRun = true
		if timer.Sleep(ctx, d.timer, retryDelay) != nil {
			break
		}
	}
	return d.recordWrite(id, []string{key}, startedAt, fmt.Errorf("outcome unknown after %d attempts: %w", maxAttempts, context.Canceled))
}

// expectCounterMatchesLog checks that the final value of a counter in the log of
// the final primary equals the number of requests in that log that added to it.
func (d *deployment) expectCounterMatchesLog(key string) {
	GinkgoHelper()
	primary := d.primary().Endpoint
	for _, log := range d.logs() {
		if log.Endpoint != primary {
			continue
		}
		requestIDs := map[string]bool{}
		lastValue := "0"
		for _, e := range log.Entries {
			if len(e.Writes) == 1 && e.Writes[0].Key == key {
				requestIDs[e.RequestID] = true
				lastValue = e.Writes[0].Value
			}
		}
		Expect(lastValue).To(Equal(strconv.Itoa(len(requestIDs))), "counter value and number of its requests")
	}
}

var _ = Describe("Non-idempotent writes", Ordered, ContinueOnFailure, func() {
	var d *deployment

	BeforeAll(func(ctx SpecContext) {
		d = startDeployment(context.WithoutCancel(ctx), 54, singleDatabaseSpec())
	})

	AfterEach(func(ctx SpecContext) { d.finishCase(ctx) })

	// Guards against a write that runs twice (G10): because the receiving VM sends
	// it again, because a second home runs it, or because a new primary does not
	// know its request id.
	DescribeTable("run at most once", func(ctx SpecContext, fault func()) {
		loadCtx, cancel := timer.WithTimeout(ctx, d.timer, addDuration)
		defer cancel()
		key := "sum/" + CurrentSpecReport().LeafNodeText
		d.runConcurrentlyWithFault(ctx, addDuration/3, fault, concurrentAdders, func(i int) {
			for firstTarget := i; loadCtx.Err() == nil; firstTarget++ {
				d.add(ctx, key, firstTarget)
			}
		})
		d.restore(ctx)
		result := d.expectWritesMatchLogs()
		d.expectCounterMatchesLog(key)
		GinkgoWriter.Printf("%s: so far %d acknowledged, %d not run, %d unknown\n",
			CurrentSpecReport().LeafNodeText, result.Acknowledged, result.NotRun, result.Unknown)
	},
		Entry("the home killed", func() { Expect(d.homeOf(d.primary()).Kill()).To(Succeed()) }),
		Entry("the home paused", func() { Expect(d.homeOf(d.primary()).Pause()).To(Succeed()) }),
		Entry("the home isolated", func() { d.Network.Isolate(d.homeOf(d.primary()).Name) }),
		Entry("a receiving VM killed", func() { Expect(d.vmsExcept(d.homeOf(d.primary()))[0].Kill()).To(Succeed()) }),
		Entry("the primary killed", func() { killMember(d, d.primary()) }),
		Entry("the primary paused", func() { pauseMember(d, d.primary()) }),
		Entry("the primary isolated", func() { isolateMember(d, d.primary()) }),
		Entry("the primary partitioned from the replicas", func() { partitionBothWays(d, d.primary()) }),
	)
})
