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

	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/timer"
)

const (
	// dialTimeout is several trips between regions.
	dialTimeout = 300 * time.Millisecond
	// quietBefore is how long a call may be unanswered before the link is tested,
	// which is longer than most statements take.
	quietBefore = 200 * time.Millisecond
	// testTimeout for the answer to a test. A VM with a tenth of a second without
	// processor time still answers in time.
	testTimeout = 350 * time.Millisecond
	// writeTimeout for a message to a VM that takes none.
	writeTimeout = time.Second
	// downPause before the next try at a VM that could not be reached; it doubles with
	// each further failure.
	downPause = 400 * time.Millisecond
	// maxDownPause bounds the pause, and so the time until a VM that is back is used.
	maxDownPause = 2 * time.Second
)

var (
	// ErrUnreachable means that the call was not sent.
	ErrUnreachable = errors.New("the VM is not reachable")
	// ErrConnectionLost means that the call was sent and the link ended before its answer.
	ErrConnectionLost = errors.New("the link to the VM was lost before the answer")
)

// ClientConfig configures Links.
type ClientConfig struct {
	// Dial opens a connection that notices a silent far end by itself.
	Dial  func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	Timer timer.Service
	Log   logr.Logger
}

// Clients are the connections from this VM to others. It is safe for concurrent use.
type Clients struct {
	config ClientConfig

	mu     sync.Mutex
	byName map[string]*link
}

// link to one VM.
type link struct {
	name    string
	address netip.AddrPort

	// mu is held while the link is dialed.
	mu        sync.Mutex
	client    *rpc.Client
	downUntil time.Time
	failures  int
	testing   bool
	// silent is set while the VM does not answer at all.
	silent atomic.Bool
}

// failed puts the next try off. The caller holds the lock.
func (k *link) failed(now time.Time, silent bool) {
	k.silent.Store(silent)
	k.downUntil = now.Add(min(downPause<<min(k.failures, 8), maxDownPause))
	k.failures++
}

// NewClients returns Links without connections.
func NewClients(config ClientConfig) *Clients {
	return &Clients{
		config: config,
		byName: map[string]*link{},
	}
}

// Unreachable tells whether the VM could not be reached a moment ago.
func (l *Clients) Unreachable(name string) bool {
	l.mu.Lock()
	k, ok := l.byName[name]
	l.mu.Unlock()
	if !ok || !k.mu.TryLock() {
		return false
	}
	defer k.mu.Unlock()
	return k.client == nil && l.config.Timer.Now().Before(k.downUntil)
}

// Isolated tells whether this VM seems to be cut off: most of the VMs that it has
// links to do not answer at all. One whose process has ended refuses connections, and
// does not count.
func (l *Clients) Isolated() bool {
	l.mu.Lock()
	links := make([]*link, 0, len(l.byName))
	for _, k := range l.byName {
		links = append(links, k)
	}
	l.mu.Unlock()
	silent := 0
	for _, k := range links {
		if k.silent.Load() {
			silent++
		}
	}
	return 2*silent > len(links)
}

// Call calls a method of a VM and waits for the answer at most for the timeout. The
// error is ErrUnreachable, ErrLost or context.DeadlineExceeded.
func (l *Clients) Call(ctx context.Context, vm catalog.VM, method string, arguments, answer any, timeout time.Duration) error {
	k := l.link(vm)
	client, err := l.connect(ctx, k)
	if err != nil {
		return err
	}
	call := client.Go(serviceName+"."+method, arguments, answer, make(chan *rpc.Call, 1))
	deadline := l.config.Timer.After(timeout)
	defer deadline.Stop()
	quiet := l.config.Timer.After(quietBefore)
	defer quiet.Stop()
	for {
		select {
		case <-call.Done:
			return l.result(k, client, call)
		case <-quiet.C():
			go l.test(k, client)
			quiet.Stop()
			quiet = l.config.Timer.After(quietBefore + testTimeout)
		case <-deadline.C():
			return context.DeadlineExceeded
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *Clients) result(k *link, client *rpc.Client, call *rpc.Call) error {
	if call.Error == nil {
		return nil
	}
	var remote rpc.ServerError
	if errors.As(call.Error, &remote) {
		return eris.Wrap(call.Error, "answer of the VM "+k.name)
	}
	l.drop(k, client, call.Error.Error(), false)
	return ErrConnectionLost
}

// link returns the link to a VM; a VM at a new address gets a new one.
func (l *Clients) link(vm catalog.VM) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, ok := l.byName[vm.Name]
	if ok && k.address == vm.Address {
		return k
	}
	if ok {
		go l.drop(k, nil, "the VM has a new address", false)
	}
	k = &link{
		name:    vm.Name,
		address: vm.Address,
	}
	l.byName[vm.Name] = k
	return k
}

func (l *Clients) connect(ctx context.Context, k *link) (*rpc.Client, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.client != nil {
		return k.client, nil
	}
	if l.config.Timer.Now().Before(k.downUntil) {
		return nil, ErrUnreachable
	}
	child, cancel := timer.WithTimeout(ctx, l.config.Timer, dialTimeout)
	defer cancel()
	connection, err := l.config.Dial(child, k.address)
	if err != nil {
		k.failed(l.config.Timer.Now(), !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, syscall.ECONNRESET))
		l.config.Log.Info("A VM is not reachable.", "peer", k.name, "error", err.Error())
		return nil, ErrUnreachable
	}
	if k.failures > 0 {
		l.config.Log.Info("A VM is reachable again.", "peer", k.name)
	}
	k.failures = 0
	k.silent.Store(false)
	k.client = rpc.NewClient(&bounded{
		Conn:  connection,
		timer: l.config.Timer,
	})
	return k.client, nil
}

// test ends a link whose VM does not answer at all, so that its calls fail long
// before their own time is over.
func (l *Clients) test(k *link, client *rpc.Client) {
	k.mu.Lock()
	if k.testing || k.client != client {
		k.mu.Unlock()
		return
	}
	k.testing = true
	k.mu.Unlock()
	call := client.Go(serviceName+".Ping", &Empty{}, &Empty{}, make(chan *rpc.Call, 1))
	timeout := l.config.Timer.After(testTimeout)
	defer timeout.Stop()
	select {
	case <-call.Done:
	case <-timeout.C():
		l.drop(k, client, "no answer to a ping", true)
	}
	k.mu.Lock()
	k.testing = false
	k.mu.Unlock()
}

// drop closes a link, or any client of it if client is nil.
func (l *Clients) drop(k *link, client *rpc.Client, reason string, silent bool) {
	k.mu.Lock()
	current := k.client
	if current == nil || (client != nil && current != client) {
		k.mu.Unlock()
		return
	}
	k.client = nil
	k.failed(l.config.Timer.Now(), silent)
	k.mu.Unlock()
	l.config.Log.Info("Dropped the link to a VM.", "peer", k.name, "reason", reason)
	if err := current.Close(); err != nil && !errors.Is(err, rpc.ErrShutdown) {
		l.config.Log.V(1).Info("Closing the link failed.", "peer", k.name, "error", err.Error())
	}
}

// bounded ends writes to a far end that takes nothing.
type bounded struct {
	net.Conn
	timer timer.Service
}

// Write writes with a deadline.
func (b *bounded) Write(data []byte) (int, error) {
	if err := b.SetWriteDeadline(b.timer.Now().Add(writeTimeout)); err != nil {
		return 0, eris.Wrap(err, "set the deadline of a write to a VM")
	}
	return b.Conn.Write(data)
}
