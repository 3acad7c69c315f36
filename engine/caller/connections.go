package caller

import (
	"context"
	"sync"
	"time"

	"amaranthdock.dev/timer"
)

// Connection is the open connection of one caller.
type Connection interface {
	// Interrupt wakes the connection if it is waiting for the caller's next request,
	// so that it checks whether it has to close because its VM shuts down.
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
	// stopAccepting is set by OnStopAccepting; nil if no server accepts connections.
	stopAccepting func()
}

// NewConnectionSet returns an empty set.
func NewConnectionSet(service timer.Service) *ConnectionSet {
	return &ConnectionSet{
		timer:   service,
		open:    map[Connection]struct{}{},
		closing: map[Connection]struct{}{},
	}
}

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
	return closing
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
	c.mu.Lock()
	remaining := make([]Connection, 0, len(c.open))
	for connection := range c.open {
		remaining = append(remaining, connection)
	}
	c.mu.Unlock()
	size := max((len(remaining)+drainBatches-1)/drainBatches, 1)
	for c.Count() > 0 && ctx.Err() == nil {
		batch := remaining[:min(size, len(remaining))]
		remaining = remaining[len(batch):]
		if len(batch) == 0 {
			// Drain the connections that were accepted since the start.
			c.mu.Lock()
			for connection := range c.open {
				batch = append(batch, connection)
			}
			c.mu.Unlock()
		}
		c.closeWhenIdle(batch)
		if err := timer.Sleep(ctx, c.timer, over/drainBatches); err != nil {
			return
		}
	}
}

// closeWhenIdle marks the connections for closing and wakes those that are idle.
func (c *ConnectionSet) closeWhenIdle(batch []Connection) {
	c.mu.Lock()
	for _, connection := range batch {
		if _, ok := c.open[connection]; ok {
			c.closing[connection] = struct{}{}
		}
	}
	c.mu.Unlock()
	for _, connection := range batch {
		connection.Interrupt()
	}
}

// CloseAll closes all connections that are still open.
func (c *ConnectionSet) CloseAll() {
	c.mu.Lock()
	open := make([]Connection, 0, len(c.open))
	for connection := range c.open {
		open = append(open, connection)
	}
	c.mu.Unlock()
	for _, connection := range open {
		connection.Close()
	}
}
