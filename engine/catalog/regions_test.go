package catalog_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/engine/catalog"
)

// A wrong intersection sends a statement to a region that its route or its workspace excludes.
var _ = Describe("Regions", func() {
	DescribeTable("intersect", func(a, b []string, common string, possible bool) {
		result, ok := catalog.NewRegions(a).And(catalog.NewRegions(b))
		Expect(ok).To(Equal(possible))
		Expect(result).To(Equal(catalog.Regions(common)))
	},
		Entry("without restrictions", nil, nil, "", true),
		Entry("one restriction", []string{"west", "east"}, nil, "east,west", true),
		Entry("the other restriction", nil, []string{"east"}, "east", true),
		Entry("both", []string{"west", "east"}, []string{"east", "north"}, "east", true),
		Entry("both without a common region", []string{"west"}, []string{"east"}, "", false),
	)

	It("allow their members only", func() {
		Expect(catalog.NewRegions(nil).Allows("east")).To(BeTrue())
		Expect(catalog.NewRegions([]string{"west", "east"}).Allows("east")).To(BeTrue())
		Expect(catalog.NewRegions([]string{"northeast"}).Allows("east")).To(BeFalse())
	})
})
