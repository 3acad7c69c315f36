package platform

import (
	"sync"
)

// broadcast wakes all goroutines that wait for a change.
type broadcast struct {
	mu      sync.Mutex
	changed chan struct{}
}

func newBroadcast() *broadcast {
	return &broadcast{changed: make(chan struct{})}
}

// next returns a channel that is closed at the next change. To miss no change, call it
// before reading the state.
func (b *broadcast) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.changed)
	b.changed = make(chan struct{})
}
