package endpoint

import (
	"context"
	"errors"
	"time"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/timer"
)

const (
	// dialTimeout is far above the 27 ms that the slowest endpoints need for a new
	// connection, and short enough for another attempt within a statement's timeout.
	dialTimeout = 500 * time.Millisecond
	// dialRetryDelay is the time after a failed dial in which no other is tried, so that
	// queued statements do not each run into the timeout of an endpoint that is gone.
	dialRetryDelay = 100 * time.Millisecond
	// acquireRetryInterval is the time between two attempts to get a connection, about
	// the duration of a short statement.
	acquireRetryInterval = 15 * time.Millisecond
	// connectionLimitBackoff is the time without new connections after an endpoint
	// reported that it is at its connection limit. Endpoints drop the connections of a
	// VM that is gone within 3 s.
	connectionLimitBackoff = 300 * time.Millisecond
)

// acquireConnection returns an idle connection of the request's workspace, or a new one. The
// function's caller must hold a slot; transactions pin only so many connections that
// one remains for each slot. While the endpoint is at its connection limit, for example
// because of the connections of a home that lost power, acquireConnection waits until
// one of this home's connections is free.
func (e *endpointClient) acquireConnection(ctx context.Context, request *peer.RunRequest, deadline time.Time) (*pooledConnection, error) {
	defer e.endConnectionWait(request)
	for {
		if err := e.refusePlace(request); err != nil {
			return nil, err
		}
		found, evicted, err := e.takeIdleOrReserve(request)
		if evicted != nil && !e.endEvicted(evicted) {
			e.endHandshake()
			err = errAtLimit
		}
		if err != nil {
			e.beginConnectionWait(request, deadline)
			if err == errAtLimit && e.config.Timer.Now().Add(acquireRetryInterval).Before(deadline) && timer.Sleep(ctx, e.config.Timer, acquireRetryInterval) == nil {
				continue
			}
			return nil, err
		}
		if found != nil {
			e.beginUse(found, request)
			return found, nil
		}
		opened, err := e.dial(ctx, request.Workspace)
		var refused *ReplyError
		if errors.As(err, &refused) {
			if refused.Code == TooManyConnections && e.config.Timer.Now().Add(acquireRetryInterval).Before(deadline) {
				continue
			}
			return nil, refusalFromReply(refused)
		}
		if err == nil {
			e.beginUse(opened, request)
		}
		return opened, err
	}
}

// errAtLimit means that all connections are in use and one may become free soon.
var errAtLimit error = refusal.NewNotRun(refusal.Overloaded, "the endpoint is at its connection limit")

// takeIdleOrReserve takes an idle connection for the request, or counts a new one that
// the caller must dial. If no further connection is allowed, it evicts an idle one, which
// the caller must close before it dials a new one. The error is errAtLimit, or a refusal
// because the last dial failed.
func (e *endpointClient) takeIdleOrReserve(request *peer.RunRequest) (found, evicted *pooledConnection, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.yieldsConnection(request) {
		return nil, nil, errAtLimit
	}
	if found := e.takeIdle(request.Workspace, request.Values, request.Prepared); found != nil {
		return found, nil, nil
	}
	now := e.config.Timer.Now()
	switch {
	case now.Sub(e.dialFailedAt) < dialRetryDelay:
		return nil, nil, refusal.NewNotRun(refusal.Unreachable, "the last attempt to connect to the endpoint failed a moment ago")
	case e.open+e.countedClosing() < e.limit && !now.Before(e.connectionLimitUntil):
		e.open++
		e.handshakes++
		return nil, nil, nil
	}
	e.needsMore = true
	switch {
	case len(e.idle) > 0 && e.open <= e.limit && e.config.Timer.SinceBoot() >= e.ends.evictAfter:
		e.handshakes++
		return nil, e.evict(), nil
	default:
		return nil, nil, errAtLimit
	}
}

// dial opens a connection that is already counted in open. The error is a *ReplyError
// or a *refusal.Error.
func (e *endpointClient) dial(ctx context.Context, workspace string) (*pooledConnection, error) {
	defer e.endHandshake()
	dialContext, cancel := timer.WithTimeout(ctx, e.config.Timer, dialTimeout)
	defer cancel()
	wait := e.beginWait(dialTimeout)
	opened, err := e.config.Dialer.Dial(dialContext, e.target, workspace)
	if err == nil {
		e.recordResponse()
		e.config.Metrics.connectionsOpened.Inc(1)
		c := &pooledConnection{
			Connection: opened,
			client:     e,
			workspace:  workspace,
		}
		e.mu.Lock()
		e.inUse[c] = struct{}{}
		e.mu.Unlock()
		return c, nil
	}
	var refused *ReplyError
	responded := errors.As(err, &refused)
	e.mu.Lock()
	e.open--
	if !responded {
		e.dialFailedAt = e.config.Timer.Now()
	}
	if dialContext.Err() != nil {
		// The endpoint may have accepted the connection after this side gave up.
		e.countClosing(1, lostLag)
	}
	e.mu.Unlock()
	if !responded {
		e.recordNoResponse(wait.attribute(err, ctx.Err() != nil))
		return nil, refusal.NewNotRun(refusal.Unreachable, "could not connect to the endpoint: "+err.Error())
	}
	e.recordResponse()
	if refused.Code == TooManyConnections {
		e.recordTooMany()
	}
	return nil, refused
}

// recordTooMany records that the endpoint refused a connection because it is at its limit.
func (e *endpointClient) recordTooMany() {
	e.config.Metrics.connectionsRefused.Inc(1)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.connectionLimitUntil = e.config.Timer.Now().Add(connectionLimitBackoff)
	e.config.Log.Info("The endpoint refused a connection because it is at its limit.", "endpoint", e.target.Key.ID, "database", e.target.Database,
		"connections", e.open, "closing", len(e.closing), "limit", e.limit)
}
