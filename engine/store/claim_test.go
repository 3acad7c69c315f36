package store_test

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/limits"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/store"
	"amaranthdock.dev/timer"
)

// writeClaims writes the claims of VMs of the region a, with the processes for which they were
// added.
func (f *fixture) writeClaims(processes map[string]uint16) {
	GinkgoHelper()
	value, err := json.Marshal(map[string]map[string]uint16{"a": processes})
	Expect(err).NotTo(HaveOccurred())
	_, err = f.fake.Commit(f.ctx, store.Change{Writes: []store.Write{{
		Key:   "amaranthdock/claims",
		Value: value,
	}}})
	Expect(err).NotTo(HaveOccurred())
}

// claims returns the VMs with a claim in the store.
func (f *fixture) claims() []string {
	GinkgoHelper()
	item, ok, err := f.fake.Get(f.ctx, "amaranthdock/claims")
	Expect(err).NotTo(HaveOccurred())
	if !ok {
		return nil
	}
	claims := map[string]map[string]uint16{}
	Expect(json.Unmarshal(item.Value, &claims)).To(Succeed())
	return slices.Sorted(maps.Keys(claims["a"]))
}

// registration returns what this VM knows about the registration and the claim of a VM.
func (f *fixture) registration(vm string) catalog.VM {
	registrations, _ := f.view.Registrations()
	return registrations.ByName[vm]
}

var _ = Describe("a claim to shares of limits", func() {
	const lease = 1000
	var (
		f     *fixture
		clock *timer.Manual
	)

	// advance lets time pass in small steps. After each step it waits until the registration
	// and the polling of the fleet sleep again.
	advance := func(total time.Duration) {
		GinkgoHelper()
		const step = 250 * time.Millisecond
		for elapsed := time.Duration(0); elapsed < total; elapsed += step {
			clock.Advance(step)
			Eventually(clock.Subscribers).WithPolling(time.Millisecond).Should(BeNumerically(">=", 2))
		}
	}
	lead := func() {
		f.fake.set(func() {
			f.fake.items[store.LeaderKey] = store.Item{
				Key:   store.LeaderKey,
				Value: []byte("self"),
			}
		})
	}

	BeforeEach(func() {
		clock = timer.NewManual(timer.ManualConfig{Start: time.Unix(1000, 0)})
		f = newFixtureWithTimer(clock)
		f.registerOthers(lease, "vm1")
		f.writeClaims(map[string]uint16{"vm1": 5})
		go f.syncer.Register(f.ctx)
		go f.syncer.FollowFleet(f.ctx)
		advance(2 * time.Second)
		Expect(f.fleet()).To(ConsistOf("self", "vm1"))
	})

	It("outlasts the registration, without which the VM is no home any more", func() {
		// Guards against shares of a VM that cannot be heard that go to others at once.
		Expect(f.registration("vm1")).To(HaveField("Lapsed", false))
		f.fake.expireLease(lease)
		advance(3 * time.Second)
		Expect(f.fleet()).To(ConsistOf("self"))
		Expect(f.registration("vm1")).To(And(HaveField("Lapsed", true), HaveField("Region", "a")))
	})

	It("is added by the leader for each VM that registers", func() {
		// Guards against a VM that never gets shares.
		Expect(f.registration("self")).To(HaveField("Unclaimed", true))
		Expect(f.claims()).To(Equal([]string{"vm1"}))
		lead()
		advance(4 * time.Second)
		Expect(f.claims()).To(Equal([]string{"self", "vm1"}))
		Expect(f.registration("self")).To(HaveField("Unclaimed", false))
		f.registerOthers(lease+1, "vm2")
		advance(4 * time.Second)
		Expect(f.claims()).To(Equal([]string{"self", "vm1", "vm2"}))
	})

	It("is removed by the leader once the registration has been lapsed for long", func() {
		// Guards against shares of a VM that is gone for good and that nobody ever uses.
		lead()
		advance(4 * time.Second)
		f.fake.expireLease(lease)
		advance(9 * time.Second)
		Expect(f.claims()).To(HaveLen(2))
		advance(6 * time.Second)
		Expect(f.claims()).To(Equal([]string{"self"}))
		registrations, _ := f.view.Registrations()
		Expect(registrations.ByName).NotTo(HaveKey("vm1"))
	})

	It("is removed sooner by a leader that has made current reads before", func() {
		// Guards against shares that nobody may use for the time that the previous leader had
		// counted already. The VMs next in rank read the fleet while the leader is lost.
		f.writeClaims(map[string]uint16{
			"self": 1,
			"vm1":  5,
		})
		f.fake.expireLease(lease)
		for range 12 {
			f.syncer.RefreshFleet()
			advance(250 * time.Millisecond)
		}
		ranges := f.fake.countRanges()
		lead()
		advance(6 * time.Second)
		Expect(f.claims()).To(HaveLen(2))
		advance(3 * time.Second)
		Expect(f.claims()).To(Equal([]string{"self"}))
		Expect(f.fake.countRanges() - ranges).To(BeNumerically("<=", 10))
	})

	It("is not removed sooner by a leader that has made stale reads before", func() {
		// Guards against a leader that takes old data for recent: the VM may have registered since.
		f.writeClaims(map[string]uint16{
			"self": 1,
			"vm1":  5,
		})
		f.fake.expireLease(lease)
		advance(9 * time.Second)
		lead()
		advance(9 * time.Second)
		Expect(f.claims()).To(HaveLen(2))
		advance(4 * time.Second)
		Expect(f.claims()).To(Equal([]string{"self"}))
	})

	It("is not removed if the VM registers at the same time", func() {
		// Guards against shares that others use although the VM may use them, too.
		lead()
		advance(4 * time.Second)
		f.fake.expireLease(lease)
		f.fake.set(func() { f.fake.delayNextCommit = true })
		var delayed store.Change
		for delayed.Writes == nil {
			advance(250 * time.Millisecond)
			f.fake.set(func() { delayed = f.fake.delayed })
		}
		f.registerOthers(lease+1, "vm1")
		_, err := f.fake.Commit(f.ctx, delayed)
		Expect(err).To(MatchError(store.ErrConflict))
	})

	It("is not removed by another VM, or while the VM is registered", func() {
		lead()
		advance(30 * time.Second)
		Expect(f.claims()).To(HaveLen(2))
		f.fake.set(func() { delete(f.fake.items, store.LeaderKey) })
		f.fake.expireLease(lease)
		advance(30 * time.Second)
		Expect(f.claims()).To(HaveLen(2))
	})

	It("is not removed soon by a leader that does not hear most of its neighbours", func() {
		// Guards against a leader that is cut off from the fleet and ends the claims of the VMs
		// that go on without the store.
		lead()
		advance(4 * time.Second)
		f.isolated.Store(true)
		f.fake.expireLease(lease)
		advance(50 * time.Second)
		Expect(f.claims()).To(HaveLen(2))
		advance(20 * time.Second)
		Expect(f.claims()).To(HaveLen(1))
	})

	It("is read again before it is written by a leader whose data was stale", func() {
		// Guards against claims that another leader has added and that are lost.
		advance(4 * time.Second)
		items, revision, err := f.fake.Range(f.ctx, "amaranthdock/", false)
		Expect(err).NotTo(HaveOccurred())
		f.writeClaims(map[string]uint16{
			"vm1": 5,
			"vm2": 6,
		})
		lead()
		f.fake.set(func() {
			f.fake.serveOldReads, f.fake.oldRevision = true, revision
			f.fake.oldItems = append(items, f.fake.items[store.LeaderKey])
		})
		advance(6 * time.Second)
		Expect(f.claims()).To(Equal([]string{"self", "vm1", "vm2"}))
	})

	It("allows the use of shares until it may have been removed", func() {
		f.isolated.Store(true)
		Expect(f.syncer.MayUseShares()).To(BeTrue())
		f.fake.set(func() { f.fake.unreachable = true })
		advance(12 * time.Second)
		Expect(f.syncer.MayUseShares()).To(BeTrue())
		advance(3 * time.Second)
		Expect(f.syncer.MayUseShares()).To(BeFalse())
		f.isolated.Store(false)
		Expect(f.syncer.MayUseShares()).To(BeTrue())
	})
})

var _ = Describe("a process whose VM has a claim but no registration", func() {
	DescribeTable("resumes its shares only if the claim was added for an earlier process",
		// Guards against 2 s of refusals after a start, and against a process that joins and uses
		// shares that others still hold.
		func(process uint16, expected limits.Start) {
			f := newFixture()
			f.writeClaims(map[string]uint16{"self": process})
			go f.syncer.Register(f.ctx)
			go f.syncer.FollowFleet(f.ctx)
			Eventually(f.syncer.Start).WithTimeout(2 * time.Second).Should(Equal(expected))
		},
		Entry("an earlier one", uint16(7), limits.Resumed{}),
		Entry("this one", uint16(1), limits.NewFleet{}),
	)
})

var _ = Describe("a registration that the store carries out late", func() {
	It("does not replace a later one", func() {
		// Guards against a key that hangs on a lease that nobody renews, while the VM renews
		// another one and so never registers again.
		f := newFixture()
		go f.syncer.Register(f.ctx)
		Eventually(func() []string { return f.fake.keys("amaranthdock/vms/") }).Should(HaveLen(1))
		f.fake.set(func() { f.fake.delayNextCommit = true })
		f.fake.expireAllLeases()
		Eventually(func() []string { return f.fake.keys("amaranthdock/vms/") }).WithTimeout(4 * time.Second).Should(HaveLen(1))
		f.fake.mu.Lock()
		delayed := f.fake.delayed
		f.fake.mu.Unlock()
		_, err := f.fake.Commit(f.ctx, delayed)
		Expect(err).To(MatchError(store.ErrConflict))
		f.fake.expireLease(delayed.Writes[0].Lease)
		Consistently(func() []string { return f.fake.keys("amaranthdock/vms/") }).Should(HaveLen(1))
	})
})
