package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeLatency is the time in which the store answers a call.
	storeLatency = 4 * time.Millisecond
	pageSize     = 500
	maxEntries   = 32
)

// item is a key of the store, or an event of its history.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the platform's metadata store. It answers every call at once and loses nothing.
type store struct {
	mu       sync.Mutex
	changed  chan struct{}
	revision uint64
	items    map[string]item
	events   []item
	leases   map[uint64]*lease
	promote  func(service, id string) int
	// fences holds the highest fencing token of each service.
	fences map[string]uint64
	record *record
}

func newStore(r *record) *store {
	s := &store{
		changed:  make(chan struct{}),
		revision: 100,
		items:    map[string]item{},
		leases:   map[uint64]*lease{},
		fences:   map[string]uint64{},
		record:   r,
	}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key at the current revision. The caller holds the lock.
func (s *store) put(key string, value []byte, leaseID uint64) {
	written := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if before, ok := s.items[key]; ok {
		written.Created = before.Created
	}
	s.items[key] = written
	s.events = append(s.events, written)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.events = append(s.events, item{Key: key, Revision: s.revision, Deleted: true})
	}
}

// set writes a key on behalf of the operator or of a member, and returns when the store has
// accepted it.
func (s *store) set(key string, value any) time.Time {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, encoded, 0)
	s.notify()
	return time.Now()
}

// expire ends the leases whose time is over. The caller holds the lock.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	s.revision++
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	query := r.URL.Query()
	switch path := r.URL.Path; {
	case r.Method == http.MethodGet && path == "/amaranthdock/kv-key":
		it, ok := s.items[query.Get("key")]
		if !ok {
			answer(w, http.StatusNotFound, map[string]any{"store_revision": s.revision})
			return
		}
		answer(w, http.StatusOK, struct {
			item
			StoreRevision uint64 `json:"store_revision"`
		}{it, s.revision})
	case r.Method == http.MethodGet && path == "/amaranthdock/kv-range":
		s.serveRange(w, query.Get("prefix"), query.Get("after"))
	case r.Method == http.MethodGet && path == "/amaranthdock/kv-watch":
		s.serveWatch(w, r)
	case r.Method == http.MethodPost && path == "/amaranthdock/kv-txn":
		s.serveTransaction(w, r)
	case r.Method == http.MethodPost && path == "/amaranthdock/kv-lease":
		var body struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			answer(w, http.StatusBadRequest, nil)
			return
		}
		ttl := time.Duration(min(max(body.TTL, 1000), 600_000)) * time.Millisecond
		s.revision++
		s.leases[s.revision] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
		answer(w, http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": ttl.Milliseconds()})
	case r.Method == http.MethodPost && strings.HasPrefix(path, "/amaranthdock/kv-keep/"):
		l, ok := s.leases[leaseID(path)]
		if !ok {
			answer(w, http.StatusNotFound, nil)
			return
		}
		l.expires = time.Now().Add(l.ttl)
		answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
	case r.Method == http.MethodDelete && strings.HasPrefix(path, "/amaranthdock/kv-lease-end/"):
		id := leaseID(path)
		if _, ok := s.leases[id]; !ok {
			answer(w, http.StatusNotFound, nil)
			return
		}
		s.endLease(id)
		answer(w, http.StatusOK, map[string]any{})
	case r.Method == http.MethodPost && path == "/promotion":
		s.servePromotion(w, r)
	default:
		answer(w, http.StatusNotFound, nil)
	}
}

func leaseID(path string) uint64 {
	id, err := strconv.ParseUint(path[strings.LastIndex(path, "/")+1:], 10, 64)
	if err != nil {
		return 0
	}
	return id
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	keys := []string{}
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageSize
	items := []item{}
	for _, key := range keys[:min(len(keys), pageSize)] {
		items = append(items, s.items[key])
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "more_pages": more, "store_revision": s.revision})
}

// serveWatch waits for events. The caller holds the lock, which is released meanwhile.
func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		revision, changed, over := s.revision, s.changed, len(events) > 0
		if !over {
			s.mu.Unlock()
			select {
			case <-changed:
			case <-timeout:
				over = true
			case <-r.Context().Done():
				over = true
			}
			s.mu.Lock()
		}
		if over {
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expect  []item   `json:"expect"`
		SetKeys []item   `json:"set_keys"`
		Remove  []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Expect)+len(body.SetKeys)+len(body.Remove) > maxEntries {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	met := true
	current := []item{}
	for _, e := range body.Expect {
		it, ok := s.items[e.Key]
		if !ok {
			it = item{Key: e.Key}
		}
		met = met && it.Revision == e.Revision
		current = append(current, it)
	}
	if !met {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, it := range body.SetKeys {
		if strings.HasPrefix(it.Key, "op/") || strings.HasPrefix(it.Key, "servers/") {
			answer(w, http.StatusForbidden, nil)
			return
		}
		if _, ok := s.leases[it.Lease]; it.Lease != 0 && !ok {
			answer(w, http.StatusNotFound, nil)
			return
		}
	}
	s.revision++
	for _, it := range body.SetKeys {
		s.put(it.Key, it.Value, it.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	s.notify()
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

// servePromotion checks the fencing token and has the member take over.
func (s *store) servePromotion(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	token, err := strconv.ParseUint(r.Header.Get("X-Amaranthdock-Fencing-Token"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&body) != nil || err != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	status := http.StatusConflict
	if token >= s.fences[body.Service] {
		s.fences[body.Service] = token
		status = s.promote(body.Service, body.ID)
	}
	s.record.printf("platform: promotion of %s in %s, holder %s, token %d: %d", body.ID, body.Service, r.Header.Get("X-Amaranthdock-Duty-Holder"), token, status)
	answer(w, status, nil)
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}
