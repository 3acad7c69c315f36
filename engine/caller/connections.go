package caller

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"amaranthdock.dev/timer"
)

// Connection is the open connection of one caller.
type Connection interface {
	// Interrupt wakes the connection if it is waiting for the caller's next request, so that
	// it checks whether it has to close or to end its transaction because its VM shuts down.
	Interrupt()
	// Close closes the connection immediately.
	Close()
}

// ConnectionSet is the set of open caller connections of this VM. It is safe for
// concurrent use.
type ConnectionSet struct {
	timer timer.Service

	mu   sync.Mutex
	open map[Connection]struct{}
	// closing holds the connections that must close as soon as their session is idle.
	closing map[Connection]struct{}
	// closeIdle is set by SetCloseIdle.
	closeIdle bool
	// stopAccepting is set by OnStopAccepting; nil if no server accepts connections.
	stopAccepting func()

	statements    context.Context
	endStatements context.CancelFunc
}

// NewConnectionSet returns an empty set.
func NewConnectionSet(service timer.Service) *ConnectionSet {
	c := &ConnectionSet{
		timer:   service,
		open:    map[Connection]struct{}{},
		closing: map[Connection]struct{}{},
	}
	c.statements, c.endStatements = context.WithCancel(context.Background())
	return c
}

// StatementContext returns the context of all statements of the connections. It ends with
// EndStatements.
func (c *ConnectionSet) StatementContext() context.Context { return c.statements }

// EndStatements ends the statements that still run, so that their callers get a final
// response before their connections close.
func (c *ConnectionSet) EndStatements() { c.endStatements() }

// OnStopAccepting sets the function that StopAccepting calls. It has to return only when no
// further connection will be added.
func (c *ConnectionSet) OnStopAccepting(stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopAccepting = stop
}

// StopAccepting makes the server accept no further connections.
func (c *ConnectionSet) StopAccepting() {
	c.mu.Lock()
	stop := c.stopAccepting
	c.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// Add adds a newly accepted connection.
func (c *ConnectionSet) Add(connection Connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[connection] = struct{}{}
}

// Remove removes a closed connection.
func (c *ConnectionSet) Remove(connection Connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, connection)
	delete(c.closing, connection)
}

// ShouldClose reports whether a connection should close as soon as its session is idle.
func (c *ConnectionSet) ShouldClose(connection Connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, closing := c.closing[connection]
	return closing || c.closeIdle
}

// Count returns the number of open connections.
func (c *ConnectionSet) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// drainBatches is the number of batches in which idle connections are closed, so that
// not all callers reconnect at the same time.
const drainBatches = 20

// Drain closes the connections in batches spread over the given time, each one once its
// session is idle. It returns when none is open or the context ends.
func (c *ConnectionSet) Drain(ctx context.Context, over time.Duration) {
	remaining := c.all()
	size := max((len(remaining)+drainBatches-1)/drainBatches, 1)
	for c.Count() > 0 && ctx.Err() == nil {
		batch := remaining[:min(size, len(remaining))]
		remaining = remaining[len(batch):]
		if len(batch) == 0 {
			// Drain the connections that were accepted since the start.
			batch = c.all()
		}
		c.closeWhenIdle(batch)
		if err := timer.Sleep(ctx, c.timer, over/drainBatches); err != nil {
			return
		}
	}
}

// SetCloseIdle makes each connection, also those that are added later, close as soon as its
// session is idle, and wakes all of them; or ends that.
func (c *ConnectionSet) SetCloseIdle(closeIdle bool) {
	c.mu.Lock()
	c.closeIdle = closeIdle
	c.mu.Unlock()
	for _, connection := range c.all() {
		connection.Interrupt()
	}
}

// closeWhenIdle marks the connections for closing and wakes those that were not marked.
func (c *ConnectionSet) closeWhenIdle(batch []Connection) {
	var marked []Connection
	c.mu.Lock()
	for _, connection := range batch {
		_, open := c.open[connection]
		if _, closing := c.closing[connection]; open && !closing {
			c.closing[connection] = struct{}{}
			marked = append(marked, connection)
		}
	}
	c.mu.Unlock()
	for _, connection := range marked {
		connection.Interrupt()
	}
}

// all returns the open connections.
func (c *ConnectionSet) all() []Connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.open))
}

// CloseAll closes all connections that are still open.
func (c *ConnectionSet) CloseAll() {
	for _, connection := range c.all() {
		connection.Close()
	}
}
