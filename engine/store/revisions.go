package store

import (
	"sync"
	"time"
)

const (
	// maxStaleLag is how far a stale read may lag behind the store and still be used.
	// While the store compacts its history, stale reads lag by 5 s and more, but an
	// endpoint that is leaving must get no statements after 7 s.
	maxStaleLag = 2 * time.Second
	// maxRevisions is enough for the responses of several seconds.
	maxRevisions = 32
)

// revisionLog records when this VM saw which revisions of the store. It is safe for
// concurrent use.
type revisionLog struct {
	mu sync.Mutex
	// seen is in ascending order of both time and revision.
	seen []seenRevision
}

// seenRevision is a revision that the store had reached at a reading of SinceBoot.
type seenRevision struct {
	at       time.Duration
	revision uint64
}

// add records the revision of a response. The time is a reading of SinceBoot.
func (r *revisionLog) add(at time.Duration, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.seen); n > 0 && r.seen[n-1].revision >= revision {
		return
	}
	if len(r.seen) == maxRevisions {
		r.seen = r.seen[1:]
	}
	r.seen = append(r.seen, seenRevision{
		at:       at,
		revision: revision,
	})
}

// isStale reports whether a stale read that was requested at the given time returned a
// revision older than one that the store had reached more than maxStaleLag before.
func (r *revisionLog) isStale(requestedAt time.Duration, revision uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.seen) - 1; i >= 0; i-- {
		if requestedAt-r.seen[i].at > maxStaleLag {
			return revision < r.seen[i].revision
		}
	}
	return false
}
