package caller

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/catalog"
)

// sampleSize of the latency histograms.
const sampleSize = 512

// outcomes counts statements by the kind of their route and what became of them.
type outcomes struct {
	registry metrics.Registry
}

func newOutcomes(registry metrics.Registry) *outcomes {
	return &outcomes{registry: registry}
}

// served counts a success and its time in microseconds.
func (o *outcomes) served(kind catalog.ReadConsistency, took time.Duration) {
	histogram := o.registry.GetOrRegister("statements."+kind.String()+".microseconds", func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(sampleSize))
	}).(metrics.Histogram)
	histogram.Update(took.Microseconds())
}

func (o *outcomes) refused(kind catalog.ReadConsistency, reason refusal.Reason) {
	metrics.GetOrRegisterCounter("statements."+kind.String()+".refused."+string(reason), o.registry).Inc(1)
}
