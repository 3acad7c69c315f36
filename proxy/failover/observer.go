package failover

import (
	"context"
	"time"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/promotion"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/routing"
)

// ConfirmPrimary asks the members now whether a majority is in the primary's
// term, for a read that must not come from a replaced primary.
func (p *Manager) ConfirmPrimary(ctx context.Context, database string) bool {
	d, ok := p.find(database)
	return ok && d.sample(ctx)
}

// DurablePosition returns the last durable position of a database watched here.
func (p *Manager) DurablePosition(database string) (logpos.Position, bool) {
	d, ok := p.find(database)
	if !ok {
		return logpos.Position{}, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.monitor.DurablePosition()
}

// ExpectedCatchUp estimates the time until a replica reaches a position: the mean
// of its recent delays less the time since the primary was seen to reach the
// position. It returns false without such a mean.
func (p *Manager) ExpectedCatchUp(endpoint string, required logpos.Position) (time.Duration, bool) {
	d, ok := p.findByEndpoint(endpoint)
	if !ok {
		return 0, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if status, ok := d.monitor.Status(endpoint); ok && status.Last.Covers(required) {
		return 0, true
	}
	mean, ok := d.catchUp[endpoint]
	passed, _ := d.trail.Age(p.config.Timer.Now(), required)
	return max(mean-passed, 0), ok
}

// PrimaryConfirmed tells whether a majority was in the primary's term within the
// detection time.
func (p *Manager) PrimaryConfirmed(database string) bool {
	d, ok := p.find(database)
	if !ok {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.monitor.PrimaryConfirmed(p.config.Timer.Now())
}

// WaitApplied waits until an endpoint has applied a position. Its refusals are
// proof of not run.
func (p *Manager) WaitApplied(ctx context.Context, endpoint string, required logpos.Position) error {
	d, ok := p.findByEndpoint(endpoint)
	if !ok {
		return refusal.NewNotRun(refusal.NotHome, "this VM does not watch the endpoint")
	}
	reached := func(m *promotion.Monitor) (bool, error) {
		status, ok := m.Status(endpoint)
		return ok && status.Last.Covers(required), nil
	}
	if err := d.wait(ctx, reached); err != nil {
		return refusal.NewNotRun(refusal.ReplicaBehind, "the endpoint did not reach the position in time")
	}
	return nil
}

// WaitDurable waits until a write is durable. The position's term is the one of
// the primary that answered, also if it answered a repeated request from the
// record of an older term. A refusal is unknown: the write may be durable or not.
func (p *Manager) WaitDurable(ctx context.Context, database string, position logpos.Position) error {
	d, ok := p.find(database)
	if !ok {
		return refusal.NewUnknown(refusal.NotHome, "this VM does not watch the database")
	}
	replaced := refusal.NewUnknown(refusal.NotPrimary, "the primary was replaced before the write was durable")
	held := func(m *promotion.Monitor) (bool, error) {
		if m.IsDurable(position.Term, position) {
			return true, nil
		}
		if m.IsTermSuperseded(position.Term) {
			return false, replaced
		}
		return false, nil
	}
	err := d.wait(ctx, held)
	if _, refused := refusal.As(err); err != nil && !refused {
		return refusal.NewUnknown(refusal.DeadlineExceeded, "the write was not seen to be durable in time")
	}
	return err
}

// WritesHealthy tells whether new writes can be expected to become durable.
func (p *Manager) WritesHealthy(database string) bool {
	d, ok := p.find(database)
	if !ok {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.monitor.WritesHealthy(p.config.Timer.Now())
}

// wait waits until the condition holds or fails, checking it at each status. It
// returns the context's error if that ends first, or the watch's end.
func (d *database) wait(ctx context.Context, condition func(*promotion.Monitor) (bool, error)) error {
	for {
		d.mu.Lock()
		ok, err := condition(d.monitor)
		changed := d.changed
		ended := d.ended
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

// view returns what this VM knows of the members.
func (d *database) view() routing.DatabaseView {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.part.config.Timer.Now()
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
			member.Last = status.Last
			member.Age, member.AgeKnown = d.monitor.DataAge(now, status.Last)
		}
		view.Members = append(view.Members, member)
	}
	return view
}
