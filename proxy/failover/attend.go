package failover

import (
	"maps"
	"slices"
	"time"
)

// attendTime is how long a database stays watched after the last step that came
// here as to the second rank. It is longer than a lost home takes to be replaced.
const attendTime = 5 * time.Second

// WatchTemporarily watches a database that has no endpoint homed here, because this VM
// stands in for a home that was lost but is not yet known to be.
func (p *Manager) WatchTemporarily(database string) {
	if p.extend(database, attendTime) {
		return
	}
	select {
	case p.attend <- struct{}{}:
	default:
		// The loop is about to look already.
	}
}

// extend attends a database at least for the duration, and tells whether it was
// attended already.
func (p *Manager) extend(database string, duration time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	before, attended := p.attended[database]
	if until := p.config.Timer.Now().Add(duration); until.After(before) {
		p.attended[database] = until
	}
	return attended
}

// takeAttended forgets what has expired and returns the rest, sorted.
func (p *Manager) takeAttended() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Timer.Now()
	maps.DeleteFunc(p.attended, func(_ string, until time.Time) bool { return now.After(until) })
	return slices.Sorted(maps.Keys(p.attended))
}
