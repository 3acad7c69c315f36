package caller

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/declaration"
	"amaranthdock.dev/proxy/peer"
	"amaranthdock.dev/timer"
)

const (
	// viewDetailTTL is how long the ages and queue waits in a cached view are used.
	viewDetailTTL = time.Second
	// minRefreshInterval limits how often waiting requests query the homes of a
	// database during a failover.
	minRefreshInterval = 25 * time.Millisecond
	// refreshTimeout is the timeout of a query. It is far above the round trip between
	// regions.
	refreshTimeout = 300 * time.Millisecond
)

// viewCache caches the view of each database that requests to this VM use.
type viewCache struct {
	config    Config
	refreshes singleflight.Group

	mu     sync.Mutex
	cached map[string]cachedView
}

type cachedView struct {
	view      routing.DatabaseView
	updatedAt time.Time
}

func newViewCache(config Config) *viewCache {
	return &viewCache{
		config: config,
		cached: map[string]cachedView{},
	}
}

// copyOf returns a cache with this cache's view of one database. The use of the copy does
// not change this cache.
func (v *viewCache) copyOf(database string) *viewCache {
	copied := newViewCache(v.config)
	v.mu.Lock()
	defer v.mu.Unlock()
	if known, ok := v.cached[database]; ok {
		copied.cached[database] = known
	}
	return copied
}

// age returns the time since the view of a database was cached; false if there is none.
func (v *viewCache) age(database string) (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	known, ok := v.cached[database]
	return v.config.Timer.Now().Sub(known.updatedAt), ok
}

// getOrRefresh returns the cached view of a database. It queries the homes if there
// is none.
func (v *viewCache) getOrRefresh(ctx context.Context, snapshot *declaration.Snapshot, database string) routing.DatabaseView {
	if known, ok := v.get(database); ok {
		return known
	}
	return v.refresh(ctx, snapshot, database)
}

// update caches a view unless the cached one has a newer term.
func (v *viewCache) update(view routing.DatabaseView) {
	if view.Database == "" {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if view.Term < v.cached[view.Database].view.Term {
		return
	}
	v.cached[view.Database] = cachedView{
		view:      view,
		updatedAt: v.config.Timer.Now(),
	}
}

// refresh queries this VM's observer and the homes of the database's endpoints and
// returns the newest view. Concurrent requests share the queries.
func (v *viewCache) refresh(ctx context.Context, snapshot *declaration.Snapshot, database string) routing.DatabaseView {
	refreshed := v.refreshes.DoChan(database, func() (any, error) {
		if v.isRecent(database) {
			return nil, nil
		}
		// Several requests share the result, so the queries must not end with the
		// first request.
		shared, cancel := timer.WithTimeout(context.WithoutCancel(ctx), v.config.Timer, refreshTimeout)
		defer cancel()
		v.queryHomes(shared, snapshot, database)
		return nil, nil
	})
	select {
	case <-refreshed:
	case <-ctx.Done():
	}
	view, _ := v.get(database)
	return view
}

// queryHomes queries the observer and, concurrently, the homes of the database's
// endpoints.
func (v *viewCache) queryHomes(ctx context.Context, snapshot *declaration.Snapshot, database string) {
	if view, ok := v.config.Observer.View(database); ok {
		v.update(view)
	}
	declared, ok := snapshot.Database(database)
	if !ok {
		return
	}
	var queries sync.WaitGroup
	var homes []string
	for _, e := range declared.Endpoints {
		home, ok := routing.Home(e.Name, e.DataCentre, snapshot.RegionOf(e.DataCentre), v.config.Directory.Live())
		if !ok || home.Name == v.config.Directory.Self().Name || slices.Contains(homes, home.Name) {
			continue
		}
		homes = append(homes, home.Name)
		queries.Go(func() { v.queryHome(ctx, home.Name, database) })
	}
	queries.Wait()
}

func (v *viewCache) queryHome(ctx context.Context, vm, database string) {
	address, ok := v.config.Directory.Address(vm)
	if !ok {
		return
	}
	view, err := v.config.Dial(address).GetDatabaseView(ctx, &peerv1.GetDatabaseViewRequest{Database: database})
	if err == nil {
		v.update(peer.DecodeView(view))
	}
}

// isRecent reports whether the view was refreshed within minRefreshInterval.
func (v *viewCache) isRecent(database string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	known, ok := v.cached[database]
	return ok && v.config.Timer.Now().Sub(known.updatedAt) < minRefreshInterval
}

// get returns the cached view, without ages and queue waits if it is older than
// viewDetailTTL.
func (v *viewCache) get(database string) (routing.DatabaseView, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	known, ok := v.cached[database]
	if !ok || v.config.Timer.Now().Sub(known.updatedAt) < viewDetailTTL {
		return known.view, ok
	}
	view := known.view
	view.Members = slices.Clone(view.Members)
	for i := range view.Members {
		view.Members[i].AgeKnown = false
		view.Members[i].QueueWait = 0
	}
	return view, true
}

type viewDump struct {
	Database string `json:"database"`
	Term     uint64 `json:"term"`
	Primary  string `json:"primary"`
}

func (v *viewCache) dump() []viewDump {
	v.mu.Lock()
	defer v.mu.Unlock()
	dumps := make([]viewDump, 0, len(v.cached))
	for _, known := range v.cached {
		dumps = append(dumps, viewDump{
			Database: known.view.Database,
			Term:     known.view.Term,
			Primary:  known.view.Primary,
		})
	}
	return dumps
}
