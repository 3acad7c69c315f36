package failover_test

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/endpoint"
	"amaranthdock.dev/engine/store"
)

var (
	errNoResponse    = errors.New("no response")
	errOutdatedToken = errors.New("a higher fencing token was seen")
)

// promotionRequest is a request without a response, which may be carried out late.
type promotionRequest struct {
	id    string
	token uint64
}

// fakeDatabase is a database with three endpoints and the promotion service.
type fakeDatabase struct {
	mu          sync.Mutex
	primary     string
	term        uint64
	received    map[string]uint64
	unreachable map[string]bool
	servesWell  map[string]bool
	promotedIDs []string
	tokens      []uint64
	// failStatus reports whether a status request to an endpoint fails; may be nil.
	failStatus func(id string) bool
	// ignoreRequests is the number of promotion requests that will get no response, and late are those
	// that got none. fence is the highest fencing token that was seen.
	ignoreRequests int
	late           []promotionRequest
	fence          uint64
	// ignoreStepDowns makes commands to step down get lost, loseStepDownReplies their replies.
	ignoreStepDowns, loseStepDownReplies bool
	// queriedIDs are the endpoints that received a control command.
	queriedIDs []string
}

func (f *fakeDatabase) RunControlCommand(_ context.Context, target catalog.Endpoint, command endpoint.Command) (*endpoint.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := target.Key.ID
	f.queriedIDs = append(f.queriedIDs, id)
	if f.unreachable[id] {
		return nil, errNoResponse
	}
	if _, ok := command.(endpoint.Status); ok && f.failStatus != nil && f.failStatus(id) {
		return nil, errNoResponse
	}
	if _, ok := command.(endpoint.StepDown); ok {
		if f.ignoreStepDowns {
			return nil, errNoResponse
		}
		f.primary = ""
		if f.loseStepDownReplies {
			return nil, errNoResponse
		}
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

func (f *fakeDatabase) ServesWell(target catalog.Endpoint) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servesWell[target.Key.ID]
}

func (f *fakeDatabase) Promote(_ context.Context, _, id, _ string, token uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.promotedIDs = append(f.promotedIDs, id)
	f.tokens = append(f.tokens, token)
	if f.ignoreRequests > 0 {
		f.ignoreRequests--
		f.late = append(f.late, promotionRequest{
			id:    id,
			token: token,
		})
		return errNoResponse
	}
	return f.carryOut(id, token)
}

// carryOut carries out a promotion request unless a later one was seen. The caller holds the lock.
func (f *fakeDatabase) carryOut(id string, token uint64) error {
	if token < f.fence {
		return errOutdatedToken
	}
	f.fence = token
	if f.primary != id {
		f.primary = id
		f.term++
	}
	return nil
}

// carryOutLate carries out the requests without a response and returns the results.
func (f *fakeDatabase) carryOutLate() []error {
	f.mu.Lock()
	defer f.mu.Unlock()
	var results []error
	for _, r := range f.late {
		results = append(results, f.carryOut(r.id, r.token))
	}
	f.late = nil
	return results
}

func (f *fakeDatabase) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeDatabase) requestedPromotions() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.promotedIDs...)
}

// fakeStore is an in-memory store and the status of the connection to it.
type fakeStore struct {
	mu        sync.Mutex
	revision  uint64
	items     map[string]store.Item
	leases    map[uint64]bool
	steadyFor time.Duration
	// calls are the calls besides renewals.
	calls []string
	// intentsUnread is set while no read has shown the intents to this VM, and intentsRead is a read
	// from before; nil if the last read is current.
	intentsUnread bool
	intentsRead   *store.Intents
	// onRefreshFleet is called by RefreshFleet, and onGet before a key is read; may be nil.
	onRefreshFleet func()
	onGet          func(key string)
}

func (f *fakeStore) StoreReachable() bool { return true }
func (f *fakeStore) RefreshReports()      {}

func (f *fakeStore) RefreshFleet() {
	if f.onRefreshFleet != nil {
		f.onRefreshFleet()
	}
}

func (f *fakeStore) StoreHealthyFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.steadyFor
}

func (f *fakeStore) Get(_ context.Context, key string) (store.Item, bool, error) {
	if f.onGet != nil {
		f.onGet(key)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, "get "+key)
	item, ok := f.items[key]
	return item, ok, nil
}

// Intents returns the intents as a current read of the fleet's keys shows them. This read is made
// anyway, so it is no call of its own.
func (f *fakeStore) Intents() *store.Intents {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.intentsUnread {
		return nil
	}
	if f.intentsRead != nil {
		return f.intentsRead
	}
	return &store.Intents{
		Revision: f.revision,
		ByDatabase: store.DecodeIntents(slices.Collect(maps.Values(f.items)), func(key string, err error) {
			panic("invalid intent under " + key + ": " + err.Error())
		}),
	}
}

// takeCalls returns the calls since the last time.
func (f *fakeStore) takeCalls() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	calls := f.calls
	f.calls = nil
	return calls
}

func (f *fakeStore) Range(context.Context, string, bool) ([]store.Item, uint64, error) {
	return nil, 0, errNoResponse
}

func (f *fakeStore) Commit(_ context.Context, change store.Change) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	call := "commit"
	conflict := &store.ConflictError{Revisions: map[string]uint64{}}
	met := true
	for _, c := range change.Conditions {
		conflict.Revisions[c.Key] = f.items[c.Key].Revision
		met = met && f.items[c.Key].Revision == c.Revision
	}
	for _, w := range change.Writes {
		call += " " + w.Key
	}
	for _, key := range change.Removals {
		call += " -" + key
	}
	f.calls = append(f.calls, call)
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
	}
	return f.revision, nil
}

func (f *fakeStore) GrantLease(_ context.Context, ttl time.Duration) (uint64, time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, "grant")
	f.revision++
	f.leases[f.revision] = true
	return f.revision, ttl, nil
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

// succeedLeader lets another VM write the leader's key, of which this VM learns only when it writes.
func (f *fixture) succeedLeader() {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.store.revision++
	f.store.items[store.LeaderKey] = store.Item{
		Key:      store.LeaderKey,
		Value:    []byte("other0"),
		Revision: f.store.revision,
	}
}

// letPeersReachPrimary lets the other VMs report that they reach the primary.
func (f *fixture) letPeersReachPrimary() {
	for _, p := range f.peers {
		p.mu.Lock()
		p.reachesPrimary = true
		p.mu.Unlock()
	}
}
