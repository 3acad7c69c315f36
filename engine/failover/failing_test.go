package failover_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/engine/catalog"
)

var _ = Describe("a primary that fails its statements while it responds", func() {
	var f *fixture

	// report reports the primary as failing, as its home does, and returns the requested
	// promotions.
	report := func() []string {
		if primary, ok := f.view.Primary("db"); ok {
			f.manager.ReportFailing(primary)
		}
		return f.database.requestedPromotions()
	}

	BeforeEach(func() {
		f = newFixture()
		f.database.update(func() {
			f.database.received = map[string]uint64{
				"a": 50,
				"b": 50,
				"c": 50,
			}
		})
	})

	It("is replaced once if another VM has seen another endpoint serve statements", func() {
		// Guards against writes that fail until the fault of the primary ends, and against
		// promotions that follow each other.
		f.database.update(func() {
			f.database.servesWell = map[string]bool{
				"b": true,
				"c": true,
			}
		})
		f.letPeersReachPrimary()
		Eventually(report).WithTimeout(8 * time.Second).WithPolling(50 * time.Millisecond).Should(HaveLen(1))
		Consistently(report).WithTimeout(2 * time.Second).WithPolling(50 * time.Millisecond).Should(HaveLen(1))
	})

	It("is replaced although it fails each second status request", func() {
		// Guards against a primary that is kept for the time between two replacements because a
		// request in the middle of the first one failed.
		statusRequests := 0
		f.database.update(func() {
			f.database.servesWell = map[string]bool{
				"b": true,
				"c": true,
			}
			f.database.failStatus = func(id string) bool {
				if id == "a" {
					statusRequests++
				}
				return id == "a" && statusRequests%2 == 0
			}
		})
		f.letPeersReachPrimary()
		Eventually(report).WithTimeout(8 * time.Second).WithPolling(50 * time.Millisecond).Should(HaveLen(1))
	})

	// failAllStatusRequests makes the primary drop each status request of the leader, while other
	// VMs have seen other endpoints serve statements.
	failAllStatusRequests := func(reachedByOthers bool) {
		f.database.update(func() {
			f.database.servesWell = map[string]bool{
				"b": true,
				"c": true,
			}
			f.database.failStatus = func(id string) bool { return id == "a" }
		})
		for _, p := range f.peers {
			p.mu.Lock()
			p.servesWell, p.reachesPrimary = true, reachedByOthers
			p.mu.Unlock()
		}
	}

	It("stays if it fails all status requests of the leader but other VMs reach it", func() {
		// Guards against the loss of commits that a primary acknowledges which is alive: without
		// synchronous replicas, the successor may lack them.
		failAllStatusRequests(true)
		Consistently(report).WithTimeout(3 * time.Second).WithPolling(50 * time.Millisecond).Should(BeEmpty())
	})

	It("is replaced if it fails all status requests and no other VM reaches it", func() {
		// Guards against a primary that is kept for the time between two replacements although
		// the loss is confirmed.
		failAllStatusRequests(false)
		Eventually(report).WithTimeout(3 * time.Second).WithPolling(50 * time.Millisecond).Should(HaveLen(1))
	})

	It("is not replaced if only the VM that reported it has seen another endpoint serve statements", func() {
		// Guards against a promotion for a fault of a single VM or of its link to the primary.
		f.database.update(func() {
			f.database.servesWell = map[string]bool{
				"b": true,
				"c": true,
			}
		})
		f.view.AcceptVMs(&catalog.VMSnapshot{
			Revision: 1000,
			ByName:   map[string]catalog.VM{"self": f.view.Self()},
		}, "test")
		Consistently(report).WithTimeout(2 * time.Second).WithPolling(50 * time.Millisecond).Should(BeEmpty())
	})

	It("is replaced as soon as a replica has nearly the whole log", func() {
		// Guards against a primary that is kept for the time between two replacements because its
		// replicas were behind at the first attempt, which did not replace it.
		f.requireSyncReplica()
		f.database.update(func() {
			f.database.received["a"] = 500
			f.database.servesWell = map[string]bool{
				"b": true,
				"c": true,
			}
		})
		f.letPeersReachPrimary()
		Consistently(report).WithTimeout(time.Second).WithPolling(50 * time.Millisecond).Should(BeEmpty())
		f.database.update(func() { f.database.received["b"] = 500 })
		Eventually(report).WithTimeout(4 * time.Second).WithPolling(50 * time.Millisecond).Should(Equal([]string{"b"}))
	})

	It("gets no control commands if all other endpoints are in evacuated data centres", func() {
		// Guards against an attempt that cannot succeed and uses up the time between two
		// replacements.
		f.place(map[string]string{
			"a": "a1",
			"b": "b1",
			"c": "a2",
		})
		f.evacuate(1, "b1", "a2")
		f.database.update(func() {
			f.database.servesWell = map[string]bool{
				"b": true,
				"c": true,
			}
		})
		primary, ok := f.view.Primary("db")
		Expect(ok).To(BeTrue())
		f.queried()
		f.manager.RecordFailing(primary, "other")
		Consistently(f.queried).WithTimeout(time.Second).ShouldNot(ContainElement("a"))
	})

	It("is not replaced if no endpoint of the database serves statements", func() {
		// Guards against a promotion for statements that fail everywhere.
		Consistently(report).WithTimeout(2 * time.Second).WithPolling(50 * time.Millisecond).Should(BeEmpty())
	})
})
