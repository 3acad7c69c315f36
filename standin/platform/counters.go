package platform

import (
	"maps"
	"sync"
)

// counters count the calls by kind.
type counters struct {
	mu     sync.Mutex
	counts map[string]uint64
}

func (c *counters) add(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[kind]++
}

func (c *counters) snapshot() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}
