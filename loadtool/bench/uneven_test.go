package bench_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/loadtool/bench"
)

var _ = Describe("MeasureUnevenEndpoints", func() {
	It("shows a gain with uneven endpoints and no difference with equal ones", func() {
		// Guards against limits that fall because of the heavy tail of the service times, and
		// against endpoints that get as much load as others although they handle less.
		p99 := map[string]map[string]float64{}
		for _, result := range bench.MeasureUnevenEndpoints(bench.Config{Seed: 2, Duration: 40 * time.Second}) {
			if p99[result.Scenario] == nil {
				p99[result.Scenario] = map[string]float64{}
			}
			for _, m := range result.Measures {
				if m.Name == "p99Ms" {
					p99[result.Scenario][result.Choice] = m.Value
				}
			}
		}
		Expect(p99).To(HaveLen(4))
		for scenario, values := range p99 {
			before, now := values["reported slots"], values["learned limits and times"]
			if scenario == "equal endpoints" {
				Expect(now).To(Equal(before))
				continue
			}
			Expect(now).To(BeNumerically("<", 0.95*before), scenario)
		}
	})
})
