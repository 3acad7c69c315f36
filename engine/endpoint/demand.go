package endpoint

import (
	"slices"
	"time"

	"amaranthdock.dev/decision/connections"
	"amaranthdock.dev/engine/peer"
)

// beginUse records that a connection serves a request.
func (e *endpointClient) beginUse(c *pooledConnection, request *peer.RunRequest) {
	c.request = request
	e.mu.Lock()
	defer e.mu.Unlock()
	c.counted = true
	e.demand.Begin(e.sinceStart(e.config.Timer.Now()), c.workspace, request.Priority)
}

// endUse records that a connection serves no request any more. The lock must be held.
func (e *endpointClient) endUse(c *pooledConnection) {
	if c.counted {
		c.counted = false
		e.demand.End(e.sinceStart(e.config.Timer.Now()), c.workspace)
	}
}

func (e *endpointClient) sinceStart(at time.Time) time.Duration { return at.Sub(e.startedAt) }

// idleConnections describes the unused connections. The lock must be held.
func (e *endpointClient) idleConnections() []connections.Idle {
	idle := make([]connections.Idle, 0, len(e.idle))
	for _, c := range e.idle {
		idle = append(idle, connections.Idle{
			Workspace: c.workspace,
			Since:     e.sinceStart(c.idleSince),
		})
	}
	return idle
}

// evict removes the unused connection that will be missed least. There must be one, and the lock
// must be held.
func (e *endpointClient) evict() *pooledConnection {
	i := e.demand.Evict(e.sinceStart(e.config.Timer.Now()), e.idleConnections())
	evicted := e.idle[i]
	e.idle = slices.Delete(e.idle, i, i+1)
	e.config.Metrics.connectionsEvicted.Inc(1)
	return evicted
}

// closeUnneeded closes the unused connections that are not expected to be needed soon.
func (e *endpointClient) closeUnneeded() {
	e.mu.Lock()
	now := e.sinceStart(e.config.Timer.Now())
	e.demand.Forget(now)
	var closed, kept []*pooledConnection
	for i, unneeded := range e.demand.Unneeded(now, e.idleConnections()) {
		if unneeded {
			closed = append(closed, e.idle[i])
		} else {
			kept = append(kept, e.idle[i])
		}
	}
	e.idle = kept
	e.removeClosed(len(closed))
	open := e.open
	e.mu.Unlock()
	for _, c := range closed {
		c.Close()
	}
	if len(closed) > 0 {
		e.config.Log.V(1).Info("Closed connections that are not needed.", "endpoint", e.target.Key.ID, "database", e.target.Database,
			"closed", len(closed), "connections", open)
	}
}

// removeClosed counts unused connections that are closed. The lock must be held.
func (e *endpointClient) removeClosed(count int) {
	e.open -= count
	e.countClosing(count, closedLag)
	e.config.Metrics.connectionsIdle.Inc(int64(count))
}

// isHeld reports whether the statements of a workspace start after those that have a connection,
// because many connections are being opened. At the limit that would favour the few workspaces that
// have a connection for long, so that it applies only while there is room. The lock must be held.
func (e *endpointClient) isHeld(workspace string) bool {
	return e.handshakes >= connections.MaxHandshakes(e.target.Slots) && e.open < e.limit &&
		!slices.ContainsFunc(e.idle, func(c *pooledConnection) bool { return c.workspace == workspace })
}

// endHandshake records that a connection is not being opened any more.
func (e *endpointClient) endHandshake() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handshakes--
}
