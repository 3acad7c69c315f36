// Package outlier detects endpoints that fail a part of their statements although they report
// themselves as healthy, and decides how many statements they still get. It answers the load in
// which one endpoint of a database returns errors, resets connections or does not respond, while
// the others could serve its reads. A Detector is not safe for concurrent use.
package outlier

import "time"

const (
	// window is the time over which failures count. It is short, so that a recovered endpoint
	// is not judged by what happened before.
	window = 2 * time.Second
	// maxSamples bounds the memory of a detector and the statements on which it judges a busy
	// endpoint.
	maxSamples = 64
	// minFailures is the number of failures below which an endpoint is never ejected, so that
	// single failures of a quiet endpoint have no effect.
	minFailures = 4
	// ejectionShare is the share of failures above which an endpoint is ejected. Errors of
	// statements themselves are far rarer.
	ejectionShare = 0.2
	// minWorkspaces is how many workspaces must have seen errors of the endpoint. The
	// statements of a single caller may fail at each endpoint.
	minWorkspaces = 2
	// initialEjection is the time of the first ejection. It doubles with each further one up to
	// maxEjection, and starts again after an endpoint was healthy for forgetAfter.
	initialEjection = time.Second
	maxEjection     = 4 * time.Second
	forgetAfter     = 10 * time.Second
	// probeInterval is the least time between two statements that an ejected endpoint gets.
	probeInterval = 100 * time.Millisecond
	// minProbes is how many probes in a row must succeed before the endpoint recovers.
	minProbes = 3
	// recoveryStep is the time between two steps in which the share of a recovering endpoint
	// doubles, from initialShare on.
	recoveryStep = 500 * time.Millisecond
	initialShare = 0.25
	// maxQuietTime is the time without a failure after which an ejection ends, and the time after
	// which a recovery ends, although too few statements arrived: below one per second there are never
	// minProbes within the window. An endpoint without failures is thus healthy at the latest twice
	// this time after its ejection. It is longer than maxEjection.
	maxQuietTime = 5 * time.Second
	// replacementShare is the share of failures above which replacing a primary is better for
	// its callers than keeping it: a replacement takes about a second.
	replacementShare = 0.25
	// replacementDelay is how long a primary has to fail before it is replaced.
	replacementDelay = 500 * time.Millisecond
)

// Outcome is the result of a statement at an endpoint.
type Outcome int

// The outcomes.
const (
	// Succeeded means that the endpoint gave a result.
	Succeeded Outcome = iota
	// Failed means that the endpoint returned an error for a statement that ran.
	Failed
	// NoResponse means that the connection ended or the time was over without a result.
	NoResponse
	// Rejected means that the endpoint was busy although it had free slots.
	Rejected
)

// sample is one statement.
type sample struct {
	at        time.Duration
	workspace string
	outcome   Outcome
}

// State is what an endpoint gets: Healthy, Ejected or Recovering.
type State interface{ state() }

// Healthy endpoints get all statements.
type Healthy struct{}

// Ejected endpoints get single statements as probes.
type Ejected struct{ Until time.Duration }

// Recovering endpoints get a share of the statements.
type Recovering struct{ Share float64 }

func (Healthy) state()    {}
func (Ejected) state()    {}
func (Recovering) state() {}

// Detector holds the recent outcomes of the statements at one endpoint. All times are readings of
// a clock that advances while the VM is suspended.
type Detector struct {
	samples      []sample
	state        State
	ejection     time.Duration
	lastHealthy  time.Duration
	lastProbe    time.Duration
	stepAt       time.Duration
	admitted     float64
	failingSince time.Duration
	// quietSince is the time of the last failure during an ejection, or of the start of a recovery.
	quietSince time.Duration
}

// New returns the detector of an endpoint without known failures.
func New() *Detector {
	return &Detector{state: Healthy{}}
}

// State returns the state as of the last call of Record, Admit or Advance.
func (d *Detector) State() State { return d.state }

// Record records the outcome of a statement, and reports whether the state changed.
func (d *Detector) Record(now time.Duration, workspace string, outcome Outcome) bool {
	before := d.state
	d.Advance(now)
	d.samples = append(d.samples, sample{
		at:        now,
		workspace: workspace,
		outcome:   outcome,
	})
	d.dropOld(now)
	switch s := d.state.(type) {
	case Healthy:
		if d.isFailing(ejectionShare) {
			d.eject(now)
		} else if now-d.lastHealthy > forgetAfter {
			d.ejection = 0
		}
	case Ejected:
		if outcome != Succeeded {
			d.quietSince = now
		}
		if now >= s.Until && d.successesInARow() >= minProbes {
			d.recover(now)
		}
	case Recovering:
		switch {
		case d.isFailing(ejectionShare):
			d.eject(now)
		case now-d.stepAt >= recoveryStep && s.Share*2 >= 1:
			d.lastHealthy = now
			d.state = Healthy{}
		case now-d.stepAt >= recoveryStep:
			d.stepAt = now
			d.state = Recovering{Share: s.Share * 2}
		}
	}
	if !d.isFailing(replacementShare) {
		d.failingSince = 0
	} else if d.failingSince == 0 {
		d.failingSince = now
	}
	return d.state != before
}

// Advance ends an ejection or a recovery in which too few statements arrived, and reports whether
// the state changed.
func (d *Detector) Advance(now time.Duration) bool {
	before := d.state
	switch s := d.state.(type) {
	case Ejected:
		if now-max(s.Until, d.quietSince) >= maxQuietTime {
			d.recover(now)
		}
	case Recovering:
		if now-d.quietSince >= maxQuietTime {
			d.lastHealthy = now
			d.state = Healthy{}
		}
	}
	return d.state != before
}

func (d *Detector) recover(now time.Duration) {
	d.samples = nil
	d.stepAt = now
	d.quietSince = now
	d.state = Recovering{Share: initialShare}
}

// Admit reports whether a statement that may also run at another endpoint should run at this one.
func (d *Detector) Admit(now time.Duration) bool {
	d.Advance(now)
	switch s := d.state.(type) {
	case Ejected:
		if now-d.lastProbe < probeInterval {
			return false
		}
		d.lastProbe = now
		return true
	case Recovering:
		d.admitted += s.Share
		if d.admitted < 1 {
			return false
		}
		d.admitted--
		return true
	default:
		return true
	}
}

// ShouldReplacePrimary reports whether the endpoint, which is a primary, has failed so much of its
// statements for so long that another one should take its place.
func (d *Detector) ShouldReplacePrimary(now time.Duration) bool {
	return d.failingSince != 0 && now-d.failingSince >= replacementDelay
}

// ServesWell reports whether the endpoint is healthy and has served statements recently.
func (d *Detector) ServesWell(now time.Duration) bool {
	d.dropOld(now)
	_, healthy := d.state.(Healthy)
	return healthy && d.successesInARow() >= minProbes
}

func (d *Detector) eject(now time.Duration) {
	d.ejection = min(max(2*d.ejection, initialEjection), maxEjection)
	d.lastProbe = now
	d.admitted = 0
	d.quietSince = now
	d.state = Ejected{Until: now + d.ejection}
}

func (d *Detector) dropOld(now time.Duration) {
	first := max(len(d.samples)-maxSamples, 0)
	for first < len(d.samples) && now-d.samples[first].at > window {
		first++
	}
	d.samples = d.samples[first:]
}

// isFailing reports whether the share of failures is above a limit. Errors count only if more
// than one workspace has seen them.
func (d *Detector) isFailing(limit float64) bool {
	errorsSeen, others := 0, 0
	workspaces := map[string]struct{}{}
	for _, s := range d.samples {
		switch s.outcome {
		case Failed:
			errorsSeen++
			workspaces[s.workspace] = struct{}{}
		case NoResponse, Rejected:
			others++
		}
	}
	if len(workspaces) < minWorkspaces {
		errorsSeen = 0
	}
	failures := errorsSeen + others
	return failures >= minFailures && float64(failures) > limit*float64(len(d.samples))
}

func (d *Detector) successesInARow() int {
	count := 0
	for i := len(d.samples) - 1; i >= 0 && d.samples[i].outcome == Succeeded; i-- {
		count++
	}
	return count
}
