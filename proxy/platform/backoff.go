package platform

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// initialBackoff is the mean delay after the first failure.
	initialBackoff = 50 * time.Millisecond
	// maxBackoff is the mean delay after many failures. It is short enough for a
	// watcher to notice within a second that the store is reachable again.
	maxBackoff = 400 * time.Millisecond
)

// backoff delays the calls of a client exponentially while they fail.
type backoff struct {
	mu       sync.Mutex
	random   *rand.Rand
	failures int
	nextCall time.Time
}

// recordFailure doubles the delay of the next call, up to maxBackoff, and applies a
// jitter of 25 %.
func (b *backoff) recordFailure(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	wait := min(initialBackoff<<min(b.failures, 8), maxBackoff)
	b.failures++
	jitter := 0.75 + b.random.Float64()/2
	b.nextCall = now.Add(time.Duration(float64(wait) * jitter))
}

func (b *backoff) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = 0
	b.nextCall = time.Time{}
}

// delay returns how long the next call has to be delayed.
func (b *backoff) delay(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.nextCall.Sub(now), 0)
}
