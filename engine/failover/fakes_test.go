package failover_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/endpoint"
	"amaranthdock.dev/engine/store"
)

var errSilent = errors.New("no answer")

// fakeDatabase is a database of three endpoints, with the service that promotes.
type fakeDatabase struct {
	mu       sync.Mutex
	primary  string
	term     uint64
	received map[string]uint64
	lost     map[string]bool
	orders   []string
	numbers  []uint64
	// swallow the next orders: they have no answer and no effect.
	swallow int
}

func (f *fakeDatabase) RunControlCommand(_ context.Context, target catalog.Endpoint, command endpoint.Command) (*endpoint.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := target.Key.ID
	if f.lost[id] {
		return nil, errSilent
	}
	if _, ok := command.(endpoint.StepDown); ok {
		f.primary = ""
	}
	role := catalog.RoleReplica
	if f.primary == id {
		role = catalog.RolePrimary
	}
	return &endpoint.Report{
		Role: role,
		Term: f.term,
		ReceivedPosition: logpos.Position{
			Term:  f.term,
			Index: f.received[id],
		},
	}, nil
}

func (f *fakeDatabase) Promote(_ context.Context, _, id, _ string, number uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, id)
	f.numbers = append(f.numbers, number)
	if f.swallow > 0 {
		f.swallow--
		return errSilent
	}
	f.primary = id
	f.term++
	return nil
}

func (f *fakeDatabase) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeDatabase) given() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.orders...)
}

// fakeStore keeps what the leader needs of the store, and tells how it answers.
type fakeStore struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]store.Item
	leases   map[uint64]bool
	steady   time.Duration
}

func (f *fakeStore) StoreReachable() bool { return true }
func (f *fakeStore) RefreshReports()      {}

func (f *fakeStore) StoreHealthyFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.steady
}

func (f *fakeStore) Get(_ context.Context, key string) (store.Item, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	item, ok := f.items[key]
	return item, ok, nil
}

func (f *fakeStore) Range(context.Context, string, bool) ([]store.Item, uint64, error) {
	return nil, 0, errSilent
}

func (f *fakeStore) Commit(_ context.Context, change store.Change) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
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
	}
	return f.revision, nil
}

func (f *fakeStore) GrantLease(_ context.Context, lasts time.Duration) (uint64, time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	f.leases[f.revision] = true
	return f.revision, lasts, nil
}

func (f *fakeStore) RenewLease(_ context.Context, lease uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.leases[lease] {
		return store.ErrLeaseExpired
	}
	return nil
}

func (f *fakeStore) RevokeLease(_ context.Context, lease uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.leases, lease)
	delete(f.items, store.LeaderKey)
	return nil
}
