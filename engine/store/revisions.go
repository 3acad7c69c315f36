package store

import (
	"sync"
	"time"
)

const (
	// staleLimit is the age up to which a stale read is used. While the store drops its
	// history they are 5 s old and more, and an endpoint that is leaving has 7 s.
	staleLimit = 2 * time.Second
	// revisionsKept is enough for some seconds of answers.
	revisionsKept = 32
)

// revisions remembers which revisions the store had reached at which time. It is safe
// for concurrent use.
type revisions struct {
	mu sync.Mutex
	// reached rises in both fields.
	reached []reached
}

type reached struct {
	at       time.Duration
	revision uint64
}

// add records a revision that an answer has shown. The time is a reading of the clock
// that goes on while the VM is suspended.
func (r *revisions) add(at time.Duration, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.reached); n > 0 && r.reached[n-1].revision >= revision {
		return
	}
	if len(r.reached) == revisionsKept {
		r.reached = r.reached[1:]
	}
	r.reached = append(r.reached, reached{
		at:       at,
		revision: revision,
	})
}

// behind tells whether a stale read, asked at the given time, lacks what the store had
// reached longer than staleLimit before.
func (r *revisions) behind(asked time.Duration, revision uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.reached) - 1; i >= 0; i-- {
		if asked-r.reached[i].at > staleLimit {
			return revision < r.reached[i].revision
		}
	}
	return false
}
