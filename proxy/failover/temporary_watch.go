package failover

import (
	"maps"
	"slices"
	"time"
)

// temporaryWatchTime is how long a temporary watch lasts after the last request that
// this VM received as the fallback home. It is longer than it takes to replace a lost
// home.
const temporaryWatchTime = 5 * time.Second

// WatchTemporarily watches a database for a limited time although this VM is not the home
// of any of its endpoints. It is called when this VM stands in for a home whose loss has
// not been detected yet.
func (m *Manager) WatchTemporarily(database string) {
	if m.extendTemporaryWatch(database, temporaryWatchTime) {
		return
	}
	select {
	case m.wake <- struct{}{}:
	default:
		// A reconciliation is already pending.
	}
}

// extendTemporaryWatch starts a temporary watch, or extends it to last at least for the
// duration. It reports whether there was one already.
func (m *Manager) extendTemporaryWatch(database string, duration time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	previous, extended := m.temporaryUntil[database]
	if until := m.config.Timer.Now().Add(duration); until.After(previous) {
		m.temporaryUntil[database] = until
	}
	return extended
}

// pruneTemporaryWatches removes expired temporary watches and returns the databases of the
// others, sorted.
func (m *Manager) pruneTemporaryWatches() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Timer.Now()
	maps.DeleteFunc(m.temporaryUntil, func(_ string, until time.Time) bool { return now.After(until) })
	return slices.Sorted(maps.Keys(m.temporaryUntil))
}
