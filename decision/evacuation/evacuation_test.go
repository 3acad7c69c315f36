package evacuation_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/evacuation"
)

func TestEvacuation(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "evacuation")
}

const (
	limit = 5 * time.Second
	// start is the time at which the first evacuation is requested, and closes the time after
	// which its data centre gets no more requests.
	start  = 100 * time.Second
	closes = start + limit - evacuation.Margin
)

// set returns a set with one evacuated data centre that was requested at start.
func set() evacuation.Set {
	return evacuation.Set{}.Apply(start, []evacuation.Change{requested(10, "a1")}, 0)
}

func requested(revision uint64, dataCentre string) evacuation.Change {
	return evacuation.Change{
		Revision:   revision,
		DataCentre: dataCentre,
		Evacuated:  true,
	}
}

func cancelled(revision uint64, dataCentre string) evacuation.Change {
	return evacuation.Change{
		Revision:   revision,
		DataCentre: dataCentre,
	}
}

// expectAccess checks the access to data centre a1. It guards against requests that reach an
// evacuated data centre after the limit, and against needless refusals before it.
func expectAccess(s evacuation.Set, at time.Duration, expected evacuation.Access) {
	GinkgoHelper()
	Expect(s.Access("a1", at, limit)).To(Equal(expected))
}

var _ = Describe("Set", func() {
	It("permits writes until the margin before the limit", func() {
		expectAccess(evacuation.Set{}, start, evacuation.Open)
		expectAccess(set(), start, evacuation.WritesOnly)
		expectAccess(set(), closes-1, evacuation.WritesOnly)
		expectAccess(set(), closes, evacuation.Closed)
		Expect(set().Access("a2", closes, limit)).To(Equal(evacuation.Open))
	})

	It("leaves time for a missed change and the slow answer of the next watch", func() {
		// Guards against a margin that is shorter than a watch that misses a change.
		Expect(evacuation.Margin).To(BeNumerically(">=", 2860*time.Millisecond+300*time.Millisecond))
	})

	It("holds two data centres that were requested at once or one after the other", func() {
		together := evacuation.Set{}.Apply(start, []evacuation.Change{requested(10, "a1"), requested(10, "a2")}, 0)
		Expect(together.DataCentres()).To(Equal([]string{"a1", "a2"}))
		later := set().Apply(closes, []evacuation.Change{requested(12, "a2")}, 0)
		expectAccess(later, closes, evacuation.Closed)
		Expect(later.Access("a2", closes, limit)).To(Equal(evacuation.WritesOnly))
	})

	It("keeps the time of a request that it receives again", func() {
		// Guards against a limit that starts again with each VM that passes the set on.
		repeated, newer := set().Replace(start+time.Second, 10, map[string]time.Duration{"a1": 0})
		Expect(newer).To(BeFalse())
		repeated, _ = repeated.Replace(start+time.Second, 11, map[string]time.Duration{"a1": 0})
		expectAccess(repeated, closes, evacuation.Closed)
	})

	It("travels between VMs with its age while the store is unavailable", func() {
		// Guards against a VM that learns of an evacuation late and uses the whole limit.
		sentAt, receivedAt := start+time.Second, 900*time.Second
		received, newer := evacuation.Set{}.Replace(receivedAt, 10, set().Ages(sentAt))
		Expect(newer).To(BeTrue())
		expectAccess(received, receivedAt+closes-sentAt-1, evacuation.WritesOnly)
		expectAccess(received, receivedAt+closes-sentAt, evacuation.Closed)
	})

	It("is not replaced by an older one", func() {
		older, newer := set().Replace(start, 9, nil)
		Expect(newer).To(BeFalse())
		expectAccess(older, start, evacuation.WritesOnly)
	})

	It("permits everything again when an evacuation is cancelled partway", func() {
		expectAccess(set().Apply(start+time.Second, []evacuation.Change{cancelled(11, "a1")}, 0), closes, evacuation.Open)
	})

	It("counts the whole limit again for a request right after a cancellation", func() {
		again := set().Apply(closes, []evacuation.Change{cancelled(11, "a1"), requested(12, "a1")}, 0)
		expectAccess(again, closes, evacuation.WritesOnly)
		expectAccess(again, closes+limit-evacuation.Margin, evacuation.Closed)
	})

	It("closes a data centre at once if the begin of its evacuation is unknown", func() {
		// Guards against a VM that starts during an evacuation and uses the whole limit.
		started, _ := evacuation.Set{}.Replace(time.Second, 10, map[string]time.Duration{"a1": 1<<63 - 1})
		expectAccess(started, time.Second, evacuation.Closed)
	})

	It("skips changes that it contains", func() {
		replayed := set().Apply(start+time.Second, []evacuation.Change{cancelled(9, "a1"), requested(10, "a1")}, 0)
		expectAccess(replayed, closes, evacuation.Closed)
	})
})

var _ = Describe("Primary", func() {
	DescribeTable("what happens to statements that need it",
		// Guards against reads in an evacuated data centre, against writes after the limit, and
		// against statements that wait although waiting does not help.
		func(access evacuation.Access, replaceable bool, write, read evacuation.Decision, mustReplace, mayControl bool) {
			p := evacuation.Primary{
				Access:      access,
				Replaceable: replaceable,
			}
			Expect(p.Decide(false)).To(Equal(write))
			Expect(p.Decide(true)).To(Equal(read))
			Expect(p.MustReplace()).To(Equal(mustReplace))
			Expect(p.MayControl()).To(Equal(mayControl))
		},
		Entry("not evacuated", evacuation.Open, true, evacuation.Send, evacuation.Send, false, true),
		Entry("during its replacement", evacuation.WritesOnly, true, evacuation.Send, evacuation.Await, true, true),
		Entry("evacuated with all other endpoints", evacuation.WritesOnly, false, evacuation.Send, evacuation.Refuse, false, true),
		Entry("not replaced before the limit", evacuation.Closed, true, evacuation.Refuse, evacuation.Refuse, true, true),
		Entry("after the limit with all other endpoints", evacuation.Closed, false, evacuation.Refuse, evacuation.Refuse, false, false),
	)
})
