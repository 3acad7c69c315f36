package failover_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/takeover"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/store"
)

const (
	intentKey = store.IntentPrefix + "db"
	tokenKey  = store.FencingTokenPrefix + "db"
)

// writeIntent writes the intent of a lost leader to replace endpoint a, the primary of term 3. The
// successor is empty unless its promotion may have been requested.
func (f *fixture) writeIntent(successor string) {
	GinkgoHelper()
	intent := store.Intent{
		Primary: catalog.EndpointKey{ID: "a"},
		Term:    3,
		Step:    takeover.StepDown,
		Cause:   "the primary is draining",
	}
	if successor != "" {
		intent.Step, intent.Successor.ID = takeover.Promote, successor
	}
	value, err := intent.Encode()
	Expect(err).NotTo(HaveOccurred())
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.store.revision++
	f.store.items[intentKey] = store.Item{
		Key:      intentKey,
		Value:    value,
		Revision: f.store.revision,
	}
}

// storedIntent returns the intent in the store; false if there is none.
func (f *fixture) storedIntent() (store.StoredIntent, bool) {
	intent, ok := f.store.Intents().ByDatabase["db"]
	return intent, ok
}

// drain reports endpoint a as a draining primary.
func (f *fixture) drain() {
	f.reportEndpoints("a", func(id string, e *catalog.Endpoint) bool {
		e.Draining = id == "a"
		return true
	})
}

// stepDown makes endpoint a a replica for which no other has taken over, as the store's reports say.
func (f *fixture) stepDown() {
	f.database.primary = ""
	f.reportEndpoints("", nil)
}

var _ = Describe("the calls to the store", func() {
	var f *fixture

	BeforeEach(func() {
		f = newFixture()
		f.database.update(func() { f.database.received["b"] = 50 })
		Expect(f.store.takeCalls()).To(Equal([]string{"grant", "commit " + store.LeaderKey}))
	})

	It("of a planned replacement are one more than those of another one", func() {
		f.drain()
		f.expectPromotion("b")
		Expect(f.store.takeCalls()).To(Equal([]string{
			"commit " + intentKey,
			"get " + tokenKey,
			"commit " + tokenKey + " " + intentKey,
		}))
		Consistently(f.store.takeCalls).WithTimeout(2 * time.Second).Should(BeEmpty())
	})

	It("of another promotion are two, of which one writes the intent with the fencing token", func() {
		// Guards against a further call, and against a request that the next leader does not know.
		Consistently(f.store.takeCalls).Should(BeEmpty())
		f.database.update(func() { f.database.unreachable["a"] = true })
		f.expectPromotion("b")
		Expect(f.store.takeCalls()).To(Equal([]string{"get " + tokenKey, "commit " + tokenKey + " " + intentKey}))
	})
})

var _ = Describe("a new leader", func() {
	// lose returns a leader that succeeds one which was lost after the primary had stepped down. The
	// store has responded for too short a time to act on missing reports.
	lose := func(successor string) *fixture {
		return newFixtureWith(func(f *fixture) {
			f.writeIntent(successor)
			f.stepDown()
			f.database.received["b"], f.database.received["c"] = 50, 50
			f.store.steadyFor = time.Second
		})
	}

	It("goes on with a planned replacement after the step down", func() {
		// Guards against a database without a primary until its missing report counts.
		f := lose("")
		Eventually(f.database.requestedPromotions).WithTimeout(time.Second).Should(Equal([]string{"b"}))
		Expect(f.store.takeCalls()).To(Equal([]string{"grant", "commit " + store.LeaderKey, "get " + tokenKey, "commit " + tokenKey + " " + intentKey}))
		intent, ok := f.storedIntent()
		Expect(ok).To(BeTrue())
		Expect(intent.Step).To(Equal(takeover.Promote))
		Expect(intent.Successor.ID).To(Equal("b"))
	})

	It("promotes the endpoint whose promotion may have been requested", func() {
		// Guards against two promotions of different endpoints, of which the first loses commits.
		f := lose("c")
		Eventually(f.database.requestedPromotions).WithTimeout(time.Second).Should(Equal([]string{"c"}))
	})

	It("waits for a successor with the whole log", func() {
		// Guards against the loss of acknowledged commits by a replacement that goes on too soon.
		f := newFixtureWith(func(f *fixture) {
			f.writeIntent("")
			f.stepDown()
			f.store.steadyFor = time.Second
		})
		Consistently(f.database.requestedPromotions).WithTimeout(500 * time.Millisecond).Should(BeEmpty())
		f.database.update(func() { f.database.received["c"] = 50 })
		Eventually(f.database.requestedPromotions).WithTimeout(time.Second).Should(Equal([]string{"c"}))
	})

	It("does not go on while the primary leads or does not respond", func() {
		// Guards against a promotion beside a primary that acknowledges commits.
		for _, unreachable := range []bool{false, true} {
			f := newFixtureWith(func(f *fixture) {
				f.writeIntent("")
				f.database.unreachable["a"] = unreachable
				for _, p := range f.peers {
					p.reachesPrimary = true
				}
			})
			f.expectNoPromotion()
		}
	})

	It("removes the intents of primaries that have been replaced, with one call", func() {
		// Guards against an intent that is carried out after another endpoint has led.
		f := newFixtureWith(func(f *fixture) {
			f.writeIntent("b")
			f.database.primary, f.database.term = "b", 4
			f.reportEndpoints("b", nil)
		})
		Eventually(f.storedIntent).WithTimeout(2 * time.Second).Should(BeZero())
		Expect(f.store.takeCalls()).To(Equal([]string{"grant", "commit " + store.LeaderKey, "commit -" + intentKey}))
		Consistently(f.store.takeCalls).Should(BeEmpty())
		Expect(f.database.requestedPromotions()).To(BeEmpty())
	})

	DescribeTable("goes on with the read that showed that there was no leader",
		// Guards against a wait for the next read, and against an intent that a leader in between may
		// have changed.
		func(age time.Duration, overwritten bool, expected int) {
			f := newFixtureWith(func(f *fixture) {
				f.writeIntent("")
				f.stepDown()
				f.database.received["b"], f.database.received["c"] = 50, 50
				f.store.intentsRead = f.store.Intents()
				f.store.intentsRead.Leaderless = true
				f.store.intentsRead.RequestedAt = f.view.SinceBoot() - age
				if overwritten {
					f.writeIntent("c")
				}
				f.store.steadyFor = time.Minute
			})
			Consistently(f.database.requestedPromotions).WithTimeout(800 * time.Millisecond).Should(Or(BeEmpty(), HaveLen(expected)))
			Expect(f.database.requestedPromotions()).To(HaveLen(expected))
		},
		Entry("a moment ago", time.Duration(0), false, 1),
		Entry("long ago", 10*time.Second, false, 0),
		Entry("and it was changed since", time.Duration(0), true, 0),
	)

	It("ignores an intent that is older than a promotion request", func() {
		// Guards against a leader of an older build, which leaves the intent in the store.
		f := newFixtureWith(func(f *fixture) {
			f.writeIntent("")
			f.store.revision++
			f.store.items[tokenKey] = store.Item{
				Key:      tokenKey,
				Value:    []byte("7"),
				Revision: f.store.revision,
			}
			f.stepDown()
			f.store.steadyFor = time.Second
		})
		Eventually(f.storedIntent).WithTimeout(2 * time.Second).Should(BeZero())
		Expect(f.database.requestedPromotions()).To(BeEmpty())
	})

	It("does not tell a primary again to step down before it knows the intent", func() {
		// Guards against a promotion of another endpoint than the one that may lead already.
		f := newFixtureWith(func(f *fixture) {
			f.writeIntent("c")
			f.store.intentsUnread = true
			f.database.primary = ""
			f.database.received["b"], f.database.received["c"] = 50, 50
			f.drain()
		})
		Consistently(f.database.requestedPromotions).WithTimeout(time.Second).Should(BeEmpty())
		f.store.mu.Lock()
		f.store.intentsUnread = false
		f.store.mu.Unlock()
		Eventually(f.database.requestedPromotions).WithTimeout(2 * time.Second).Should(Equal([]string{"c"}))
	})
})

var _ = Describe("the successor in a planned replacement", func() {
	It("stays the same if its promotion has no effect in time", func() {
		// Guards against the loss of commits that the first successor acknowledges if its promotion
		// takes effect late, just before that of another one.
		f := newFixture()
		f.database.update(func() {
			f.database.received["b"] = 50
			f.database.ignoreRequests = 1
		})
		f.drain()
		Eventually(f.database.requestedPromotions).WithTimeout(2 * time.Second).Should(Equal([]string{"b"}))
		f.database.update(func() { f.database.received["c"] = 50 })
		f.reportEndpoints("", func(id string, e *catalog.Endpoint) bool {
			e.Draining = id != "c"
			return true
		})
		Eventually(f.database.requestedPromotions).WithTimeout(5 * time.Second).Should(Equal([]string{"b", "b"}))
	})
})

var _ = Describe("a leader that does not know the intent of an earlier one", func() {
	DescribeTable("replaces it only if the primary leads",
		// Guards against a planned replacement that fails for ever, and against the promotion of another
		// endpoint than the one whose promotion was requested by a leader in between.
		func(leads bool, successor string) {
			f := newFixtureWith(func(f *fixture) {
				f.store.intentsRead = f.store.Intents()
				f.store.intentsRead.Leaderless = true
				f.store.intentsRead.RequestedAt = f.view.SinceBoot()
				f.writeIntent("c")
				f.database.received["b"], f.database.received["c"] = 50, 50
				if !leads {
					f.database.primary = ""
				}
				f.drain()
			})
			if !leads {
				Consistently(f.database.requestedPromotions).WithTimeout(time.Second).Should(BeEmpty())
				f.store.mu.Lock()
				f.store.intentsRead = nil
				f.store.mu.Unlock()
			}
			Eventually(f.database.requestedPromotions).WithTimeout(2 * time.Second).Should(Equal([]string{successor}))
		},
		Entry("it leads", true, "b"),
		Entry("it has stepped down", false, "c"),
	)
})

var _ = Describe("a primary that does not confirm that it stepped down", func() {
	var f *fixture

	BeforeEach(func() {
		f = newFixture()
		f.letPeersReachPrimary()
		f.database.update(func() { f.database.received["b"] = 50 })
	})

	It("stays if it leads still", func() {
		// Guards against the loss of commits that it acknowledges until its successor leads.
		f.database.update(func() { f.database.ignoreStepDowns = true })
		f.drain()
		Consistently(f.database.requestedPromotions).WithTimeout(2 * time.Second).Should(BeEmpty())
		Expect(f.store.takeCalls()).To(Equal([]string{"grant", "commit " + store.LeaderKey, "commit " + intentKey}))
		f.database.update(func() { f.database.ignoreStepDowns = false })
		f.expectPromotion("b")
	})

	It("is replaced if only its reply was lost", func() {
		// Guards against a database without a primary until its missing report counts.
		f.database.update(func() { f.database.loseStepDownReplies = true })
		f.drain()
		Eventually(f.database.requestedPromotions).WithTimeout(2 * time.Second).Should(Equal([]string{"b"}))
	})

	It("is not told to step down by a leader that was succeeded", func() {
		// Guards against a step down whose intent the next leader does not know.
		f.succeedLeader()
		f.drain()
		Consistently(func() string {
			f.database.mu.Lock()
			defer f.database.mu.Unlock()
			return f.database.primary
		}).WithTimeout(time.Second).Should(Equal("a"))
	})
})
