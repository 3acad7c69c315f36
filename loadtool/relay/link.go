package relay

import (
	"sync"
	"time"
)

// Link is a network link with limited bandwidth, shared by several connections.
type Link struct {
	// BytesPerSecond is the bandwidth; 0 for no limit.
	BytesPerSecond int64

	mu         sync.Mutex
	freeAt     time.Time
	totalBytes int64
}

// TotalBytes returns the number of bytes sent over the link.
func (l *Link) TotalBytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totalBytes
}

// reserve adds size bytes to the link's queue and returns when they will have been sent.
func (l *Link) reserve(now time.Time, size int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.totalBytes += int64(size)
	if l.BytesPerSecond == 0 {
		return now
	}
	l.freeAt = latest(l.freeAt, now)
	l.freeAt = l.freeAt.Add(time.Duration(float64(size) / float64(l.BytesPerSecond) * float64(time.Second)))
	return l.freeAt
}
