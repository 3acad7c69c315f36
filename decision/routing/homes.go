package routing

import (
	"slices"
	"sync"
	"sync/atomic"
)

// HomeCache caches the homes of endpoints until the list of live VMs changes, because
// ranking all VMs for each request takes longer than all other decisions about it. The
// zero value is an empty cache. It is safe for concurrent use.
type HomeCache struct {
	current atomic.Pointer[homesForList]
}

// homesForList holds the homes computed from one list of live VMs. Lists are compared
// by their address, so it keeps a reference to the list: another list cannot get the
// same address while it exists.
type homesForList struct {
	live  []VM
	homes sync.Map
}

type homeKey struct {
	key, dataCentre, region string
}

// homePair is the home of an endpoint and its fallback; count is how many of the two
// exist.
type homePair struct {
	home, fallback VM
	count          int
}

// FirstHome returns the home of an endpoint like the function Home, but from the cache.
// The caller must not change a list of live VMs after passing it.
func (h *HomeCache) FirstHome(key, dataCentre, region string, live []VM) (VM, bool) {
	pair := h.lookup(key, dataCentre, region, live)
	return pair.home, pair.count > 0
}

// FallbackHome returns the VM that would be the home if the current home were not live. It
// returns false if there is no other VM.
func (h *HomeCache) FallbackHome(key, dataCentre, region string, live []VM) (VM, bool) {
	pair := h.lookup(key, dataCentre, region, live)
	return pair.fallback, pair.count > 1
}

func (h *HomeCache) lookup(key, dataCentre, region string, live []VM) homePair {
	if len(live) == 0 {
		return homePair{}
	}
	current := h.current.Load()
	if current == nil || len(current.live) != len(live) || &current.live[0] != &live[0] {
		current = &homesForList{live: live}
		h.current.Store(current)
	}
	cacheKey := homeKey{
		key:        key,
		dataCentre: dataCentre,
		region:     region,
	}
	if cached, ok := current.homes.Load(cacheKey); ok {
		return cached.(homePair)
	}
	var pair homePair
	var ok bool
	if pair.home, ok = Home(key, dataCentre, region, live); ok {
		pair.count++
	}
	others := slices.DeleteFunc(slices.Clone(live), func(v VM) bool { return v.Name == pair.home.Name })
	if pair.fallback, ok = Home(key, dataCentre, region, others); ok {
		pair.count++
	}
	current.homes.Store(cacheKey, pair)
	return pair
}
