package capacity

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCapacity(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "capacity")
}

var _ = ginkgo.Describe("fit", func() {
	ginkgo.DescribeTable("guards against wrong slopes in the capacity page",
		func(points []Point, slope, intercept float64) {
			line := fitLine(points)
			Expect(line.Slope).To(BeNumerically("~", slope, 1e-9))
			Expect(line.Intercept).To(BeNumerically("~", intercept, 1e-9))
		},
		ginkgo.Entry("exact", []Point{{X: 7, Y: 17}, {X: 14, Y: 31}, {X: 56, Y: 115}}, 2.0, 3.0),
		ginkgo.Entry("least squares", []Point{{X: 0, Y: 0}, {X: 1, Y: 3}, {X: 2, Y: 3}}, 1.5, 0.5),
		ginkgo.Entry("one x only", []Point{{X: 4, Y: 1}, {X: 4, Y: 3}}, 0.0, 2.0),
		ginkgo.Entry("none", nil, 0.0, 0.0),
	)
})

var _ = ginkgo.Describe("parseCPU", func() {
	ginkgo.It("finds the times behind a command with spaces and parentheses", func() {
		line := "42 (a) b (c) S " + strings.Repeat("0 ", 10) + "150 50 0 0"
		Expect(parseCPU(line)).To(Equal(2 * time.Second))
	})

	ginkgo.It("refuses a line that is too short", func() {
		_, err := parseCPU("42 (a) S 1 2 3")
		Expect(err).To(HaveOccurred())
	})
})

var _ = ginkgo.Describe("Report", func() {
	ginkgo.It("fits each measure of each series by itself", func() {
		// Guards against one line that is fitted through the points of different loads.
		report := &Report{}
		for _, x := range []float64{1, 2} {
			for _, load := range []string{"idle", "light"} {
				report.Runs = append(report.Runs, Measurement{
					Series:   "vms",
					X:        x,
					Load:     load,
					Measures: []Measure{newMeasure("cores", x*float64(len(load)))},
				})
			}
		}
		report.fitLines()
		Expect(report.Fits).To(HaveLen(2))
		Expect(report.Fits[0].Slope).To(BeNumerically("~", 4, 1e-9))
		Expect(report.Fits[1].Slope).To(BeNumerically("~", 5, 1e-9))
	})
})
