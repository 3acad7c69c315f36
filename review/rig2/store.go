package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeLatency = 4 * time.Millisecond
	pageSize     = 500
	minLeaseTTL  = time.Second
)

// item is a key of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type event struct {
	at time.Time
	item
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []event
	leases   map[uint64]*lease
	changed  chan struct{}
	servers  []*http.Server
	// addresses are the addresses of the store by the region of the caller: calls from another region
	// take longer.
	addresses map[string]string
}

// storeRegion is the region in which the store stands.
const storeRegion = "east"

func newStore() *store {
	s := &store{
		revision: 100,
		items:    map[string]item{},
		leases:   map[uint64]*lease{},
		changed:  make(chan struct{}),
	}
	s.listen()
	go func() {
		for {
			time.Sleep(50 * time.Millisecond)
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// listen starts a server for each region at a new address.
func (s *store) listen() {
	s.servers, s.addresses = nil, map[string]string{}
	for _, region := range regions {
		if s.addresses[region] != "" {
			continue
		}
		latency := storeLatency
		if region != storeRegion {
			latency += 2 * crossRegion
		}
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		must(err)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(latency)
			s.ServeHTTP(w, r)
		})}
		s.servers = append(s.servers, server)
		s.addresses[region] = listener.Addr().String()
		go server.Serve(listener)
	}
}

// move serves the store at new addresses only.
func (s *store) move() {
	old := s.servers
	s.listen()
	for _, server := range old {
		server.Close()
	}
}

// write writes a key on behalf of the operator or of a member, and returns the time of the ack.
func (s *store) write(key string, value any) time.Time {
	encoded, err := json.Marshal(value)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, encoded, 0)
	s.notify()
	return time.Now()
}

func (s *store) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notify()
}

func (s *store) put(key string, value []byte, lease uint64) {
	i := item{
		Key:      key,
		Value:    value,
		Revision: s.revision,
		Created:  s.revision,
		Lease:    lease,
	}
	if before, ok := s.items[key]; ok {
		i.Created = before.Created
	}
	s.items[key] = i
	s.events = append(s.events, event{
		at:   time.Now(),
		item: i,
	})
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.events = append(s.events, event{
		at: time.Now(),
		item: item{
			Key:      key,
			Revision: s.revision,
			Deleted:  true,
		},
	})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

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
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

// ServeHTTP serves a call of a process.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	query := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/amaranthdock/kv-key":
		i, ok := s.items[query.Get("key")]
		if !ok {
			reply(w, 404, map[string]any{"store_revision": s.revision})
			return
		}
		reply(w, 200, struct {
			item
			StoreRevision uint64 `json:"store_revision"`
		}{i, s.revision})
	case path == "/amaranthdock/kv-range":
		found := []item{}
		for key, i := range s.items {
			if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
				found = append(found, i)
			}
		}
		slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
		reply(w, 200, map[string]any{"items": found[:min(len(found), pageSize)], "more_pages": len(found) > pageSize, "store_revision": s.revision})
	case path == "/amaranthdock/kv-watch":
		s.watch(w, r)
	case path == "/amaranthdock/kv-txn":
		s.change(w, r)
	case path == "/amaranthdock/kv-lease":
		var request struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&request) != nil {
			w.WriteHeader(400)
			return
		}
		ttl := min(max(time.Duration(request.TTL)*time.Millisecond, minLeaseTTL), 10*time.Minute)
		s.revision++
		s.leases[s.revision] = &lease{
			ttl:     ttl,
			expires: time.Now().Add(ttl),
		}
		reply(w, 200, map[string]any{"lease": s.revision, "ttl_ms": ttl.Milliseconds()})
	case strings.HasPrefix(path, "/amaranthdock/kv-keep/"), strings.HasPrefix(path, "/amaranthdock/kv-lease-end/"):
		id, _ := strconv.ParseUint(path[strings.LastIndex(path, "/")+1:], 10, 64)
		l, ok := s.leases[id]
		switch {
		case !ok:
			w.WriteHeader(404)
		case r.Method == http.MethodDelete:
			s.endLease(id)
			reply(w, 200, map[string]any{})
		default:
			l.expires = time.Now().Add(l.ttl)
			reply(w, 200, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
		}
	default:
		w.WriteHeader(404)
	}
}

// watch waits for events. It releases the lock meanwhile.
func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e.item)
			}
		}
		if over || len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "store_revision": s.revision})
			return
		}
		changed := s.changed
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
}

func (s *store) change(w http.ResponseWriter, r *http.Request) {
	var c struct {
		Expect  []item   `json:"expect"`
		SetKeys []item   `json:"set_keys"`
		Remove  []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(400)
		return
	}
	met, current := true, []item{}
	for _, e := range c.Expect {
		i, ok := s.items[e.Key]
		if !ok {
			i.Key = e.Key
		}
		met = met && i.Revision == e.Revision
		current = append(current, i)
	}
	if !met {
		reply(w, 412, map[string]any{"items": current})
		return
	}
	for _, i := range c.SetKeys {
		if strings.HasPrefix(i.Key, "op/") || strings.HasPrefix(i.Key, "servers/") {
			w.WriteHeader(403)
			return
		}
		if _, ok := s.leases[i.Lease]; i.Lease != 0 && !ok {
			w.WriteHeader(404)
			return
		}
	}
	s.revision++
	for _, i := range c.SetKeys {
		s.put(i.Key, i.Value, i.Lease)
	}
	for _, key := range c.Remove {
		s.remove(key)
	}
	s.notify()
	reply(w, 200, map[string]any{"revision": s.revision})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

// cloud is a stand-in of the platform's promotion service.
type cloud struct {
	// late returns for how long the n-th call, from 1, stays without an answer before it is
	// carried out; 0 for a call that is answered.
	late    func(n int) time.Duration
	address string

	mu     sync.Mutex
	calls  int
	fences map[string]uint64
	groups map[string]*group
}

func newCloud(late func(int) time.Duration) *cloud {
	c := &cloud{
		late:   late,
		fences: map[string]uint64{},
		groups: map[string]*group{},
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	c.address = listener.Addr().String()
	go (&http.Server{Handler: c}).Serve(listener)
	return c
}

// ServeHTTP serves a promotion call.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	token, err := strconv.ParseUint(r.Header.Get("X-Amaranthdock-Fencing-Token"), 10, 64)
	if r.URL.Path != "/promotion" || err != nil || json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(400)
		return
	}
	holder := r.Header.Get("X-Amaranthdock-Duty-Holder")
	c.mu.Lock()
	c.calls++
	n := c.calls
	c.mu.Unlock()
	late := time.Duration(0)
	if c.late != nil {
		late = c.late(n)
	}
	note("promotion call %d of %s for %s, member %s, token %d: late by %s", n, holder, order.Service, order.ID, token, late)
	if late > 0 {
		go func() {
			time.Sleep(late)
			status := c.execute(order.Service, order.ID, token)
			note("promotion call %d is carried out late, token %d: %d", n, token, status)
		}()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status := c.execute(order.Service, order.ID, token)
	note("promotion call %d is answered: %d", n, status)
	w.WriteHeader(status)
}

func (c *cloud) execute(service, id string, token uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	g, ok := c.groups[service]
	if !ok || token < c.fences[service] {
		return 409
	}
	c.fences[service] = token
	if !g.promote(id) {
		return 409
	}
	return 200
}
