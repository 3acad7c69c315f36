package routing

import (
	"slices"
	"sync"
	"sync/atomic"
)

// HomeCache remembers the homes of endpoints until the list of live VMs changes,
// because ranking all VMs for each request costs more than its decisions. The
// zero value is empty. It is safe for concurrent use.
type HomeCache struct {
	current atomic.Pointer[ranking]
}

// ranking holds the homes under one list, which it keeps alive, so that no other
// list can have its address.
type ranking struct {
	live  []VM
	homes sync.Map
}

type homeKey struct {
	key, dataCentre, region string
}

type homePair struct {
	first, second VM
	count         int
}

// FirstHome is Home. A list of live VMs must not be changed once it was passed.
func (h *HomeCache) FirstHome(key, dataCentre, region string, live []VM) (VM, bool) {
	pair := h.pair(key, dataCentre, region, live)
	return pair.first, pair.count > 0
}

// FallbackHome returns the home without the first one; false if that is the only VM.
func (h *HomeCache) FallbackHome(key, dataCentre, region string, live []VM) (VM, bool) {
	pair := h.pair(key, dataCentre, region, live)
	return pair.second, pair.count > 1
}

func (h *HomeCache) pair(key, dataCentre, region string, live []VM) homePair {
	if len(live) == 0 {
		return homePair{}
	}
	current := h.current.Load()
	if current == nil || len(current.live) != len(live) || &current.live[0] != &live[0] {
		current = &ranking{live: live}
		h.current.Store(current)
	}
	at := homeKey{
		key:        key,
		dataCentre: dataCentre,
		region:     region,
	}
	if known, ok := current.homes.Load(at); ok {
		return known.(homePair)
	}
	var pair homePair
	var ok bool
	if pair.first, ok = Home(key, dataCentre, region, live); ok {
		pair.count++
	}
	rest := slices.DeleteFunc(slices.Clone(live), func(v VM) bool { return v.Name == pair.first.Name })
	if pair.second, ok = Home(key, dataCentre, region, rest); ok {
		pair.count++
	}
	current.homes.Store(at, pair)
	return pair
}
