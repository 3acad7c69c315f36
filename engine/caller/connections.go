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

// Connections is the set of open caller connections of this VM. It is safe for
// concurrent use.
type Connections struct {
	timer timer.Service

	mu   sync.Mutex
	open map[Connection]struct{}
	// closing holds the connections that must close as soon as their session is idle.
	closing map[Connection]struct{}
}

// NewConnections returns an empty set.
func NewConnections(service timer.Service) *Connections {
	return &Connections{
		timer:   service,
		open:    map[Connection]struct{}{},
		closing: map[Connection]struct{}{},
	}
}

// Add adds a newly accepted connection.
func (c *Connections) Add(connection Connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[connection] = struct{}{}
}

// Remove removes a closed connection.
func (c *Connections) Remove(connection Connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, connection)
	delete(c.closing, connection)
}

// Ending reports whether a connection should close as soon as its session is idle.
func (c *Connections) Ending(connection Connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, closing := c.closing[connection]
	return closing
}

// Open returns the number of open connections.
func (c *Connections) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// drainBatches is the number of batches in which idle connections are closed, so that
// not all callers reconnect at the same time.
const drainBatches = 20

// Leave drains the connections in batches spread over the given time. Each one closes
// once its session is idle. It returns when none is open or the context ends.
func (c *Connections) Leave(ctx context.Context, over time.Duration) {
	c.mu.Lock()
	remaining := make([]Connection, 0, len(c.open))
	for connection := range c.open {
		remaining = append(remaining, connection)
	}
	c.mu.Unlock()
	size := max((len(remaining)+drainBatches-1)/drainBatches, 1)
	for c.Open() > 0 && ctx.Err() == nil {
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
func (c *Connections) closeWhenIdle(batch []Connection) {
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
func (c *Connections) CloseAll() {
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
