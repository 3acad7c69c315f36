package routing_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthdock.dev/decision/routing"
)

// equalWeights returns the weights of VMs of one size.
func equalWeights(vms []routing.VM, weight float64) map[string]float64 {
	weights := map[string]float64{}
	for _, v := range vms {
		weights[v.Name] = weight
	}
	return weights
}

var _ = Describe("HomeWeight", func() {
	// Guards against a weight that counts a resource which is not the one that is exhausted
	// first.
	DescribeTable("is bound by the smallest resource",
		func(cores, linkMbps, times float64) {
			Expect(routing.HomeWeight(cores, linkMbps) / routing.HomeWeight(0.134, 10)).To(BeNumerically("~", times, 0.01))
		},
		Entry("the larger VM, by its cores", 0.8, 200.0, 5.97),
		Entry("many cores behind a slow link", 100.0, 10.0, 2.87),
		Entry("a faster link only", 0.134, 1000.0, 1.0),
		Entry("an unknown link", 0.268, 0.0, 2.0),
		Entry("neither known", 0.0, 0.0, 0.0),
	)

	It("never falls when a resource grows", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			cores, link := rapid.Float64Range(0.01, 64).Draw(t, "cores"), rapid.Float64Range(1, 1e5).Draw(t, "link")
			factor := rapid.Float64Range(1, 10).Draw(t, "factor")
			if routing.HomeWeight(cores*factor, link) < routing.HomeWeight(cores, link) || routing.HomeWeight(cores, link*factor) < routing.HomeWeight(cores, link) {
				t.Fatalf("the weight falls at %v cores and %v Mbit/s by the factor %v", cores, link, factor)
			}
		})
	})
})

var _ = Describe("RankWeighted", func() {
	const keys = 3000
	first := func(key int, vms []routing.VM, weights map[string]float64) string {
		return routing.RankWeighted(fmt.Sprintf("endpoint%d", key), vms, weights)[0].Name
	}

	It("is the order of Rank among VMs of equal weight", func() {
		// Guards against homes that move in a deployment of equal VMs, and against an order
		// among equal VMs that depends on the presence of others.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			key := rapid.String().Draw(t, "key")
			all := vms(rapid.IntRange(0, 40).Draw(t, "vms"))
			Expect(routing.RankWeighted(key, all, nil)).To(Equal(routing.Rank(key, all)))
			Expect(routing.RankWeighted(key, all, equalWeights(all, 3.7))).To(Equal(routing.Rank(key, all)))
			weights := map[string]float64{}
			for _, v := range all {
				weights[v.Name] = rapid.SampledFrom([]float64{0, 1, 5.97}).Draw(t, "weight")
			}
			of := func(ranked []routing.VM, large bool) []routing.VM {
				var some []routing.VM
				for _, v := range ranked {
					if (weights[v.Name] > 1) == large {
						some = append(some, v)
					}
				}
				return some
			}
			ranked := routing.RankWeighted(key, all, weights)
			Expect(ranked).To(HaveLen(len(all)))
			for _, large := range []bool{false, true} {
				Expect(of(ranked, large)).To(Equal(of(routing.Rank(key, all), large)))
			}
		})
	})

	It("gives each VM a share of the homes by its weight", func() {
		// Guards against a small VM that is the home of as many endpoints as a large one.
		all := vms(4)
		weights := equalWeights(all, 1)
		weights["vm0"] = 6
		count := 0
		for key := range keys {
			if first(key, all, weights) == "vm0" {
				count++
			}
		}
		Expect(float64(count) / keys).To(BeNumerically("~", 6.0/9, 0.03))
	})

	It("moves only homes of the VM whose weight changes", func() {
		// Guards against a change of one VM's size that moves homes between other VMs.
		all := vms(12)
		before := equalWeights(all, 2)
		for i := range 6 {
			before[all[i].Name] = 5
		}
		larger, smaller := equalWeights(all, 2), equalWeights(all, 2)
		for name, weight := range before {
			larger[name], smaller[name] = weight, weight
		}
		larger["vm9"], smaller["vm3"] = 7, 1
		moved := 0
		for key := range keys {
			old := first(key, all, before)
			if home := first(key, all, larger); home != old {
				Expect(home).To(Equal("vm9"))
				moved++
			}
			if home := first(key, all, smaller); home != old {
				Expect(old).To(Equal("vm3"))
				moved++
			}
		}
		Expect(moved).To(BeNumerically(">", 0))
	})

	It("counts a VM that states no size as one of the smallest", func() {
		// Guards against a VM of an older build that gets no homes, or too many.
		all := vms(3)
		stated := map[string]float64{"vm0": 6, "vm1": 1, "vm2": 1}
		missing := map[string]float64{"vm0": 6, "vm1": 1}
		for key := range 200 {
			Expect(first(key, all, missing)).To(Equal(first(key, all, stated)))
		}
	})
})
