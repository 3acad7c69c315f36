package platform

import (
	"sync"
)

// broadcast wakes all that wait for a change.
type broadcast struct {
	mu      sync.Mutex
	changes chan struct{}
}

func newBroadcast() *broadcast {
	return &broadcast{changes: make(chan struct{})}
}

// next returns a channel that is closed at the next change. It must be taken
// before the state is read, so that no change is missed.
func (b *broadcast) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changes
}

func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.changes)
	b.changes = make(chan struct{})
}
