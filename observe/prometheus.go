package observe

import (
	"net/http"
	"strings"
	"time"
	"unicode"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rcrowley/go-metrics"
)

const (
	namespace = "amaranthdock_"
	// labelSeparator separates the name of a metric in the registry from the value of
	// its label.
	labelSeparator = "/"
	labelName      = "name"
)

// quantiles are exported for histograms and timers.
var quantiles = []float64{0.5, 0.9, 0.99}

// collector exports the metrics of a go-metrics registry to Prometheus. Timers are
// exported in seconds.
type collector struct {
	registry metrics.Registry
}

var _ prometheus.Collector = (*collector)(nil)

// newPrometheusHandler returns a handler that serves the metrics of a registry to
// Prometheus.
func newPrometheusHandler(registry metrics.Registry) http.Handler {
	gatherer := prometheus.NewRegistry()
	gatherer.MustRegister(&collector{
		registry: registry,
	})
	return promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{})
}

// Describe sends nothing, because metrics are registered while the process runs.
func (c *collector) Describe(chan<- *prometheus.Desc) {}

// Collect sends all metrics of the supported types.
func (c *collector) Collect(collected chan<- prometheus.Metric) {
	c.registry.Each(func(name string, value any) {
		base, label, labelled := strings.Cut(name, labelSeparator)
		var labels prometheus.Labels
		if labelled {
			labels = prometheus.Labels{
				labelName: label,
			}
		}
		description := prometheus.NewDesc(prometheusName(base), base, nil, labels)
		if metric := toPrometheusMetric(description, value); metric != nil {
			collected <- metric
		}
	})
}

// toPrometheusMetric returns nil if the type of the metric is not supported.
func toPrometheusMetric(description *prometheus.Desc, value any) prometheus.Metric {
	switch m := value.(type) {
	case metrics.Counter:
		return prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(m.Count()))
	case metrics.Gauge:
		return prometheus.MustNewConstMetric(description, prometheus.GaugeValue, float64(m.Value()))
	case metrics.GaugeFloat64:
		return prometheus.MustNewConstMetric(description, prometheus.GaugeValue, m.Value())
	case metrics.Meter:
		return prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(m.Count()))
	case metrics.Histogram:
		return newSummary(description, m.Snapshot(), 1)
	case metrics.Timer:
		return newSummary(description, m.Snapshot(), time.Second.Seconds()/float64(time.Second))
	default:
		return nil
	}
}

// sampledMetric contains the common methods of histograms and timers.
type sampledMetric interface {
	Count() int64
	Percentiles([]float64) []float64
	Sum() int64
}

// newSummary returns a summary whose values are multiplied by unit.
func newSummary(description *prometheus.Desc, m sampledMetric, unit float64) prometheus.Metric {
	values := map[float64]float64{}
	for i, v := range m.Percentiles(quantiles) {
		values[quantiles[i]] = v * unit
	}
	return prometheus.MustNewConstSummary(description, uint64(m.Count()), float64(m.Sum())*unit, values)
}

// prometheusName adds the prefix and replaces the characters that Prometheus does not
// allow in names.
func prometheusName(name string) string {
	return namespace + strings.Map(func(r rune) rune {
		if r < unicode.MaxASCII && (unicode.IsLetter(r) || unicode.IsDigit(r)) {
			return r
		}
		return '_'
	}, name)
}
