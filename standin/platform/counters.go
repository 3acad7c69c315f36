package platform

import (
	"maps"
	"sync"
)

// counters count the calls of each method.
type counters struct {
	mu     sync.Mutex
	counts map[string]uint64
}

func (c *counters) increment(method string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[method]++
}

func (c *counters) snapshot() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}
