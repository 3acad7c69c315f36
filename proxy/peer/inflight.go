package peer

import (
	"context"
	"sync"
)

// InFlight counts the requests in flight, so that a shutdown can wait for them. The
// zero value is ready to use. It is safe for concurrent use.
type InFlight struct {
	mu    sync.Mutex
	count int
	idle  chan struct{}
}

// Begin counts a request until the returned function is called. Further calls of that
// function have no effect.
func (f *InFlight) Begin() func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	return sync.OnceFunc(f.end)
}

// Count returns the number of requests in flight.
func (f *InFlight) Count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}

// Wait waits until no request is in flight. It returns the context's error if the
// context ends before that.
func (f *InFlight) Wait(ctx context.Context) error {
	f.mu.Lock()
	if f.count == 0 {
		f.mu.Unlock()
		return nil
	}
	if f.idle == nil {
		f.idle = make(chan struct{})
	}
	idle := f.idle
	f.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (f *InFlight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.count == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}
