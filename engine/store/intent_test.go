package store_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/takeover"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/store"
)

var _ = Describe("the intent of a leader", func() {
	intent := store.Intent{
		Primary: catalog.EndpointKey{
			ID:   "e1",
			Born: time.UnixMilli(1_700_000_000_123).UTC(),
		},
		Term: 3,
		Step: takeover.Promote,
		Successor: catalog.EndpointKey{
			ID:   "e2",
			Born: time.UnixMilli(1_700_000_000_456).UTC(),
		},
		Contested: true,
		Cause:     "the primary is draining",
	}
	decode := func(items ...store.Item) (map[string]store.StoredIntent, []string) {
		var invalid []string
		return store.DecodeIntents(items, func(key string, _ error) { invalid = append(invalid, key) }), invalid
	}
	item := func(value string, revision uint64) store.Item {
		return store.Item{
			Key:      store.IntentPrefix + "db",
			Value:    []byte(value),
			Revision: revision,
		}
	}
	token := func(revision uint64) store.Item {
		return store.Item{
			Key:      store.FencingTokenPrefix + "db",
			Value:    []byte("4"),
			Revision: revision,
		}
	}

	It("is read with the registrations, without a further call", func() {
		// Guards against a new leader that pays for the intents, or does not know them.
		f := newFixture()
		value, err := intent.Encode()
		Expect(err).NotTo(HaveOccurred())
		f.fake.set(func() { f.fake.items[store.IntentPrefix+"db"] = item(string(value), 7) })
		Expect(f.syncer.Intents()).To(BeNil())
		go f.syncer.Register(f.ctx)
		go f.syncer.FollowFleet(f.ctx)
		Eventually(f.syncer.Intents).WithTimeout(2 * time.Second).ShouldNot(BeNil())
		Expect(f.fake.countRanges()).To(Equal(1))
		read := f.syncer.Intents()
		Expect(read.Leaderless).To(BeTrue())
		Expect(read.Revision).To(BeNumerically(">", 0))
		Expect(read.ByDatabase).To(Equal(map[string]store.StoredIntent{"db": {
			Intent:   intent,
			Revision: 7,
		}}))
	})

	It("is superseded by a later fencing token, but not by that of its own promotion", func() {
		// Guards against an intent that is carried out after another promotion.
		value, err := intent.Encode()
		Expect(err).NotTo(HaveOccurred())
		for revision, superseded := range map[uint64]bool{
			6: false,
			7: false,
			8: true,
		} {
			intents, _ := decode(item(string(value), 7), token(revision))
			Expect(intents["db"].Superseded).To(Equal(superseded), "revision %d", revision)
		}
	})

	DescribeTable("is ignored if it is not complete",
		// Guards against a leader of a later build with steps that this one does not know.
		func(value string) {
			intents, invalid := decode(item(value, 7))
			Expect(intents).To(BeEmpty())
			Expect(invalid).To(Equal([]string{store.IntentPrefix + "db"}))
		},
		Entry("no JSON", "x"),
		Entry("no endpoint", `{"step":"stepDown","term":3}`),
		Entry("an unknown step", `{"endpoint":"e1","step":"later"}`),
		Entry("a promotion without a successor", `{"endpoint":"e1","step":"promote"}`),
		Entry("a request without a successor", `{"endpoint":"e1","step":"request"}`),
	)
})
