package relay

import (
	"sync"
	"time"
)

// Link is a shared line with a bounded rate that counts its bytes.
type Link struct {
	// BytesPerSecond bounds the rate; 0 for no bound.
	BytesPerSecond int64

	mu    sync.Mutex
	free  time.Time
	total int64
}

// Total returns the bytes that have passed.
func (l *Link) Total() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// reserve books the time that size bytes take and returns when they have passed.
func (l *Link) reserve(now time.Time, size int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total += int64(size)
	if l.BytesPerSecond == 0 {
		return now
	}
	l.free = later(l.free, now)
	l.free = l.free.Add(time.Duration(float64(size) / float64(l.BytesPerSecond) * float64(time.Second)))
	return l.free
}
