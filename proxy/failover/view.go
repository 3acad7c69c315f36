package failover

import (
	"context"
	"time"

	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/proxy/peer"
	"amaranthdock.dev/timer"
)

const (
	// maxViewAge is the age after which a cached view is fetched again.
	maxViewAge  = time.Second
	viewTimeout = 500 * time.Millisecond
)

// cachedView is a view received from another VM.
type cachedView struct {
	view       routing.DatabaseView
	receivedAt time.Time
}

// FetchView returns a current view of a database: this VM's own, or one fetched from a
// VM that watches the database. Its refusals have the outcome NotRun.
func (m *Manager) FetchView(ctx context.Context, database string) (routing.DatabaseView, error) {
	if d, ok := m.findWatch(database); ok {
		return d.view(), nil
	}
	snapshot := m.config.Configuration.Current()
	if snapshot == nil {
		return routing.DatabaseView{}, refusal.NewNotRun(refusal.NotReady, "this VM has no configuration yet")
	}
	declared, ok := snapshot.Database(database)
	if !ok {
		return routing.DatabaseView{}, refusal.NewNotRun(refusal.InvalidRequest, "the database is not declared")
	}
	for _, vm := range rankClaimants(snapshot, declared, m.config.Directory.Live()) {
		address, ok := m.config.Directory.Address(vm)
		if !ok {
			continue
		}
		view, err := m.fetchWithTimeout(ctx, func(ctx context.Context) (*peerv1.DatabaseView, error) {
			return m.config.Dial(address).GetDatabaseView(ctx, &peerv1.GetDatabaseViewRequest{Database: database})
		})
		if err == nil {
			m.cacheView(view)
			return view, nil
		}
	}
	return routing.DatabaseView{}, refusal.NewNotRun(refusal.Unreachable, "no VM that watches the database responded")
}

// cacheView stores a view from another VM unless the cached one is of a newer term.
func (m *Manager) cacheView(view routing.DatabaseView) {
	m.mu.Lock()
	defer m.mu.Unlock()
	cached, ok := m.cachedViews[view.Database]
	if ok && cached.view.Term > view.Term {
		return
	}
	m.cachedViews[view.Database] = &cachedView{
		view:       view,
		receivedAt: m.config.Timer.Now(),
	}
}

// View returns what this VM knows about a database, or false if it knows nothing. For a
// database that it does not watch, it returns the cached view of another VM. If that is
// missing or older than maxViewAge, it fetches a new one in the background.
func (m *Manager) View(database string) (routing.DatabaseView, bool) {
	if d, ok := m.findWatch(database); ok {
		return d.view(), true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Timer.Now()
	cached, ok := m.cachedViews[database]
	if !ok || now.Sub(cached.receivedAt) > maxViewAge {
		m.refreshView(database)
	}
	if !ok {
		return routing.DatabaseView{}, false
	}
	view := cached.view
	view.Members = nil
	for _, member := range cached.view.Members {
		member.Age += now.Sub(cached.receivedAt)
		view.Members = append(view.Members, member)
	}
	return view, true
}

func (m *Manager) fetchWithTimeout(ctx context.Context, call func(context.Context) (*peerv1.DatabaseView, error)) (routing.DatabaseView, error) {
	ctx, cancel := timer.WithTimeout(ctx, m.config.Timer, viewTimeout)
	defer cancel()
	message, err := call(ctx)
	if err != nil {
		return routing.DatabaseView{}, err
	}
	return peer.DecodeView(message), nil
}

// refreshView fetches a view in the background unless a fetch of that view is in
// progress. The caller holds the lock.
func (m *Manager) refreshView(database string) {
	ctx := m.runContext
	if ctx == nil || ctx.Err() != nil || m.fetchingViews[database] {
		return
	}
	m.fetchingViews[database] = true
	m.tasks.Go(func() {
		if _, err := m.FetchView(ctx, database); err != nil {
			m.config.Logger.V(1).Info("failover: could not fetch the view of a database", "database", database, "cause", err.Error())
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.fetchingViews, database)
	})
}
