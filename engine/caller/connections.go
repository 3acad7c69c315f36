package caller

import (
	"context"
	"sync"
	"time"

	"amaranthdock.dev/timer"
)

// Connection is a caller's open connection.
type Connection interface {
	// Interrupt ends the wait for a caller's next request, if there is one, so that
	// the connection looks whether its VM is leaving.
	Interrupt()
	// Close ends the connection at once.
	Close()
}

// ConnectionSet are the open connections of callers.
type ConnectionSet struct {
	timer timer.Service

	mu   sync.Mutex
	open map[Connection]struct{}
	// ending marks the idle connections that are to be closed now.
	ending map[Connection]struct{}
}

// NewConnectionSet returns an empty set.
func NewConnectionSet(service timer.Service) *ConnectionSet {
	return &ConnectionSet{
		timer:  service,
		open:   map[Connection]struct{}{},
		ending: map[Connection]struct{}{},
	}
}

// Add records a connection.
func (c *ConnectionSet) Add(connection Connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[connection] = struct{}{}
}

// Remove forgets a connection.
func (c *ConnectionSet) Remove(connection Connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, connection)
	delete(c.ending, connection)
}

// ShouldClose tells a connection whether it should be closed as soon as its session is
// idle.
func (c *ConnectionSet) ShouldClose(connection Connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ending := c.ending[connection]
	return ending
}

// Count returns how many connections are open.
func (c *ConnectionSet) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// leaveSteps in which idle connections are closed, so that not all callers connect
// anew at one moment.
const leaveSteps = 20

// Drain ends the connections one after the other over the given time, each once its
// session is idle, and returns when none is open or the context ends.
func (c *ConnectionSet) Drain(ctx context.Context, over time.Duration) {
	c.mu.Lock()
	waiting := make([]Connection, 0, len(c.open))
	for connection := range c.open {
		waiting = append(waiting, connection)
	}
	c.mu.Unlock()
	size := max((len(waiting)+leaveSteps-1)/leaveSteps, 1)
	for c.Count() > 0 && ctx.Err() == nil {
		batch := waiting[:min(size, len(waiting))]
		waiting = waiting[len(batch):]
		if len(batch) == 0 {
			// Connections that were accepted since.
			c.mu.Lock()
			for connection := range c.open {
				batch = append(batch, connection)
			}
			c.mu.Unlock()
		}
		c.end(batch)
		if err := timer.Sleep(ctx, c.timer, over/leaveSteps); err != nil {
			return
		}
	}
}

func (c *ConnectionSet) end(batch []Connection) {
	c.mu.Lock()
	for _, connection := range batch {
		if _, ok := c.open[connection]; ok {
			c.ending[connection] = struct{}{}
		}
	}
	c.mu.Unlock()
	for _, connection := range batch {
		connection.Interrupt()
	}
}

// CloseAll ends what is still open.
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
