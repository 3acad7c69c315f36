package platform

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// backoffBase is the mean wait after the first failure.
	backoffBase = 50 * time.Millisecond
	// backoffLimit is the mean wait after many failures. It is short enough for
	// a watcher to notice within a second that the store is back.
	backoffLimit = 400 * time.Millisecond
)

// backoff spreads the calls of a client whose last calls failed.
type backoff struct {
	mu       sync.Mutex
	random   *rand.Rand
	failures int
	next     time.Time
}

// failed sets the time of the next call, with a jitter of a quarter.
func (b *backoff) failed(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	wait := min(backoffBase<<min(b.failures, 8), backoffLimit)
	b.failures++
	jitter := 0.75 + b.random.Float64()/2
	b.next = now.Add(time.Duration(float64(wait) * jitter))
}

func (b *backoff) succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = 0
	b.next = time.Time{}
}

// wait returns how long the next call has to wait.
func (b *backoff) wait(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.next.Sub(now), 0)
}
