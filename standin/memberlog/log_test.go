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

// newPrimary returns the log of a primary of a term, with one entry for each
// request ID.
func newPrimary(term uint64, ids ...string) *memberlog.Log {
	GinkgoHelper()
	log := memberlog.New()
	makePrimary(log, term, ids...)
	return log
}

func makePrimary(log *memberlog.Log, term uint64, ids ...string) {
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

// replicate appends all entries of one log from an index on to another log.
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
	DescribeTable("accepts a term from one claimant only (guards against two primaries of a term)",
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

	DescribeTable("accepts a promotion only from the claimant of the term (guards against a claimant whose term was superseded)",
		func(term uint64, claimant string, accepted bool) {
			log := memberlog.New()
			log.Fence(2, "first")
			_, ok := log.Promote(term, claimant)
			Expect(ok).To(Equal(accepted))
			Expect(log.IsPrimary()).To(Equal(accepted))
		},
		Entry("a lower term", uint64(1), "first", false),
		Entry("a term not fenced", uint64(3), "first", false),
		Entry("another claimant", uint64(2), "second", false),
		Entry("the claimant of the term", uint64(2), "first", true),
	)

	It("follows the primary that another claimant promoted in the accepted term (guards against a replica without entries until the next term)", func() {
		primary, replica := memberlog.New(), memberlog.New()
		primary.Fence(5, "winner")
		_, promoted := primary.Promote(5, "winner")
		Expect(promoted).To(BeTrue())
		_, fenced := replica.Fence(5, "loser")
		Expect(fenced).To(BeTrue())
		Expect(replicate(primary, replica, 1).Accepted).To(BeTrue())
		Expect(replica.Last()).To(Equal(primary.Last()))
		_, promoted = replica.Promote(5, "loser")
		Expect(promoted).To(BeFalse())
		_, followed := primary.FollowPrimary(5, "other")
		Expect(followed).To(BeFalse(), "a primary follows no other of its term")
	})

	It("rejects a promotion in a term that has entries (guards against a promotion that is repeated after a restart)", func() {
		log := newPrimary(1).Restart()
		Expect(log.IsPrimary()).To(BeFalse())
		_, ok := log.Promote(1, "claimant")
		Expect(ok).To(BeFalse())
		replica := memberlog.New()
		replicate(newPrimary(1), replica, 1)
		_, ok = replica.Promote(1, "claimant")
		Expect(ok).To(BeFalse())
	})

	It("rejects commits after a fence (guards against a write by a replaced primary)", func() {
		log := newPrimary(1)
		log.Fence(2, "other")
		_, _, ok := log.Commit(memberlog.Entry{RequestID: "w"})
		Expect(ok).To(BeFalse())
	})

	It("truncates a divergent suffix and removes its request IDs (guards against a request that is wrongly taken for a repetition)", func() {
		oldPrimary := newPrimary(1, "shared", "lost")
		newPrimaryLog := memberlog.New()
		Expect(replicate(newPrimary(1, "shared"), newPrimaryLog, 1).Accepted).To(BeTrue())
		makePrimary(newPrimaryLog, 2, "kept")
		Expect(replicate(newPrimaryLog, oldPrimary, 3).Accepted).To(BeTrue())
		_, found := oldPrimary.Find("lost")
		Expect(found).To(BeFalse())
		Expect(oldPrimary.Entries(1, 100)).To(Equal(newPrimaryLog.Entries(1, 100)))
		Expect(replicate(newPrimaryLog, oldPrimary, 2).Changes).To(BeEmpty(), "a repeated append changes nothing")
	})

	DescribeTable("rejects entries that do not follow the log (guards against a gap)",
		func(replica *memberlog.Log, from uint64, limit uint64) {
			result := replicate(newPrimary(2, "a", "b"), replica, from)
			Expect(result.Accepted).To(BeFalse())
			Expect(result.MatchLimit).To(Equal(limit))
		},
		Entry("an empty log", memberlog.New(), uint64(3), uint64(0)),
		Entry("another term before", newPrimary(1, "x", "y"), uint64(3), uint64(1)),
		Entry("a higher term", newPrimary(3), uint64(1), uint64(0)),
	)

	It("accepts a term from its primary after a missed fence (guards against a second claimant of the term)", func() {
		replica := memberlog.New()
		Expect(replicate(newPrimary(2, "a"), replica, 1).Accepted).To(BeTrue())
		_, ok := replica.Fence(2, "other")
		Expect(ok).To(BeFalse())
	})

	It("is equal after its changes are replayed (guards against lost changes after a restart)", func() {
		log := memberlog.New()
		changes, _ := log.Fence(1, "claimant")
		newChanges, _ := log.Promote(1, "claimant")
		changes = append(changes, newChanges...)
		_, newChanges, _ = log.Commit(memberlog.Entry{RequestID: "w"})
		changes = append(changes, newChanges...)
		newPrimaryLog := memberlog.New()
		makePrimary(newPrimaryLog, 2, "x")
		changes = append(changes, replicate(newPrimaryLog, log, 1).Changes...)
		replayed := memberlog.New()
		for _, change := range changes {
			replayed.Replay(change)
		}
		Expect(replayed).To(Equal(log.Restart()))
	})
})
