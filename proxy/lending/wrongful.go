package lending

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/decision/limits"
)

// rateWindow is the time over which the admitted rate of a subject is taken.
const rateWindow = time.Second

// admittedRate counts the requests admitted in the present and the last window.
type admittedRate struct {
	began   time.Time
	present int64
	last    int64
}

func (r *admittedRate) add(now time.Time, count int64) {
	r.advance(now)
	r.present += count
}

// perSecond returns the larger of the two windows' rates, so that a window that
// has just begun doesn't look idle.
func (r *admittedRate) perSecond(now time.Time) float64 {
	r.advance(now)
	return float64(max(r.present, r.last)) / rateWindow.Seconds()
}

func (r *admittedRate) advance(now time.Time) {
	elapsed := now.Sub(r.began)
	if elapsed < rateWindow {
		return
	}
	r.last = r.present
	if elapsed >= 2*rateWindow {
		r.last = 0
	}
	r.began = now
	r.present = 0
}

// countWrongful counts a refusal while the rate that this VM admits of the
// subject is below the VM's share: its part of the record, or an even part of the
// fleet if that is larger. The caller holds mu.
func (p *Part) countWrongful(now time.Time, s *subject) {
	rate := p.limit(s.name).Rate
	share := rate * float64(s.share.Millionths()) / limits.TotalMillionths
	if live := len(p.config.Directory.Live()); live > 0 {
		share = max(share, rate/float64(live))
	}
	if s.rate.perSecond(now) < share {
		p.counts.wrongful.Inc(1)
		metrics.GetOrRegisterCounter("lending.wrongfulRefusals/"+s.name, p.config.Metrics).Inc(1)
	}
}
