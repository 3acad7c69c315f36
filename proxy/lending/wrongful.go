package lending

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/decision/limits"
)

// rateWindow is the time over which the admitted rate of a subject is measured.
const rateWindow = time.Second

// admittedRate counts the requests admitted in the current and the previous window.
type admittedRate struct {
	windowStart time.Time
	current     int64
	previous    int64
}

func (r *admittedRate) add(now time.Time, count int64) {
	r.advance(now)
	r.current += count
}

// perSecond returns the larger rate of the two windows. The current window alone
// would look idle just after its start.
func (r *admittedRate) perSecond(now time.Time) float64 {
	r.advance(now)
	return float64(max(r.current, r.previous)) / rateWindow.Seconds()
}

func (r *admittedRate) advance(now time.Time) {
	elapsed := now.Sub(r.windowStart)
	if elapsed < rateWindow {
		return
	}
	r.previous = r.current
	if elapsed >= 2*rateWindow {
		r.previous = 0
	}
	r.windowStart = now
	r.current = 0
}

// countWrongfulRefusal is called for each refusal and counts it as wrongful if this
// VM currently admits less than its fair rate of the subject. The fair rate is the
// VM's share in the record, or the limit divided evenly among the live VMs if that
// is larger. The caller holds mu.
func (l *Limiter) countWrongfulRefusal(now time.Time, s *subject) {
	rate := l.limit(s.name).Rate
	fairRate := rate * float64(s.share.Millionths()) / limits.TotalMillionths
	if live := len(l.config.Directory.Live()); live > 0 {
		fairRate = max(fairRate, rate/float64(live))
	}
	if s.rate.perSecond(now) < fairRate {
		l.counters.wrongful.Inc(1)
		metrics.GetOrRegisterCounter("lending.wrongfulRefusals/"+s.name, l.config.Metrics).Inc(1)
	}
}
