package store_test

import (
	"context"
	"errors"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/decision/evacuation"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/store"
	"amaranthdock.dev/engine/view"
	"amaranthdock.dev/timer"
)

func TestStore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine/store")
}

var errUnreachable = errors.New("the store is unreachable")

// fakeStore is an in-memory store with keys, a configuration and endpoint reports.
type fakeStore struct {
	mu          sync.Mutex
	revision    uint64
	items       map[string]store.Item
	leases      map[uint64][]string
	unreachable bool
	// watchesMissChanges makes watches return no change until their timeout.
	watchesMissChanges bool
	// compacted makes the next watch return ErrCompacted.
	compacted bool
	// watchesFail makes watches fail while other calls succeed.
	watchesFail bool
	// serveOldReads makes stale reads return the state from before the endpoint began to
	// drain and the other VM registered: oldItems at oldRevision.
	serveOldReads      bool
	oldItems           []store.Item
	oldRevision        uint64
	draining           bool
	version            uint64
	watches            int
	configurationReads int
	staleReads         []bool
	ranges             int
	// loseNextCommit applies the next commit and loses its response.
	renewals       int
	loseNextCommit bool
	// evacuations are the changes of evacuations, and evacuationReads counts the reads of all.
	evacuations     []evacuation.Change
	evacuationReads int
	// invalid makes watches fail that return the configuration.
	invalid bool
	// delayNextCommit leaves the next commit to the test, in delayed, without a response.
	delayNextCommit bool
	delayed         store.Change
	// onGrant is called while a lease is granted; may be nil.
	onGrant func()
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		revision: 1,
		items:    map[string]store.Item{},
		leases:   map[uint64][]string{},
		version:  1,
	}
}

// set changes the fake while it is locked.
func (f *fakeStore) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeStore) Get(_ context.Context, key string) (store.Item, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachable {
		return store.Item{}, false, errUnreachable
	}
	found, ok := f.items[key]
	return found, ok, nil
}

func (f *fakeStore) Range(_ context.Context, prefix string, stale bool) ([]store.Item, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachable {
		return nil, 0, errUnreachable
	}
	f.ranges++
	if stale && f.serveOldReads {
		return f.oldItems, f.oldRevision, nil
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
	if f.unreachable {
		return 0, errUnreachable
	}
	if f.delayNextCommit {
		f.delayNextCommit, f.delayed = false, change
		return 0, store.ErrOutcomeUnknown
	}
	conflict := &store.ConflictError{Revisions: map[string]uint64{}}
	met := true
	for _, c := range change.Conditions {
		conflict.Revisions[c.Key] = f.items[c.Key].Revision
		met = met && f.items[c.Key].Revision == c.Revision
	}
	if !met {
		return 0, conflict
	}
	f.revision++
	for _, key := range change.Removals {
		delete(f.items, key)
	}
	for _, w := range change.Writes {
		f.items[w.Key] = store.Item{
			Key:      w.Key,
			Value:    w.Value,
			Revision: f.revision,
		}
		f.leases[w.Lease] = append(f.leases[w.Lease], w.Key)
	}
	if f.loseNextCommit {
		f.loseNextCommit = false
		return 0, store.ErrOutcomeUnknown
	}
	return f.revision, nil
}

func (f *fakeStore) GrantLease(_ context.Context, lasts time.Duration) (uint64, time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachable {
		return 0, 0, errUnreachable
	}
	f.revision++
	f.leases[f.revision] = nil
	if f.onGrant != nil {
		f.onGrant()
	}
	return f.revision, lasts, nil
}

func (f *fakeStore) RenewLease(_ context.Context, lease uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachable {
		return errUnreachable
	}
	if _, ok := f.leases[lease]; !ok {
		return store.ErrLeaseExpired
	}
	f.renewals++
	return nil
}

func (f *fakeStore) countRenewals() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.renewals
}

func (f *fakeStore) RevokeLease(_ context.Context, lease uint64) error {
	f.expireLease(lease)
	return nil
}

// expireLease deletes a lease and its keys.
func (f *fakeStore) expireLease(lease uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, key := range f.leases[lease] {
		delete(f.items, key)
	}
	delete(f.leases, lease)
	f.revision++
}

// expireAllLeases deletes all leases and their keys.
func (f *fakeStore) expireAllLeases() {
	f.mu.Lock()
	leases := slices.Collect(maps.Keys(f.leases))
	f.mu.Unlock()
	for _, lease := range leases {
		if lease != 0 {
			f.expireLease(lease)
		}
	}
}

// countRanges returns the number of reads of the registrations.
func (f *fakeStore) countRanges() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ranges
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

// configurationSource serves the configuration of the fake store.
type configurationSource struct{ *fakeStore }

func (d configurationSource) Read(context.Context) (*catalog.Configuration, uint64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.configurationReads++
	if d.unreachable {
		return nil, 0, errUnreachable
	}
	if d.version == 0 {
		return nil, 0, nil
	}
	return &catalog.Configuration{Version: d.version}, d.version, nil
}

func (d configurationSource) Watch(ctx context.Context, after uint64, wait time.Duration) (*catalog.Configuration, uint64, error) {
	d.set(func() { d.watches++ })
	// A watch polls every few milliseconds until its timeout, at most 100 ms.
	deadline := time.Now().Add(min(wait, 100*time.Millisecond))
	for time.Now().Before(deadline) && ctx.Err() == nil {
		d.mu.Lock()
		down, deaf, compacted, version := d.unreachable || d.watchesFail, d.watchesMissChanges, d.compacted, d.version
		d.compacted = false
		d.mu.Unlock()
		switch {
		case down:
			return nil, 0, errUnreachable
		case compacted:
			return nil, 0, store.ErrCompacted
		case version > after && !deaf:
			return &catalog.Configuration{Version: version}, version, nil
		}
		time.Sleep(2 * time.Millisecond)
	}
	return nil, after, ctx.Err()
}

// reportSource serves the endpoint reports of the fake store.
type reportSource struct{ *fakeStore }

func (r reportSource) Read(_ context.Context, stale bool) (*catalog.EndpointSnapshot, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.staleReads = append(r.staleReads, stale)
	if r.unreachable {
		return nil, errUnreachable
	}
	if stale && r.serveOldReads {
		return &catalog.EndpointSnapshot{
			Revision: r.oldRevision,
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

// fixture is a VM that synchronizes with a fake store.
type fixture struct {
	fake   *fakeStore
	view   *view.View
	syncer *store.Syncer
	ctx    context.Context
	stop   context.CancelFunc
	// isolated is set if the VM does not hear most of its neighbours.
	isolated atomic.Bool
}

func newFixture() *fixture { return newFixtureWithTimer(timer.NewSystem()) }

// newFixtureWithTimer returns a VM that takes the time from a service.
func newFixtureWithTimer(service timer.Service) *fixture {
	return newFixtureWith(service, func(*fixture, *store.Config) {})
}

// newFixtureWith returns a VM with a changed configuration.
func newFixtureWith(service timer.Service, change func(*fixture, *store.Config)) *fixture {
	f := &fixture{fake: newFakeStore()}
	f.ctx, f.stop = context.WithCancel(context.Background())
	DeferCleanup(f.stop)
	f.view = view.New(view.Config{
		Self: catalog.VM{
			Name:        "self",
			DataCentre:  "a1",
			Region:      "a",
			Address:     netip.MustParseAddrPort("10.0.0.9:7560"),
			Incarnation: 1,
			Size:        catalog.VMSize{Cores: 2},
		},
		Timer:       service,
		Log:         logr.Discard(),
		Unreachable: func(string) bool { return false },

		EvacuationLimit: evacuationLimit,
	})
	config := store.Config{
		Store:               f.fake,
		ConfigurationSource: configurationSource{f.fake},
		ReportSource:        reportSource{f.fake},
		View:                f.view,
		Timer:               service,
		Log:                 logr.Discard(),
		Registry:            metrics.NewRegistry(),
		Jitter:              func() float64 { return 0.5 },
		HearsMostNeighbours: func() bool { return !f.isolated.Load() },
		// Most tests run one of the loops alone, so that the VM does not learn the fleet.
		IsSeed: true,
	}
	change(f, &config)
	f.syncer = store.New(config)
	return f
}

// sinceBoot returns the reading of the clock with which ages are measured.
func (f *fixture) sinceBoot() time.Duration { return f.view.SinceBoot() }

// version returns the version of the VM's configuration; 0 for none.
func (f *fixture) version() uint64 {
	if c := f.view.Configuration(); c != nil {
		return c.Version
	}
	return 0
}

// expectVersion checks that the VM gets a version of the configuration within 3 s. It
// guards against a configuration that arrives late.
func (f *fixture) expectVersion(version uint64) {
	GinkgoHelper()
	Eventually(f.version).WithTimeout(3 * time.Second).Should(Equal(version))
}
