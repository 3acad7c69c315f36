package gossip_test

import (
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/peer"
)

var _ = Describe("a VM of a large fleet", func() {
	It("exchanges data with few VMs, of its own region and of others", func() {
		// Guards against a connection from each VM to each other one, which took most of
		// the bytes between regions at 295 VMs.
		v := startVM("self")
		contacted := map[string]bool{}
		var mu sync.Mutex
		fleet := map[string]catalog.VM{}
		for i := range 40 {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(listener.Close)
			name := fmt.Sprintf("vm%d", i)
			fleet[name] = catalog.VM{
				Name:    name,
				Region:  []string{"", "far"}[i%2],
				Address: netip.MustParseAddrPort(listener.Addr().String()),
			}
			go func() {
				for {
					connection, err := listener.Accept()
					if err != nil {
						return
					}
					mu.Lock()
					contacted[name] = true
					mu.Unlock()
					_ = connection.Close()
				}
			}()
		}
		v.view.AcceptVMs(&catalog.VMSnapshot{
			Revision: 5,
			ByName:   fleet,
		}, "test")
		v.runGossip()
		count := func(region string) int {
			mu.Lock()
			defer mu.Unlock()
			total := 0
			for name := range contacted {
				if fleet[name].Region == region {
					total++
				}
			}
			return total
		}
		Consistently(func() int { return count("") + count("far") }).WithTimeout(2 * time.Second).Should(BeNumerically("<=", 8))
		Expect(count("") + count("far")).To(BeNumerically(">", 0))
	})
})

var _ = Describe("a process that starts in a running fleet", func() {
	for _, registered := range []bool{true, false} {
		It(fmt.Sprintf("learns whether its VM is still registered: %t", registered), func() {
			// Guards against shares of limits that are used twice, by the VM that took them
			// over and by the one that returns.
			running := startVM("running").withData(7, 40)
			if registered {
				earlier := catalog.VM{
					Name:        "starting",
					Incarnation: 99,
				}
				running.view.AcceptVMs(&catalog.VMSnapshot{
					Revision: 50,
					ByName:   map[string]catalog.VM{"starting": earlier},
				}, "test")
			}
			running.contact.age = time.Second
			starting := startVM("starting", running.view.Self().Address)
			starting.runGossip()
			Eventually(starting.contact.predecessorKnown).WithTimeout(2 * time.Second).Should(HaveValue(Equal(registered)))
		})
	}

	It("does not learn that from a VM whose data is old", func() {
		// Guards against shares that are used twice because a VM that has been cut off still
		// knows a registration that has ended.
		partitioned := startVM("partitioned").withData(7, 40)
		partitioned.view.AcceptVMs(&catalog.VMSnapshot{
			Revision: 50,
			ByName:   map[string]catalog.VM{"starting": {Name: "starting"}},
		}, "test")
		partitioned.contact.age = 3 * time.Second
		response := partitioned.News(&peer.GossipRequest{From: catalog.VM{
			Name:        "starting",
			Incarnation: 5,
		}})
		Expect(response.KnowsPredecessor).To(BeFalse())
	})
})

var _ = Describe("a VM whose registrations differ from those of the responding VM", func() {
	It("gets all of them after a difference did not apply", func() {
		// Guards against a VM whose fleet differs for good.
		reader := startVM("reader").withData(7, 40)
		v := startVM("other")
		v.view.AcceptVMs(&catalog.VMSnapshot{
			Revision: 45,
			ByName:   map[string]catalog.VM{"unknown": {Name: "unknown"}},
		}, "test")
		reader.view.AcceptVMs(&catalog.VMSnapshot{
			Revision: 50,
			ByName:   map[string]catalog.VM{"reader": reader.view.Self()},
		}, "test")
		v.contact.readers = []catalog.VM{reader.view.Self()}
		v.runGossip()
		Eventually(func() []string { return slices.Sorted(maps.Keys(v.view.VMs().ByName)) }).WithTimeout(3 * time.Second).Should(Equal([]string{"reader"}))
	})
})

var _ = Describe("registrations that have lapsed", func() {
	It("are sent only to VMs that distinguish them", func() {
		// Guards against VMs of an earlier build that take a VM without a registration for a
		// home.
		v := startVM("source")
		v.view.AcceptVMs(&catalog.VMSnapshot{
			Revision: 50,
			ByName: map[string]catalog.VM{
				"registered": {Name: "registered"},
				"lapsed": {
					Name:   "lapsed",
					Lapsed: true,
				},
			},
		}, "test")
		fromEarlierBuild := &peer.GossipRequest{
			From:   catalog.VM{Name: "other"},
			Deltas: true,
		}
		Expect(v.News(fromEarlierBuild).VMs.ByName).To(And(HaveKey("registered"), Not(HaveKey("lapsed"))))
		Expect(v.News(&peer.GossipRequest{
			From:   catalog.VM{Name: "other"},
			Claims: true,
		}).VMs.ByName).To(And(HaveKey("registered"), HaveKey("lapsed")))
	})

	It("count when a VM asks whether it hears most of its neighbours", func() {
		// Guards against a VM that is cut off and takes the VMs whose registrations have lapsed
		// meanwhile for lost.
		v := startVM("self")
		vms := map[string]catalog.VM{}
		for i := range 4 {
			name := fmt.Sprintf("vm%d", i)
			vms[name] = catalog.VM{
				Name:   name,
				Lapsed: i > 0,
			}
		}
		Expect(v.HearsMostNeighbours()).To(BeTrue(), "no VM is known")
		v.view.AcceptVMs(&catalog.VMSnapshot{
			Revision: 5,
			ByName:   vms,
		}, "test")
		Expect(v.HearsMostNeighbours()).To(BeFalse())
		v.view.RecordContact("vm0")
		v.view.RecordContact("vm1")
		Expect(v.HearsMostNeighbours()).To(BeFalse())
		v.view.RecordContact("vm2")
		Expect(v.HearsMostNeighbours()).To(BeTrue())
	})
})
