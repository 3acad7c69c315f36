package member

import (
	"math/rand/v2"
	"sync"
	"time"
)

// source is a seeded random source that is safe for concurrent use.
type source struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newSource(seed uint64) *source {
	return &source{random: rand.New(rand.NewPCG(seed, seed))}
}

// delay returns a random duration up to the longest one.
func (s *source) delay(longest time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.Int64N(int64(longest) + 1))
}

// shuffle puts a slice of the given length into a random order.
func (s *source) shuffle(length int, swap func(i, j int)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.random.Shuffle(length, swap)
}
