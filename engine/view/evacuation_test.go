package view_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/evacuation"
	"amaranthdock.dev/engine/catalog"
)

var _ = Describe("an evacuated data centre", func() {
	var f *fixture
	primary, replica := endpoint("e1", catalog.RolePrimary), endpoint("e2", catalog.RoleReplica)
	replica.DataCentre = "a1"

	evacuate := func(revision uint64, names ...string) {
		ages := map[string]time.Duration{}
		for _, name := range names {
			ages[name] = 0
		}
		f.AcceptEvacuations(revision, ages, "test")
	}

	BeforeEach(func() {
		f = newFixture()
		f.AcceptEndpoints(endpoints(1, primary, replica), "test")
		f.clock.Advance(time.Minute)
	})

	It("gets no reads from the moment this VM knows of it", func() {
		evacuate(1, "a2")
		candidates := f.Candidates("db", nil)
		Expect(candidates).To(HaveLen(1))
		Expect(candidates[0].ID).To(Equal("e2"))
	})

	It("gets nothing after a suspension until after the limit", func() {
		// Guards against a VM that continues with its own monotonic clock after a suspension.
		evacuate(1, "a2")
		Expect(f.PrimaryAccess(primary).Decide(false)).To(Equal(evacuation.Send))
		f.clock.Suspend(evacuationLimit)
		Expect(f.PrimaryAccess(primary).Decide(false)).To(Equal(evacuation.Refuse))
	})

	It("keeps connections only to a primary that still gets writes", func() {
		// Guards against a new connection for each write until the successor leads.
		evacuate(1, "a1", "a2")
		Expect(f.MayKeepConnections(primary)).To(BeTrue())
		Expect(f.MayKeepConnections(replica)).To(BeFalse())
		f.clock.Advance(evacuationLimit)
		Expect(f.MayKeepConnections(primary)).To(BeFalse())
	})

	It("needs no successor for its primary if all endpoints are evacuated or draining", func() {
		evacuate(1, "a1", "a2")
		Expect(f.PrimaryAccess(primary).MustReplace()).To(BeFalse())
		evacuate(2, "a2")
		Expect(f.PrimaryAccess(primary).MustReplace()).To(BeTrue())
		draining := replica
		draining.Draining = true
		f.AcceptEndpoints(endpoints(2, primary, draining), "test")
		Expect(f.PrimaryAccess(primary).MustReplace()).To(BeFalse())
	})

	It("is in use again when the evacuation ends", func() {
		evacuate(1, "a2")
		changed := f.Changed()
		evacuate(2)
		Expect(changed).To(BeClosed())
		Expect(f.Access(primary)).To(Equal(evacuation.Open))
	})
})
