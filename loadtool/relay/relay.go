// Package relay forwards TCP connections and can block, delay and slow them by source
// address. It simulates the network between two hosts.
package relay

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/timer"
)

const (
	// chunkSize is the maximum size of a forwarded chunk in bytes.
	chunkSize = 32 * 1024
	// blockPollInterval is the interval at which a blocked chunk checks its rule again.
	blockPollInterval = 5 * time.Millisecond
	// maxChunksInFlight limits the delayed chunks in each direction of a connection.
	maxChunksInFlight = 64
)

// Rule says how connections from a source address are treated. The zero Rule forwards data
// without a delay.
type Rule struct {
	// BlockForward holds back all data to the target while it is set.
	BlockForward bool
	// BlockBackward holds back all data to the source while it is set.
	BlockBackward bool
	// Delay is the latency added in each direction.
	Delay time.Duration
	// Link, if not nil, limits the bandwidth of all connections that share it.
	Link *Link
}

// RuleFunc returns the current rule for a source address.
type RuleFunc func(source netip.Addr) Rule

// Tap returns a function that receives the bytes of one direction of a connection in order.
// If forward is true, it is the direction to the target. The function must not keep the
// slice that it is given.
type Tap func(source netip.Addr, forward bool) func(data []byte)

// Config configures a Relay.
type Config struct {
	Listen netip.AddrPort
	// Tap, if not nil, receives all forwarded data.
	Tap     Tap
	Target  netip.AddrPort
	RuleFor RuleFunc
	Timer   timer.Service
}

// Relay accepts connections and forwards them to the target.
type Relay struct {
	config   Config
	listener net.Listener

	mu          sync.Mutex
	connections map[net.Conn]struct{}
	closed      bool
}

// New starts to listen and to forward connections.
func New(config Config) (*Relay, error) {
	listener, err := net.Listen("tcp", config.Listen.String())
	if err != nil {
		return nil, eris.Wrapf(err, "relay: listen on %s", config.Listen)
	}
	r := &Relay{
		config:      config,
		listener:    listener,
		connections: map[net.Conn]struct{}{},
	}
	go r.accept()
	return r, nil
}

// Close closes the listener and all connections.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.listener.Close()
	for c := range r.connections {
		c.Close()
	}
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(c)
	}
}

// forward opens a connection to the target and copies data in both directions. The
// connection uses the source's IP address as its local address.
func (r *Relay) forward(source net.Conn) {
	defer r.closeAndUntrack(source)
	if !r.track(source) {
		return
	}
	remote, err := netip.ParseAddrPort(source.RemoteAddr().String())
	if err != nil {
		return
	}
	address := remote.Addr().Unmap()
	dialer := net.Dialer{
		LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(address, 0)),
	}
	target, err := dialer.Dial("tcp", r.config.Target.String())
	if err != nil {
		return
	}
	defer r.closeAndUntrack(target)
	if !r.track(target) {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var directions sync.WaitGroup
	directions.Add(2)
	go func() {
		defer directions.Done()
		defer target.Close()
		r.copyDirection(ctx, source, target, r.tap(address, true), func() (Rule, bool) {
			rule := r.config.RuleFor(address)
			return rule, rule.BlockForward
		})
	}()
	go func() {
		defer directions.Done()
		defer source.Close()
		r.copyDirection(ctx, target, source, r.tap(address, false), func() (Rule, bool) {
			rule := r.config.RuleFor(address)
			return rule, rule.BlockBackward
		})
	}()
	directions.Wait()
}

// tap returns the function that receives the data of one direction of a connection.
func (r *Relay) tap(source netip.Addr, forward bool) func(data []byte) {
	if r.config.Tap == nil {
		return func([]byte) {}
	}
	return r.config.Tap(source, forward)
}

func (r *Relay) closeAndUntrack(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, c)
	c.Close()
}

func (r *Relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.connections[c] = struct{}{}
	return true
}

type chunk struct {
	data   []byte
	sendAt time.Time
}

// copyDirection copies the data of one direction according to the current rule.
func (r *Relay) copyDirection(ctx context.Context, from, to net.Conn, tap func(data []byte), rule func() (Rule, bool)) {
	chunks := make(chan chunk, maxChunksInFlight)
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, chunkSize)
			n, err := from.Read(buffer)
			if n > 0 {
				current, _ := rule()
				received := chunk{
					data:   buffer[:n],
					sendAt: r.config.Timer.Now().Add(current.Delay),
				}
				select {
				case chunks <- received:
				case <-ctx.Done():
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		if !r.waitToSend(ctx, c, rule) {
			return
		}
		tap(c.data)
		if _, err := to.Write(c.data); err != nil {
			return
		}
	}
}

// waitToSend waits until a chunk may be sent. It returns false if the context has ended.
func (r *Relay) waitToSend(ctx context.Context, c chunk, rule func() (Rule, bool)) bool {
	for {
		current, blocked := rule()
		if !blocked {
			if current.Link != nil {
				c.sendAt = latest(c.sendAt, current.Link.reserve(r.config.Timer.Now(), len(c.data)))
			}
			break
		}
		if err := timer.Sleep(ctx, r.config.Timer, blockPollInterval); err != nil {
			return false
		}
	}
	if remaining := c.sendAt.Sub(r.config.Timer.Now()); remaining > 0 {
		return timer.Sleep(ctx, r.config.Timer, remaining) == nil
	}
	return true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
