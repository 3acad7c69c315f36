package capacity

import "math"

const (
	// minSuspectSamples is the number of samples of an epoch from which the endpoint can count as
	// slower than usual.
	minSuspectSamples = 15
	// suspectSlowdown is the slowdown, as a logarithm, from which a saturated endpoint is
	// probed: 1.5 times the usual service time.
	suspectSlowdown = 0.4
	// suspectSignificance is the number of standard errors by which the slowdown must exceed 0.
	suspectSignificance = 4
	// usualWeight is the weight of an epoch in the usual service time, which covers about 8 s.
	usualWeight = 0.05
	// inconclusiveWeight is that of the samples of a probe without a clear result. It allows two
	// more probes of an endpoint that is 3 times as slow.
	inconclusiveWeight = 0.3
	// probeEpochs is the length of a probe in epochs. The limit is reduced in the first two and as
	// before in the last one, which shows whether the endpoint has become faster by itself.
	probeEpochs = 3
)

// probe lowers the limit for two epochs when an endpoint is saturated and slower than usual.
// Otherwise all of its statements would start with the same number in progress, which says
// nothing about a lower limit.
type probe struct {
	// epoch is the number of the current epoch of a probe, from 1; 0 if there is none. It is above
	// probeEpochs when the probe is complete.
	epoch     int
	kinds     []usualTime
	samples   int
	saturated int
}

// usualTime is the usual service time of a kind, as a logarithm, with the samples of this epoch.
type usualTime struct {
	kind    Kind
	usual   float64
	known   bool
	current moments
}

func (p *probe) add(sample Sample, atLimit bool) {
	p.samples++
	if atLimit {
		p.saturated++
	}
	value := math.Log(max(sample.ServiceTime, minServiceTime).Seconds())
	for i := range p.kinds {
		if p.kinds[i].kind == sample.Kind {
			p.kinds[i].current.add(value)
			return
		}
	}
	if len(p.kinds) < maxKinds {
		p.kinds = append(p.kinds, usualTime{kind: sample.Kind})
		p.kinds[len(p.kinds)-1].current.add(value)
	}
}

func (p *probe) isRunning() bool { return p.epoch > 0 }

func (p *probe) isComplete() bool { return p.epoch > probeEpochs }

// endProbeEpoch ends an epoch of a running probe.
func (p *probe) endProbeEpoch() { p.epoch++ }

// endEpoch ends an epoch outside of a probe, or a probe that had no result, and begins a probe if
// there is a need.
func (p *probe) endEpoch(mayBegin bool, isRefuted func() bool) {
	suspect := p.isSlow() && p.saturated*4 >= p.samples*3 && mayBegin
	weight := float64(usualWeight)
	switch {
	case p.isComplete() && isRefuted():
		// Fewer statements in progress would not help, so the endpoint is slow for another reason.
		p.epoch = 0
		weight = 1
	case p.isComplete():
		p.epoch = 0
		weight = inconclusiveWeight
	case suspect:
		p.epoch = 1
	}
	p.samples = 0
	p.saturated = 0
	p.updateUsualTimes(weight)
}

// isSlow reports whether the statements of this epoch took longer than usual.
func (p *probe) isSlow() bool {
	var difference, count, deviations, freedom float64
	for i := range p.kinds {
		k := &p.kinds[i]
		if !k.known || k.current.count == 0 {
			continue
		}
		difference += k.current.sum - k.current.count*k.usual
		count += k.current.count
		deviations += k.current.deviations()
		freedom += k.current.count - 1
	}
	if count < minSuspectSamples || freedom <= 0 {
		return false
	}
	standardError := math.Sqrt(max(deviations/freedom, minVariance) / count)
	difference /= count
	return difference > suspectSlowdown && difference > suspectSignificance*standardError
}

// updateUsualTimes takes the collected samples into the usual times with the given weight.
func (p *probe) updateUsualTimes(weight float64) {
	for i := range p.kinds {
		k := &p.kinds[i]
		if k.current.count == 0 {
			continue
		}
		if !k.known {
			k.usual = k.current.mean()
			k.known = true
		}
		k.usual += weight * (k.current.mean() - k.usual)
		k.current = moments{}
	}
}

// limit returns the limit during a probe. It is a third at first: an endpoint may slow down from half
// of its slots on.
func (p *probe) limit(limit int) int {
	switch p.epoch {
	case 1:
		return max(limit/3, 1)
	case 2:
		return max(limit/2, 1)
	default:
		return limit
	}
}
