package view

import "time"

const (
	// ejectedRetryDelay is how long reads avoid an endpoint whose home has ejected it, and
	// ejectedPenalty is how much longer they may take elsewhere. The home refuses them anyway,
	// except for probes.
	ejectedRetryDelay = 500 * time.Millisecond
	ejectedPenalty    = 150 * time.Millisecond
)

// ejectionPenalty returns the penalty of an endpoint that its home has ejected; 0 if it has not.
func (e *endpointState) ejectionPenalty(now time.Time) time.Duration {
	if now.Before(e.avoidUntil) {
		return ejectedPenalty
	}
	return 0
}
