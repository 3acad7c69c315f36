package routing_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/routing"
)

func vms(count int) []routing.VM {
	var all []routing.VM
	for i := range count {
		all = append(all, routing.VM{
			Name:       fmt.Sprintf("vm%d", i),
			DataCentre: fmt.Sprintf("data centre%d", i%3),
			Region:     "here",
		})
	}
	return all
}

var _ = Describe("HomeCache", func() {
	It("agrees with Home after each change of the list", func() {
		// Guards against a cached home that is no longer live, and against a fallback
		// that is the home itself.
		var homes routing.HomeCache
		for _, live := range [][]routing.VM{vms(7), vms(6), vms(7), vms(1), nil} {
			for range 2 {
				want, wantOK := routing.Home("e", "data centre0", "here", live)
				first, ok := homes.FirstHome("e", "data centre0", "here", live)
				Expect(first).To(Equal(want))
				Expect(ok).To(Equal(wantOK))
				second, ok := homes.FallbackHome("e", "data centre0", "here", live)
				Expect(ok).To(Equal(len(live) > 1))
				if ok {
					Expect(second.Name).NotTo(Equal(first.Name))
				}
			}
		}
	})
})

func BenchmarkHome(b *testing.B) {
	for _, count := range []int{7, 1400} {
		live := vms(count)
		b.Run(fmt.Sprintf("uncached/%d", count), func(b *testing.B) {
			for b.Loop() {
				routing.Home("endpoint", "data centre0", "here", live)
			}
		})
		b.Run(fmt.Sprintf("cached/%d", count), func(b *testing.B) {
			var homes routing.HomeCache
			for b.Loop() {
				homes.FirstHome("endpoint", "data centre0", "here", live)
			}
		})
	}
}

var _ = Describe("First", func() {
	It("returns the first places of Rank", func() {
		// Guards against VMs that disagree about the holders of a share, because some of
		// them select the first places and others sort.
		for _, size := range []int{0, 1, 7, 295} {
			all := vms(size)
			var names []string
			for _, v := range routing.Rank("key", all) {
				names = append(names, v.Name)
			}
			for _, count := range []int{1, 8} {
				unsorted := func(yield func(string) bool) {
					for _, v := range all {
						if !yield(v.Name) {
							return
						}
					}
				}
				Expect(routing.First("key", unsorted, count)).To(HaveExactElements(names[:min(count, size)]))
			}
		}
	})
})
