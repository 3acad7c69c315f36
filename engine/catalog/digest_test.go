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

	It("does not change when only the report count does", func() {
		// Guards against sending all endpoints again only because they sent new reports.
		Expect(digest(func(e *catalog.Endpoint) { e.Reports++ })).To(Equal(unchanged))
	})

	DescribeTable("changes with the endpoint's",
		// Guards against a change that other VMs do not receive because the digest stays
		// the same.
		func(change func(*catalog.Endpoint)) { Expect(digest(change)).NotTo(Equal(unchanged)) },
		Entry("start time", func(e *catalog.Endpoint) { e.Key.Born = time.UnixMilli(9) }),
		Entry("role", func(e *catalog.Endpoint) { e.Role = catalog.RolePrimary }),
		Entry("draining state", func(e *catalog.Endpoint) { e.Draining = true }),
		Entry("address", func(e *catalog.Endpoint) { e.Address = netip.MustParseAddrPort("10.0.0.2:5") }),
	)
})

var _ = Describe("Digest of VMs", func() {
	It("changes with the leader and with a VM's incarnation", func() {
		// Guards against a change that other VMs do not receive because the digest stays
		// the same.
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

	It("changes with the size of a VM that states one", func() {
		// Guards against VMs that rank homes by different sizes, and against a digest that
		// differs from that of an older build although no VM states a size.
		digest := func(size catalog.VMSize) uint64 {
			return (&catalog.VMSnapshot{ByName: map[string]catalog.VM{"a": {
				Name:        "a",
				Incarnation: 1,
				Size:        size,
			}}}).Digest()
		}
		const olderBuild = 3149105378145799264
		Expect(digest(catalog.VMSize{})).To(Equal(uint64(olderBuild)))
		Expect(digest(catalog.VMSize{Cores: 1})).NotTo(Equal(uint64(olderBuild)))
		Expect(digest(catalog.VMSize{Cores: 1})).NotTo(Equal(digest(catalog.VMSize{LinkMbps: 1})))
	})
})
