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

var _ = Describe("Homes", func() {
	It("agrees with Home after each change of the list", func() {
		// Guards against homes of VMs that are gone, and a second home that is
		// the first.
		var homes routing.HomeCache
		for _, live := range [][]routing.VM{vms(7), vms(6), vms(7), vms(1), nil} {
			for range 2 {
				want, wantOK := routing.Home("e", "place0", "here", live)
				first, ok := homes.FirstHome("e", "place0", "here", live)
				Expect(first).To(Equal(want))
				Expect(ok).To(Equal(wantOK))
				second, ok := homes.FallbackHome("e", "place0", "here", live)
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
		b.Run(fmt.Sprintf("ranked/%d", count), func(b *testing.B) {
			for b.Loop() {
				routing.Home("endpoint", "place0", "here", live)
			}
		})
		b.Run(fmt.Sprintf("remembered/%d", count), func(b *testing.B) {
			var homes routing.HomeCache
			for b.Loop() {
				homes.FirstHome("endpoint", "place0", "here", live)
			}
		})
	}
}
