// Package relay forwards TCP connections and can cut, delay and slow them by
// source address. It stands in for the network between two hosts.
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
	// chunkSize in bytes is the unit of forwarding.
	chunkSize = 32 * 1024
	// cutPoll is the interval at which a held chunk checks for the end of a cut.
	cutPoll = 5 * time.Millisecond
	// pipeDepth is the number of chunks in flight in one direction.
	pipeDepth = 64
)

// Rule says how the connections of one source are treated. The zero Rule
// forwards at once.
type Rule struct {
	// CutForward holds all data towards the target until the cut ends.
	CutForward bool
	// CutBackward holds all data towards the source until the cut ends.
	CutBackward bool
	// Delay is added in each direction.
	Delay time.Duration
	// Link, if not nil, bounds the rate of all connections that share it.
	Link *Link
}

// Rules returns the rule in force for a source.
type Rules func(source netip.Addr) Rule

// Tap returns what receives the bytes of one direction of one connection, in
// order; forward is the direction towards the target. The receiver must not keep
// the slice.
type Tap func(source netip.Addr, forward bool) func(data []byte)

// Config configures a Relay.
type Config struct {
	Listen netip.AddrPort
	// Tap, if not nil, sees every byte that is forwarded.
	Tap     Tap
	Target  netip.AddrPort
	RuleFor Rules
	Timer   timer.Service
}

// Relay forwards connections from its listener to the target.
type Relay struct {
	config   Config
	listener net.Listener

	mu          sync.Mutex
	connections map[net.Conn]struct{}
	closed      bool
}

// New starts to listen and to forward.
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

// Close ends the listener and all connections.
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

// forward joins one accepted connection with one to the target. The connection
// to the target leaves from the address of the source.
func (r *Relay) forward(source net.Conn) {
	defer r.forget(source)
	if !r.remember(source) {
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
	defer r.forget(target)
	if !r.remember(target) {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var directions sync.WaitGroup
	directions.Add(2)
	go func() {
		defer directions.Done()
		defer target.Close()
		r.pump(ctx, source, target, r.tap(address, true), func() (Rule, bool) {
			rule := r.config.RuleFor(address)
			return rule, rule.CutForward
		})
	}()
	go func() {
		defer directions.Done()
		defer source.Close()
		r.pump(ctx, target, source, r.tap(address, false), func() (Rule, bool) {
			rule := r.config.RuleFor(address)
			return rule, rule.CutBackward
		})
	}()
	directions.Wait()
}

// tap returns the receiver of one direction of a connection.
func (r *Relay) tap(source netip.Addr, forward bool) func(data []byte) {
	if r.config.Tap == nil {
		return func([]byte) {}
	}
	return r.config.Tap(source, forward)
}

func (r *Relay) forget(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, c)
	c.Close()
}

func (r *Relay) remember(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.connections[c] = struct{}{}
	return true
}

type chunk struct {
	data []byte
	due  time.Time
}

// pump copies one direction under the rule in force.
func (r *Relay) pump(ctx context.Context, from, to net.Conn, tap func(data []byte), rule func() (Rule, bool)) {
	chunks := make(chan chunk, pipeDepth)
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, chunkSize)
			n, err := from.Read(buffer)
			if n > 0 {
				current, _ := rule()
				received := chunk{
					data: buffer[:n],
					due:  r.config.Timer.Now().Add(current.Delay),
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
		if !r.release(ctx, c, rule) {
			return
		}
		tap(c.data)
		if _, err := to.Write(c.data); err != nil {
			return
		}
	}
}

// release waits until a chunk may pass; it returns false if the context ended.
func (r *Relay) release(ctx context.Context, c chunk, rule func() (Rule, bool)) bool {
	for {
		current, cut := rule()
		if !cut {
			if current.Link != nil {
				c.due = later(c.due, current.Link.reserve(r.config.Timer.Now(), len(c.data)))
			}
			break
		}
		if err := timer.Sleep(ctx, r.config.Timer, cutPoll); err != nil {
			return false
		}
	}
	if wait := c.due.Sub(r.config.Timer.Now()); wait > 0 {
		return timer.Sleep(ctx, r.config.Timer, wait) == nil
	}
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
