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
	// roamers is the number of sessions that move in one case.
	roamers = 6
	// roamTime of the sessions under one fault.
	roamTime = 1200 * time.Millisecond
	// mergedKeys is the number of concurrent writes of one session.
	mergedKeys = 8
	// mergeRounds of concurrent writes and reads.
	mergeRounds = 10
)

// reads counts the answers of a case.
type reads struct {
	mu      sync.Mutex
	all     int
	replica int
}

func (r *reads) add(result client.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all++
	if result.FromReplica {
		r.replica++
	}
}

// expectValue reads a key until it is answered, and checks that the value is not
// older than the given one.
func (d *data) expectValue(ctx context.Context, c *client.Client, database, key string, least int, counted *reads) {
	GinkgoHelper()
	var result client.Result
	Expect(harness.WaitFor(ctx, d.timer, serveTimeout, func() error {
		limited, cancel := timer.WithTimeout(ctx, d.timer, requestTimeout)
		defer cancel()
		var err error
		result, err = c.Execute(limited, client.Statement{
			Database:  database,
			Command:   "get",
			Arguments: []string{key},
		})
		return err
	})).To(Succeed())
	Expect(result.Rows).To(HaveLen(1), "%s is missing at %s", key, result.Endpoint)
	value, err := strconv.Atoi(result.Rows[0][0])
	Expect(err).NotTo(HaveOccurred())
	Expect(value).To(BeNumerically(">=", least), "a stale read of %s at %s", key, result.Endpoint)
	counted.add(result)
}

// write puts a number until it is acknowledged.
func (d *data) write(ctx context.Context, c *client.Client, database, key string, value int) {
	GinkgoHelper()
	Expect(harness.WaitFor(ctx, d.timer, serveTimeout, func() error {
		limited, cancel := timer.WithTimeout(ctx, d.timer, requestTimeout)
		defer cancel()
		return d.put(limited, c, database, key, strconv.Itoa(value))
	})).To(Succeed())
}

// roam writes and reads a key, each request at another proxy, until the context
// ends.
func (d *data) roam(ctx, running context.Context, name string, first int, counted *reads) {
	GinkgoHelper()
	session := client.NewSession()
	key := "roam/" + name
	next := first
	at := func() *client.Client {
		next++
		return d.client(d.VMs[next%len(d.VMs)], session)
	}
	for value := 1; running.Err() == nil; value++ {
		d.write(ctx, at(), d.database, key, value)
		d.expectValue(ctx, at(), d.database, key, value, counted)
		d.expectValue(ctx, at(), d.database, key, value, counted)
	}
}

// together runs a function for each number at once.
func together(count int, run func(i int)) {
	var all sync.WaitGroup
	for i := range count {
		all.Go(func() {
			defer GinkgoRecover()
			run(i)
		})
	}
	all.Wait()
}

// togetherWithFault runs a function for each number at once, and a fault after a
// wait.
func (d *data) togetherWithFault(ctx context.Context, wait time.Duration, fault func(), count int, run func(i int)) {
	together(count+1, func(i int) {
		if i < count {
			run(i)
			return
		}
		d.sleep(ctx, wait)
		fault()
	})
}

// expectInLog checks that the final primary holds a value of each key that is not
// older than the given one.
func (d *data) expectInLog(database, key string, least int) {
	GinkgoHelper()
	best := 0
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
				best = value
			}
		}
	}
	Expect(best).To(BeNumerically(">=", least), "%s in the log of the primary", key)
}

// sessionShape has two databases, so that tokens hold more than one position.
func sessionShape() harness.Spec {
	shape := dataShape()
	shape.Databases = harness.Saltmyri().Databases[:2]
	return shape
}

var _ = Describe("Read-your-writes", Ordered, ContinueOnFailure, func() {
	var d *data

	BeforeAll(func(ctx SpecContext) {
		d = startData(context.WithoutCancel(ctx), 52, sessionShape())
	})

	AfterEach(func(ctx SpecContext) { d.finishCase(ctx) })

	// Guards against a replica that answers before it has the session's writes,
	// and against a proxy that loses the position on the way.
	DescribeTable("sessions that move to another proxy on every request", func(ctx SpecContext, fault func(context.Context)) {
		fault(ctx)
		running, cancel := timer.WithTimeout(ctx, d.timer, roamTime)
		defer cancel()
		counted := &reads{}
		together(roamers, func(i int) {
			d.roam(ctx, running, fmt.Sprintf("%s/%d", CurrentSpecReport().LeafNodeText, i), i, counted)
		})
		GinkgoWriter.Printf("%s: %d reads, %d from replicas\n", CurrentSpecReport().LeafNodeText, counted.all, counted.replica)
		Expect(counted.replica).To(BeNumerically(">", 0), "no replica served a read")
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
		Entry("a replica that its primary does not reach", func(context.Context) {
			d.Network.Partition(d.primary().Endpoint, d.replicas()[1].Endpoint)
		}),
	)

	// Guards against a token that replaces one of a concurrent request, whose
	// position is then forgotten.
	It("covers the writes of concurrent requests whose tokens merge", func(ctx SpecContext) {
		Expect(d.PostToMember(ctx, d.replicas()[0], "/lag?value=300ms")).To(Succeed())
		session := client.NewSession()
		counted := &reads{}
		at := func(i int) (c *client.Client, database, key string) {
			return d.client(d.VMs[i%len(d.VMs)], session), d.shape.Databases[i%2], fmt.Sprintf("merged/%d", i)
		}
		for round := 1; round <= mergeRounds; round++ {
			together(mergedKeys, func(i int) {
				c, database, key := at(i)
				d.write(ctx, c, database, key, round)
			})
			together(mergedKeys, func(i int) {
				_, database, key := at(i)
				c, _, _ := at(i + round)
				d.expectValue(ctx, c, database, key, round, counted)
			})
		}
		d.restore(ctx)
		for i := range mergedKeys {
			_, database, key := at(i)
			d.expectInLog(database, key, mergeRounds)
		}
		GinkgoWriter.Printf("%d reads, %d from replicas\n", counted.all, counted.replica)
	})

	// Guards against a read at a primary that was replaced, or at a replica of an
	// older term with a longer log.
	DescribeTable("a failover between write and read", func(ctx SpecContext, fault memberFault) {
		key := "failover/" + CurrentSpecReport().LeafNodeText
		session := client.NewSession()
		counted := &reads{}
		d.write(ctx, d.client(d.VMs[0], session), d.database, key, 1)
		former := d.primary()
		fault(d, former)
		readAll := func(least int) {
			together(len(d.VMs), func(i int) {
				c := d.client(d.VMs[i], client.NewSession(session.Tokens()...))
				d.expectValue(ctx, c, d.database, key, least, counted)
			})
		}
		readAll(1)
		d.waitReplaced(ctx, former)
		d.write(ctx, d.client(d.VMs[1], session), d.database, key, 2)
		readAll(2)
		d.Network.Heal()
		d.revive(former.Process)
		readAll(2)
		d.restore(ctx)
		readAll(2)
		d.expectInLog(d.database, key, 2)
	},
		Entry("killed", killMember),
		Entry("paused", pauseMember),
		Entry("cut off from everything", isolateMember),
		Entry("cut off from the other members", cutBothWays),
	)
})
