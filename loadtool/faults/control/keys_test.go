package control_test

import (
	"context"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/client"
	"amaranthdock.dev/loadtool/harness"
	"amaranthdock.dev/loadtool/workload"
	"amaranthdock.dev/timer"
)

const (
	// maxRevocationTime is the longest time for which a revoked key may still work.
	maxRevocationTime = 5 * time.Second
	// maxAuthorityAge is the authority age above which a VM refuses
	// requests with a key.
	maxAuthorityAge = 4 * time.Second
	// authorityAgeSlack is added to that limit for requests in flight.
	authorityAgeSlack = 2 * time.Second
	// maxRecoveryTime is the longest time until keys work again after a partition.
	maxRecoveryTime = 4 * time.Second
)

// keyID returns the id part of a key.
func keyID(key string) string {
	return strings.Split(key, "_")[1]
}

// startKeyLoads starts a separate load with the key of a workspace for each VM.
func (d *deployment) startKeyLoads(workspace string) map[*harness.VM]*load {
	loads := map[*harness.VM]*load{}
	for _, v := range d.VMs {
		loads[v] = d.startLoad(loadConfig{
			key:       d.declared.Keys[workspace],
			keyPrefix: workspace,
			rate:      40,
			targets:   fixedTargets(v),
			timeout:   2 * time.Second,
		})
	}
	return loads
}

func stopLoads(loads map[*harness.VM]*load) {
	for _, l := range loads {
		l.stop()
	}
}

// expectRejectedWithin fails if a request that was sent later than maxTime after
// revokedAt succeeded or failed for another reason.
func expectRejectedWithin(loads map[*harness.VM]*load, revokedAt time.Time, maxTime time.Duration, reason string) {
	GinkgoHelper()
	for v, l := range loads {
		lastSuccess := time.Duration(0)
		refused := 0
		for _, r := range l.sentBetween(revokedAt, clock.Now()) {
			if r.outcome == client.Done {
				lastSuccess = max(lastSuccess, r.sent.Sub(revokedAt))
				continue
			}
			if r.reason == reason {
				refused++
				Expect(r.outcome).To(Equal(client.NotRun))
			}
		}
		GinkgoWriter.Printf("%s: last successful request sent after %s, then %d times %s\n", v.Name, lastSuccess, refused, reason)
		Expect(lastSuccess).To(BeNumerically("<", maxTime), "last success at %s", v.Name)
		Expect(refused).To(BeNumerically(">", 0), "%s at %s", reason, v.Name)
		for _, r := range l.sentBetween(revokedAt.Add(maxTime), clock.Now()) {
			Expect(r.reason).To(Equal(reason), "%s at %s: %v", r.sent.Sub(revokedAt), v.Name, r.err)
		}
	}
}

// openRequests are an open transaction and a running stream of one key.
type openRequests struct {
	transaction   *client.Transaction
	streamErr     chan error
	streamEndedAt chan time.Time
}

func (d *deployment) startOpenRequests(v *harness.VM, workspace, database string) *openRequests {
	GinkgoHelper()
	ctx, cancel := timer.WithTimeout(context.Background(), clock, 20*time.Second)
	DeferCleanup(cancel)
	c := d.newClient(v, d.declared.Keys[workspace])
	transaction, err := c.Begin(ctx, database)
	Expect(err).NotTo(HaveOccurred())
	_, err = transaction.Execute(ctx, client.Statement{
		Command:   "insert",
		Arguments: []string{"open/" + v.Name, workspace},
		Write:     true,
	})
	Expect(err).NotTo(HaveOccurred())
	r := &openRequests{
		transaction:   transaction,
		streamErr:     make(chan error, 1),
		streamEndedAt: make(chan time.Time, 1),
	}
	go func() {
		_, err := c.Query(ctx, client.Statement{
			Database:  database,
			Command:   "sleep",
			Arguments: []string{"15s"},
			MaxAge:    2 * time.Second,
		}, func([]string) error { return nil })
		r.streamEndedAt <- clock.Now()
		r.streamErr <- err
	}()
	return r
}

var _ = Describe("keys", Ordered, ContinueOnFailure, func() {
	var d *deployment

	BeforeAll(func() {
		d = startDeployment(102, func(config *harness.Config) {
			// Each stream of the specs occupies a slot.
			config.Spec.Slots = 20
		}, withoutLimits)
	})

	It("G6: a revoked key stops working for connected callers", func() {
		// Guards against a revoked key that keeps working for callers that are already
		// connected, in new requests, an open transaction or a running stream.
		const workspace = "inspectors"
		key := d.declared.Keys[workspace]
		loads := d.startKeyLoads(workspace)
		var open []*openRequests
		for i, v := range d.VMs {
			open = append(open, d.startOpenRequests(v, workspace, d.spec.Databases[i%len(d.spec.Databases)]))
		}
		sleep(time.Second)
		startedAt := clock.Now()
		d.mustRunAmaranthctl("key", "revoke", keyID(key))
		GinkgoWriter.Printf("amaranthctl took %s\n", clock.Now().Sub(startedAt))
		for i, r := range open {
			var ended time.Time
			Eventually(r.streamEndedAt, maxRevocationTime).Should(Receive(&ended), "stream at %s", d.VMs[i].Name)
			GinkgoWriter.Printf("%s: the stream ended after %s\n", d.VMs[i].Name, ended.Sub(startedAt))
			_, reason := workload.Classify(<-r.streamErr)
			Expect(reason).To(Equal("keyRevoked"))
			Expect(ended).To(BeTemporally("<", startedAt.Add(maxRevocationTime)))
		}
		sleep(startedAt.Add(maxRevocationTime + time.Second).Sub(clock.Now()))
		stopLoads(loads)
		expectRejectedWithin(loads, startedAt, maxRevocationTime, "keyRevoked")
		for i, r := range open {
			err := r.transaction.Commit(context.Background())
			expectRefused(err, "keyRevoked")
			dump, err := d.fetchDump(d.VMs[i])
			Expect(err).NotTo(HaveOccurred())
			Expect(dump.Endpoint.Transactions).To(BeEmpty(), "transactions at %s", d.VMs[i].Name)
		}
		d.expectNoKeyWithPrefix("open/")
	})

	It("G6: a revoked key stops working in a partitioned region", func() {
		// Guards against a revoked key that keeps working in a region that the
		// partition cuts off from the store, so that its VMs do not learn of the
		// revocation.
		const revoked, kept = "wholesalers", "installers"
		revokedLoads := d.startKeyLoads(revoked)
		keptLoads := d.startKeyLoads(kept)
		sleep(time.Second)
		partitionedAt := clock.Now()
		d.Network.PartitionRegion("maribor")
		sleep(time.Second)
		result := d.runAmaranthctl("key", "revoke", keyID(d.declared.Keys[revoked]))
		GinkgoWriter.Printf("revocation during the partition: code %d, %s%s\n", result.code, result.stdout, result.stderr)
		Expect(result.code).To(BeElementOf(0, 4), result.stderr)
		sleep(partitionedAt.Add(maxAuthorityAge + authorityAgeSlack + 2*time.Second).Sub(clock.Now()))
		healedAt := clock.Now()
		d.Network.Heal()
		sleep(maxRecoveryTime + time.Second)
		stopLoads(revokedLoads)
		stopLoads(keptLoads)
		for _, v := range d.VMs {
			d.expectRevokedKeyInPartition(v, revokedLoads[v], partitionedAt)
		}
		for _, v := range d.VMs {
			d.expectValidKeyInPartition(v, keptLoads[v], partitionedAt, healedAt)
		}
	})

	It("G6: a store outage neither stops callers nor leaves a key revoked at some VMs only", func() {
		// Guards against VMs that refuse requests because the store is down, and
		// against a revocation that only some VMs apply or that is reported as failed
		// but takes effect.
		const workspace = "certificates"
		loads := d.startKeyLoads(workspace)
		sleep(500 * time.Millisecond)
		startedAt := clock.Now()
		d.setStoreFaults(`{"outage":"fail"}`)
		result := d.runAmaranthctl("--timeout", "6s", "key", "revoke", keyID(d.declared.Keys[workspace]))
		duration := clock.Now().Sub(startedAt)
		GinkgoWriter.Printf("revocation during the outage: code %d after %s: %s%s\n", result.code, duration, result.stdout, result.stderr)
		Expect(result.code).To(BeElementOf(1, 5))
		Expect(result.stderr).NotTo(BeEmpty())
		sleep(startedAt.Add(maxAuthorityAge + authorityAgeSlack + time.Second).Sub(clock.Now()))
		for _, l := range loads {
			expectAllDone(l.sentBetween(startedAt, clock.Now().Add(-2*time.Second)), "requests during the outage")
		}
		d.setStoreFaults(`{"outage":"off"}`)
		sleep(2 * time.Second)
		after := clock.Now()
		sleep(time.Second)
		stopLoads(loads)
		total := map[string]int{}
		for _, l := range loads {
			for reason, count := range countReasons(l.sentBetween(after, clock.Now())) {
				total[reason] += count
			}
		}
		Expect(total).To(HaveLen(1), "all VMs must agree on the key")
		if result.code == 1 {
			Expect(total).To(HaveKey(""), "a revocation reported as failed took effect")
		}
		d.mustRunAmaranthctl("key", "revoke", keyID(d.declared.Keys[workspace]))
	})
})

// expectNoKeyWithPrefix fails if a member's log has a write to a key with the prefix.
func (d *deployment) expectNoKeyWithPrefix(prefix string) {
	GinkgoHelper()
	for _, database := range d.spec.Databases {
		for _, log := range d.logs(database) {
			for _, e := range log.Entries {
				for _, w := range e.Writes {
					Expect(w.Key).NotTo(HavePrefix(prefix), "an entry of %s", log.Endpoint)
				}
			}
		}
	}
}

// expectValidKeyInPartition checks a key that was not revoked: once the authority age
// is above its limit, requests with it are refused outside of the store's region and
// succeed within it. After the partition they succeed at every VM.
func (d *deployment) expectValidKeyInPartition(v *harness.VM, l *load, partitionedAt, healedAt time.Time) {
	GinkgoHelper()
	afterLimit := l.sentBetween(partitionedAt.Add(maxAuthorityAge+authorityAgeSlack), healedAt)
	Expect(afterLimit).NotTo(BeEmpty())
	counts := countReasons(afterLimit)
	GinkgoWriter.Printf("%s: after the limit during the partition: %v\n", v.Name, counts)
	if v.Region == d.spec.StoreRegion {
		Expect(counts["configurationStale"]).To(BeZero(), "%s is in the store's region", v.Name)
		Expect(counts[""]).To(BeNumerically(">", 0), "%s is in the store's region: %v", v.Name, counts)
	} else {
		for _, r := range afterLimit {
			Expect(r.received.Sub(r.sent)).To(BeNumerically("<", authorityAgeSlack))
			expectRefused(r.err, "configurationStale")
		}
	}
	GinkgoWriter.Printf("%s: after the partition: %v\n", v.Name, countReasons(l.sentBetween(healedAt, clock.Now())))
	expectAllDone(l.sentBetween(healedAt.Add(maxRecoveryTime), clock.Now()), "requests after the partition")
}

// expectRevokedKeyInPartition checks that no VM accepts a key that was revoked during
// the partition.
func (d *deployment) expectRevokedKeyInPartition(v *harness.VM, l *load, partitionedAt time.Time) {
	GinkgoHelper()
	for _, r := range l.sentBetween(partitionedAt.Add(maxAuthorityAge+authorityAgeSlack), clock.Now()) {
		Expect(r.reason).To(BeElementOf("keyRevoked", "configurationStale"), "%s after the start of the partition at %s: %v",
			r.sent.Sub(partitionedAt), v.Name, r.err)
	}
}
