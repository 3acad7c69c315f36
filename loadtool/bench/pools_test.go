package bench_test

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/loadtool/bench"
)

// scenarios holds the measures by scenario and name.
type scenarios map[string]map[string]float64

// pools returns the measures of the previous rules and of those that the proxy uses, by scenario.
func pools(seed uint64) (previous, used scenarios) {
	previous, used = scenarios{}, scenarios{}
	for _, result := range bench.MeasurePools(bench.Config{Seed: seed, Duration: time.Minute}) {
		values := map[string]float64{}
		for _, m := range result.Measures {
			values[m.Name] = m.Value
		}
		switch {
		case result.UsedByProxy:
			used[result.Scenario] = values
		case result.Choice == "last use":
			previous[result.Scenario] = values
		}
	}
	return previous, used
}

var _ = Describe("the connections of an endpoint, compared with the previous rules", func() {
	for _, seed := range []uint64{1, 2} {
		run := sync.OnceValues(func() (scenarios, scenarios) { return pools(seed) })
		var previous, used scenarios
		BeforeEach(func() { previous, used = run() })
		// opensLess expects fewer connections, and waits that are not longer for any priority.
		opensLess := func(scenario string, share float64) {
			GinkgoHelper()
			before, now := previous[scenario], used[scenario]
			Expect(now["rejected"]).To(BeZero())
			Expect(now["refused"]).To(BeNumerically("<=", before["refused"]))
			Expect(now["opened"]).To(BeNumerically("<", share*before["opened"]))
			for _, wait := range []string{"waitMs0", "waitMs1", "waitMs2"} {
				Expect(now[wait]).To(BeNumerically("<", before[wait]), wait)
			}
		}

		It("are opened less often under quiet load", func() {
			// Guards against connections that are opened although nobody waits.
			opensLess("quiet", 0.7)
		})

		It("are opened less often in a wave", func() {
			// Guards against an eviction that hits workspaces with much demand.
			opensLess("wave of 55%", 0.8)
		})

		It("are opened less often in a burst of one workspace", func() {
			// Guards against a burst that takes the connections of the other workspaces.
			opensLess("one workspace at 5x", 0.8)
		})

		It("let urgent statements wait no longer after a restart of the endpoint", func() {
			// Guards against handshakes that keep slots from connections that are open, and
			// against a limit on handshakes that delays statements without one.
			const scenario = "restart of the endpoint"
			opensLess(scenario, 0.8)
			Expect(used[scenario]["urgentP99Ms"]).To(BeNumerically("<", 1.1*previous[scenario]["urgentP99Ms"]))
		})

		It("are opened less often after a mass restart, at a bounded cost for urgent statements", func() {
			// Guards against a home that holds few connections for longer than necessary.
			before, now := previous["mass restart"], used["mass restart"]
			Expect(now["rejected"]).To(BeZero())
			Expect(now["opened"]).To(BeNumerically("<", 0.9*before["opened"]))
			for _, wait := range []string{"waitMs0", "waitMs1", "waitMs2"} {
				Expect(now[wait]).To(BeNumerically("<", before[wait]), wait)
			}
			Expect(now["refused"]).To(BeNumerically("<", before["refused"]+0.01))
			Expect(now["urgentP99Ms"]).To(BeNumerically("<", 1.8*before["urgentP99Ms"]))
		})

		It("are not refused by the endpoint when the home moves", func() {
			// Guards against two homes that exceed the limit together.
			before, now := previous["moved home"], used["moved home"]
			Expect(before["rejected"]).To(BeNumerically(">", 0))
			Expect(now["rejected"]).To(BeZero())
			Expect(now["opened"]).To(BeNumerically("<", 0.9*before["opened"]))
			Expect(now["urgentP99Ms"]).To(BeNumerically("<", 1.1*before["urgentP99Ms"]))
			Expect(now["refused"]).To(BeNumerically("<", 0.002))
		})
	}
})
