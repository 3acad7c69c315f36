package platform

import (
	"sort"
	"strings"
	"sync"
	"time"

	"amaranthdock.dev/timer"
)

// record is the state of a key. The record of a deleted key is kept with its revision,
// so that watches return the deletion and revisions never repeat.
type record struct {
	value    []byte
	revision uint64
	lease    uint64
	present  bool
}

// keyHistory is the current and the previous state of a key.
type keyHistory struct {
	current  record
	previous record
}

type lease struct {
	duration  time.Duration
	expiresAt time.Time
}

type store struct {
	timer timer.Service

	mu          sync.Mutex
	revision    uint64
	keys        map[string]*keyHistory
	leases      map[uint64]*lease
	lastLeaseID uint64
}

func newStore(service timer.Service) *store {
	return &store{
		timer:  service,
		keys:   map[string]*keyHistory{},
		leases: map[uint64]*lease{},
	}
}

// swapRequest is one compare-and-swap, or a compare-and-delete if remove is set.
type swapRequest struct {
	key      string
	value    []byte
	expected uint64
	lease    uint64
	remove   bool
}

type swapResult int

const (
	swapSucceeded swapResult = iota + 1
	swapMismatch
	swapLeaseExpired
)

// compareAndSwap returns the record of the key after the call. An expected revision of
// 0 means that the key must not exist.
func (s *store) compareAndSwap(request swapRequest) (record, swapResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if request.lease != 0 && s.leases[request.lease] == nil {
		return record{}, swapLeaseExpired
	}
	current := s.readLocked(request.key)
	revision := current.revision
	if !current.present {
		revision = 0
	}
	if revision != request.expected {
		return current, swapMismatch
	}
	if request.remove && !current.present {
		return current, swapSucceeded
	}
	return s.writeLocked(request), swapSucceeded
}

// expireLeases removes expired leases and their keys, and reports whether it removed
// any keys. The service calls it before each call and at intervals.
func (s *store) expireLeases() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timer.Now()
	removed := false
	for id, l := range s.leases {
		if now.Before(l.expiresAt) {
			continue
		}
		delete(s.leases, id)
		for key, h := range s.keys {
			if h.current.present && h.current.lease == id {
				s.writeLocked(swapRequest{
					key:    key,
					remove: true,
				})
				removed = true
			}
		}
	}
	return removed
}

func (s *store) grantLease(duration time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{
		duration:  duration,
		expiresAt: s.timer.Now().Add(duration),
	}
	return s.lastLeaseID
}

// list returns the existing keys with a prefix, sorted, and their records.
func (s *store) list(prefix string) ([]string, []record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key, h := range s.keys {
		if h.current.present && strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	records := make([]record, 0, len(keys))
	for _, key := range keys {
		records = append(records, s.keys[key].current)
	}
	return keys, records
}

// read returns the current record of a key, or the previous one.
func (s *store) read(key string, previous bool) record {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.keys[key]; h != nil && previous {
		return h.previous
	}
	return s.readLocked(key)
}

func (s *store) readLocked(key string) record {
	if h := s.keys[key]; h != nil {
		return h.current
	}
	return record{}
}

// renewLease extends a lease by its full duration from now. It returns false if the
// lease has expired.
func (s *store) renewLease(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.expiresAt = s.timer.Now().Add(l.duration)
	return true
}

func (s *store) writeLocked(request swapRequest) record {
	h := s.keys[request.key]
	if h == nil {
		h = &keyHistory{}
		s.keys[request.key] = h
	}
	s.revision++
	h.previous = h.current
	h.current = record{
		value:    request.value,
		revision: s.revision,
		lease:    request.lease,
		present:  !request.remove,
	}
	if request.remove {
		h.current.value = nil
	}
	return h.current
}
