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

// openTimeout is the timeout for opening a connection. It is far above the 25 ms that
// the slowest endpoints need, and short enough for a retry before a request's
// deadline.
const openTimeout = time.Second

// busyRetryDelay is the delay before a retry at an endpoint that had no free slot. It
// is about the duration of a statement.
const busyRetryDelay = 5 * time.Millisecond

// poolConfig configures a pool.
type poolConfig struct {
	address netip.AddrPort
	base    context.Context
	dial    func(netip.AddrPort) endpointv1connect.EndpointServiceClient
	// limit is the maximum number of open connections.
	limit int
	// pinLimit is the maximum number of connections that transactions hold.
	pinLimit int
	proxy    string
	timer    timer.Service
}

// pool holds the connections to one endpoint. A connection is opened only when none
// is idle, so connectionPermits limits the number of open connections.
type pool struct {
	config poolConfig
	// connectionPermits has a permit for each connection in use, pinPermits one for
	// each transaction.
	connectionPermits *semaphore.Weighted
	pinPermits        *semaphore.Weighted

	mu      sync.Mutex
	address netip.AddrPort
	closed  bool
	idle    []*connection
	// pinned counts the connections that transactions hold, inUse all connections that
	// are in use.
	pinned int
	inUse  int
}

func newPool(config poolConfig) *pool {
	return &pool{
		config:            config,
		connectionPermits: semaphore.NewWeighted(int64(config.limit)),
		pinPermits:        semaphore.NewWeighted(int64(config.pinLimit)),
		address:           config.address,
	}
}

// acquire returns an idle or a new connection. If transactions hold all connections,
// it refuses immediately: the caller occupies a slot that the next steps of these
// transactions need, so waiting could block both until their deadlines.
func (p *pool) acquire(ctx context.Context) (*connection, error) {
	if err := p.checkPinned(); err != nil {
		return nil, err
	}
	if err := p.connectionPermits.Acquire(ctx, 1); err != nil {
		return nil, refusal.NewNotRun(refusal.QueueTimeout, "no connection to the endpoint was free in time")
	}
	c, address := p.takeIdle()
	if c != nil {
		return c, nil
	}
	return p.connect(ctx, address)
}

// checkPinned returns a refusal if transactions hold all connections.
func (p *pool) checkPinned() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pinned >= p.config.limit {
		return refusal.NewNotRun(refusal.Overloaded, "transactions hold all connections to the endpoint")
	}
	return nil
}

// connect opens a connection. If it fails, it releases the permit.
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

// pin acquires a permit to hold a connection for a transaction.
func (p *pool) pin(ctx context.Context) error {
	if err := p.pinPermits.Acquire(ctx, 1); err != nil {
		return errTooManyTransactions()
	}
	return nil
}

func errTooManyTransactions() error {
	return refusal.NewNotRun(refusal.Overloaded, "too many transactions are open at the endpoint")
}

// addPinned adds to the number of connections that transactions hold.
func (p *pool) addPinned(delta int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pinned += delta
}

// unpin releases the permit that pin acquired.
func (p *pool) unpin() {
	p.pinPermits.Release(1)
}

// put returns a connection to the pool. If c is nil, it releases only the permit of a
// connection that could not be opened. A connection that is broken or that was
// opened to a previous address is closed.
func (p *pool) put(c *connection) {
	p.mu.Lock()
	p.inUse--
	keep := c != nil && !p.closed && c.address == p.address && !c.isBroken()
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if c != nil && !keep {
		c.close()
	}
	p.connectionPermits.Release(1)
}

// takeIdle counts a connection as in use. It returns an idle connection, or nil if
// the caller has to open one to the returned address.
func (p *pool) takeIdle() (*connection, netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse++
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if !c.isBroken() {
			return c, p.address
		}
	}
	return nil, p.address
}

// setAddress sets the address of the endpoint. If it has changed, the idle connections
// to the previous address are closed; those in use are closed when they are put back.
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

// warmUp opens connections until count connections are open, so that steps do not have
// to wait the 10 to 25 ms that an endpoint takes to open one.
func (p *pool) warmUp(ctx context.Context, count int) {
	var opened []*connection
	for p.openCount() < count && p.connectionPermits.TryAcquire(1) {
		p.mu.Lock()
		p.inUse++
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

// openCount returns the number of connections that are open or being opened, without
// the idle ones that are broken; it removes these.
func (p *pool) openCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if !c.isBroken() {
			kept = append(kept, c)
		}
	}
	p.idle = kept
	return len(p.idle) + p.inUse
}

// close closes the idle connections; those in use are closed when they are put back.
func (p *pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// runAndPut runs a step on a connection and returns the connection to the pool.
func (p *pool) runAndPut(ctx context.Context, step *endpointv1.Run) (response, error) {
	c, resp, err := p.runAndKeep(ctx, step)
	if c != nil {
		p.put(c)
	}
	return resp, err
}

// runRetryingBusy runs a step on a connection and retries it while the endpoint has
// no free slot. A home never uses more slots than there are, but an endpoint can
// briefly have two homes. The retry is safe: an endpoint that refuses a step because
// it has no free slot has not run it.
func (p *pool) runRetryingBusy(ctx context.Context, c *connection, step *endpointv1.Run) (response, error) {
	for {
		resp, err := c.run(ctx, step)
		refused, ok := refusal.As(err)
		if !ok || refused.Outcome != refusal.NotRun || refused.Reason != refusal.Overloaded {
			return resp, err
		}
		if timer.Sleep(ctx, p.config.timer, busyRetryDelay) != nil {
			return resp, err
		}
	}
}

// runAndKeep runs a step on a connection and also returns the connection if the step
// succeeds. If the connection was already broken, it uses another one.
func (p *pool) runAndKeep(ctx context.Context, step *endpointv1.Run) (*connection, response, error) {
	for {
		c, err := p.acquire(ctx)
		if err != nil {
			return nil, response{}, err
		}
		resp, err := p.runRetryingBusy(ctx, c, step)
		if err == nil {
			return c, resp, nil
		}
		p.put(c)
		if err != errNotSent {
			return nil, response{}, err
		}
	}
}
