package endpoint

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/engine/statement"
	"amaranthdock.dev/timer"
)

const (
	// dialTimeout is far above the 27 ms that the slowest endpoints need for a new
	// connection, and short enough for another attempt within a statement's timeout.
	dialTimeout = 500 * time.Millisecond
	// maxPreparedNames is the number of prepared statements after which a connection is
	// cleared before its next use outside of a transaction.
	maxPreparedNames = 128
	// maxPreparedBytes is the length of the prepared statements after which a connection is
	// cleared, and maxSettingsBytes that of all its values and prepared statements above which it
	// is not kept. Callers that use few statements of some hundred bytes do not reach them.
	maxPreparedBytes = 128 << 10
	maxSettingsBytes = 256 << 10
	// dialRetryDelay is the time after a failed dial in which no other is tried, so that
	// queued statements do not each run into the timeout of an endpoint that is gone.
	dialRetryDelay = 100 * time.Millisecond
	// maxIdleTime is the time after which an unused connection is closed. For 3 s after a
	// home has lost power the endpoint still counts its connections, so that unused ones
	// would leave few for the next home.
	maxIdleTime = 4 * time.Second
	// acquireRetryInterval is the time between two attempts to get a connection, about
	// the duration of a short statement.
	acquireRetryInterval = 15 * time.Millisecond
	// connectionLimitBackoff is the time without new connections after an endpoint
	// reported that it is at its connection limit. Endpoints drop the connections of a
	// VM that is gone within 3 s.
	connectionLimitBackoff = 300 * time.Millisecond
)

// pooledConnection is a connection with the session values and prepared statements
// that are set on it.
type pooledConnection struct {
	Connection
	client *endpointClient
	// request is the request for which the connection was used last.
	request       *peer.RunRequest
	workspace     string
	values        map[string]string
	preparedNames map[statement.Prepared]string
	// preparedBytes is the length of the prepared statements.
	preparedBytes  int
	lastNameNumber int
	// state is the transaction state that the endpoint reported last.
	state statement.State
	// setupFailed means that values and preparedNames may differ from what the endpoint has.
	// Such a connection is not reused.
	setupFailed bool
	// idleSince is when the connection was last returned to the pool.
	idleSince time.Time
	// closedHere is set before this VM closes the connection while it is in use.
	closedHere atomic.Bool
}

// Run runs commands and records the transaction state after them, and whether a setup command
// failed or the endpoint does not know a prepared statement.
func (p *pooledConnection) Run(timeout time.Duration, commands []Command) ([]Reply, error) {
	p.client.recordSend(p.request, commands)
	wait := p.client.beginWait(timeout)
	replies, err := p.Connection.Run(timeout, commands)
	err = wait.attribute(err, p.closedHere.Load())
	p.client.observeReplies(p.workspace, timeout, commands, replies, err)
	p.state = statement.InFailedTransaction
	if err == nil && len(replies) > 0 {
		p.state = replies[len(replies)-1].State
	}
	for i, r := range replies {
		if r.Err == nil {
			continue
		}
		switch commands[i].(type) {
		case Set, Prepare, Discard:
			p.setupFailed = true
		case Execute:
			p.setupFailed = p.setupFailed || r.Err.Code == UnknownPreparedName
		}
	}
	return replies, err
}

// setupCommands returns the commands that set the session's values and the prepared
// statement on the connection, and the name of the prepared statement on this
// connection. The commands count as done from now on; Run records if one of them fails.
func (p *pooledConnection) setupCommands(values map[string]string, prepared *statement.Prepared, inTransaction bool) ([]Command, string) {
	var commands []Command
	if !inTransaction && p.needsDiscard(values) {
		commands = append(commands, Discard{})
		p.values = nil
		p.preparedNames, p.preparedBytes = nil, 0
	}
	if inTransaction && p.preparedBytes > maxPreparedBytes {
		// The endpoint keeps the names, which are not used again.
		p.preparedNames, p.preparedBytes = nil, 0
		p.setupFailed = true
	}
	for name, value := range values {
		if held, ok := p.values[name]; ok && held == value {
			continue
		}
		if p.values == nil {
			p.values = map[string]string{}
		}
		p.values[name] = value
		commands = append(commands, Set{
			Name:  name,
			Value: value,
		})
	}
	if prepared == nil {
		return commands, ""
	}
	name, ok := p.preparedNames[*prepared]
	if !ok {
		if p.preparedNames == nil {
			p.preparedNames = map[statement.Prepared]string{}
		}
		p.lastNameNumber++
		name = "s" + strconv.Itoa(p.lastNameNumber)
		p.preparedNames[*prepared] = name
		p.preparedBytes += len(prepared.Shape)
		commands = append(commands, Prepare{
			Name:     name,
			Prepared: *prepared,
		})
	}
	return commands, name
}

// setupCount returns the number of commands that setupCommands would return outside of a
// transaction.
func (p *pooledConnection) setupCount(values map[string]string, prepared *statement.Prepared) int {
	count := 0
	discard := p.needsDiscard(values)
	if discard {
		count++
	}
	for name, value := range values {
		if held, ok := p.values[name]; discard || !ok || held != value {
			count++
		}
	}
	if prepared != nil {
		if _, ok := p.preparedNames[*prepared]; discard || !ok {
			count++
		}
	}
	return count
}

// needsDiscard reports whether the connection has to be cleared before a statement with the values
// of a session.
func (p *pooledConnection) needsDiscard(values map[string]string) bool {
	return p.hasOtherValues(values) || len(p.preparedNames) >= maxPreparedNames || p.preparedBytes > maxPreparedBytes
}

// settingsBytes returns the length of the values and prepared statements.
func (p *pooledConnection) settingsBytes() int {
	length := p.preparedBytes
	for name, value := range p.values {
		length += len(name) + len(value)
	}
	return length
}

// hasOtherValues reports whether a value is set on the connection that the session has
// not set.
func (p *pooledConnection) hasOtherValues(values map[string]string) bool {
	for name := range p.values {
		if _, ok := values[name]; !ok {
			return true
		}
	}
	return false
}

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
		if evicted != nil {
			evicted.Close()
		}
		if err != nil {
			e.beginConnectionWait(request, deadline)
			if err == errAtLimit && e.config.Timer.Now().Add(acquireRetryInterval).Before(deadline) && timer.Sleep(ctx, e.config.Timer, acquireRetryInterval) == nil {
				continue
			}
			return nil, err
		}
		if found != nil {
			found.request = request
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
			opened.request = request
		}
		return opened, err
	}
}

// errAtLimit means that all connections are in use and one may become free soon.
var errAtLimit error = refusal.NewNotRun(refusal.Overloaded, "the endpoint is at its connection limit")

// takeIdleOrReserve takes an idle connection for the request, or counts a new one that
// the caller must dial. If no further connection is allowed, it evicts an idle one of
// another workspace, which the caller must close before it dials a new one. The error
// is errAtLimit, or a refusal because the last dial failed.
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
	case e.open < e.limit && !now.Before(e.connectionLimitUntil):
		e.open++
		return nil, nil, nil
	case len(e.idle) > 0:
		evicted := e.idle[0]
		e.idle = e.idle[1:]
		return nil, evicted, nil
	default:
		return nil, nil, errAtLimit
	}
}

// dial opens a connection that is already counted in open. The error is a *ReplyError
// or a *refusal.Error.
func (e *endpointClient) dial(ctx context.Context, workspace string) (*pooledConnection, error) {
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
	e.mu.Unlock()
	if !responded {
		e.recordNoResponse(wait.attribute(err, ctx.Err() != nil))
		return nil, refusal.NewNotRun(refusal.Unreachable, "could not connect to the endpoint: "+err.Error())
	}
	e.recordResponse()
	if refused.Code == TooManyConnections {
		e.mu.Lock()
		e.connectionLimitUntil = e.config.Timer.Now().Add(connectionLimitBackoff)
		e.mu.Unlock()
	}
	return nil, refused
}

// takeIdle returns the idle connection of the workspace that needs the fewest setup commands,
// and of several ones the most recently used; nil if there is none. It closes connections that
// it finds broken. The lock must be held.
func (e *endpointClient) takeIdle(workspace string, values map[string]string, prepared *statement.Prepared) *pooledConnection {
	for {
		best, fewest := -1, 0
		for i := len(e.idle) - 1; i >= 0 && (best < 0 || fewest > 0); i-- {
			if e.idle[i].workspace != workspace {
				continue
			}
			if count := e.idle[i].setupCount(values, prepared); best < 0 || count < fewest {
				best, fewest = i, count
			}
		}
		if best < 0 {
			return nil
		}
		candidate := e.idle[best]
		e.idle = slices.Delete(e.idle, best, best+1)
		if !candidate.Broken() {
			e.inUse[candidate] = struct{}{}
			return candidate
		}
		candidate.Close()
		e.open--
	}
}

// put returns a connection to the pool, or closes it if it is not reusable, has an open
// transaction or uncertain session values, or exceeds the limit.
func (e *endpointClient) put(c *pooledConnection, reusable bool) {
	c.idleSince = e.config.Timer.Now()
	mayKeep := e.config.Places == nil || e.config.Places.MayKeepConnections(e.target)
	e.mu.Lock()
	delete(e.inUse, c)
	keep := mayKeep && reusable && !c.setupFailed && c.state == statement.Idle && e.open <= e.limit && c.settingsBytes() <= maxSettingsBytes
	if keep {
		e.idle = append(e.idle, c)
	} else {
		e.open--
	}
	e.mu.Unlock()
	if !keep {
		c.Close()
	}
}

// closeInUse closes the connections of running statements and open transactions.
func (e *endpointClient) closeInUse() {
	e.mu.Lock()
	inUse := slices.Collect(maps.Keys(e.inUse))
	e.mu.Unlock()
	for _, c := range inUse {
		c.closedHere.Store(true)
		c.Close()
	}
}

// closeIdleSince closes the connections that have been idle since the cutoff or longer.
func (e *endpointClient) closeIdleSince(cutoff time.Time) {
	e.mu.Lock()
	// The idle connections are sorted by the time at which they were returned.
	count := 0
	for count < len(e.idle) && !e.idle[count].idleSince.After(cutoff) {
		count++
	}
	closed := slices.Clone(e.idle[:count])
	e.idle = slices.Delete(e.idle, 0, count)
	e.open -= count
	e.mu.Unlock()
	for _, c := range closed {
		c.Close()
	}
}
