package view_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/engine/catalog"
)

var _ = Describe("homes in a fleet of VMs of two sizes", func() {
	small := catalog.VMSize{
		Cores:    0.134,
		LinkMbps: 10,
	}
	large := catalog.VMSize{
		Cores:    0.8,
		LinkMbps: 200,
	}
	sized := func(name string, size catalog.VMSize) catalog.VM {
		v := vm(name, "a2")
		v.Size = size
		return v
	}
	// homesOf counts the endpoints, of 300, of which each VM is the home.
	homesOf := func(f *fixture) map[string]int {
		count := map[string]int{}
		for i := range 300 {
			count[f.Homes(endpoint(fmt.Sprintf("e%d", i), catalog.RoleReplica), 1)[0].Name]++
		}
		return count
	}

	It("are mostly the larger VMs", func() {
		// Guards against small VMs that hold as many endpoints as large ones. One that states no
		// size counts as a small one.
		f := newFixture()
		f.AcceptVMs(registrations(1, sized("s1", small), sized("s2", catalog.VMSize{}), sized("l", large)), "test")
		count := homesOf(f)
		Expect(count["l"]).To(BeNumerically("~", 300*5.97/7.97, 25))
		Expect(count["s1"]).To(BeNumerically("~", count["s2"], 30))
	})

	It("are the same as without sizes if all VMs are equal", func() {
		// Guards against homes that move because VMs begin to state their size.
		unstated, stated := newFixture(), newFixture()
		unstated.AcceptVMs(registrations(1, vm("v1", "a2"), vm("v2", "a2"), vm("v3", "a2")), "test")
		stated.AcceptVMs(registrations(1, sized("v1", large), sized("v2", large), sized("v3", large)), "test")
		for i := range 100 {
			e := endpoint(fmt.Sprintf("e%d", i), catalog.RoleReplica)
			for place, home := range unstated.Homes(e, 3) {
				Expect(stated.Homes(e, 3)[place].Name).To(Equal(home.Name))
			}
		}
	})

	It("stay when a VM of an older build passes the registrations on without sizes", func() {
		// Guards against homes that move with the build of the VM that sent the registrations.
		f := newFixture()
		f.AcceptVMs(registrations(1, sized("s1", small), sized("l", large)), "store")
		f.AcceptVMs(registrations(2, vm("s1", "a2"), vm("l", "a2")), "older")
		Expect(f.VMs().ByName["l"].Size).To(Equal(large))
		restarted := vm("l", "a2")
		restarted.Incarnation++
		f.AcceptVMs(registrations(3, vm("s1", "a2"), restarted), "older")
		Expect(f.VMs().ByName["l"].Size).To(BeZero())
	})
})
