package failover

import (
	"context"
	"time"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/promotion"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/routing"
)

// ConfirmPrimary queries the members and reports whether a majority is in the primary's
// term. It is for reads that must not be served by a superseded primary.
func (m *Manager) ConfirmPrimary(ctx context.Context, database string) bool {
	d, ok := m.findWatch(database)
	return ok && d.sampleStatuses(ctx)
}

// DurablePosition returns the last durable position of a database that this VM watches.
func (m *Manager) DurablePosition(database string) (logpos.Position, bool) {
	d, ok := m.findWatch(database)
	if !ok {
		return logpos.Position{}, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.monitor.DurablePosition()
}

// ExpectedCatchUp estimates the time until a replica reaches a position: its mean recent
// replication delay minus the time since the primary was observed to reach the position.
// It returns false if no delay has been measured yet.
func (m *Manager) ExpectedCatchUp(endpoint string, required logpos.Position) (time.Duration, bool) {
	d, ok := m.findWatchByEndpoint(endpoint)
	if !ok {
		return 0, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if status, ok := d.monitor.Status(endpoint); ok && status.LastPosition.Covers(required) {
		return 0, true
	}
	mean, ok := d.meanCatchUp[endpoint]
	elapsed, _ := d.primaryPositions.Age(m.config.Timer.Now(), required)
	return max(mean-elapsed, 0), ok
}

// PrimaryConfirmed reports whether a majority was seen in the primary's term within the
// failure detection timeout.
func (m *Manager) PrimaryConfirmed(database string) bool {
	d, ok := m.findWatch(database)
	if !ok {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.monitor.PrimaryConfirmed(m.config.Timer.Now())
}

// WaitApplied waits until an endpoint has applied a position. Its refusals have the
// outcome NotRun.
func (m *Manager) WaitApplied(ctx context.Context, endpoint string, required logpos.Position) error {
	d, ok := m.findWatchByEndpoint(endpoint)
	if !ok {
		return refusal.NewNotRun(refusal.NotHome, "this VM does not watch the endpoint")
	}
	applied := func(monitor *promotion.Monitor) (bool, error) {
		status, ok := monitor.Status(endpoint)
		return ok && status.LastPosition.Covers(required), nil
	}
	if err := d.waitFor(ctx, applied); err != nil {
		return refusal.NewNotRun(refusal.ReplicaBehind, "the endpoint did not reach the required position in time")
	}
	return nil
}

// WaitDurable waits until a write is durable. The position's term is the term of the
// primary that responded, even if it answered a repeated request with a result recorded
// in an older term. A refusal has the outcome Unknown: the write may be durable or not.
func (m *Manager) WaitDurable(ctx context.Context, database string, position logpos.Position) error {
	d, ok := m.findWatch(database)
	if !ok {
		return refusal.NewUnknown(refusal.NotHome, "this VM does not watch the database")
	}
	replaced := refusal.NewUnknown(refusal.NotPrimary, "the primary was replaced before the write was durable")
	durable := func(monitor *promotion.Monitor) (bool, error) {
		if monitor.IsDurable(position.Term, position) {
			return true, nil
		}
		if monitor.IsTermSuperseded(position.Term) {
			return false, replaced
		}
		return false, nil
	}
	err := d.waitFor(ctx, durable)
	if _, refused := refusal.As(err); err != nil && !refused {
		return refusal.NewUnknown(refusal.DeadlineExceeded, "the write was not confirmed as durable in time")
	}
	return err
}

// WritesHealthy reports whether new writes can be expected to become durable.
func (m *Manager) WritesHealthy(database string) bool {
	d, ok := m.findWatch(database)
	if !ok {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.monitor.WritesHealthy(m.config.Timer.Now())
}

// waitFor waits until the condition is true or returns an error, and checks it after each
// status. It returns the context's error if the context ends first, and context.Canceled
// if the watch stops.
func (d *databaseWatch) waitFor(ctx context.Context, condition func(*promotion.Monitor) (bool, error)) error {
	for {
		d.mu.Lock()
		ok, err := condition(d.monitor)
		changed := d.changed
		ended := d.stopped
		d.mu.Unlock()
		switch {
		case err != nil:
			return err
		case ok:
			return nil
		case ended:
			return context.Canceled
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// view returns what this VM knows about the members.
func (d *databaseWatch) view() routing.DatabaseView {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.manager.config.Timer.Now()
	primary, term := d.monitor.LatestPrimary()
	view := routing.DatabaseView{
		Database: d.name,
		Term:     term,
		Primary:  primary,
	}
	for _, m := range d.monitor.Members() {
		member := routing.MemberView{
			Endpoint:  m.Endpoint,
			Reachable: d.monitor.Reachable(now, m.Endpoint),
		}
		if status, ok := d.monitor.Status(m.Endpoint); ok {
			member.Role = status.Role
			member.LastPosition = status.LastPosition
			member.Age, member.AgeKnown = d.monitor.DataAge(now, status.LastPosition)
		}
		view.Members = append(view.Members, member)
	}
	return view
}
