package data_test

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/client"
	"amaranthdock.dev/loadtool/harness"
	"amaranthdock.dev/timer"
)

const (
	// roamingSessions is the number of sessions in a case that change the proxy on
	// every request.
	roamingSessions = 6
	// roamDuration is how long these sessions run.
	roamDuration = 1200 * time.Millisecond
	// mergeKeys is the number of keys that one session writes concurrently.
	mergeKeys = 8
	// mergeRounds is the number of rounds of concurrent writes and reads.
	mergeRounds = 10
)

// readCounts counts the successful reads of a case.
type readCounts struct {
	mu          sync.Mutex
	total       int
	fromReplica int
}

func (r *readCounts) add(result client.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	if result.FromReplica {
		r.fromReplica++
	}
}

// expectValueAtLeast retries a read until it succeeds, and checks that the value is
// not older than the given one.
func (d *deployment) expectValueAtLeast(ctx context.Context, c *client.Client, database, key string, minimum int, counts *readCounts) {
	GinkgoHelper()
	var result client.Result
	Expect(harness.WaitFor(ctx, d.timer, serveTimeout, func() error {
		requestCtx, cancel := timer.WithTimeout(ctx, d.timer, requestTimeout)
		defer cancel()
		var err error
		result, err = c.Execute(requestCtx, client.Statement{
			Database:  database,
			Command:   "get",
			Arguments: []string{key},
		})
		return err
	})).To(Succeed())
	Expect(result.Rows).To(HaveLen(1), "%s is missing at %s", key, result.Endpoint)
	value, err := strconv.Atoi(result.Rows[0][0])
	Expect(err).NotTo(HaveOccurred())
	Expect(value).To(BeNumerically(">=", minimum), "a stale read of %s at %s", key, result.Endpoint)
	counts.add(result)
}

// writeUntilAcknowledged retries a write until it succeeds.
func (d *deployment) writeUntilAcknowledged(ctx context.Context, c *client.Client, database, key string, value int) {
	GinkgoHelper()
	Expect(harness.WaitFor(ctx, d.timer, serveTimeout, func() error {
		requestCtx, cancel := timer.WithTimeout(ctx, d.timer, requestTimeout)
		defer cancel()
		return d.put(requestCtx, c, database, key, strconv.Itoa(value))
	})).To(Succeed())
}

// runRoamingSession writes and reads a key, each request through a different proxy,
// until loadCtx ends.
func (d *deployment) runRoamingSession(ctx, loadCtx context.Context, name string, startIndex int, counts *readCounts) {
	GinkgoHelper()
	session := client.NewSession()
	key := "roam/" + name
	vmIndex := startIndex
	nextClient := func() *client.Client {
		vmIndex++
		return d.client(d.VMs[vmIndex%len(d.VMs)], session)
	}
	for value := 1; loadCtx.Err() == nil; value++ {
		d.writeUntilAcknowledged(ctx, nextClient(), d.database, key, value)
		d.expectValueAtLeast(ctx, nextClient(), d.database, key, value, counts)
		d.expectValueAtLeast(ctx, nextClient(), d.database, key, value, counts)
	}
}

// runConcurrently calls run concurrently with each number below count and waits for
// all calls.
func runConcurrently(count int, run func(i int)) {
	var wg sync.WaitGroup
	for i := range count {
		wg.Go(func() {
			defer GinkgoRecover()
			run(i)
		})
	}
	wg.Wait()
}

// runConcurrentlyWithFault does the same and meanwhile injects a fault after a wait.
func (d *deployment) runConcurrentlyWithFault(ctx context.Context, wait time.Duration, fault func(), count int, run func(i int)) {
	runConcurrently(count+1, func(i int) {
		if i < count {
			run(i)
			return
		}
		d.sleep(ctx, wait)
		fault()
	})
}

// expectLogValueAtLeast checks that the final primary holds a value of the key that
// is not older than the given one.
func (d *deployment) expectLogValueAtLeast(database, key string, minimum int) {
	GinkgoHelper()
	latest := 0
	for _, log := range d.logsOf(database) {
		if !log.IsPrimary {
			continue
		}
		for _, e := range log.Entries {
			for _, w := range e.Writes {
				if w.Key != key {
					continue
				}
				value, err := strconv.Atoi(w.Value)
				Expect(err).NotTo(HaveOccurred())
				latest = value
			}
		}
	}
	Expect(latest).To(BeNumerically(">=", minimum), "%s in the log of the primary", key)
}

// twoDatabaseSpec describes a deployment with two databases, so that tokens hold
// more than one position.
func twoDatabaseSpec() harness.Spec {
	spec := singleDatabaseSpec()
	spec.Databases = harness.Saltmyri().Databases[:2]
	return spec
}

var _ = Describe("Read-your-writes", Ordered, ContinueOnFailure, func() {
	var d *deployment

	BeforeAll(func(ctx SpecContext) {
		d = startDeployment(context.WithoutCancel(ctx), 52, twoDatabaseSpec())
	})

	AfterEach(func(ctx SpecContext) { d.finishCase(ctx) })

	// Guards against a replica that serves a read before it has the session's
	// writes, and against a proxy that loses the session's position.
	DescribeTable("sessions that change the proxy on every request", func(ctx SpecContext, fault func(context.Context)) {
		fault(ctx)
		loadCtx, cancel := timer.WithTimeout(ctx, d.timer, roamDuration)
		defer cancel()
		counts := &readCounts{}
		runConcurrently(roamingSessions, func(i int) {
			d.runRoamingSession(ctx, loadCtx, fmt.Sprintf("%s/%d", CurrentSpecReport().LeafNodeText, i), i, counts)
		})
		GinkgoWriter.Printf("%s: %d reads, %d from replicas\n", CurrentSpecReport().LeafNodeText, counts.total, counts.fromReplica)
		Expect(counts.fromReplica).To(BeNumerically(">", 0), "no replica served a read")
		d.restore(ctx)
	},
		Entry("no fault", func(context.Context) {}),
		Entry("a replica with stopped replication", func(ctx context.Context) {
			Expect(d.PostToMember(ctx, d.replicas()[0], "/replication?state=stopped")).To(Succeed())
		}),
		Entry("a replica with a large lag", func(ctx context.Context) {
			Expect(d.PostToMember(ctx, d.replicas()[0], "/lag?value=2s")).To(Succeed())
		}),
		Entry("all replicas with some lag", func(ctx context.Context) {
			for _, m := range d.replicas() {
				Expect(d.PostToMember(ctx, m, "/lag?value=100ms")).To(Succeed())
			}
		}),
		Entry("a replica that its primary cannot reach", func(context.Context) {
			d.Network.Partition(d.primary().Endpoint, d.replicas()[1].Endpoint)
		}),
	)

	// Guards against a token that overwrites the token of a concurrent request, so
	// that the position of that request is lost.
	It("covers the writes of concurrent requests whose tokens merge", func(ctx SpecContext) {
		Expect(d.PostToMember(ctx, d.replicas()[0], "/lag?value=300ms")).To(Succeed())
		session := client.NewSession()
		counts := &readCounts{}
		target := func(i int) (c *client.Client, database, key string) {
			return d.client(d.VMs[i%len(d.VMs)], session), d.spec.Databases[i%2], fmt.Sprintf("merged/%d", i)
		}
		for round := 1; round <= mergeRounds; round++ {
			runConcurrently(mergeKeys, func(i int) {
				c, database, key := target(i)
				d.writeUntilAcknowledged(ctx, c, database, key, round)
			})
			runConcurrently(mergeKeys, func(i int) {
				_, database, key := target(i)
				c, _, _ := target(i + round)
				d.expectValueAtLeast(ctx, c, database, key, round, counts)
			})
		}
		d.restore(ctx)
		for i := range mergeKeys {
			_, database, key := target(i)
			d.expectLogValueAtLeast(database, key, mergeRounds)
		}
		GinkgoWriter.Printf("%d reads, %d from replicas\n", counts.total, counts.fromReplica)
	})

	// Guards against a read from a replaced primary, or from a replica whose log is
	// longer but of an older term.
	DescribeTable("a failover between write and read", func(ctx SpecContext, fault memberFault) {
		key := "failover/" + CurrentSpecReport().LeafNodeText
		session := client.NewSession()
		counts := &readCounts{}
		d.writeUntilAcknowledged(ctx, d.client(d.VMs[0], session), d.database, key, 1)
		oldPrimary := d.primary()
		fault(d, oldPrimary)
		readAll := func(minimum int) {
			runConcurrently(len(d.VMs), func(i int) {
				c := d.client(d.VMs[i], client.NewSession(session.Tokens()...))
				d.expectValueAtLeast(ctx, c, d.database, key, minimum, counts)
			})
		}
		readAll(1)
		d.waitReplaced(ctx, oldPrimary)
		d.writeUntilAcknowledged(ctx, d.client(d.VMs[1], session), d.database, key, 2)
		readAll(2)
		d.Network.Heal()
		d.ensureRunning(oldPrimary.Process)
		readAll(2)
		d.restore(ctx)
		readAll(2)
		d.expectLogValueAtLeast(d.database, key, 2)
	},
		Entry("killed", killMember),
		Entry("paused", pauseMember),
		Entry("isolated", isolateMember),
		Entry("partitioned from the replicas", partitionBothWays),
	)
})
