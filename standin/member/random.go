package member

import (
	"math/rand/v2"
	"sync"
	"time"
)

// randomSource is a seeded source of random numbers. It is safe for concurrent use.
type randomSource struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newRandomSource(seed uint64) *randomSource {
	return &randomSource{random: rand.New(rand.NewPCG(seed, seed))}
}

// delay returns a random duration from 0 to maxDelay.
func (s *randomSource) delay(maxDelay time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.Int64N(int64(maxDelay) + 1))
}

// shuffle randomizes the order of a slice of the given length.
func (s *randomSource) shuffle(length int, swap func(i, j int)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.random.Shuffle(length, swap)
}
