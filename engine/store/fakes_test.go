package store_test

import (
	"context"
	"errors"
	"maps"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/store"
	"amaranthdock.dev/engine/view"
	"amaranthdock.dev/timer"
)

func TestStore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine/store")
}

var errDown = errors.New("the store is down")

// fakeStore holds keys, a configuration and reports in memory.
type fakeStore struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]store.Item
	leases   map[uint64][]string
	down     bool
	// deaf watches hear nothing and end when their time is over.
	deaf      bool
	compacted bool
	// cut watches have no answer, while the store answers other calls.
	cut bool
	// behind stale reads show the store as it was before the endpoint began to drain
	// and the other VM registered.
	behind         bool
	before         []store.Item
	beforeRevision uint64
	draining       bool
	version        uint64
	watches        int
	reads          int
	staleness      []bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		revision: 1,
		items:    map[string]store.Item{},
		leases:   map[uint64][]string{},
		version:  1,
	}
}

func (f *fakeStore) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeStore) Get(_ context.Context, key string) (store.Item, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return store.Item{}, false, errDown
	}
	found, ok := f.items[key]
	return found, ok, nil
}

func (f *fakeStore) Range(_ context.Context, prefix string, stale bool) ([]store.Item, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, 0, errDown
	}
	if stale && f.behind {
		return f.before, f.beforeRevision, nil
	}
	var found []store.Item
	for key := range maps.Keys(f.items) {
		if strings.HasPrefix(key, prefix) {
			found = append(found, f.items[key])
		}
	}
	return found, f.revision, nil
}

func (f *fakeStore) Commit(_ context.Context, change store.Change) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, errDown
	}
	for _, c := range change.Conditions {
		if f.items[c.Key].Revision != c.Revision {
			return 0, store.ErrConflict
		}
	}
	f.revision++
	for _, w := range change.Writes {
		f.items[w.Key] = store.Item{
			Key:      w.Key,
			Value:    w.Value,
			Revision: f.revision,
		}
		f.leases[w.Lease] = append(f.leases[w.Lease], w.Key)
	}
	return f.revision, nil
}

func (f *fakeStore) GrantLease(_ context.Context, lasts time.Duration) (uint64, time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, 0, errDown
	}
	f.revision++
	f.leases[f.revision] = nil
	return f.revision, lasts, nil
}

func (f *fakeStore) RenewLease(_ context.Context, lease uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return errDown
	}
	if _, ok := f.leases[lease]; !ok {
		return store.ErrLeaseExpired
	}
	return nil
}

func (f *fakeStore) RevokeLease(_ context.Context, lease uint64) error {
	f.lapse(lease)
	return nil
}

// lapse ends a lease.
func (f *fakeStore) lapse(lease uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, key := range f.leases[lease] {
		delete(f.items, key)
	}
	delete(f.leases, lease)
	f.revision++
}

// keys returns the keys with a prefix.
func (f *fakeStore) keys(prefix string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []string
	for key := range f.items {
		if strings.HasPrefix(key, prefix) {
			found = append(found, key)
		}
	}
	return found
}

// declarations of the fake store.
type declarations struct{ *fakeStore }

func (d declarations) Read(context.Context) (*catalog.Configuration, uint64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reads++
	if d.down {
		return nil, 0, errDown
	}
	if d.version == 0 {
		return nil, 0, nil
	}
	return &catalog.Configuration{Version: d.version}, d.version, nil
}

func (d declarations) Watch(ctx context.Context, after uint64, wait time.Duration) (*catalog.Configuration, uint64, error) {
	d.set(func() { d.watches++ })
	// A deaf watch ends with its time; the others look every few milliseconds.
	deadline := time.Now().Add(min(wait, 100*time.Millisecond))
	for time.Now().Before(deadline) && ctx.Err() == nil {
		d.mu.Lock()
		down, deaf, compacted, version := d.down || d.cut, d.deaf, d.compacted, d.version
		d.compacted = false
		d.mu.Unlock()
		switch {
		case down:
			return nil, 0, errDown
		case compacted:
			return nil, 0, store.ErrCompacted
		case version > after && !deaf:
			return &catalog.Configuration{Version: version}, version, nil
		}
		time.Sleep(2 * time.Millisecond)
	}
	return nil, after, ctx.Err()
}

// reports of the fake store.
type reports struct{ *fakeStore }

func (r reports) Read(_ context.Context, stale bool) (*catalog.EndpointSnapshot, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.staleness = append(r.staleness, stale)
	if r.down {
		return nil, errDown
	}
	if stale && r.behind {
		return &catalog.EndpointSnapshot{
			Revision: r.beforeRevision,
			ByID:     map[string]catalog.Endpoint{"e1": {Database: "db"}},
		}, nil
	}
	return &catalog.EndpointSnapshot{
		Revision: max(r.revision, r.version),
		ByID: map[string]catalog.Endpoint{"e1": {
			Database: "db",
			Draining: r.draining,
		}},
	}, nil
}

// fixture is a VM that follows a fake store.
type fixture struct {
	fake *fakeStore
	view *view.View
	sync *store.Sync
	ctx  context.Context
	stop context.CancelFunc
}

func newFixture() *fixture {
	f := &fixture{fake: newFakeStore()}
	f.ctx, f.stop = context.WithCancel(context.Background())
	DeferCleanup(f.stop)
	f.view = view.New(view.Config{
		Self: catalog.VM{
			Name:        "self",
			Incarnation: 1,
		},
		Timer:       timer.NewSystem(),
		Log:         logr.Discard(),
		Unreachable: func(string) bool { return false },
	})
	f.sync = store.New(store.Config{
		Store:        f.fake,
		Declarations: declarations{f.fake},
		Reports:      reports{f.fake},
		View:         f.view,
		Timer:        timer.NewSystem(),
		Log:          logr.Discard(),
		Registry:     metrics.NewRegistry(),
		Jitter:       func() float64 { return 0.5 },
	})
	return f
}

// boot returns the reading with which ages are measured.
func (f *fixture) boot() time.Duration { return f.view.SinceBoot() }

// version of the configuration that the VM has; 0 for none.
func (f *fixture) version() uint64 {
	if c := f.view.Configuration(); c != nil {
		return c.Version
	}
	return 0
}

// expectVersion guards against a configuration that is late.
func (f *fixture) expectVersion(version uint64) {
	GinkgoHelper()
	Eventually(f.version).WithTimeout(3 * time.Second).Should(Equal(version))
}
