package endpoint

import (
	"maps"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/engine/statement"
)

const (
	// maxPreparedNames is the number of prepared statements after which a connection is
	// cleared before its next use outside of a transaction.
	maxPreparedNames = 128
	// maxPreparedBytes is the length of the prepared statements after which a connection is
	// cleared, and maxSettingsBytes that of all its values and prepared statements above which it
	// is not kept. Callers that use few statements of some hundred bytes do not reach them.
	maxPreparedBytes = 128 << 10
	maxSettingsBytes = 256 << 10
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
	// counted is set while the demand of the workspace includes the use of the connection.
	counted bool
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
	e.endUse(c)
	keep := mayKeep && reusable && !c.setupFailed && c.state == statement.Idle && e.open <= e.limit && c.settingsBytes() <= maxSettingsBytes
	if keep {
		e.idle = append(e.idle, c)
	} else {
		e.open--
		e.countClosing(1, closingTime(c))
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
	e.removeClosed(count)
	e.mu.Unlock()
	for _, c := range closed {
		c.Close()
	}
}
