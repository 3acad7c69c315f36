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
	// revocationBound is the longest time for which a revoked key may work.
	revocationBound = 5 * time.Second
	// authorityLimit is the age at which a VM refuses requests with a key.
	authorityLimit = 4 * time.Second
	// authoritySlack is added to the limit for the requests under way.
	authoritySlack = 2 * time.Second
	// returnBound after a repair, keys work again.
	returnBound = 4 * time.Second
)

// keyID returns the id of a key.
func keyID(key string) string {
	return strings.Split(key, "_")[1]
}

// keyLoads sends requests with a key to every VM, each VM by itself.
func (d *deployment) keyLoads(workspace string) map[*harness.VM]*load {
	loads := map[*harness.VM]*load{}
	for _, v := range d.VMs {
		loads[v] = d.startLoad(loadConfig{
			key:     d.declared.Keys[workspace],
			marker:  workspace,
			rate:    40,
			targets: always(v),
			timeout: 2 * time.Second,
		})
	}
	return loads
}

func stopAll(loads map[*harness.VM]*load) {
	for _, l := range loads {
		l.stop()
	}
}

// expectStopped fails if a request that was sent after the bound was done, or if
// one was refused for another reason.
func expectStopped(loads map[*harness.VM]*load, since time.Time, bound time.Duration, reason string) {
	GinkgoHelper()
	for v, l := range loads {
		last := time.Duration(0)
		refused := 0
		for _, r := range l.between(since, clock.Now()) {
			if r.outcome == client.Done {
				last = max(last, r.sent.Sub(since))
				continue
			}
			if r.reason == reason {
				refused++
				Expect(r.outcome).To(Equal(client.NotRun))
			}
		}
		GinkgoWriter.Printf("%s: last success sent after %s, then %d times %s\n", v.Name, last, refused, reason)
		Expect(last).To(BeNumerically("<", bound), "last success at %s", v.Name)
		Expect(refused).To(BeNumerically(">", 0), "%s at %s", reason, v.Name)
		for _, r := range l.between(since.Add(bound), clock.Now()) {
			Expect(r.reason).To(Equal(reason), "%s at %s: %v", r.sent.Sub(since), v.Name, r.err)
		}
	}
}

// openWork is a transaction and a stream that are open with a key.
type openWork struct {
	transaction *client.Transaction
	streamEnded chan error
	endedAt     chan time.Time
}

func (d *deployment) openWork(v *harness.VM, workspace, database string) *openWork {
	GinkgoHelper()
	ctx, cancel := timer.WithTimeout(context.Background(), clock, 20*time.Second)
	DeferCleanup(cancel)
	c := d.caller(v, d.declared.Keys[workspace])
	transaction, err := c.Begin(ctx, database)
	Expect(err).NotTo(HaveOccurred())
	_, err = transaction.Execute(ctx, client.Statement{
		Command:   "insert",
		Arguments: []string{"open/" + v.Name, workspace},
		Write:     true,
	})
	Expect(err).NotTo(HaveOccurred())
	w := &openWork{
		transaction: transaction,
		streamEnded: make(chan error, 1),
		endedAt:     make(chan time.Time, 1),
	}
	go func() {
		_, err := c.Query(ctx, client.Statement{
			Database:  database,
			Command:   "sleep",
			Arguments: []string{"15s"},
			MaxAge:    2 * time.Second,
		}, func([]string) error { return nil })
		w.endedAt <- clock.Now()
		w.streamEnded <- err
	}()
	return w
}

var _ = Describe("keys", Ordered, ContinueOnFailure, func() {
	var d *deployment

	BeforeAll(func() {
		d = startControl(102, func(config *harness.Config) {
			// The streams of the specs hold a slot each.
			config.Spec.Slots = 20
		}, withoutLimits)
	})

	It("G6: guards against a revoked key that goes on working for connected callers", func() {
		const workspace = "inspectors"
		key := d.declared.Keys[workspace]
		loads := d.keyLoads(workspace)
		var open []*openWork
		for i, v := range d.VMs {
			open = append(open, d.openWork(v, workspace, d.shape.Databases[i%len(d.shape.Databases)]))
		}
		pause(time.Second)
		began := clock.Now()
		d.mustControl("key", "revoke", keyID(key))
		GinkgoWriter.Printf("amaranthctl took %s\n", clock.Now().Sub(began))
		for i, w := range open {
			var ended time.Time
			Eventually(w.endedAt, revocationBound).Should(Receive(&ended), "stream at %s", d.VMs[i].Name)
			GinkgoWriter.Printf("%s: the stream ended after %s\n", d.VMs[i].Name, ended.Sub(began))
			_, reason := workload.Classify(<-w.streamEnded)
			Expect(reason).To(Equal("keyRevoked"))
			Expect(ended).To(BeTemporally("<", began.Add(revocationBound)))
		}
		pause(began.Add(revocationBound + time.Second).Sub(clock.Now()))
		stopAll(loads)
		expectStopped(loads, began, revocationBound, "keyRevoked")
		for i, w := range open {
			err := w.transaction.Commit(context.Background())
			expectRefused(err, "keyRevoked")
			dump, err := d.tryDump(d.VMs[i])
			Expect(err).NotTo(HaveOccurred())
			Expect(dump.Endpoint.Transactions).To(BeEmpty(), "transactions at %s", d.VMs[i].Name)
		}
		d.expectNoKey("open/")
	})

	It("G6: guards against a revoked key that works in a region that is cut off", func() {
		const revoked, kept = "wholesalers", "installers"
		revokedLoads := d.keyLoads(revoked)
		keptLoads := d.keyLoads(kept)
		pause(time.Second)
		cut := clock.Now()
		d.Network.PartitionRegion("maribor")
		pause(time.Second)
		result := d.control("key", "revoke", keyID(d.declared.Keys[revoked]))
		GinkgoWriter.Printf("revocation during the cut: code %d, %s%s\n", result.code, result.stdout, result.stderr)
		Expect(result.code).To(BeElementOf(0, 4), result.stderr)
		pause(cut.Add(authorityLimit + authoritySlack + 2*time.Second).Sub(clock.Now()))
		healed := clock.Now()
		d.Network.Heal()
		pause(returnBound + time.Second)
		stopAll(revokedLoads)
		stopAll(keptLoads)
		for _, v := range d.VMs {
			d.expectRevokedInCut(v, revokedLoads[v], cut)
		}
		for _, v := range d.VMs {
			d.expectCutOff(v, keptLoads[v], cut, healed)
		}
	})

	It("G6: guards against an outage of the store that stops callers or half revokes a key", func() {
		const workspace = "certificates"
		loads := d.keyLoads(workspace)
		pause(500 * time.Millisecond)
		began := clock.Now()
		d.storeFaults(`{"outage":"fail"}`)
		result := d.control("--timeout", "6s", "key", "revoke", keyID(d.declared.Keys[workspace]))
		took := clock.Now().Sub(began)
		GinkgoWriter.Printf("revocation during the outage: code %d after %s: %s%s\n", result.code, took, result.stdout, result.stderr)
		Expect(result.code).To(BeElementOf(1, 5))
		Expect(result.stderr).NotTo(BeEmpty())
		pause(began.Add(authorityLimit + authoritySlack + time.Second).Sub(clock.Now()))
		for _, l := range loads {
			expectAllDone(l.between(began, clock.Now().Add(-2*time.Second)), "requests during the outage")
		}
		d.storeFaults(`{"outage":"off"}`)
		pause(2 * time.Second)
		after := clock.Now()
		pause(time.Second)
		stopAll(loads)
		total := map[string]int{}
		for _, l := range loads {
			for reason, count := range reasons(l.between(after, clock.Now())) {
				total[reason] += count
			}
		}
		Expect(total).To(HaveLen(1), "all VMs must agree on the key")
		if result.code == 1 {
			Expect(total).To(HaveKey(""), "a revocation reported as failed took effect")
		}
		d.mustControl("key", "revoke", keyID(d.declared.Keys[workspace]))
	})
})

// expectNoKey fails if a member's log holds a key with the prefix.
func (d *deployment) expectNoKey(prefix string) {
	GinkgoHelper()
	for _, database := range d.shape.Databases {
		for _, log := range d.logs(database) {
			for _, e := range log.Entries {
				for _, w := range e.Writes {
					Expect(w.Key).NotTo(HavePrefix(prefix), "an entry of %s", log.Endpoint)
				}
			}
		}
	}
}

// expectCutOff checks a key that was not revoked: it stops in the region that
// was cut off, goes on elsewhere, and works again after the repair.
func (d *deployment) expectCutOff(v *harness.VM, l *load, cut, healed time.Time) {
	GinkgoHelper()
	late := l.between(cut.Add(authorityLimit+authoritySlack), healed)
	Expect(late).NotTo(BeEmpty())
	counts := reasons(late)
	GinkgoWriter.Printf("%s: after the limit in the cut: %v\n", v.Name, counts)
	if v.Region == d.shape.StoreRegion {
		Expect(counts["configurationStale"]).To(BeZero(), "%s is in the store's region", v.Name)
		Expect(counts[""]).To(BeNumerically(">", 0), "%s is in the store's region: %v", v.Name, counts)
	} else {
		for _, r := range late {
			Expect(r.received.Sub(r.sent)).To(BeNumerically("<", authoritySlack))
			expectRefused(r.err, "configurationStale")
		}
	}
	GinkgoWriter.Printf("%s: after the repair: %v\n", v.Name, reasons(l.between(healed, clock.Now())))
	expectAllDone(l.between(healed.Add(returnBound), clock.Now()), "requests after the repair")
}

// expectRevokedInCut checks a key that was revoked during the cut.
func (d *deployment) expectRevokedInCut(v *harness.VM, l *load, cut time.Time) {
	GinkgoHelper()
	for _, r := range l.between(cut.Add(authorityLimit+authoritySlack), clock.Now()) {
		Expect(r.reason).To(BeElementOf("keyRevoked", "configurationStale"), "%s after the cut at %s: %v",
			r.sent.Sub(cut), v.Name, r.err)
	}
}
