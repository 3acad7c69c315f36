package lending

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/decision/limits"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/proxy/platform"
	"amaranthdock.dev/timer"
)

const (
	// checkInterval is how often a VM checks whether it is the share manager, and
	// whether it has to read the share record.
	checkInterval = time.Second
	// incompleteRecordInterval is the mean time until the record is read again if
	// it lacks a subject or if a reduction of one of this VM's shares is pending.
	incompleteRecordInterval = time.Second
	// managerInterval is the share manager's interval between two reads of the
	// record.
	managerInterval = 2 * time.Second
	// recordKey is the store key of the share record.
	recordKey = "shares/0"
	// refreshInterval is the interval between two reads of the record on all VMs but
	// the share manager, before jitter.
	refreshInterval = 30 * time.Second
	// releaseAttempts is how often a leaving VM tries to write the record.
	releaseAttempts = 10
	// retryInterval is the time until a retry after a failed call to the store,
	// before jitter.
	retryInterval = 2 * time.Second
	// readSpreadPerVM, times the number of VMs, is the time over which the VMs
	// spread their reads of the record after an event that all of them notice at
	// once. 2 ms result in 500 reads per second, a quarter of what the store serves.
	readSpreadPerVM = 2 * time.Millisecond
	// storeTimeout is the timeout of each call to the store.
	storeTimeout = time.Second
)

// Release moves all shares of this VM, which is leaving, to other VMs. From the call
// on, this VM admits requests with borrowed tokens only. If Release returns an error,
// the share manager moves the shares once the platform's list no longer contains
// this VM.
func (l *Limiter) Release(ctx context.Context) error {
	l.mu.Lock()
	l.leaving = true
	now := l.config.Timer.Now()
	for _, s := range l.subjects {
		s.share.Reduce(now, 0, l.revision)
	}
	l.mu.Unlock()
	var lastErr error
	for range releaseAttempts {
		done, err := l.tryRelease(ctx)
		if done {
			return nil
		}
		lastErr = err
		if err := timer.Sleep(ctx, l.config.Timer, l.jitter(readSpreadPerVM*100)); err != nil {
			return eris.Wrap(err, "lending: release the shares")
		}
	}
	return eris.Wrap(lastErr, "lending: release the shares")
}

// Run reads the share record regularly, and writes the changes that this VM is
// responsible for, until the context ends.
func (l *Limiter) Run(ctx context.Context) error {
	defer l.cancelLoans()
	changes, cancel := l.config.Configuration.Subscribe()
	defer cancel()
	check := l.config.Timer.Every(checkInterval)
	defer check.Stop()
	nextReconcile := l.config.Timer.Now()
	hasAbsent := false
	for {
		now := l.config.Timer.Now()
		if !now.Before(nextReconcile) {
			nextReconcile = now.Add(l.reconcileAndSchedule(ctx))
		}
		select {
		case <-check.C():
			if l.isManager() {
				nextReconcile = minTime(nextReconcile, now.Add(managerInterval))
			}
			hadAbsent := hasAbsent
			if hasAbsent = l.hasAbsentHolder(); hasAbsent && !hadAbsent {
				nextReconcile = minTime(nextReconcile, now.Add(l.absentHolderInterval()))
			}
		case <-changes:
			nextReconcile = l.waitSpread(ctx)
		case <-l.refreshRequests:
			// Delayed, because refused requests may trigger this at a high rate.
			nextReconcile = minTime(nextReconcile, now.Add(l.jitter(incompleteRecordInterval)))
		case <-ctx.Done():
			return nil
		}
	}
}

// reconcile reads the share record and writes the changes that this VM is
// responsible for.
func (l *Limiter) reconcile(ctx context.Context) error {
	if err := l.readRecord(ctx); err != nil {
		return err
	}
	subjects := l.configuredSubjects()
	if l.isManager() {
		fleet, err := l.readFleet(ctx)
		if err != nil {
			return err
		}
		record, revision := l.currentRecord()
		if err := l.writeRecord(ctx, limits.Reconcile(record, subjects, fleet), revision); err != nil {
			return err
		}
	}
	return l.rebalance(ctx, subjects)
}

// reconcileAndSchedule calls reconcile and returns the time until the next call.
func (l *Limiter) reconcileAndSchedule(ctx context.Context) time.Duration {
	l.mu.Lock()
	leaving := l.leaving
	l.mu.Unlock()
	if leaving {
		return refreshInterval
	}
	if err := l.reconcile(ctx); err != nil {
		l.config.Logger.Info("Could not read or write the share record.", "error", err.Error())
		return l.jitter(retryInterval)
	}
	switch {
	case l.needsEarlyRead():
		return l.jitter(incompleteRecordInterval)
	case l.isManager():
		return managerInterval
	case l.hasAbsentHolder():
		return l.absentHolderInterval()
	default:
		return l.jitter(refreshInterval)
	}
}

// absentHolderInterval returns the time until the next read of a record that names a
// VM that is not live. The shares of that VM are about to move to others, and a VM
// that learned of its larger share only after refreshInterval would leave part of
// the rate unused. All VMs notice the absence, so their reads are spread out.
func (l *Limiter) absentHolderInterval() time.Duration {
	spread := readSpreadPerVM * time.Duration(len(l.config.Directory.Live()))
	return l.jitter(max(incompleteRecordInterval, spread))
}

// configuredSubjects returns the subjects of the configuration with their limits.
func (l *Limiter) configuredSubjects() []limits.Subject {
	snapshot := l.config.Configuration.Current()
	if snapshot == nil {
		return nil
	}
	var subjects []limits.Subject
	for _, s := range snapshot.Subjects() {
		subjects = append(subjects, limits.Subject{
			Name: s.Name,
			Limit: limits.Limit{
				Rate:  s.Limit.Rate,
				Burst: s.Limit.Burst,
			},
		})
	}
	return subjects
}

func (l *Limiter) currentRecord() (limits.ShareRecord, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record, l.revision
}

// readFleet reads the platform's VM list and combines it with the live VMs and the
// absent share holders.
func (l *Limiter) readFleet(ctx context.Context) (limits.Fleet, error) {
	ctx, cancel := timer.WithTimeout(ctx, l.config.Timer, storeTimeout)
	defer cancel()
	vms, err := l.config.Store.ListVMs(ctx)
	if err != nil {
		return limits.Fleet{}, eris.Wrap(err, "lending: read the platform's VM list")
	}
	fleet := limits.Fleet{LiveVMs: l.config.Directory.Live()}
	listed := map[string]bool{}
	for _, v := range vms {
		listed[v.Name] = true
		fleet.ListedVMs = append(fleet.ListedVMs, v.Name)
		if !v.Leaving {
			fleet.ListedActiveVMs = append(fleet.ListedActiveVMs, v.Name)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	fleet.LongAbsentVMs = l.absences.update(l.config.Timer.Now(), l.record, listed)
	return fleet, nil
}

// rebalance moves shares of this VM that are too large, in part or whole, to other
// VMs. If nothing has to move but a reduction is still pending after a write without
// a response, it writes the record again unchanged, which ends the reduction.
func (l *Limiter) rebalance(ctx context.Context, subjects []limits.Subject) error {
	record, revision := l.currentRecord()
	fleet := limits.Fleet{LiveVMs: l.config.Directory.Live()}
	for _, v := range fleet.LiveVMs {
		fleet.ListedActiveVMs = append(fleet.ListedActiveVMs, v.Name)
	}
	// The VM list is read only if the live VMs alone suggest a change.
	if _, ok := limits.Rebalance(record, subjects, fleet, l.self).(limits.Changed); ok {
		var err error
		if fleet, err = l.readFleet(ctx); err != nil {
			return err
		}
		change := limits.Rebalance(record, subjects, fleet, l.self)
		if _, ok := change.(limits.Changed); ok {
			return l.writeRecord(ctx, change, revision)
		}
	}
	if !l.reductionPending() {
		return nil
	}
	return l.writeRecord(ctx, limits.Changed{Record: record}, revision)
}

// needsEarlyRead reports whether the record has to be read again soon, because a
// reduction is pending or a configured subject has no shares yet.
func (l *Limiter) needsEarlyRead() bool {
	if l.reductionPending() {
		return true
	}
	record, _ := l.currentRecord()
	for _, s := range l.configuredSubjects() {
		if len(record.Shares(s.Name)) == 0 {
			return true
		}
	}
	return false
}

// jitter returns a random duration, uniform between 0.5 and 1.5 times the given one.
func (l *Limiter) jitter(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * (0.5 + l.config.Random()))
}

// isManager reports whether this VM is the share manager, which is the first live VM
// by rank.
func (l *Limiter) isManager() bool {
	ranked := routing.Rank(recordKey, l.config.Directory.Live())
	return len(ranked) > 0 && ranked[0].Name == l.self
}

// hasAbsentHolder reports whether the record names a share holder that is not live.
func (l *Limiter) hasAbsentHolder() bool {
	live := map[string]bool{}
	for _, v := range l.config.Directory.Live() {
		live[v.Name] = true
	}
	record, _ := l.currentRecord()
	for _, s := range record.Subjects {
		for _, share := range s.Shares {
			if !live[share.VM] {
				return true
			}
		}
	}
	return false
}

func (l *Limiter) readRecord(ctx context.Context) error {
	ctx, cancel := timer.WithTimeout(ctx, l.config.Timer, storeTimeout)
	defer cancel()
	entry, err := l.config.Store.Get(ctx, recordKey)
	if err != nil {
		return eris.Wrapf(err, "lending: read %s", recordKey)
	}
	return l.applyRecord(entry)
}

// tryRelease makes one attempt to write the record without this VM, and reports
// whether the record no longer names it.
func (l *Limiter) tryRelease(ctx context.Context) (bool, error) {
	if err := l.readRecord(ctx); err != nil {
		return false, err
	}
	record, revision := l.currentRecord()
	fleet, err := l.readFleet(ctx)
	if err != nil {
		// Without the VM list the shares are left unassigned, and the share manager
		// assigns them.
		fleet = limits.Fleet{}
	}
	change := limits.Release(record, l.configuredSubjects(), fleet, l.self)
	if err := l.writeRecord(ctx, change, revision); err != nil {
		return false, err
	}
	record, _ = l.currentRecord()
	_, named := limits.Release(record, nil, limits.Fleet{}, l.self).(limits.Changed)
	return !named, nil
}

func (l *Limiter) reductionPending() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.subjects {
		if s.share.ReductionPending() {
			return true
		}
	}
	return false
}

// waitSpread waits for a random time, so that the VMs do not all read the record at
// once, and returns the time afterwards.
func (l *Limiter) waitSpread(ctx context.Context) time.Time {
	mean := readSpreadPerVM * time.Duration(len(l.config.Directory.Live())+1)
	// The error is ignored, because Run checks the context itself.
	_ = timer.Sleep(ctx, l.config.Timer, l.jitter(mean))
	return l.config.Timer.Now()
}

// writeRecord reduces this VM's own shares as the change says, and then writes the
// changed record. If the write fails, it reads the record back to learn the outcome.
// The shares stay reduced until the record has passed the given revision, because a
// write without a response may still take effect until then.
func (l *Limiter) writeRecord(ctx context.Context, change limits.Change, revision uint64) error {
	changed, ok := change.(limits.Changed)
	if !ok {
		return nil
	}
	value, err := changed.Record.Encode()
	if err != nil {
		return eris.Wrapf(err, "lending: write %s", recordKey)
	}
	l.mu.Lock()
	now := l.config.Timer.Now()
	for _, s := range changed.Reductions {
		l.subject(now, s.Subject).share.Reduce(now, s.Millionths, revision)
	}
	l.mu.Unlock()
	callCtx, cancel := timer.WithTimeout(ctx, l.config.Timer, storeTimeout)
	defer cancel()
	entry, swapped, err := l.config.Store.CompareAndSwap(callCtx, recordKey, value, revision)
	if err != nil {
		return l.readRecord(ctx)
	}
	if swapped {
		l.counters.recordWrites.Inc(1)
	}
	return l.applyRecord(platform.Entry{
		Key:      recordKey,
		Value:    entry.Value,
		Revision: entry.Revision,
		Found:    entry.Found,
	})
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
