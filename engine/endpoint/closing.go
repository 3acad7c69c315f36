package endpoint

import (
	"slices"
	"time"

	"amaranthdock.dev/decision/connections"
	"amaranthdock.dev/engine/statement"
)

const (
	// closedLag is the time for which an endpoint may count a connection after this side has closed
	// it while nothing ran on it. It is above the latency between regions.
	closedLag = 100 * time.Millisecond
	// lostLag is that time for a connection on which a reply was lost: the endpoint may still run
	// the statement, or learn of the end as late as of a VM that lost power.
	lostLag = connections.DropTime
	// endTimeout bounds the wait until an endpoint has ended a connection that makes room for
	// another one. A slot is held meanwhile.
	endTimeout = closedLag
)

const (
	// maxUnconfirmedEnds is the number of ends in a row that an endpoint may leave unconfirmed
	// before ends are not awaited for ignoreEndsTime. Each costs statements endTimeout, which an
	// endpoint that never confirms one would make too expensive.
	maxUnconfirmedEnds = 3
	ignoreEndsTime     = 30 * time.Second
)

// endStatus tells whether an endpoint confirms the ends of connections. The times are readings of
// SinceBoot.
type endStatus struct {
	// unconfirmed is the number of the last ends in a row that were not confirmed.
	unconfirmed int
	// evictAfter is the time before which no further connection is evicted, because one whose end
	// was not confirmed is about to make room.
	evictAfter   time.Duration
	ignoredUntil time.Duration
}

// closingTime returns for how long the endpoint may count a connection after its end.
func closingTime(c *pooledConnection) time.Duration {
	if c.setupFailed || c.state != statement.Idle {
		return lostLag
	}
	return closedLag
}

// countClosing records that connections are being closed, which the endpoint may count for some time
// more. The lock must be held.
func (e *endpointClient) countClosing(count int, lag time.Duration) {
	until := e.config.Timer.SinceBoot() + lag
	for range count {
		e.closing = append(e.closing, until)
	}
}

// countedClosing returns the number of closed connections that the endpoint may still count. It is
// at most half of the limit, so that an endpoint that loses many replies stays usable. The lock must
// be held.
func (e *endpointClient) countedClosing() int {
	now := e.config.Timer.SinceBoot()
	e.closing = slices.DeleteFunc(e.closing, func(until time.Duration) bool { return until <= now })
	return min(len(e.closing), e.limit/2)
}

// endEvicted ends an idle connection in whose place another one is to be opened. It returns false if
// the endpoint has not confirmed that; the connection then counts as closing.
func (e *endpointClient) endEvicted(c *pooledConnection) bool {
	e.mu.Lock()
	awaits := e.config.Timer.SinceBoot() >= e.ends.ignoredUntil
	e.mu.Unlock()
	if !awaits {
		c.Close()
		return true
	}
	confirmed := c.End(endTimeout)
	e.mu.Lock()
	defer e.mu.Unlock()
	if confirmed {
		e.ends.unconfirmed = 0
		return true
	}
	now := e.config.Timer.SinceBoot()
	e.open--
	e.countClosing(1, closedLag)
	e.ends.evictAfter = now + closedLag
	if e.ends.unconfirmed++; e.ends.unconfirmed == maxUnconfirmedEnds {
		e.ends.unconfirmed = 0
		e.ends.ignoredUntil = now + ignoreEndsTime
		e.config.Log.Info("The endpoint does not confirm the ends of connections; not waiting for them.", "endpoint", e.target.Key.ID,
			"database", e.target.Database, "time", ignoreEndsTime.String())
	}
	return false
}
