package caller

import (
	"sync"
	"time"

	"amaranthdock.dev/decision/placement"
	"amaranthdock.dev/engine/peer"
)

// classWaitTTL is how long the wait that a home reported for a priority is preferred to
// a newer one for another priority. Estimates from a reported wait halve in 100 ms, so that
// after 1 s nothing is left of one.
const classWaitTTL = time.Second

// remainingTarget returns the time until the target latency of the operation to which a
// statement belongs: that of the whole transaction if one is open. It is 0 if there is no target
// or statements are not ordered by urgency, and negative if the target has passed.
func (s *Session) remainingTarget(auth authorization, started time.Time) time.Duration {
	if !s.manager.config.UrgencyAcrossWorkspaces || auth.route.TargetLatency <= 0 {
		return 0
	}
	if s.transaction != nil {
		started = s.transaction.began
	}
	remaining := auth.route.TargetLatency - s.manager.config.Timer.Now().Sub(started)
	if remaining == 0 {
		// 0 would mean that there is no target.
		return -1
	}
	return remaining
}

// classWaits holds the waits that homes reported by endpoint and priority. A home computes
// the wait for the priority of the statement to which it responds. Without this, a most
// urgent statement that did not wait would make a full endpoint look idle to the least urgent.
type classWaits struct {
	mu    sync.Mutex
	waits map[waitClass]reportedWait
}

type waitClass struct {
	endpoint string
	priority int
}

type reportedWait struct {
	wait time.Duration
	at   time.Time
}

// recordClassWait records the wait that a home reported for the priority of a request.
func (s *SessionManager) recordClassWait(request *peer.RunRequest, result *peer.RunResponse) {
	if !s.config.UrgencyAcrossWorkspaces || (result.Refused != nil && result.ExpectedWait == 0) {
		// Without an estimate, the endpoint was not reached.
		return
	}
	now := s.config.Timer.Now()
	s.classWaits.mu.Lock()
	defer s.classWaits.mu.Unlock()
	if s.classWaits.waits == nil {
		s.classWaits.waits = map[waitClass]reportedWait{}
	}
	class := waitClass{
		endpoint: request.Endpoint,
		priority: request.Priority,
	}
	if _, ok := s.classWaits.waits[class]; !ok {
		// Endpoints come and go, so old entries are removed with each new one.
		for other, reported := range s.classWaits.waits {
			if now.Sub(reported.at) > classWaitTTL {
				delete(s.classWaits.waits, other)
			}
		}
	}
	s.classWaits.waits[class] = reportedWait{
		wait: result.ExpectedWait,
		at:   now,
	}
}

// applyClassWaits replaces the reported waits of the candidates by those that were reported
// for the priority.
func (s *SessionManager) applyClassWaits(priority int, candidates []placement.Candidate) []placement.Candidate {
	if !s.config.UrgencyAcrossWorkspaces {
		return candidates
	}
	now := s.config.Timer.Now()
	s.classWaits.mu.Lock()
	defer s.classWaits.mu.Unlock()
	for i := range candidates {
		c := &candidates[i]
		reported, ok := s.classWaits.waits[waitClass{
			endpoint: c.ID,
			priority: priority,
		}]
		if age := now.Sub(reported.at); ok && age <= classWaitTTL {
			c.ReportedWait = reported.wait
			c.ReportAge = age
		}
	}
	return candidates
}
