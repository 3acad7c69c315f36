package gossip

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/proxy/platform"
	"amaranthdock.dev/timer"
)

// fakeStore is the platform's service with faults.
type fakeStore struct {
	fleet   *fleet
	out     bool
	delay   time.Duration
	stale   []platform.Entry
	current platform.Entry
	changed chan struct{}
	missing map[string]bool
	leaving map[string]bool
}

func newFakeStore(f *fleet) *fakeStore {
	s := &fakeStore{
		fleet:   f,
		changed: make(chan struct{}),
		missing: map[string]bool{},
		leaving: map[string]bool{},
	}
	s.put(1)
	return s
}

// storeLink is the store as one VM reaches it.
type storeLink struct {
	*fakeStore
	node *node
}

func (s *storeLink) Get(ctx context.Context, _ string) (platform.Entry, error) {
	if err := s.reach(ctx, storeTimeout); err != nil {
		return platform.Entry{}, err
	}
	return s.read(), nil
}

func (s *storeLink) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) (platform.Entry, bool, error) {
	if err := s.reach(ctx, wait+storeTimeout); err != nil {
		return platform.Entry{}, false, err
	}
	s.fleet.mu.Lock()
	changed := s.changed
	s.fleet.mu.Unlock()
	if entry := s.read(); entry.Revision != after {
		return entry, true, nil
	}
	child, cancel := timer.WithTimeout(ctx, s.fleet.clock, wait)
	defer cancel()
	select {
	case <-changed:
	case <-child.Done():
	}
	s.node.pass()
	if err := s.reach(ctx, storeTimeout); err != nil {
		return platform.Entry{}, false, err
	}
	entry := s.read()
	return entry, entry.Revision != after, nil
}

func (s *storeLink) ListVMs(ctx context.Context) ([]platform.VM, error) {
	if err := s.reach(ctx, storeTimeout); err != nil {
		return nil, err
	}
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	var list []platform.VM
	for _, n := range s.fleet.nodes {
		if !s.missing[n.vm.Name] {
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

// reach fails after the timeout if the VM does not reach the store in time.
func (s *storeLink) reach(ctx context.Context, timeout time.Duration) error {
	s.node.pass()
	blocked := s.fleet.blocked(s.node.vm.Name, storeName) || s.fleet.blocked(storeName, s.node.vm.Name)
	s.fleet.mu.Lock()
	late := s.out || blocked || s.delay > timeout
	delay := s.delay
	s.fleet.mu.Unlock()
	if late {
		delay = timeout
	}
	if err := timer.Sleep(ctx, &nodeTimer{Manual: s.fleet.clock, node: s.node}, delay); err != nil {
		return err
	}
	if late {
		return eris.New("the store did not answer")
	}
	return nil
}

// read returns a stale entry if there is one, else the newest.
func (s *fakeStore) read() platform.Entry {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if len(s.stale) > 0 {
		entry := s.stale[0]
		s.stale = s.stale[1:]
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

func (s *fakeStore) set(change func(*fakeStore)) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	change(s)
}
