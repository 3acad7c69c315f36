package bench_test

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/loadtool/bench"
)

func TestBench(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bench")
}

// report returns a report that several specs share, because a run takes seconds.
var report = sync.OnceValue(func() bench.Report {
	return bench.Run(bench.Config{Seed: 1, Duration: 20 * time.Second})
})

var _ = Describe("Run", func() {
	It("gives the same report for the same seed", func() {
		// Guards against results that depend on the order of a map.
		config := bench.Config{Seed: 7, Duration: 5 * time.Second}
		first, err := bench.Run(config).JSON()
		Expect(err).NotTo(HaveOccurred())
		Expect(bench.Run(config).JSON()).To(Equal(first))
	})

	It("serves the most urgent kind better with urgency across workspaces", func() {
		// Guards against urgent statements that wait behind those of other workspaces.
		utility := map[string]float64{}
		for _, result := range report().Results {
			if result.Section == "urgency" && result.Scenario == "least urgent kind at 4x" {
				utility[result.Choice] = result.Measures[0].Value
			}
		}
		Expect(utility["mostUrgentFirst"]).To(BeNumerically(">", 0.99))
		Expect(utility["weightedFair"]).To(BeNumerically("<", 0.98))
	})

	It("never exceeds the strict bound of a limit and never reads stale data", func() {
		// Guards against lent tokens that count twice, and against a replica that
		// serves a read without its position or age.
		Expect(report().Table()).To(ContainSubstring("lent shares*"))
		for _, result := range report().Results {
			for _, m := range result.Measures {
				if m.Name == "excessOverBound" {
					Expect(m.Value).To(BeNumerically("<=", 1e-6))
				}
				if m.Name == "staleReads" {
					Expect(m.Value).To(BeZero())
				}
			}
		}
	})
})
