package store_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/engine/store"
	"amaranthdock.dev/timer"
)

// claimOthers writes registrations of other VMs under a lease, and their claims.
func (f *fixture) claimOthers(lease uint64, names ...string) {
	GinkgoHelper()
	f.registerOthers(lease, names...)
	var change store.Change
	for _, name := range names {
		change.Writes = append(change.Writes, store.Write{
			Key:   "amaranthdock/claims/" + name,
			Value: []byte(validRegistration),
		})
	}
	_, err := f.fake.Commit(f.ctx, change)
	Expect(err).NotTo(HaveOccurred())
}

// claims returns the claims in the store.
func (f *fixture) claims() []string {
	return slices.Sorted(slices.Values(f.fake.keys("amaranthdock/claims/")))
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
		f.claimOthers(lease, "vm1")
		go f.syncer.Register(f.ctx)
		go f.syncer.FollowFleet(f.ctx)
		advance(2 * time.Second)
		Expect(f.claims()).To(Equal([]string{"amaranthdock/claims/self", "amaranthdock/claims/vm1"}))
		Expect(f.fleet()).To(ConsistOf("self", "vm1"))
	})

	It("outlasts the registration, without which the VM is no home any more", func() {
		// Guards against shares of a VM that cannot be heard that go to others at once.
		f.fake.expireLease(lease)
		advance(3 * time.Second)
		Expect(f.fleet()).To(ConsistOf("self"))
		registrations, _ := f.view.Registrations()
		Expect(registrations.ByName).To(HaveKeyWithValue("vm1", HaveField("Lapsed", true)))
		Expect(registrations.ByName).To(HaveKeyWithValue("self", HaveField("Lapsed", false)))
	})

	It("is removed by the leader once the registration has been lapsed for long", func() {
		// Guards against shares of a VM that is gone for good and that nobody ever uses.
		lead()
		f.fake.expireLease(lease)
		advance(9 * time.Second)
		Expect(f.claims()).To(HaveLen(2))
		advance(6 * time.Second)
		Expect(f.claims()).To(Equal([]string{"amaranthdock/claims/self"}))
		registrations, _ := f.view.Registrations()
		Expect(registrations.ByName).NotTo(HaveKey("vm1"))
	})

	It("is not removed by another VM, or while the VM is registered", func() {
		advance(30 * time.Second)
		Expect(f.claims()).To(HaveLen(2))
		f.fake.expireLease(lease)
		advance(30 * time.Second)
		Expect(f.claims()).To(HaveLen(2))
	})

	It("is not removed soon by a leader that does not hear most of its neighbours", func() {
		// Guards against a leader that is cut off from the fleet and ends the claims of the VMs
		// that go on without the store.
		lead()
		f.isolated.Store(true)
		f.fake.expireLease(lease)
		advance(50 * time.Second)
		Expect(f.claims()).To(HaveLen(2))
		advance(20 * time.Second)
		Expect(f.claims()).To(HaveLen(1))
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
