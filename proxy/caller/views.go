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
	// viewLifetime after which ages and queue waits say nothing any more.
	viewLifetime = time.Second
	// minRefreshInterval bounds the questions that waiting requests ask the homes
	// of a database during a failover.
	minRefreshInterval = 25 * time.Millisecond
	// refreshTimeout of a question; far above a round trip between regions.
	refreshTimeout = 300 * time.Millisecond
)

// views holds the entry's view of each database that it uses.
type views struct {
	config  Config
	flights singleflight.Group

	mu    sync.Mutex
	known map[string]knownView
}

type knownView struct {
	view    routing.DatabaseView
	learned time.Time
}

func newViews(config Config) *views {
	return &views{
		config: config,
		known:  map[string]knownView{},
	}
}

// get returns the view of a database, from its homes if none is known.
func (v *views) get(ctx context.Context, snapshot *declaration.Snapshot, database string) routing.DatabaseView {
	if known, ok := v.lookUp(database); ok {
		return known
	}
	return v.refresh(ctx, snapshot, database)
}

// learn takes a view unless a newer term is known.
func (v *views) learn(view routing.DatabaseView) {
	if view.Database == "" {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if view.Term < v.known[view.Database].view.Term {
		return
	}
	v.known[view.Database] = knownView{
		view:    view,
		learned: v.config.Timer.Now(),
	}
}

// refresh asks this VM's observer and the homes of the database's endpoints, and
// returns the newest view. Requests that wait together share the answers.
func (v *views) refresh(ctx context.Context, snapshot *declaration.Snapshot, database string) routing.DatabaseView {
	asked := v.flights.DoChan(database, func() (any, error) {
		if v.isRecent(database) {
			return nil, nil
		}
		// The flight serves several requests, so that it outlives the first.
		shared, cancel := timer.WithTimeout(context.WithoutCancel(ctx), v.config.Timer, refreshTimeout)
		defer cancel()
		v.ask(shared, snapshot, database)
		return nil, nil
	})
	select {
	case <-asked:
	case <-ctx.Done():
	}
	view, _ := v.lookUp(database)
	return view
}

func (v *views) ask(ctx context.Context, snapshot *declaration.Snapshot, database string) {
	if view, ok := v.config.Observer.View(database); ok {
		v.learn(view)
	}
	declared, ok := snapshot.Database(database)
	if !ok {
		return
	}
	var asking sync.WaitGroup
	var homes []string
	for _, e := range declared.Endpoints {
		home, ok := routing.Home(e.Name, e.DataCentre, snapshot.RegionOf(e.DataCentre), v.config.Directory.Live())
		if !ok || home.Name == v.config.Directory.Self().Name || slices.Contains(homes, home.Name) {
			continue
		}
		homes = append(homes, home.Name)
		asking.Go(func() { v.askHome(ctx, home.Name, database) })
	}
	asking.Wait()
}

func (v *views) askHome(ctx context.Context, vm, database string) {
	address, ok := v.config.Directory.Address(vm)
	if !ok {
		return
	}
	view, err := v.config.Dial(address).GetDatabaseView(ctx, &peerv1.GetDatabaseViewRequest{Database: database})
	if err == nil {
		v.learn(peer.DecodeView(view))
	}
}

func (v *views) isRecent(database string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	known, ok := v.known[database]
	return ok && v.config.Timer.Now().Sub(known.learned) < minRefreshInterval
}

// lookUp returns the known view, without ages and waits if it is old.
func (v *views) lookUp(database string) (routing.DatabaseView, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	known, ok := v.known[database]
	if !ok || v.config.Timer.Now().Sub(known.learned) < viewLifetime {
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

func (v *views) dump() []viewDump {
	v.mu.Lock()
	defer v.mu.Unlock()
	dumps := make([]viewDump, 0, len(v.known))
	for _, known := range v.known {
		dumps = append(dumps, viewDump{
			Database: known.view.Database,
			Term:     known.view.Term,
			Primary:  known.view.Primary,
		})
	}
	return dumps
}
