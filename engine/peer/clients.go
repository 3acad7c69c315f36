package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"amaranthdock.dev/engine/budget"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/guard"
	"amaranthdock.dev/timer"
)

const (
	// dialTimeout bounds the dial of a connection; it allows for several round trips
	// between regions.
	dialTimeout = 300 * time.Millisecond
	// pingDelay is how long a call waits for its response before the VM is pinged. Most
	// statements take less time. With 120 ms, VMs that were busy with a large configuration were
	// taken for lost ones.
	pingDelay = 200 * time.Millisecond
	// pingTimeout bounds the wait for the response to a ping. A VM that gets no CPU time
	// for 100 ms still responds in time.
	pingTimeout = 350 * time.Millisecond
	// writeTimeout bounds a write to a VM that reads no data.
	writeTimeout = time.Second
	// initialBackoff is the delay before the next attempt to connect to a VM after a
	// failure; it doubles with each further failure.
	initialBackoff = 400 * time.Millisecond
	// maxBackoff bounds this delay, and so the time until a VM that has recovered is used
	// again.
	maxBackoff = 2 * time.Second
)

var (
	// ErrUnreachable means that there is no connection to the VM; the call was not sent.
	ErrUnreachable = errors.New("the VM is not reachable")
	// ErrConnectionLost means that the connection ended after the call was sent and before
	// its response arrived; the call may have been executed.
	ErrConnectionLost = errors.New("the connection to the VM was lost before the response")
)

// ClientConfig configures Clients.
type ClientConfig struct {
	// Dial opens a connection that detects an unresponsive peer by itself, for example
	// with TCP keep-alives.
	Dial  func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	Timer timer.Service
	Log   logr.Logger
	// Budget has the limit of messages; nil for the default limit.
	Budget *budget.Budget
	// OnResponse is called for each response of a VM; may be nil.
	OnResponse func(vm string)
}

// Clients holds the connections from this VM to other VMs. It is safe for concurrent use.
type Clients struct {
	config ClientConfig

	mu     sync.Mutex
	byName map[string]*peerConn
}

// peerConn is the connection to one VM; it is dialed on the first call.
type peerConn struct {
	name    string
	address netip.AddrPort

	// mu is also held while the connection is dialed.
	mu           sync.Mutex
	client       *rpc.Client
	backoffUntil time.Time
	failures     int
	pinging      bool
	// unresponsive is set while the last failure of the connection was a dial or a ping
	// without any response. A refused connection does not count.
	unresponsive atomic.Bool
}

// startBackoff delays the next attempt to connect. The caller holds the lock.
func (conn *peerConn) startBackoff(now time.Time, unresponsive bool) {
	conn.unresponsive.Store(unresponsive)
	conn.backoffUntil = now.Add(min(initialBackoff<<min(conn.failures, 8), maxBackoff))
	conn.failures++
}

// NewClients returns Clients without open connections.
func NewClients(config ClientConfig) *Clients {
	return &Clients{
		config: config,
		byName: map[string]*peerConn{},
	}
}

// Unreachable reports whether connecting to the VM failed recently and is delayed by the
// backoff.
func (c *Clients) Unreachable(name string) bool {
	c.mu.Lock()
	conn, ok := c.byName[name]
	c.mu.Unlock()
	if !ok || !conn.mu.TryLock() {
		return false
	}
	defer conn.mu.Unlock()
	return conn.client == nil && c.config.Timer.Now().Before(conn.backoffUntil)
}

// Isolated reports whether this VM seems to be partitioned from the fleet: most of the VMs
// that it has called are unresponsive. A VM whose process has ended refuses connections
// and does not count as unresponsive.
func (c *Clients) Isolated() bool {
	c.mu.Lock()
	conns := make([]*peerConn, 0, len(c.byName))
	for _, conn := range c.byName {
		conns = append(conns, conn)
	}
	c.mu.Unlock()
	unresponsive := 0
	for _, conn := range conns {
		if conn.unresponsive.Load() {
			unresponsive++
		}
	}
	return 2*unresponsive > len(conns)
}

// Call calls a method of a VM and waits for the response until the timeout. If the VM
// sends no response, the error is ErrUnreachable, ErrConnectionLost, context.DeadlineExceeded
// or the error of ctx.
func (c *Clients) Call(ctx context.Context, vm catalog.VM, method string, arguments, reply any, timeout time.Duration) error {
	conn := c.peerConn(vm)
	client, err := c.connect(ctx, conn, hasAlternatives(method))
	if err != nil {
		return err
	}
	call := client.Go(serviceName+"."+method, arguments, reply, make(chan *rpc.Call, 1))
	timeoutTimer := c.config.Timer.After(timeout)
	defer timeoutTimer.Stop()
	pingTimer := c.config.Timer.After(pingDelay)
	defer pingTimer.Stop()
	for {
		select {
		case <-call.Done:
			if call.Error == nil && c.config.OnResponse != nil {
				c.config.OnResponse(vm.Name)
			}
			return c.callError(conn, client, call)
		case <-pingTimer.C():
			go c.ping(conn, client)
			pingTimer.Stop()
			pingTimer = c.config.Timer.After(pingDelay + pingTimeout)
		case <-timeoutTimer.C():
			return context.DeadlineExceeded
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// callError returns the error of a finished call, and closes the connection if it broke.
func (c *Clients) callError(conn *peerConn, client *rpc.Client, call *rpc.Call) error {
	if call.Error == nil {
		return nil
	}
	var serverError rpc.ServerError
	if errors.As(call.Error, &serverError) {
		return eris.Wrap(call.Error, "response of the VM "+conn.name)
	}
	c.closeConn(conn, client, call.Error.Error(), false)
	return ErrConnectionLost
}

// peerConn returns the connection to a VM. If the address of the VM has changed, the old
// connection is closed and replaced.
func (c *Clients) peerConn(vm catalog.VM) *peerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, ok := c.byName[vm.Name]
	if ok && conn.address == vm.Address {
		return conn
	}
	if ok {
		go c.closeConn(conn, nil, "the VM has a new address", false)
	}
	conn = &peerConn{
		name:    vm.Name,
		address: vm.Address,
	}
	c.byName[vm.Name] = conn
	return conn
}

// hasAlternatives reports whether calls of a method can go to another VM: statements have several
// homes, and several VMs lend tokens.
func hasAlternatives(method string) bool {
	return method == "Run" || method == "Lend"
}

// connect returns the RPC client of a connection and dials it if necessary. A call that has
// alternatives does not wait for the dial of a VM that did not respond last time. With a third of
// the VMs cut off, such waits used up the time limits of statements.
func (c *Clients) connect(ctx context.Context, conn *peerConn, alternatives bool) (*rpc.Client, error) {
	if !conn.mu.TryLock() {
		if alternatives && conn.unresponsive.Load() {
			return nil, ErrUnreachable
		}
		conn.mu.Lock()
	}
	defer conn.mu.Unlock()
	if conn.client != nil {
		return conn.client, nil
	}
	if c.config.Timer.Now().Before(conn.backoffUntil) {
		return nil, ErrUnreachable
	}
	if alternatives && conn.unresponsive.Load() {
		go c.redial(conn)
		return nil, ErrUnreachable
	}
	return c.dial(ctx, conn)
}

// redial connects to a VM that did not respond, for later calls.
func (c *Clients) redial(conn *peerConn) {
	defer guard.Recover(c.config.Log, "redial")
	// The result is in the state of the connection.
	_, _ = c.connect(context.Background(), conn, false)
}

// dial connects to a VM. The caller holds conn.mu.
func (c *Clients) dial(ctx context.Context, conn *peerConn) (*rpc.Client, error) {
	child, cancel := timer.WithTimeout(ctx, c.config.Timer, dialTimeout)
	defer cancel()
	connection, err := c.config.Dial(child, conn.address)
	if err != nil {
		conn.startBackoff(c.config.Timer.Now(), !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, syscall.ECONNRESET))
		c.config.Log.Info("A VM is not reachable.", "peer", conn.name, "error", err.Error())
		return nil, ErrUnreachable
	}
	if conn.failures > 0 {
		c.config.Log.Info("A VM is reachable again.", "peer", conn.name)
	}
	conn.failures = 0
	conn.unresponsive.Store(false)
	conn.client = rpc.NewClient(newDeadlineConn(connection, c.config.Timer, c.config.Budget))
	return conn.client, nil
}

// ping closes the connection if the VM does not respond to a ping, so that its calls fail
// long before their own timeouts.
func (c *Clients) ping(conn *peerConn, client *rpc.Client) {
	conn.mu.Lock()
	if conn.pinging || conn.client != client {
		conn.mu.Unlock()
		return
	}
	conn.pinging = true
	conn.mu.Unlock()
	call := client.Go(serviceName+".Ping", &Empty{}, &Empty{}, make(chan *rpc.Call, 1))
	pingTimer := c.config.Timer.After(pingTimeout)
	defer pingTimer.Stop()
	select {
	case <-call.Done:
	case <-pingTimer.C():
		c.closeConn(conn, client, "no response to a ping", true)
	}
	conn.mu.Lock()
	conn.pinging = false
	conn.mu.Unlock()
}

// closeConn closes a connection if client is its current RPC client or nil.
func (c *Clients) closeConn(conn *peerConn, client *rpc.Client, reason string, unresponsive bool) {
	conn.mu.Lock()
	current := conn.client
	if current == nil || (client != nil && current != client) {
		conn.mu.Unlock()
		return
	}
	conn.client = nil
	conn.startBackoff(c.config.Timer.Now(), unresponsive)
	conn.mu.Unlock()
	c.config.Log.Info("Closed the connection to a VM.", "peer", conn.name, "reason", reason)
	if err := current.Close(); err != nil && !errors.Is(err, rpc.ErrShutdown) {
		c.config.Log.V(1).Info("Could not close the connection to a VM.", "peer", conn.name, "error", err.Error())
	}
}

// deadlineConn is a connection whose writes fail if the peer reads no data for the
// duration of writeTimeout.
type deadlineConn struct {
	net.Conn
	timer  timer.Service
	budget *budget.Budget
	// frames limits the messages of the peer.
	frames frameLimiter
}

func newDeadlineConn(conn net.Conn, service timer.Service, limits *budget.Budget) *deadlineConn {
	return &deadlineConn{
		Conn:   conn,
		timer:  service,
		budget: limits,
		frames: frameLimiter{limit: limits.Limits().PeerMessageBytes},
	}
}

// Read reads data and checks the lengths of the messages in it.
func (c *deadlineConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if tooLong := c.frames.add(data[:n]); tooLong != nil {
		c.budget.Count("peerMessageTooLong")
		return 0, tooLong
	}
	return n, err
}

// Write writes data and sets a deadline for it.
func (c *deadlineConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(c.timer.Now().Add(writeTimeout)); err != nil {
		return 0, eris.Wrap(err, "set the write deadline of a connection to a VM")
	}
	return c.Conn.Write(data)
}
