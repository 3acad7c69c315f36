package failover_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/takeover"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/store"
)

// losePrimary makes the primary unreachable until the promotion of endpoint c was requested, without a
// response.
func (f *fixture) losePrimary() {
	GinkgoHelper()
	f.database.update(func() { f.database.unreachable["a"] = true })
	Eventually(func() []string {
		f.suspectPrimary()
		return f.database.requestedPromotions()
	}).WithTimeout(3 * time.Second).Should(Equal([]string{"c"}))
	f.database.update(func() { f.database.unreachable["a"] = false })
}

// expectSuperseded guards against a promotion request that is carried out late, when the former primary
// leads again, and drops the commits that it has acknowledged meanwhile.
func (f *fixture) expectSuperseded(requests ...string) {
	GinkgoHelper()
	Eventually(f.database.requestedPromotions).WithTimeout(6 * time.Second).Should(Equal(requests))
	Eventually(func() string {
		primary, _ := f.view.Primary("db")
		return primary.Key.ID
	}).WithTimeout(3 * time.Second).Should(Equal("a"))
	Expect(f.database.carryOutLate()).To(HaveEach(MatchError(errOutdatedToken)))
}

var _ = Describe("a promotion request without a response", func() {
	It("is superseded once the former primary leads again", func() {
		f := newFixture()
		f.database.update(func() { f.database.ignoreRequests = 1 })
		f.losePrimary()
		f.expectSuperseded("c", "a")
		Eventually(f.storedIntent).WithTimeout(time.Second).Should(BeZero())
		Consistently(f.database.requestedPromotions).WithTimeout(time.Second).Should(HaveLen(2))
	})

	It("is superseded by a further request if the one that supersedes it gets no response either", func() {
		f := newFixture()
		f.database.update(func() { f.database.ignoreRequests = 3 })
		f.losePrimary()
		f.expectSuperseded("c", "a", "a", "a")
	})

	It("is superseded by the next leader", func() {
		// Guards against a request of a leader that was lost, suspended or cut off before the response.
		f := newFixtureWith(func(f *fixture) {
			value, err := store.Intent{
				Term:      3,
				Step:      takeover.Request,
				Successor: catalog.EndpointKey{ID: "c"},
			}.Encode()
			Expect(err).NotTo(HaveOccurred())
			f.store.revision++
			for key, value := range map[string][]byte{
				intentKey: value,
				tokenKey:  []byte("7"),
			} {
				f.store.items[key] = store.Item{
					Key:      key,
					Value:    value,
					Revision: f.store.revision,
				}
			}
			f.database.late = []promotionRequest{{
				id:    "c",
				token: 7,
			}}
		})
		f.expectSuperseded("a")
	})

	It("that was carried out is not followed by another one", func() {
		// Guards against two promotions of which the second drops the commits of the first.
		f := newFixture()
		f.database.update(func() { f.database.ignoreRequests = 1 })
		f.losePrimary()
		Expect(f.database.carryOutLate()).To(HaveEach(Succeed()))
		f.reportEndpoints("c", nil)
		f.expectPromotion("c")
		Consistently(f.database.requestedPromotions).WithTimeout(3 * time.Second).Should(Equal([]string{"c"}))
	})

	It("keeps writes away from a primary with a synchronous replica until it is superseded", func() {
		// Guards against commits that are acknowledged while the request may still take effect.
		f := newFixture()
		f.requireSyncReplica()
		f.database.update(func() { f.database.ignoreRequests = 2 })
		f.losePrimary()
		Eventually(func() int {
			_, ok := f.view.Primary("db")
			Expect(ok).To(BeFalse())
			return len(f.database.requestedPromotions())
		}).WithTimeout(6 * time.Second).WithPolling(time.Millisecond).Should(Equal(3))
		f.expectSuperseded("c", "a", "a")
	})

	It("that takes effect just before it is superseded decides the primary of synchronous replicas", func() {
		// Guards against writes to the former primary between the request and its effect.
		f := newFixture()
		f.requireSyncReplica()
		f.database.update(func() { f.database.ignoreRequests = 1 })
		f.losePrimary()
		Eventually(f.database.requestedPromotions).WithTimeout(6 * time.Second).Should(Equal([]string{"c", "a"}))
		f.database.update(func() {
			f.database.primary = "c"
			f.database.term++
		})
		Eventually(f.database.requestedPromotions).WithTimeout(6 * time.Second).Should(Equal([]string{"c", "a", "c"}))
		f.reportEndpoints("c", nil)
		f.expectPromotion("c")
	})
})

var _ = Describe("a primary with a synchronous replica that returns before its successor is promoted", func() {
	// returnWhile makes the primary unreachable until the leader reads the last fencing token.
	returnWhile := func(changed func(f *fixture)) *fixture {
		f := newFixture()
		f.requireSyncReplica()
		f.store.onGet = func(string) {
			f.database.update(func() { changed(f) })
		}
		f.database.update(func() { f.database.unreachable["a"] = true })
		Eventually(func() []string {
			f.suspectPrimary()
			return f.database.requestedPromotions()
		}).WithTimeout(6 * time.Second).ShouldNot(BeEmpty())
		return f
	}

	It("stays", func() {
		// Guards against the loss of commits that it acknowledges while the store is slow or the leader is
		// suspended, after the leader has read how much the others have received.
		f := returnWhile(func(f *fixture) {
			f.database.unreachable["a"] = false
			f.database.received["a"], f.database.received["b"] = 60, 60
		})
		Expect(f.database.requestedPromotions()).To(Equal([]string{"a"}))
	})

	It("and is lost again is succeeded by the endpoint that has received its last commits", func() {
		// Guards against the loss of commits that it acknowledges in a short return.
		f := returnWhile(func(f *fixture) { f.database.received["b"] = 60 })
		Expect(f.database.requestedPromotions()).To(Equal([]string{"b"}))
	})
})
