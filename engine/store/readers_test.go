package store_test

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/engine/catalog"
)

// inFleet registers the VM in a region with others, and tells whether it is one of
// the region's readers.
func (f *fixture) inFleet(others int, leader string) (reader bool) {
	vms := map[string]catalog.VM{"self": f.view.Self()}
	for i := range others {
		name := fmt.Sprintf("vm-%d", i)
		vms[name] = catalog.VM{Name: name}
	}
	f.view.AcceptVMs(&catalog.VMSnapshot{
		Revision: f.view.VMsRevision() + 1,
		ByName:   vms,
		Leader:   leader,
	}, "test")
	return len(f.sync.Readers()) == 0
}

// calls counts the watches and reads that the store has answered.
func (f *fixture) calls() int {
	f.fake.mu.Lock()
	defer f.fake.mu.Unlock()
	return f.fake.watches + len(f.fake.staleness)
}

// resting makes the VM one that is no reader and has heard from one.
func (f *fixture) resting() {
	GinkgoHelper()
	Expect(f.inFleet(40, "vm-0")).To(BeFalse())
	f.sync.RecordReaderUpdate(f.boot(), 1)
}

var _ = Describe("the readers of a region", func() {
	It("are as many as are needed to answer the others", func() {
		f := newFixture()
		f.inFleet(39, "")
		Expect(f.sync.Readers()).To(HaveLen(2))
		f.inFleet(99, "")
		Expect(f.sync.Readers()).To(HaveLen(5))
	})

	It("are all VMs of a small region", func() {
		f := newFixture()
		Expect(f.inFleet(1, "")).To(BeTrue())
	})

	It("do not include a VM that is leaving", func() {
		f := newFixture()
		f.inFleet(9, "")
		gone := f.sync.Readers()[0]
		f.view.SetLeaving(gone.Name, gone.Incarnation, true)
		Expect(f.sync.Readers()).To(HaveLen(2))
		Expect(f.sync.Readers()).NotTo(ContainElement(gone))
	})
})

var _ = Describe("a VM that is no reader", func() {
	var f *fixture

	BeforeEach(func() { f = newFixture() })

	// Calls to the store from 80 VMs took 0.06 of the worth of a day.
	It("guards against calls to the store from each VM of a large fleet", func() {
		f.resting()
		go f.sync.FollowConfiguration(f.ctx)
		go f.sync.FollowReports(f.ctx)
		Consistently(f.calls).WithTimeout(300 * time.Millisecond).Should(BeZero())
	})

	It("reads the store before it sees its own registration", func() {
		Expect(f.sync.Reads()).To(BeTrue())
	})

	// 29 VMs that read a configuration of 3,600 routes at once over 30 Mbit/s had none
	// of it after 18 s.
	It("guards against reading a large configuration with all others at the start", func() {
		Expect(f.inFleet(40, "vm-0")).To(BeFalse())
		go f.sync.FollowConfiguration(f.ctx)
		Consistently(f.version).WithTimeout(300 * time.Millisecond).Should(BeZero())
		Expect(f.sync.ConfigurationRead()).To(BeFalse())
	})

	It("reads the store at the start if the readers tell nothing", func() {
		Expect(f.inFleet(4, "vm-0")).To(BeFalse())
		go f.sync.FollowConfiguration(f.ctx)
		f.expectVersion(1)
	})

	It("counts the configuration as read once a reader has told it", func() {
		f.inFleet(40, "vm-0")
		f.sync.RecordReaderUpdate(f.boot(), 5)
		Expect(f.sync.ConfigurationRead()).To(BeFalse(), "no configuration came with the news")
		f.view.AcceptConfiguration(&catalog.Configuration{Version: 5}, "test")
		f.sync.RecordReaderUpdate(f.boot(), 5)
		Expect(f.sync.ConfigurationRead()).To(BeTrue())
	})

	It("guards against reading the whole configuration again when the readers are lost", func() {
		f.inFleet(40, "vm-0")
		f.view.AcceptConfiguration(&catalog.Configuration{Version: 1}, "test")
		f.sync.RecordReaderUpdate(f.boot()-3*time.Second, 1)
		go f.sync.FollowConfiguration(f.ctx)
		Eventually(f.sync.DataAge).Should(BeNumerically("<", time.Second))
		f.fake.set(func() { f.fake.version = 5 })
		f.expectVersion(5)
		f.fake.mu.Lock()
		defer f.fake.mu.Unlock()
		Expect(f.fake.reads).To(BeZero())
	})

	It("reads the store while it leads", func() {
		f.resting()
		f.inFleet(40, "self")
		Expect(f.sync.Reads()).To(BeTrue())
	})

	It("guards against readers that are cut off from the store", func() {
		f.resting()
		f.sync.RecordReaderUpdate(f.boot()-2*time.Second, 1)
		Expect(f.sync.Reads()).To(BeFalse(), "older news changes nothing")
		f = newFixture()
		f.inFleet(40, "vm-0")
		f.sync.RecordReaderUpdate(f.boot()-2*time.Second-time.Millisecond, 0)
		Expect(f.sync.Reads()).To(BeTrue())
		go f.sync.FollowConfiguration(f.ctx)
		f.expectVersion(1)
	})
})

var _ = Describe("the age of what a VM knows", func() {
	It("is unknown at first", func() {
		Expect(newFixture().sync.DataAge()).To(Equal(time.Duration(math.MaxInt64)))
	})

	It("is that of the news of a VM that is no reader", func() {
		f := newFixture()
		f.resting()
		f.sync.RecordReaderUpdate(f.boot()-time.Second, 1)
		Expect(f.sync.DataAge()).To(BeNumerically("~", 0, time.Second/2))
	})

	It("is that of the last answer to a reader", func() {
		f := newFixture()
		Expect(f.inFleet(1, "")).To(BeTrue())
		go f.sync.FollowConfiguration(f.ctx)
		Eventually(f.sync.DataAge).Should(BeNumerically("<", time.Second))
	})

	It("guards against a reader that passes on what it knew before it lost the store", func() {
		f := newFixture()
		Expect(f.inFleet(1, "")).To(BeTrue())
		go f.sync.FollowConfiguration(f.ctx)
		Eventually(f.sync.DataAge).Should(BeNumerically("<", time.Second))
		f.fake.set(func() { f.fake.down = true })
		Eventually(f.sync.DataAge).Should(Equal(time.Duration(math.MaxInt64)))
	})

	// A renewal of its registration shows that a VM reaches the store, not that it has
	// read the configuration.
	It("guards against a VM that reaches the store and does not read it", func() {
		f := newFixture()
		f.resting()
		go f.sync.Register(f.ctx)
		Eventually(f.sync.StoreReachable).Should(BeTrue())
		f.sync.RecordReaderUpdate(f.boot(), 1)
		time.Sleep(50 * time.Millisecond)
		Expect(f.sync.DataAge()).To(BeNumerically(">=", 50*time.Millisecond))
	})
})
