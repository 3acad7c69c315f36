package platform

import (
	"sort"
	"strings"
	"sync"
	"time"

	"amaranthdock.dev/timer"
)

// record is the state of a key. A deleted key keeps its revision, so that
// watches see the deletion and revisions never repeat.
type record struct {
	value    []byte
	revision uint64
	lease    uint64
	present  bool
}

// history is a key's state and the one before it.
type history struct {
	current record
	former  record
}

type lease struct {
	duration time.Duration
	end      time.Time
}

type store struct {
	timer timer.Service

	mu       sync.Mutex
	revision uint64
	keys     map[string]*history
	leases   map[uint64]*lease
	lastID   uint64
}

func newStore(service timer.Service) *store {
	return &store{
		timer:  service,
		keys:   map[string]*history{},
		leases: map[uint64]*lease{},
	}
}

// swap is one compare-and-swap.
type swap struct {
	key      string
	value    []byte
	expected uint64
	lease    uint64
	remove   bool
}

type swapResult int

const (
	swapDone swapResult = iota + 1
	swapMismatch
	swapNoLease
)

// compareAndSwap returns the record after the call.
func (s *store) compareAndSwap(request swap) (record, swapResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if request.lease != 0 && s.leases[request.lease] == nil {
		return record{}, swapNoLease
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
		return current, swapDone
	}
	return s.writeLocked(request), swapDone
}

// expire removes the keys of lapsed leases and tells whether there were any. The
// service calls it before each call and at intervals.
func (s *store) expire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.timer.Now()
	removed := false
	for id, l := range s.leases {
		if now.Before(l.end) {
			continue
		}
		delete(s.leases, id)
		for key, h := range s.keys {
			if h.current.present && h.current.lease == id {
				s.writeLocked(swap{
					key:    key,
					remove: true,
				})
				removed = true
			}
		}
	}
	return removed
}

func (s *store) grant(duration time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	s.leases[s.lastID] = &lease{
		duration: duration,
		end:      s.timer.Now().Add(duration),
	}
	return s.lastID
}

// list returns the present keys with a prefix, sorted, and their records.
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

// read returns a key's record, or the one before it.
func (s *store) read(key string, former bool) record {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.keys[key]; h != nil && former {
		return h.former
	}
	return s.readLocked(key)
}

func (s *store) readLocked(key string) record {
	if h := s.keys[key]; h != nil {
		return h.current
	}
	return record{}
}

// renew tells whether the lease was still alive.
func (s *store) renew(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.end = s.timer.Now().Add(l.duration)
	return true
}

func (s *store) writeLocked(request swap) record {
	h := s.keys[request.key]
	if h == nil {
		h = &history{}
		s.keys[request.key] = h
	}
	s.revision++
	h.former = h.current
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
