package endpoint

import (
	"time"

	"amaranthdock.dev/decision/evacuation"
	"amaranthdock.dev/decision/outlier"
	"amaranthdock.dev/engine/guard"
	"amaranthdock.dev/engine/statement"
)

const (
	// minRejections is the number of busy replies that are worth a status request. Fewer do not
	// eject an endpoint.
	minRejections = 4
	// maxRejections bounds the memory of an endpoint's busy replies.
	maxRejections = 64
	// rejectionCheckInterval is the least time between two status requests because of busy replies.
	rejectionCheckInterval = 250 * time.Millisecond
	// maxRejectionAge is the age up to which a status request covers a busy reply. Another home
	// keeps its unused connections at least as long.
	maxRejectionAge = idleClientTimeout
)

// rejections holds the busy replies of an endpoint that had a free slot as far as this home knows.
// They are the endpoint's fault only if no other home can have used the slots, which the number of
// connections in the endpoint's status tells. The lock of the endpoint client protects it.
type rejections struct {
	pending []rejection
	// checking is set while a status request runs; checkedAt is the reading of SinceBoot at which
	// the last one began.
	checking  bool
	checkedAt time.Duration
}

// rejection is a busy reply to a statement of a workspace, at a reading of SinceBoot.
type rejection struct {
	workspace string
	at        time.Duration
}

// recordRejection records a busy reply unless this home itself used all slots.
func (e *endpointClient) recordRejection(workspace string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.queue.Running() > e.target.Slots {
		return
	}
	now := e.config.Timer.SinceBoot()
	e.rejections.pending = append(e.rejections.pending, rejection{
		workspace: workspace,
		at:        now,
	})
	e.rejections.dropOld(now)
}

func (r *rejections) dropOld(now time.Duration) {
	first := max(len(r.pending)-maxRejections, 0)
	for first < len(r.pending) && now-r.pending[first].at > maxRejectionAge {
		first++
	}
	r.pending = r.pending[first:]
}

// putBack returns a connection like put. If a status request is due because of busy replies, it is
// sent on the connection first, in the background, so that it needs no new connection.
func (e *endpointClient) putBack(c *pooledConnection, reusable bool) {
	if !reusable || c.state != statement.Idle || !e.beginRejectionCheck() {
		e.put(c, reusable)
		return
	}
	go func() {
		defer guard.Recover(e.config.Log, "status request")
		defer e.put(c, true)
		e.checkRejections(c)
	}()
}

// beginRejectionCheck reports whether a status request is due because of busy replies.
func (e *endpointClient) beginRejectionCheck() bool {
	if e.config.access(e.target) != evacuation.Open {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.config.Timer.SinceBoot()
	r := &e.rejections
	r.dropOld(now)
	if r.checking || len(r.pending) < minRejections || (r.checkedAt != 0 && now-r.checkedAt < rejectionCheckInterval) {
		return false
	}
	r.checking = true
	r.checkedAt = now
	return true
}

// checkRejections requests the endpoint's status, and counts the busy replies as its faults if it
// has no other connections than those of this home.
func (e *endpointClient) checkRejections(c *pooledConnection) {
	own := e.establishedConnections()
	report, err := c.status()
	own = min(own, e.establishedConnections())
	alone := err == nil && report != nil && report.Connections <= own
	e.mu.Lock()
	pending := e.rejections.pending
	e.rejections.pending = nil
	e.rejections.checking = false
	e.mu.Unlock()
	if !alone {
		e.config.Metrics.rejectionsIgnored.Inc(int64(len(pending)))
		e.config.Log.V(1).Info("Busy replies of an endpoint do not count as faults, because another home may have used its slots.",
			"endpoint", e.target.Key.ID, "database", e.target.Database, "replies", len(pending))
		return
	}
	for _, r := range pending {
		e.recordOutcome(r.workspace, outlier.Rejected)
	}
}

// establishedConnections returns the number of connections that the endpoint has accepted.
func (e *endpointClient) establishedConnections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.idle) + len(e.inUse)
}
