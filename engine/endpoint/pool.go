package endpoint

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/statement"
	"amaranthdock.dev/timer"
)

const (
	// dialTimeout is far above the 27 ms that the slowest endpoints need for a new
	// connection, and short enough for another try within a statement's time.
	dialTimeout = 500 * time.Millisecond
	// maxPreparedNames on one connection, after which it is cleared before its next
	// use outside of a transaction.
	maxPreparedNames = 128
	// failedPause after a connection could not be opened, in which no other is tried, so
	// that waiting statements do not each wait for an endpoint that is gone.
	failedPause = 100 * time.Millisecond
	// idleLife of a connection that no statement uses. An endpoint counts those of a home
	// that has lost power for 3 s more, so that the next home finds few left.
	idleLife = 4 * time.Second
	// claimPause before another look for a connection, about the time of a short
	// statement.
	claimPause = 15 * time.Millisecond
	// tooManyPause without new connections after an endpoint reported its limit. The
	// connections of a VM that is gone are dropped within 3 s.
	tooManyPause = 300 * time.Millisecond
)

// pooled is a connection with what it holds.
type pooled struct {
	Connection
	workspace string
	values    map[string]string
	names     map[statement.Prepared]string
	nextName  int
	// state is the one that the endpoint reported last.
	state statement.State
	// rested is when the connection was given back last.
	rested time.Time
}

// Run runs commands and keeps the state that they leave.
func (p *pooled) Run(timeout time.Duration, commands []Command) ([]Reply, error) {
	replies, err := p.Connection.Run(timeout, commands)
	p.state = statement.InFailedTransaction
	if err == nil && len(replies) > 0 {
		p.state = replies[len(replies)-1].State
	}
	return replies, err
}

// matching returns the commands that give the connection the session's values and
// the prepared statement, and the statement's name on this connection. The
// connection counts as changed from now on, so it must be closed if one fails.
func (p *pooled) matching(values map[string]string, prepared *statement.Prepared, inTransaction bool) ([]Command, string) {
	var commands []Command
	if !inTransaction && (p.holdsOther(values) || len(p.names) >= maxPreparedNames) {
		commands = append(commands, Discard{})
		p.values = nil
		p.names = nil
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
	name, ok := p.names[*prepared]
	if !ok {
		if p.names == nil {
			p.names = map[statement.Prepared]string{}
		}
		p.nextName++
		name = "s" + strconv.Itoa(p.nextName)
		p.names[*prepared] = name
		commands = append(commands, Prepare{
			Name:     name,
			Prepared: *prepared,
		})
	}
	return commands, name
}

// holdsOther tells whether the connection holds a value that the session has not set.
func (p *pooled) holdsOther(values map[string]string) bool {
	for name := range p.values {
		if _, ok := values[name]; !ok {
			return true
		}
	}
	return false
}

// connection returns an idle connection of the workspace, or a new one. Its caller
// holds a slot, and transactions leave as many connections as there are slots. While
// the endpoint is at its limit, for example with the connections of a home that has
// lost power, it waits for one of those that this home has.
func (n *node) connection(ctx context.Context, workspace string, deadline time.Time) (*pooled, error) {
	for {
		found, evicted, err := n.claim(workspace)
		if evicted != nil {
			evicted.Close()
		}
		if err != nil {
			if err == errAtLimit && n.config.Timer.Now().Add(claimPause).Before(deadline) && timer.Sleep(ctx, n.config.Timer, claimPause) == nil {
				continue
			}
			return nil, err
		}
		if found != nil {
			return found, nil
		}
		opened, err := n.dial(ctx, workspace)
		var refused *ReplyError
		if errors.As(err, &refused) {
			if refused.Code == TooManyConnections && n.config.Timer.Now().Add(claimPause).Before(deadline) {
				continue
			}
			return nil, refusedBy(refused)
		}
		return opened, err
	}
}

// errAtLimit tells that a connection may become free soon.
var errAtLimit error = refusal.NewNotRun(refusal.Overloaded, "the endpoint is at its limit of connections")

// claim takes an idle connection, or the right to open one, for which it may have to
// close one of another workspace. The error is errAtLimit, or that the endpoint does
// not answer.
func (n *node) claim(workspace string) (found, evicted *pooled, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if found := n.takeIdle(workspace); found != nil {
		return found, nil, nil
	}
	now := n.config.Timer.Now()
	switch {
	case now.Sub(n.dialFailedAt) < failedPause:
		return nil, nil, refusal.NewNotRun(refusal.Unreachable, "the endpoint did not answer a moment ago")
	case n.open < n.limit && !now.Before(n.tooManyUntil):
		n.open++
		return nil, nil, nil
	case len(n.idle) > 0:
		evicted := n.idle[0]
		n.idle = n.idle[1:]
		return nil, evicted, nil
	default:
		return nil, nil, errAtLimit
	}
}

// dial opens a connection that is already counted. The error is a *ReplyError or a
// *refusal.Error.
func (n *node) dial(ctx context.Context, workspace string) (*pooled, error) {
	child, cancel := timer.WithTimeout(ctx, n.config.Timer, dialTimeout)
	defer cancel()
	opened, err := n.config.Dialer.Dial(child, n.target, workspace)
	if err == nil {
		n.answered()
		n.config.Metrics.connectionsOpened.Inc(1)
		return &pooled{
			Connection: opened,
			workspace:  workspace,
		}, nil
	}
	var refused *ReplyError
	answered := errors.As(err, &refused)
	n.mu.Lock()
	n.open--
	if !answered {
		n.dialFailedAt = n.config.Timer.Now()
	}
	n.mu.Unlock()
	if !answered {
		n.unanswered()
		return nil, refusal.NewNotRun(refusal.Unreachable, "no connection to the endpoint: "+err.Error())
	}
	n.answered()
	if refused.Code == TooManyConnections {
		n.mu.Lock()
		n.tooManyUntil = n.config.Timer.Now().Add(tooManyPause)
		n.mu.Unlock()
	}
	return nil, refused
}

// takeIdle returns the idle connection of the workspace that was used last.
func (n *node) takeIdle(workspace string) *pooled {
	for i := len(n.idle) - 1; i >= 0; i-- {
		candidate := n.idle[i]
		if candidate.workspace != workspace {
			continue
		}
		n.idle = slices.Delete(n.idle, i, i+1)
		if !candidate.Broken() {
			return candidate
		}
		candidate.Close()
		n.open--
	}
	return nil
}

// put takes a connection back, and closes it unless it can be used again. One with an
// open transaction never is.
func (n *node) put(c *pooled, reusable bool) {
	c.rested = n.config.Timer.Now()
	n.mu.Lock()
	keep := reusable && c.state == statement.Idle && n.open <= n.limit
	if keep {
		n.idle = append(n.idle, c)
	} else {
		n.open--
	}
	n.mu.Unlock()
	if !keep {
		c.Close()
	}
}

// closeRested closes the connections that no statement has used since the given time.
func (n *node) closeRested(since time.Time) {
	n.mu.Lock()
	// The connections are in the order in which they were given back.
	count := 0
	for count < len(n.idle) && !n.idle[count].rested.After(since) {
		count++
	}
	old := slices.Clone(n.idle[:count])
	n.idle = slices.Delete(n.idle, 0, count)
	n.open -= count
	n.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

// refusedBy translates an endpoint's refusal.
func refusedBy(e *ReplyError) *refusal.Error {
	outcome := refusal.Unknown
	if e.NotRun() {
		outcome = refusal.NotRun
	}
	reason := refusal.StatementFailed
	switch e.Code {
	case Busy, TooManyConnections:
		reason = refusal.Overloaded
	case ReplicaBehind:
		reason = refusal.ReplicaBehind
	case NotPrimary:
		reason = refusal.NotPrimary
	case WrongEndpoint:
		reason = refusal.Unreachable
	case Aborted:
		outcome = refusal.NotRun
		reason = refusal.TransactionConflict
	case InvalidCommand, UnknownPreparedName:
		reason = refusal.InvalidRequest
	case ExecutionTimeout:
		reason = refusal.DeadlineExceeded
	case UnknownCode, ExecutionFailed:
	}
	return &refusal.Error{
		Outcome: outcome,
		Reason:  reason,
		Message: e.Text,
	}
}
