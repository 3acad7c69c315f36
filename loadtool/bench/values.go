package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

func ratio(part, whole int) float64 {
	return float64(part) / float64(max(whole, 1))
}

// milliseconds returns a percentile of a histogram of microseconds.
func milliseconds(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}

// newLatencyHistogram returns a histogram of latencies in microseconds, up to one hour.
func newLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
}
