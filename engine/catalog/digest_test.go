package catalog_test

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/engine/catalog"
)

func TestCatalog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine/catalog")
}

var _ = Describe("Digest of endpoints", func() {
	digest := func(change func(*catalog.Endpoint)) uint64 {
		e := catalog.Endpoint{
			Key:      catalog.EndpointKey{ID: "e1"},
			Database: "db",
			Address:  netip.MustParseAddrPort("10.0.0.1:5"),
			Slots:    5,
		}
		change(&e)
		return (&catalog.EndpointSnapshot{ByID: map[string]catalog.Endpoint{"e1": e}}).Digest()
	}
	unchanged := digest(func(*catalog.Endpoint) {})

	It("is the same for a further report without news", func() {
		Expect(digest(func(e *catalog.Endpoint) { e.Reports++ })).To(Equal(unchanged))
	})

	DescribeTable("differs for news that other VMs need",
		func(change func(*catalog.Endpoint)) { Expect(digest(change)).NotTo(Equal(unchanged)) },
		Entry("a restart", func(e *catalog.Endpoint) { e.Key.Born = time.UnixMilli(9) }),
		Entry("a role", func(e *catalog.Endpoint) { e.Role = catalog.RolePrimary }),
		Entry("draining", func(e *catalog.Endpoint) { e.Draining = true }),
		Entry("an address", func(e *catalog.Endpoint) { e.Address = netip.MustParseAddrPort("10.0.0.2:5") }),
	)
})

var _ = Describe("Digest of VMs", func() {
	It("differs for another leader and another incarnation", func() {
		fleet := func(leader string, incarnation uint64) uint64 {
			return (&catalog.VMSnapshot{
				Leader: leader,
				ByName: map[string]catalog.VM{"a": {
					Name:        "a",
					Incarnation: incarnation,
				}},
			}).Digest()
		}
		Expect(fleet("a", 1)).To(Equal(fleet("a", 1)))
		Expect(fleet("a", 1)).NotTo(Equal(fleet("b", 1)))
		Expect(fleet("a", 1)).NotTo(Equal(fleet("a", 2)))
	})
})
