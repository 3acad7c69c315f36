package caller

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/catalog"
)

// histogramSampleSize is the number of values that each latency histogram keeps.
const histogramSampleSize = 512

// statementMetrics counts statements by the kind of their route and their outcome.
type statementMetrics struct {
	registry metrics.Registry
}

func newStatementMetrics(registry metrics.Registry) *statementMetrics {
	return &statementMetrics{registry: registry}
}

// recordSuccess records the latency of a successful statement in microseconds.
func (m *statementMetrics) recordSuccess(kind catalog.ReadConsistency, duration time.Duration) {
	histogram := m.registry.GetOrRegister("statements."+kind.String()+".microseconds", func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(histogramSampleSize))
	}).(metrics.Histogram)
	histogram.Update(duration.Microseconds())
}

// recordRefusal counts a refused statement by its reason.
func (m *statementMetrics) recordRefusal(kind catalog.ReadConsistency, reason refusal.Reason) {
	metrics.GetOrRegisterCounter("statements."+kind.String()+".refused."+string(reason), m.registry).Inc(1)
}
