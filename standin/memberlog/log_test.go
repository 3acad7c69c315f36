package memberlog_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/standin/memberlog"
)

func TestMemberlog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "memberlog")
}

// primary returns a log that leads a term and holds one entry for each id.
func primary(term uint64, ids ...string) *memberlog.Log {
	GinkgoHelper()
	log := memberlog.New()
	lead(log, term, ids...)
	return log
}

func lead(log *memberlog.Log, term uint64, ids ...string) {
	GinkgoHelper()
	_, fenced := log.Fence(term, "claimant")
	Expect(fenced).To(BeTrue())
	_, promoted := log.Promote(term, "claimant")
	Expect(promoted).To(BeTrue())
	for _, id := range ids {
		_, _, committed := log.Commit(memberlog.Entry{RequestID: id})
		Expect(committed).To(BeTrue())
	}
}

// replicate sends everything from an index on.
func replicate(from, to *memberlog.Log, index uint64) memberlog.AppendResult {
	var previous logpos.Position
	if e, ok := from.At(index - 1); ok {
		previous = e.Position()
	}
	return to.Append(memberlog.AppendRequest{
		Term:     from.FencedTerm(),
		Claimant: from.Claimant(),
		Previous: previous,
		Entries:  from.Entries(index, 100),
	})
}

var _ = Describe("Log", func() {
	DescribeTable("accepts a term once and for one claimant (guards against two primaries of a term)",
		func(term uint64, claimant string, accepted bool) {
			log := memberlog.New()
			log.Fence(2, "first")
			_, ok := log.Fence(term, claimant)
			Expect(ok).To(Equal(accepted))
		},
		Entry("term 0", uint64(0), "first", false),
		Entry("a lower term", uint64(1), "first", false),
		Entry("the same claimant again", uint64(2), "first", true),
		Entry("another claimant", uint64(2), "second", false),
		Entry("a higher term", uint64(3), "second", true),
	)

	DescribeTable("promotes only the claimant of the term (guards against a late claimant)",
		func(term uint64, claimant string, accepted bool) {
			log := memberlog.New()
			log.Fence(2, "first")
			_, ok := log.Promote(term, claimant)
			Expect(ok).To(Equal(accepted))
			Expect(log.Leads()).To(Equal(accepted))
		},
		Entry("a lower term", uint64(1), "first", false),
		Entry("a term not fenced", uint64(3), "first", false),
		Entry("another claimant", uint64(2), "second", false),
		Entry("its claimant", uint64(2), "first", true),
	)

	It("promotes nobody twice in a term (guards against a repeated promote after a restart)", func() {
		log := primary(1).Restart()
		Expect(log.Leads()).To(BeFalse())
		_, ok := log.Promote(1, "claimant")
		Expect(ok).To(BeFalse())
		replica := memberlog.New()
		replicate(primary(1), replica, 1)
		_, ok = replica.Promote(1, "claimant")
		Expect(ok).To(BeFalse())
	})

	It("refuses commits after a fence (guards against a write by a replaced primary)", func() {
		log := primary(1)
		log.Fence(2, "other")
		_, _, ok := log.Commit(memberlog.Entry{RequestID: "w"})
		Expect(ok).To(BeFalse())
	})

	It("truncates a divergent suffix and forgets its request ids (guards against a false duplicate)", func() {
		old := primary(1, "shared", "lost")
		next := memberlog.New()
		Expect(replicate(primary(1, "shared"), next, 1).Accepted).To(BeTrue())
		lead(next, 2, "kept")
		Expect(replicate(next, old, 3).Accepted).To(BeTrue())
		_, found := old.Find("lost")
		Expect(found).To(BeFalse())
		Expect(old.Entries(1, 100)).To(Equal(next.Entries(1, 100)))
		Expect(replicate(next, old, 2).Changes).To(BeEmpty(), "a repeated append changes nothing")
	})

	DescribeTable("refuses entries that do not fit (guards against a gap)",
		func(replica *memberlog.Log, from uint64, limit uint64) {
			done := replicate(primary(2, "a", "b"), replica, from)
			Expect(done.Accepted).To(BeFalse())
			Expect(done.MatchLimit).To(Equal(limit))
		},
		Entry("an empty log", memberlog.New(), uint64(3), uint64(0)),
		Entry("another term before", primary(1, "x", "y"), uint64(3), uint64(1)),
		Entry("a higher term", primary(3), uint64(1), uint64(0)),
	)

	It("follows a term whose fence it missed (guards against a second claimant of the term)", func() {
		replica := memberlog.New()
		Expect(replicate(primary(2, "a"), replica, 1).Accepted).To(BeTrue())
		_, ok := replica.Fence(2, "other")
		Expect(ok).To(BeFalse())
	})

	It("is the same log after its changes are replayed (guards against a loss at a restart)", func() {
		log := memberlog.New()
		changes, _ := log.Fence(1, "claimant")
		more, _ := log.Promote(1, "claimant")
		changes = append(changes, more...)
		_, more, _ = log.Commit(memberlog.Entry{RequestID: "w"})
		changes = append(changes, more...)
		next := memberlog.New()
		lead(next, 2, "x")
		changes = append(changes, replicate(next, log, 1).Changes...)
		replayed := memberlog.New()
		for _, change := range changes {
			replayed.Replay(change)
		}
		Expect(replayed).To(Equal(log.Restart()))
	})
})
