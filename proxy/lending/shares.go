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
	// checkInterval is how often a VM looks whether it manages the record, and
	// whether it is due to read it.
	checkInterval = time.Second
	// goneAfter is how long the platform's list must not have named a VM until
	// its part moves: three readings in a row. Older revisions of the list are
	// refused by the store client.
	goneAfter = 3 * time.Second
	// incompleteInterval is the time until the next reading of a record that
	// lacks a subject or that has not passed an own write.
	incompleteInterval = time.Second
	// listLifetime is the longest pause between two readings of the list over
	// which an absence counts.
	listLifetime = 5 * time.Second
	// manageInterval is the share manager's interval.
	manageInterval = 2 * time.Second
	// recordKey is the store's key of the share record.
	recordKey = "shares/0"
	// refreshInterval is the interval of the other VMs, before jitter.
	refreshInterval = 30 * time.Second
	// releaseTries bounds the writes of a VM that is leaving.
	releaseTries = 10
	// retryInterval follows a failed call to the store, before jitter.
	retryInterval = 2 * time.Second
	// spreadPerVM spreads the readings that a change causes on all VMs at once:
	// 500 readings a second, a quarter of what the store serves.
	spreadPerVM = 2 * time.Millisecond
	// storeTimeout bounds each call to the store.
	storeTimeout = time.Second
)

// absences remembers since when the platform's list does not name a holder.
type absences struct {
	since map[string]time.Time
	read  time.Time
}

// Release gives all parts of this VM, which is leaving, to others. From the call
// on the VM admits requests with borrowed tokens only. If it returns an error, the
// parts move once the platform's list no longer names the VM.
func (p *Part) Release(ctx context.Context) error {
	p.mu.Lock()
	p.leaving = true
	now := p.config.Timer.Now()
	for _, s := range p.subjects {
		s.share.Reduce(now, 0, p.revision)
	}
	p.mu.Unlock()
	var last error
	for range releaseTries {
		done, err := p.release(ctx)
		if done {
			return nil
		}
		last = err
		if err := timer.Sleep(ctx, p.config.Timer, p.jitter(spreadPerVM*100)); err != nil {
			return eris.Wrap(err, "lending: release the shares")
		}
	}
	return eris.Wrap(last, "lending: release the shares")
}

// Run reads the share record, and changes it where this VM has to, until the
// context ends.
func (p *Part) Run(ctx context.Context) error {
	defer p.stop()
	changes, cancel := p.config.Configuration.Subscribe()
	defer cancel()
	check := p.config.Timer.Every(checkInterval)
	defer check.Stop()
	due := p.config.Timer.Now()
	absent := false
	for {
		now := p.config.Timer.Now()
		if !now.Before(due) {
			due = now.Add(p.cycleAndWait(ctx))
		}
		select {
		case <-check.C():
			if p.manages() {
				due = minTime(due, now.Add(manageInterval))
			}
			before := absent
			if absent = p.namesAbsent(); absent && !before {
				due = minTime(due, now.Add(p.absentInterval()))
			}
		case <-changes:
			due = p.spread(ctx)
		case <-p.refresh:
			// Not at once: refused requests may ask for this at a high rate.
			due = minTime(due, now.Add(p.jitter(incompleteInterval)))
		case <-ctx.Done():
			return nil
		}
	}
}

// cycle reads the record and writes the changes that this VM has to make.
func (p *Part) cycle(ctx context.Context) error {
	if err := p.read(ctx); err != nil {
		return err
	}
	subjects := p.configured()
	if p.manages() {
		fleet, err := p.fleet(ctx)
		if err != nil {
			return err
		}
		record, revision := p.current()
		if err := p.write(ctx, limits.Reconcile(record, subjects, fleet), revision); err != nil {
			return err
		}
	}
	return p.give(ctx, subjects)
}

// cycleAndWait returns the time until the next cycle.
func (p *Part) cycleAndWait(ctx context.Context) time.Duration {
	p.mu.Lock()
	leaving := p.leaving
	p.mu.Unlock()
	if leaving {
		return refreshInterval
	}
	if err := p.cycle(ctx); err != nil {
		p.config.Logger.Info("the share record could not be read or written", "error", err.Error())
		return p.jitter(retryInterval)
	}
	switch {
	case p.incomplete():
		return p.jitter(incompleteInterval)
	case p.manages():
		return manageInterval
	case p.namesAbsent():
		return p.absentInterval()
	default:
		return p.jitter(refreshInterval)
	}
}

// absentInterval is the time until the next reading of a record that names a VM
// that is not live. Its parts are about to move, and a holder that learns of its
// larger part only at the next regular reading leaves that part of the rate
// unused. All VMs see the absence, so their readings are spread.
func (p *Part) absentInterval() time.Duration {
	spread := spreadPerVM * time.Duration(len(p.config.Directory.Live()))
	return p.jitter(max(incompleteInterval, spread))
}

// configured returns the subjects of the configuration.
func (p *Part) configured() []limits.Subject {
	snapshot := p.config.Configuration.Current()
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

func (p *Part) current() (limits.ShareRecord, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.record, p.revision
}

// fleet reads the platform's list.
func (p *Part) fleet(ctx context.Context) (limits.Fleet, error) {
	ctx, cancel := timer.WithTimeout(ctx, p.config.Timer, storeTimeout)
	defer cancel()
	vms, err := p.config.Store.ListVMs(ctx)
	if err != nil {
		return limits.Fleet{}, eris.Wrap(err, "lending: read the platform's list")
	}
	fleet := limits.Fleet{Live: p.config.Directory.Live()}
	named := map[string]bool{}
	for _, v := range vms {
		named[v.Name] = true
		fleet.ListedAll = append(fleet.ListedAll, v.Name)
		if !v.Leaving {
			fleet.ListedActive = append(fleet.ListedActive, v.Name)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	fleet.Gone = p.absent.update(p.config.Timer.Now(), p.record, named)
	return fleet, nil
}

// give moves parts of this VM that are too large to other VMs. It ends the
// smallness that a write without an answer left behind by writing the record again.
func (p *Part) give(ctx context.Context, subjects []limits.Subject) error {
	record, revision := p.current()
	fleet := limits.Fleet{Live: p.config.Directory.Live()}
	for _, v := range fleet.Live {
		fleet.ListedActive = append(fleet.ListedActive, v.Name)
	}
	// The list is read only if the live VMs suggest a change.
	if _, ok := limits.Rebalance(record, subjects, fleet, p.self).(limits.Changed); ok {
		var err error
		if fleet, err = p.fleet(ctx); err != nil {
			return err
		}
		change := limits.Rebalance(record, subjects, fleet, p.self)
		if _, ok := change.(limits.Changed); ok {
			return p.write(ctx, change, revision)
		}
	}
	if !p.shrinking() {
		return nil
	}
	return p.write(ctx, limits.Changed{Record: record}, revision)
}

// incomplete tells whether the record needs another reading soon.
func (p *Part) incomplete() bool {
	if p.shrinking() {
		return true
	}
	record, _ := p.current()
	for _, s := range p.configured() {
		if len(record.Shares(s.Name)) == 0 {
			return true
		}
	}
	return false
}

// jitter spreads a duration evenly between half and one and a half of it.
func (p *Part) jitter(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * (0.5 + p.config.Random()))
}

// manages tells whether this VM is the share manager: the first live one by rank.
func (p *Part) manages() bool {
	ranked := routing.Rank(recordKey, p.config.Directory.Live())
	return len(ranked) > 0 && ranked[0].Name == p.self
}

// namesAbsent tells whether the record names a holder that is not live.
func (p *Part) namesAbsent() bool {
	live := map[string]bool{}
	for _, v := range p.config.Directory.Live() {
		live[v.Name] = true
	}
	record, _ := p.current()
	for _, s := range record.Subjects {
		for _, part := range s.Shares {
			if !live[part.VM] {
				return true
			}
		}
	}
	return false
}

func (p *Part) read(ctx context.Context) error {
	ctx, cancel := timer.WithTimeout(ctx, p.config.Timer, storeTimeout)
	defer cancel()
	entry, err := p.config.Store.Get(ctx, recordKey)
	if err != nil {
		return eris.Wrapf(err, "lending: read %s", recordKey)
	}
	return p.apply(entry)
}

// release tries once to write the record without this VM, and tells whether the
// record no longer names it.
func (p *Part) release(ctx context.Context) (bool, error) {
	if err := p.read(ctx); err != nil {
		return false, err
	}
	record, revision := p.current()
	fleet, err := p.fleet(ctx)
	if err != nil {
		// Without the list the parts become free, and the manager assigns them.
		fleet = limits.Fleet{}
	}
	change := limits.Release(record, p.configured(), fleet, p.self)
	if err := p.write(ctx, change, revision); err != nil {
		return false, err
	}
	record, _ = p.current()
	_, named := limits.Release(record, nil, limits.Fleet{}, p.self).(limits.Changed)
	return !named, nil
}

func (p *Part) shrinking() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.subjects {
		if s.share.ReductionPending() {
			return true
		}
	}
	return false
}

// spread waits a little, so that not all VMs read the record at once, and returns
// the current time.
func (p *Part) spread(ctx context.Context) time.Time {
	longest := spreadPerVM * time.Duration(len(p.config.Directory.Live())+1)
	// The end of the context ends Run as well.
	_ = timer.Sleep(ctx, p.config.Timer, p.jitter(longest))
	return p.config.Timer.Now()
}

// write shrinks the own shares and writes a changed record. A lost answer is read
// back; the shares stay small until the record has passed the revision.
func (p *Part) write(ctx context.Context, change limits.Change, revision uint64) error {
	changed, ok := change.(limits.Changed)
	if !ok {
		return nil
	}
	value, err := changed.Record.Encode()
	if err != nil {
		return eris.Wrapf(err, "lending: write %s", recordKey)
	}
	p.mu.Lock()
	now := p.config.Timer.Now()
	for _, s := range changed.Reductions {
		p.subject(now, s.Subject).share.Reduce(now, s.Millionths, revision)
	}
	p.mu.Unlock()
	bounded, cancel := timer.WithTimeout(ctx, p.config.Timer, storeTimeout)
	defer cancel()
	entry, swapped, err := p.config.Store.CompareAndSwap(bounded, recordKey, value, revision)
	if err != nil {
		return p.read(ctx)
	}
	if swapped {
		p.counts.writes.Inc(1)
	}
	return p.apply(platform.Entry{
		Key:      recordKey,
		Value:    entry.Value,
		Revision: entry.Revision,
		Found:    entry.Found,
	})
}

// update returns the holders that the list has not named for goneAfter.
func (a *absences) update(now time.Time, record limits.ShareRecord, named map[string]bool) map[string]bool {
	if now.Sub(a.read) > listLifetime {
		a.since = map[string]time.Time{}
	}
	a.read = now
	gone := map[string]bool{}
	since := map[string]time.Time{}
	for _, s := range record.Subjects {
		for _, part := range s.Shares {
			if named[part.VM] {
				continue
			}
			first, seen := a.since[part.VM]
			if !seen {
				first = now
			}
			since[part.VM] = first
			gone[part.VM] = now.Sub(first) >= goneAfter
		}
	}
	a.since = since
	return gone
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
