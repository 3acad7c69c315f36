package store_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/confsync"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/store"
	"amaranthdock.dev/timer"
)

// joinFleet registers the VM in a region with other VMs and reports whether it is one of
// the region's readers.
func (f *fixture) joinFleet(others int, leader string) (reader bool) {
	vms := map[string]catalog.VM{"self": f.view.Self()}
	for i := range others {
		name := fmt.Sprintf("vm-%d", i)
		vms[name] = catalog.VM{
			Name:   name,
			Region: f.view.Self().Region,
		}
	}
	f.view.AcceptVMs(&catalog.VMSnapshot{
		Revision: f.view.VMsRevision() + 1,
		ByName:   vms,
		Leader:   leader,
	}, "test")
	return len(f.syncer.Readers()) == 0
}

// countCalls returns the number of watches and of reads of the reports.
func (f *fixture) countCalls() int {
	f.fake.mu.Lock()
	defer f.fake.mu.Unlock()
	return f.fake.watches + len(f.fake.staleReads)
}

// makeNonReader registers the VM in a fleet in which it is not a reader, with recent data
// from a reader.
func (f *fixture) makeNonReader() {
	GinkgoHelper()
	Expect(f.joinFleet(40, "vm-0")).To(BeFalse())
	f.syncer.RecordReaderUpdate(f.sinceBoot(), 1)
}

var _ = Describe("the readers of a region", func() {
	It("grow in number with the region", func() {
		f := newFixture()
		f.joinFleet(39, "")
		Expect(f.syncer.Readers()).To(HaveLen(2))
		f.joinFleet(149, "")
		Expect(f.syncer.Readers()).To(HaveLen(5))
	})

	It("cost no memory to check in a large fleet", func() {
		// Guards against sorting the whole fleet several times a second on each VM, which
		// took 0.003 of a core among 295 VMs.
		f := newFixture()
		f.joinFleet(294, "")
		Expect(testing.AllocsPerRun(100, func() { f.syncer.ReadsStore() })).To(BeNumerically("<", 1))
	})

	It("are all VMs of a small region", func() {
		f := newFixture()
		Expect(f.joinFleet(1, "")).To(BeTrue())
	})

	It("are mostly VMs with a fast link", func() {
		// Guards against a slow link that delays each change of the configuration for 30 VMs.
		fast := 0
		const fleets = 100
		for i := range fleets {
			f := newFixture()
			vms := map[string]catalog.VM{}
			for k := range 20 {
				name := fmt.Sprintf("vm-%d-%d", i, k)
				vms[name] = catalog.VM{
					Name:   name,
					Region: f.view.Self().Region,
					Size:   catalog.VMSize{LinkMbps: 10},
				}
				if k < 4 {
					vm := vms[name]
					vm.Size.LinkMbps = 200
					vms[name] = vm
				}
			}
			f.view.AcceptVMs(&catalog.VMSnapshot{
				Revision: 1,
				ByName:   vms,
			}, "test")
			for _, r := range f.syncer.Readers() {
				if r.Size.LinkMbps == 200 {
					fast++
				}
			}
		}
		// They are 83% of the region's bandwidth and 20% of its VMs.
		Expect(fast).To(BeNumerically(">", 2*fleets*7/10))
	})

	It("exclude a VM that is leaving", func() {
		f := newFixture()
		f.joinFleet(9, "")
		gone := f.syncer.Readers()[0]
		f.view.SetLeaving(gone.Name, gone.Incarnation, true)
		Expect(f.syncer.Readers()).To(HaveLen(2))
		Expect(f.syncer.Readers()).NotTo(ContainElement(gone))
	})
})

var _ = Describe("a VM that starts", func() {
	newFixture := func() *fixture {
		return newFixtureWith(timer.NewSystem(), func(_ *fixture, c *store.Config) { c.IsSeed = false })
	}

	It("does not read the configuration that another VM has sent, and has it confirmed by the store", func() {
		// Guards against a read of the whole configuration by each reader that starts, and against
		// a reader that is not ready until the next change.
		f := newFixture()
		f.joinFleet(0, "")
		f.view.AcceptConfiguration(&catalog.Configuration{Version: 1}, "vm-0")
		f.syncer.RecordConfigurationRevision(1)
		go f.syncer.FollowConfiguration(f.ctx)
		Eventually(f.syncer.ConfigurationLoaded).Should(BeTrue())
		f.fake.set(func() { Expect(f.fake.configurationReads).To(BeZero()) })
	})

	It("leaves the configuration to others until it knows the fleet", func() {
		// Guards against a region whose VMs all read a large configuration over the link between
		// regions at once, so that none of them gets it.
		f := newFixture()
		go f.syncer.FollowConfiguration(f.ctx)
		go f.syncer.FollowReports(f.ctx)
		Consistently(f.countCalls).WithTimeout(1500 * time.Millisecond).Should(BeZero())
		f.joinFleet(0, "")
		f.expectVersion(1)
	})

	It("does not read the registrations that another VM sends", func() {
		// Guards against a read of the whole fleet by each VM at the start of a large one.
		f := newFixture()
		go f.syncer.Register(f.ctx)
		go f.syncer.FollowFleet(f.ctx)
		go f.syncer.FollowReports(f.ctx)
		f.joinFleetWithoutSelf(40)
		Eventually(f.fleet).WithTimeout(time.Second).Should(ContainElement("self"))
		f.syncer.RecordReaderUpdate(f.sinceBoot(), 1)
		Consistently(f.countCalls).WithTimeout(700 * time.Millisecond).Should(BeZero())
		Expect(f.fake.countRanges()).To(BeZero())
	})

	It("reads the registrations if no other VM sends them", func() {
		f := newFixture()
		go f.syncer.Register(f.ctx)
		go f.syncer.FollowFleet(f.ctx)
		Eventually(f.fleet).WithTimeout(2 * time.Second).Should(ConsistOf("self"))
	})

	It("does not count as registered after a later list without it", func() {
		// Guards against a VM that was replaced and still uses its shares of limits.
		f := newFixture()
		f.joinFleetWithoutSelf(2)
		f.view.RecordOwnRegistration(f.view.VMsRevision() + 5)
		Expect(f.fleet()).To(ContainElement("self"))
		f.view.AcceptVMs(&catalog.VMSnapshot{
			Revision: 50,
			ByName:   map[string]catalog.VM{"vm-0": {Name: "vm-0"}},
		}, "test")
		Expect(f.fleet()).To(ConsistOf("vm-0"))
	})
})

// joinFleetWithoutSelf gives the VM registrations of others that are older than its own.
func (f *fixture) joinFleetWithoutSelf(others int) {
	vms := map[string]catalog.VM{}
	for i := range others {
		name := fmt.Sprintf("vm-%d", i)
		vms[name] = catalog.VM{
			Name:   name,
			Region: f.view.Self().Region,
		}
	}
	f.view.AcceptVMs(&catalog.VMSnapshot{
		Revision: 1,
		ByName:   vms,
	}, "test")
}

var _ = Describe("a VM that is not a reader", func() {
	var f *fixture

	BeforeEach(func() { f = newFixture() })

	// Calls to the store from 80 VMs cost 0.06 of the worth of a day.
	It("does not call the store while a reader sends its data", func() {
		// Guards against calls to the store from each VM of a large fleet.
		f.makeNonReader()
		go f.syncer.FollowConfiguration(f.ctx)
		go f.syncer.FollowReports(f.ctx)
		Consistently(f.countCalls).WithTimeout(300 * time.Millisecond).Should(BeZero())
	})

	// Renewals were 576 of 1,202 billed calls of 140 VMs on a quiet day.
	It("renews its registration less often than a reader", func() {
		// Guards against calls to the store that only keep leases.
		f.makeNonReader()
		go f.syncer.Register(f.ctx)
		Consistently(f.fake.countRenewals).WithTimeout(1700 * time.Millisecond).Should(BeZero())
		Eventually(f.fake.countRenewals).WithTimeout(time.Second).Should(Equal(1))
	})

	It("reads the store until its own registration appears", func() {
		Expect(f.syncer.ReadsStore()).To(BeTrue())
	})

	// When 29 VMs read a configuration of 3,600 routes at the same time over a link of
	// 30 Mbit/s, none of them had it after 18 s.
	It("does not read the configuration at the start of a large fleet", func() {
		// Guards against a VM that reads a large configuration at the start, at the same
		// time as all others.
		Expect(f.joinFleet(40, "vm-0")).To(BeFalse())
		go f.syncer.FollowConfiguration(f.ctx)
		Consistently(f.version).WithTimeout(300 * time.Millisecond).Should(BeZero())
		Expect(f.syncer.ConfigurationLoaded()).To(BeFalse())
	})

	It("reads the store at the start if the readers send nothing", func() {
		Expect(f.joinFleet(4, "vm-0")).To(BeFalse())
		go f.syncer.FollowConfiguration(f.ctx)
		f.expectVersion(1)
	})

	It("counts the configuration as loaded once a reader has sent it", func() {
		f.joinFleet(40, "vm-0")
		f.syncer.RecordReaderUpdate(f.sinceBoot(), 5)
		Expect(f.syncer.ConfigurationLoaded()).To(BeFalse(), "the reader sent no configuration")
		f.view.AcceptConfiguration(&catalog.Configuration{Version: 5}, "test")
		f.syncer.RecordReaderUpdate(f.sinceBoot(), 5)
		Expect(f.syncer.ConfigurationLoaded()).To(BeTrue())
	})

	It("watches for changes instead of reading the whole configuration when the readers are lost", func() {
		// Guards against reading the whole configuration again, which the VM already has.
		f.joinFleet(40, "vm-0")
		f.view.AcceptConfiguration(&catalog.Configuration{Version: 1}, "test")
		f.syncer.RecordReaderUpdate(f.sinceBoot()-3*time.Second, 1)
		go f.syncer.FollowConfiguration(f.ctx)
		Eventually(f.syncer.DataAge).Should(BeNumerically("<", time.Second))
		f.fake.set(func() { f.fake.version = 5 })
		f.expectVersion(5)
		f.fake.mu.Lock()
		defer f.fake.mu.Unlock()
		Expect(f.fake.configurationReads).To(BeZero())
	})

	It("reads the store while it is the leader", func() {
		f.makeNonReader()
		f.joinFleet(40, "self")
		Expect(f.syncer.ReadsStore()).To(BeTrue())
	})

	It("reads the store when the readers have lost it", func() {
		// Guards against data that becomes stale because the readers are partitioned from
		// the store.
		f.makeNonReader()
		f.syncer.RecordReaderUpdate(f.sinceBoot()-2*time.Second, 1)
		Expect(f.syncer.ReadsStore()).To(BeFalse(), "older data does not replace newer")
		f = newFixture()
		f.joinFleet(40, "vm-0")
		// No VM of the region ranks after the 41st.
		limit := confsync.MaxUpdateAge + 40*confsync.UpdateAgeSpreadPerVM
		f.syncer.RecordReaderUpdate(f.sinceBoot()-limit-time.Millisecond, 0)
		Expect(f.syncer.ReadsStore()).To(BeTrue())
		go f.syncer.FollowConfiguration(f.ctx)
		f.expectVersion(1)
	})
})

var _ = Describe("the age of the store's data", func() {
	It("is unknown at first", func() {
		Expect(newFixture().syncer.DataAge()).To(Equal(time.Duration(math.MaxInt64)))
	})

	It("is that of the reader's data on a VM that is not a reader", func() {
		f := newFixture()
		f.makeNonReader()
		f.syncer.RecordReaderUpdate(f.sinceBoot()-time.Second, 1)
		Expect(f.syncer.DataAge()).To(BeNumerically("~", 0, time.Second/2))
	})

	It("is the time since the last response on a reader", func() {
		f := newFixture()
		Expect(f.joinFleet(1, "")).To(BeTrue())
		go f.syncer.FollowConfiguration(f.ctx)
		Eventually(f.syncer.DataAge).Should(BeNumerically("<", time.Second))
	})

	It("is unknown on a reader that has lost the store", func() {
		// Guards against a reader that passes on data from before it lost the store.
		f := newFixture()
		Expect(f.joinFleet(1, "")).To(BeTrue())
		go f.syncer.FollowConfiguration(f.ctx)
		Eventually(f.syncer.DataAge).Should(BeNumerically("<", time.Second))
		f.fake.set(func() { f.fake.unreachable = true })
		Eventually(f.syncer.DataAge).Should(Equal(time.Duration(math.MaxInt64)))
	})

	// A renewal of the registration shows that the VM reaches the store, but not that it
	// has read the configuration.
	It("is not reduced by calls that read no data", func() {
		// Guards against a VM that reaches the store without reading it, and reports its
		// data as recent.
		f := newFixture()
		f.makeNonReader()
		go f.syncer.Register(f.ctx)
		Eventually(f.syncer.StoreReachable).Should(BeTrue())
		f.syncer.RecordReaderUpdate(f.sinceBoot(), 1)
		time.Sleep(50 * time.Millisecond)
		Expect(f.syncer.DataAge()).To(BeNumerically(">=", 50*time.Millisecond))
	})
})
