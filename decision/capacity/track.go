package capacity

import "time"

const (
	// minWeight is the least weight of a comparison, that of 10 samples on either side.
	minWeight = 5
	// throughputTolerance is the gain in throughput below which more statements in progress
	// count as waiting only. An endpoint that runs its slots independently gains 20% or more
	// from each of up to 6 slots.
	throughputTolerance = 1.1
	// significance is the number of standard errors by which a slowdown must exceed that of a
	// healthy endpoint. It is above the usual 2, because several limits are compared in each of
	// the overlapping windows.
	significance = 3.5
	// gainTolerance is the difference of gains, as logarithms, that counts as none.
	gainTolerance = 0.1
	// minSlowdown is the slowdown, as a logarithm, that must be exceeded. The wait that a healthy
	// endpoint causes beyond its slots is known only to about this extent.
	minSlowdown = 0.15
	// trialSignificance applies to a limit that has just been raised, where a wrong answer only
	// delays the next trial.
	trialSignificance = 2
	// trialTime is how long a raised limit is observed before the next raise.
	trialTime = 800 * time.Millisecond
	// baseEpochs is the number of epochs before a raise with which those after it are compared.
	baseEpochs = 2
	// minTrialSamples is the number of statements at a raised limit that confirm it.
	minTrialSamples = 10
	// minHold and maxHold bound the time from lowering a limit to the next trial. It doubles with
	// each trial that fails, so that an endpoint that stays as it is rarely runs at a limit that
	// is too high.
	minHold = 2 * time.Second
	maxHold = 16 * time.Second
)

// track learns the limit of the reads or of the writes.
type track struct {
	config Config
	limit  int
	epochs []epoch
	// checked is the number of the epoch in which the limit was last checked.
	checked int64
	// raiseAt is when a lowered limit is raised by step.
	raiseAt time.Time
	step    int
	hold    time.Duration
	// trialBase is the limit before the last raise while that is being observed; 0 otherwise.
	trialBase int
	probe     probe
	// busyIgnoredUntil is the time until which rejections do not lower the limit.
	busyIgnoredUntil time.Time
}

func newTrack(config Config) track {
	return track{
		config: config,
		limit:  config.Slots + config.Margin,
		hold:   minHold,
		step:   1,
	}
}

func (t *track) upperLimit() int { return t.config.Slots + t.config.Margin }

func (t *track) add(now time.Time, sample Sample) {
	level := min(max(sample.InFlight, 1), t.upperLimit())
	started := epochNumber(now.Add(-sample.ServiceTime))
	t.epochAt(started, epochNumber(now)).add(sample, level)
	if sample.Outcome == Busy {
		t.checkBusy(now)
		return
	}
	t.probe.add(sample, level >= t.limit)
}

func epochNumber(at time.Time) int64 { return at.UnixNano() / int64(epochLength) }

// epochAt returns the epoch of a number, and drops those that have left the window. A statement
// that started before the window counts in its oldest epoch.
func (t *track) epochAt(number, current int64) *epoch {
	t.dropEpochsBefore(current - windowEpochs + 1)
	number = max(number, current-windowEpochs+1)
	at := len(t.epochs)
	for at > 0 && t.epochs[at-1].number >= number {
		at--
	}
	if at < len(t.epochs) && t.epochs[at].number == number {
		return &t.epochs[at]
	}
	t.epochs = append(t.epochs, epoch{})
	copy(t.epochs[at+1:], t.epochs[at:])
	t.epochs[at] = epoch{
		number:  number,
		total:   make([]float64, t.upperLimit()+1),
		busy:    make([]float64, t.upperLimit()+1),
		seconds: make([]float64, t.upperLimit()+1),
	}
	return &t.epochs[at]
}

// currentLimit returns the limit. It checks it once in each epoch.
func (t *track) currentLimit(now time.Time) int {
	if number := epochNumber(now); number != t.checked {
		t.checked = number
		t.check(now)
	}
	return t.probe.limit(t.limit)
}

func (t *track) check(now time.Time) {
	t.epochAt(t.checked, t.checked)
	if t.probe.isRunning() {
		t.probe.endProbeEpoch()
		if !t.probe.isComplete() {
			return
		}
	}
	if level, ok := t.saturatedLevel(); ok {
		t.lower(now, level)
		return
	}
	t.probe.endEpoch(t.limit > 1 && t.trialBase == 0 && !t.hasContrast(), t.isRefuted)
	if t.probe.isRunning() {
		t.dropEpochsBefore(t.checked - 1)
	}
	if now.Before(t.raiseAt) {
		return
	}
	t.endTrial()
	if t.limit < t.upperLimit() {
		t.raise(now)
	}
}

// saturatedLevel returns the number of statements in progress above which the endpoint gains no
// throughput; false if there is no evidence for it.
func (t *track) saturatedLevel() (int, bool) {
	highest := min(t.limit, t.config.Slots) - 1
	evidence := false
	for level := highest; level > 0 && !evidence; level-- {
		evidence = t.isSaturatedAbove(level)
	}
	switch {
	case !evidence:
		return 0, false
	case t.trialBase > 0:
		return t.trialBase, true
	}
	return t.bestLevel(highest)
}

// bestLevel returns the number of statements in progress with the largest throughput; of several
// with about the same the lowest one, as the others only increase the wait.
func (t *track) bestLevel(highest int) (int, bool) {
	merged := mergeEpochs(t.epochs)
	best, bestGain := 0, -gainTolerance
	for level := highest; level > 0; level-- {
		c := contrast{exact: true}
		c.addEpoch(merged, level, t.config.Slots, 0)
		if c.weight < minWeight/2 {
			continue
		}
		difference, _, _ := c.slowdown()
		if gain := difference - c.flat(); gain > bestGain-gainTolerance {
			best, bestGain = level, max(gain, bestGain)
		}
	}
	return best, best > 0
}

// isSaturatedAbove reports whether there is evidence that the endpoint gains no throughput above a
// number of statements in progress.
func (t *track) isSaturatedAbove(level int) bool {
	wait := t.waitBeyondSlots(level)
	if t.trialBase > 0 || t.probe.isComplete() {
		// Statements before and after a change of the limit are compared, because all statements
		// of a saturated endpoint start with as many in progress as the limit allows.
		var c contrast
		c.addEpoch(mergeEpochs(t.epochs), level, t.config.Slots, wait)
		if t.trialBase > 0 {
			return level == t.trialBase && c.isEvidence(trialSignificance)
		}
		return c.isEvidence(significance)
	}
	var whole contrast
	parts := make([]contrast, len(t.epochs))
	for i := range t.epochs {
		parts[i].addEpoch(&t.epochs[i], level, t.config.Slots, wait)
		whole.addEpoch(&t.epochs[i], level, t.config.Slots, wait)
	}
	if !whole.isEvidence(significance) {
		return false
	}
	for _, part := range parts {
		// The endpoint may have become slower for another reason within one epoch.
		if rest := whole.without(part); !rest.isEvidence(trialSignificance) {
			return false
		}
	}
	return true
}

// isRefuted reports whether the statements during a probe show that a lower limit would reduce the
// throughput.
func (t *track) isRefuted() bool {
	merged := mergeEpochs(t.epochs)
	for _, level := range []int{max(t.limit/3, 1), max(t.limit/2, 1)} {
		var c contrast
		c.addEpoch(merged, level, t.config.Slots, 0)
		if c.weight < minWeight {
			return false
		}
		if difference, _, standardError := c.slowdown(); difference+trialSignificance*standardError > c.flat() {
			return false
		}
	}
	return true
}

// waitBeyondSlots returns the mean wait of a statement at a healthy endpoint for each statement in
// progress beyond its slots, in seconds, if the statements up to level take as long as the others.
func (t *track) waitBeyondSlots(level int) float64 {
	seconds, measured := 0.0, 0.0
	for _, e := range t.epochs {
		for i := range level + 1 {
			seconds += e.seconds[i]
			measured += e.total[i] - e.busy[i]
		}
	}
	return seconds / max(measured, 1) / float64(t.config.Slots)
}

// hasContrast reports whether the window has statements of both few and many in progress.
func (t *track) hasContrast() bool {
	var c contrast
	for i := range t.epochs {
		c.addEpoch(&t.epochs[i], max(t.limit/2, 1), t.config.Slots, 0)
	}
	return c.weight >= minWeight
}

func (t *track) lower(now time.Time, limit int) {
	if t.trialBase > 0 {
		t.hold = min(2*t.hold, maxHold)
	}
	t.limit = max(limit, 1)
	t.step = 1
	t.trialBase = 0
	t.raiseAt = now.Add(t.hold)
	t.epochs = nil
	t.probe = probe{}
}

// endTrial ends a trial that has not failed.
func (t *track) endTrial() {
	if t.trialBase > 0 && t.samplesAbove(t.trialBase) >= minTrialSamples {
		t.hold = minHold
	}
	t.trialBase = 0
}

// raise begins a trial of a higher limit. The steps grow, so that the limit of an endpoint that has
// recovered returns to the upper bound quickly.
func (t *track) raise(now time.Time) {
	t.trialBase = t.limit
	t.limit = min(t.limit+t.step, t.upperLimit())
	t.step *= 2
	t.raiseAt = now.Add(trialTime)
	t.dropEpochsBefore(t.checked - baseEpochs)
}

func (t *track) dropEpochsBefore(number int64) {
	for len(t.epochs) > 0 && t.epochs[0].number < number {
		t.epochs = t.epochs[1:]
	}
}

func (t *track) samplesAbove(limit int) float64 {
	count := 0.0
	for _, e := range t.epochs {
		for level := limit + 1; level < len(e.total); level++ {
			count += e.total[level]
		}
	}
	return count
}
