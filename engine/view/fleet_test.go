package view_test

import (
	"fmt"
	"runtime"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/engine/catalog"
)

// registerMany registers this VM and others in two data centres.
func (f *fixture) registerMany(size int) {
	vms := []catalog.VM{vm("self", "a1")}
	for i := range size - 1 {
		vms = append(vms, vm(fmt.Sprintf("vm%d", i), []string{"a2", "b1"}[i%2]))
	}
	f.AcceptVMs(registrations(1, vms...), "test")
}

// bytesPerCall returns the memory that a call allocates on average.
func bytesPerCall(call func()) float64 {
	const calls = 200
	var before, after runtime.MemStats
	call()
	runtime.ReadMemStats(&before)
	for range calls {
		call()
	}
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc-before.TotalAlloc) / calls
}

// maxUpkeepGrowth is how much more a VM among 295 may spend on upkeep than one among 7.
const maxUpkeepGrowth = 1.3

var _ = Describe("the changes of the registrations", func() {
	var f *fixture

	// registered returns a registration that was written at a revision.
	registered := func(name string, revision uint64) catalog.VM {
		v := vm(name, "a1")
		v.Revision = revision
		return v
	}

	BeforeEach(func() {
		f = newFixture()
		f.AcceptVMs(registrations(10, registered("a", 3), registered("b", 4)), "test")
		f.AcceptVMs(registrations(20, registered("a", 3), registered("c", 15)), "test")
	})

	DescribeTable("lead from any known revision to the current registrations",
		func(revision uint64, older ...catalog.VM) {
			// Guards against a VM that has left and stays in the fleet of VMs that get
			// differences.
			delta, ok := f.RegistrationsSince(revision)
			Expect(ok).To(BeTrue())
			current, _ := f.Registrations()
			delta.Digest = current.Digest()
			result, ok := delta.Apply(registrations(revision, older...))
			Expect(ok).To(BeTrue())
			Expect(result.ByName).To(Equal(current.ByName))
		},
		Entry("from the first one", uint64(10), registered("a", 3), registered("b", 4)),
		Entry("from one in which a VM was deleted already", uint64(13), registered("a", 3)),
		Entry("from one in which a VM was registered already", uint64(17), registered("a", 3), registered("c", 15)),
	)

	It("include claims that come and go after the registration", func() {
		// Guards against VMs that do not agree on the holders of shares of limits.
		unclaimed, lapsed := registered("a", 3), catalog.VM{
			Name:     "c",
			Revision: 21,
			Lapsed:   true,
		}
		unclaimed.Unclaimed = true
		f.AcceptVMs(registrations(30, unclaimed, lapsed), "test")
		f.AcceptVMs(registrations(40, registered("a", 3), lapsed), "test")
		current, _ := f.Registrations()
		for revision, older := range map[uint64][]catalog.VM{
			20: {registered("a", 3), registered("c", 15)},
			30: {unclaimed, lapsed},
		} {
			delta, _ := f.RegistrationsSince(revision)
			delta.Digest = current.Digest()
			_, ok := delta.Apply(registrations(revision, older...))
			Expect(ok).To(BeTrue(), "from revision %d", revision)
		}
	})

	It("keep the address of a VM whose registration lapses", func() {
		// Guards against requests that are refused although a VM that only the store turns away
		// could lend tokens.
		f.AcceptVMs(registrations(30, registered("a", 3), catalog.VM{
			Name:   "c",
			Lapsed: true,
		}), "test")
		current, _ := f.Registrations()
		Expect(current.ByName["c"]).To(And(HaveField("Address", registered("c", 15).Address), HaveField("Lapsed", true)))
	})

	It("are unknown before the first registrations that this VM has read", func() {
		_, ok := f.RegistrationsSince(9)
		Expect(ok).To(BeFalse())
	})

	It("do not apply to other registrations", func() {
		// Guards against a fleet that silently differs from that of the sender.
		delta, _ := f.RegistrationsSince(10)
		current, _ := f.Registrations()
		delta.Digest = current.Digest()
		_, ok := delta.Apply(registrations(10, registered("b", 4)))
		Expect(ok).To(BeFalse())
	})

	It("do not include a VM that is kept because of a recent message", func() {
		// Guards against VMs that keep each other's outdated registrations.
		f.RecordContact("c")
		f.AcceptVMs(registrations(30, registered("a", 3)), "test")
		Expect(f.VMs().ByName).To(HaveKey("c"))
		current, _ := f.Registrations()
		Expect(current.ByName).NotTo(HaveKey("c"))
	})
})

var _ = Describe("homes", func() {
	var f *fixture

	BeforeEach(func() {
		f = newFixture()
		f.AcceptVMs(registrations(1, vm("self", "a1"), vm("near", "a2"), vm("far", "b1")), "test")
	})

	It("are in the endpoint's data centre first, then in its region", func() {
		f.expectHomes("near", "self", "far")
		Expect(f.IsFirstHome(endpoint("e1", catalog.RoleReplica))).To(BeFalse())
	})

	It("end with a VM that is unreachable", func() {
		f.unreachable["near"] = true
		f.expectHomes("self", "far", "near")
		Expect(f.IsFirstHome(endpoint("e1", catalog.RoleReplica))).To(BeTrue())
	})

	It("count unreachable VMs, but not leaving ones, for the use of connections", func() {
		// Guards against a home that uses the connections of one that it only does not reach.
		target := endpoint("e1", catalog.RoleReplica)
		f.unreachable["near"] = true
		rank, _ := f.HomeStanding(target)
		Expect(rank).To(Equal(1))
		f.clock.Advance(time.Second)
		f.SetLeaving("near", 1, true)
		rank, since := f.HomeStanding(target)
		Expect(rank).To(BeZero())
		Expect(since).To(Equal(f.clock.SinceBoot()))
		f.SetLeaving("self", 1, true)
		rank, _ = f.HomeStanding(target)
		Expect(rank).To(Equal(1))
	})

	It("end with a VM that is leaving, until it restarts", func() {
		f.SetLeaving("near", 1, true)
		f.expectHomes("self", "far", "near")
		restarted := vm("near", "a2")
		restarted.Incarnation = 2
		f.AcceptVMs(registrations(2, vm("self", "a1"), restarted, vm("far", "b1")), "test")
		f.expectHomes("near", "self", "far")
	})

	It("cost no more memory to look up in a large fleet", func() {
		// Guards against a copy of the whole fleet for each statement.
		cost := func(size int) float64 {
			f := newFixture()
			f.registerMany(size)
			return bytesPerCall(func() { f.Homes(endpoint("e1", catalog.RoleReplica), 3) })
		}
		Expect(cost(295)).To(BeNumerically("<=", maxUpkeepGrowth*cost(7)))
	})

	It("include this VM before it is registered", func() {
		f = newFixture()
		f.expectHomes("self")
	})
})
