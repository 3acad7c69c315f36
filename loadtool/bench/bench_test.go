package bench_test

import (
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

var _ = Describe("Run", func() {
	It("gives the same report for the same seed", func() {
		// Guards against results that depend on the order of a map.
		config := bench.Config{Seed: 7, Duration: 5 * time.Second}
		first, err := bench.Run(config).JSON()
		Expect(err).NotTo(HaveOccurred())
		Expect(bench.Run(config).JSON()).To(Equal(first))
	})

	It("never exceeds the strict bound of a limit and never reads stale data", func() {
		// Guards against lent tokens that count twice, and against a replica that
		// serves a read without its position or age.
		report := bench.Run(bench.Config{Seed: 1, Duration: 20 * time.Second})
		Expect(report.Table()).To(ContainSubstring("lent shares*"))
		for _, result := range report.Results {
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
