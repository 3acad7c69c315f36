package gossip

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/proxy/platform"
	"amaranthdock.dev/timer"
)

// fakeStore is a fake of the platform's service with faults.
type fakeStore struct {
	fleet        *fleet
	unavailable  bool
	delay        time.Duration
	staleEntries []platform.Entry
	current      platform.Entry
	changed      chan struct{}
	unlisted     map[string]bool
	leaving      map[string]bool
}

func newFakeStore(f *fleet) *fakeStore {
	s := &fakeStore{
		fleet:    f,
		changed:  make(chan struct{}),
		unlisted: map[string]bool{},
		leaving:  map[string]bool{},
	}
	s.put(1)
	return s
}

// storeClient is the connection of one VM to the store.
type storeClient struct {
	*fakeStore
	node *node
}

func (s *storeClient) Get(ctx context.Context, _ string) (platform.Entry, error) {
	if err := s.simulateCall(ctx, storeTimeout); err != nil {
		return platform.Entry{}, err
	}
	return s.nextEntry(), nil
}

func (s *storeClient) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) (platform.Entry, bool, error) {
	if err := s.simulateCall(ctx, wait+storeTimeout); err != nil {
		return platform.Entry{}, false, err
	}
	s.fleet.mu.Lock()
	changed := s.changed
	s.fleet.mu.Unlock()
	if entry := s.nextEntry(); entry.Revision != after {
		return entry, true, nil
	}
	child, cancel := timer.WithTimeout(ctx, s.fleet.clock, wait)
	defer cancel()
	select {
	case <-changed:
	case <-child.Done():
	}
	s.node.waitWhileFrozen()
	if err := s.simulateCall(ctx, storeTimeout); err != nil {
		return platform.Entry{}, false, err
	}
	entry := s.nextEntry()
	return entry, entry.Revision != after, nil
}

func (s *storeClient) ListVMs(ctx context.Context) ([]platform.VM, error) {
	if err := s.simulateCall(ctx, storeTimeout); err != nil {
		return nil, err
	}
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	var list []platform.VM
	for _, n := range s.fleet.nodes {
		if !s.unlisted[n.vm.Name] {
			list = append(list, platform.VM{
				Name:        n.vm.Name,
				DataCentre:  n.vm.DataCentre,
				PeerAddress: n.address,
				Leaving:     s.leaving[n.vm.Name],
			})
		}
	}
	return list, nil
}

// simulateCall waits for the delay of a store call. It fails after the timeout if the store
// is unavailable, unreachable from the VM or too slow.
func (s *storeClient) simulateCall(ctx context.Context, timeout time.Duration) error {
	s.node.waitWhileFrozen()
	unreachable := s.fleet.dropsMessage(s.node.vm.Name, storeName) || s.fleet.dropsMessage(storeName, s.node.vm.Name)
	s.fleet.mu.Lock()
	timesOut := s.unavailable || unreachable || s.delay > timeout
	delay := s.delay
	s.fleet.mu.Unlock()
	if timesOut {
		delay = timeout
	}
	if err := timer.Sleep(ctx, &nodeTimer{Manual: s.fleet.clock, node: s.node}, delay); err != nil {
		return err
	}
	if timesOut {
		return eris.New("the store did not respond")
	}
	return nil
}

// nextEntry returns the next stale entry if there is one, otherwise the current entry.
func (s *fakeStore) nextEntry() platform.Entry {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if len(s.staleEntries) > 0 {
		entry := s.staleEntries[0]
		s.staleEntries = s.staleEntries[1:]
		return entry
	}
	return s.current
}

func (s *fakeStore) put(version uint64) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.current = platform.Entry{
		Key:      ConfigurationKey,
		Value:    encode(version),
		Revision: version * 10,
		Found:    true,
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) update(change func(*fakeStore)) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	change(s)
}
