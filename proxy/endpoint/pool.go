package endpoint

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	"amaranthdock.dev/api/amaranthdock/endpoint/v1/endpointv1connect"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/timer"
)

// openTimeout is far above the 25 ms that the slowest endpoints need for a new
// connection, and short enough for another try within a request's deadline.
const openTimeout = time.Second

// busyPause before another try at an endpoint without a free slot, about the time
// of a statement.
const busyPause = 5 * time.Millisecond

// poolConfig configures a pool.
type poolConfig struct {
	address netip.AddrPort
	base    context.Context
	dial    func(netip.AddrPort) endpointv1connect.EndpointServiceClient
	// limit of open connections.
	limit int
	// pinLimit of connections that transactions hold.
	pinLimit int
	proxy    string
	timer    timer.Service
}

// pool holds the connections to one endpoint. A connection is opened only when
// none is idle, so that the permits of inUse bound all open connections.
type pool struct {
	config poolConfig
	inUse  *semaphore.Weighted
	pins   *semaphore.Weighted

	mu      sync.Mutex
	address netip.AddrPort
	closed  bool
	idle    []*connection
	pinned  int
	taken   int
}

func newPool(config poolConfig) *pool {
	return &pool{
		config:  config,
		inUse:   semaphore.NewWeighted(int64(config.limit)),
		pins:    semaphore.NewWeighted(int64(config.pinLimit)),
		address: config.address,
	}
}

// acquire returns an idle or a new connection. When transactions hold all
// connections it refuses at once: its caller has a slot that their next steps
// need, so that waiting could block both until their deadlines.
func (p *pool) acquire(ctx context.Context) (*connection, error) {
	p.mu.Lock()
	allPinned := p.pinned >= p.config.limit
	p.mu.Unlock()
	if allPinned {
		return nil, refusal.NewNotRun(refusal.Overloaded, "transactions hold all connections to the endpoint")
	}
	if err := p.inUse.Acquire(ctx, 1); err != nil {
		return nil, refusal.NewNotRun(refusal.QueueTimeout, "no connection to the endpoint was free in time")
	}
	c, address := p.takeIdle()
	if c != nil {
		return c, nil
	}
	return p.connect(ctx, address)
}

// connect opens a connection, or puts its permit back.
func (p *pool) connect(ctx context.Context, address netip.AddrPort) (*connection, error) {
	ctx, cancel := timer.WithTimeout(ctx, p.config.timer, openTimeout)
	defer cancel()
	c, err := openConnection(ctx, p.config.base, p.config.dial(address), address, p.config.proxy)
	if err != nil {
		p.put(nil)
		return nil, err
	}
	return c, nil
}

// pin waits for the right to hold a connection for a transaction.
func (p *pool) pin(ctx context.Context) error {
	if err := p.pins.Acquire(ctx, 1); err != nil {
		return refusal.NewNotRun(refusal.Overloaded, "too many transactions are open at the endpoint")
	}
	return nil
}

// setPinned counts the connections that transactions hold.
func (p *pool) setPinned(change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pinned += change
}

func (p *pool) unpin() {
	p.pins.Release(1)
}

// put takes a connection back, or the permit of one that was not opened. A
// connection that is broken or leads to an old address is closed.
func (p *pool) put(c *connection) {
	p.mu.Lock()
	p.taken--
	keep := c != nil && !p.closed && c.address == p.address && !c.isBroken()
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if c != nil && !keep {
		c.close()
	}
	p.inUse.Release(1)
}

func (p *pool) takeIdle() (*connection, netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.taken++
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if !c.isBroken() {
			return c, p.address
		}
	}
	return nil, p.address
}

// setAddress closes the idle connections to an old address; those in use are
// closed when they are put back.
func (p *pool) setAddress(address netip.AddrPort) {
	p.mu.Lock()
	var old []*connection
	if address != p.address {
		p.address = address
		old, p.idle = p.idle, nil
	}
	p.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}

// warm opens connections until as many as given are open, so that steps need
// not wait for the endpoint's 10 to 25 ms per new connection.
func (p *pool) warm(ctx context.Context, count int) {
	var opened []*connection
	for p.open() < count && p.inUse.TryAcquire(1) {
		p.mu.Lock()
		p.taken++
		address := p.address
		p.mu.Unlock()
		c, err := p.connect(ctx, address)
		if err != nil {
			break
		}
		opened = append(opened, c)
	}
	for _, c := range opened {
		p.put(c)
	}
}

// open returns the connections that are open or being opened.
func (p *pool) open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if !c.isBroken() {
			kept = append(kept, c)
		}
	}
	p.idle = kept
	return len(p.idle) + p.taken
}

func (p *pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// runOnce runs a step on a connection and puts the connection back.
func (p *pool) runOnce(ctx context.Context, step *endpointv1.Run) (answer, error) {
	c, got, err := p.runKeep(ctx, step)
	if c != nil {
		p.put(c)
	}
	return got, err
}

// runOn runs a step on a connection, again and again while the endpoint has no free
// slot. A home keeps to the slots, but for a moment there may be two homes, and an
// endpoint's refusal for want of a slot is proof of not run.
func (p *pool) runOn(ctx context.Context, c *connection, step *endpointv1.Run) (answer, error) {
	for {
		got, err := c.run(ctx, step)
		refused, ok := refusal.As(err)
		if !ok || refused.Outcome != refusal.NotRun || refused.Reason != refusal.Overloaded {
			return got, err
		}
		if timer.Sleep(ctx, p.config.timer, busyPause) != nil {
			return got, err
		}
	}
}

// runKeep runs a step on a connection and returns the connection if the step is
// done. A connection that was found broken is replaced.
func (p *pool) runKeep(ctx context.Context, step *endpointv1.Run) (*connection, answer, error) {
	for {
		c, err := p.acquire(ctx)
		if err != nil {
			return nil, answer{}, err
		}
		got, err := p.runOn(ctx, c, step)
		if err == nil {
			return c, got, nil
		}
		p.put(c)
		if err != errNotSent {
			return nil, answer{}, err
		}
	}
}
