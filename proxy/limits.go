package main

import (
	"crypto/tls"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"amaranthdock.dev/decision/memory"
	"amaranthdock.dev/engine/budget"
	"amaranthdock.dev/proxy/peer"
)

// Limits of the HTTP and Connect libraries.
const (
	// maxHeaderBytes limits the headers of a request. The largest ones are a key and a few fields
	// of the protocol; the default is 1 MiB.
	maxHeaderBytes = 32 << 10
	// maxPeerMessageBytes limits a message of another VM: a statement of 1 MiB, or the records
	// that VMs exchange. The default is no limit.
	maxPeerMessageBytes = 16 << 20
	// readTimeout limits the time from the begin of a caller's request to its last byte; it allows
	// 1 MiB at 0.3 Mbit/s. The default is no limit. The handler ends it after the body.
	readTimeout = 30 * time.Second
	// idleTimeout closes connections of callers without a request. The default is no limit.
	idleTimeout = 5 * time.Minute
	// writeByteTimeout closes connections of callers that read nothing of a response. The default
	// is no limit.
	writeByteTimeout = 10 * time.Second
	// pingInterval and pingTimeout close connections of callers that are gone.
	pingInterval = 30 * time.Second
	pingTimeout  = 15 * time.Second
	// maxStreams limits the requests that a caller sends at once over a connection. It is the
	// default of the library: with 100, callers that share a connection for 200 requests at once
	// opened further connections.
	maxStreams = 250
	// maxConnectionBuffer and maxStreamBuffer limit what a connection and a request may have sent
	// that was not read yet; the default is 1 MiB for both. They allow 12 MB/s at a round trip of
	// 20 ms.
	maxConnectionBuffer = 256 << 10
	maxStreamBuffer     = 64 << 10
	// endpointStreamBuffer limits what an endpoint may have sent over a connection that was not read
	// yet, because the memory for it is not free. It allows 12 MB/s at a round trip of 20 ms.
	endpointStreamBuffer = 256 << 10
	// peerStreamBuffer is the same for another VM. Many responses of VMs may wait for memory at once,
	// while an endpoint runs as many statements as it has slots. It allows 3.2 MB/s at a round trip of
	// 40 ms, which is little less than 30 Mbit/s.
	peerStreamBuffer = 128 << 10
	// memoryLimitPercent is the part of the process's memory that the Go runtime may use; the rest
	// is left for the kernel and the C library.
	memoryLimitPercent = 60
)

// newBudget returns the budget for callers, and limits the memory of the Go runtime. It returns nil
// if the settings name no limits.
func (b *builder) newBudget() *budget.Budget {
	s := b.settings()
	if s.MemoryMiB == 0 && s.MaxDescriptors == 0 {
		return nil
	}
	if s.MemoryMiB > 0 {
		debug.SetMemoryLimit(s.MemoryMiB << 20 / 100 * memoryLimitPercent)
	}
	return budget.New(budget.Config{
		Limits:   budget.Limits{}.WithDefaults(s.MemoryMiB, s.MaxDescriptors),
		Timer:    b.timer,
		Log:      b.logger.WithName("limits"),
		Registry: b.registry,
	})
}

// limitCallers sets the limits of a server for callers.
func (s *server) limitCallers(b *budget.Budget) {
	s.budget = b
	s.http.ReadTimeout = readTimeout
	s.http.IdleTimeout = idleTimeout
	s.http.HTTP2 = peer.ServerHTTP2Config()
	s.http.HTTP2.MaxConcurrentStreams = maxStreams
	s.http.HTTP2.MaxReceiveBufferPerConnection = maxConnectionBuffer
	s.http.HTTP2.MaxReceiveBufferPerStream = maxStreamBuffer
	s.http.HTTP2.WriteByteTimeout = writeByteTimeout
	s.http.HTTP2.SendPingTimeout = pingInterval
	s.http.HTTP2.PingTimeout = pingTimeout
	s.http.ConnState = recordPhase
}

// recordPhase records what a connection is doing, by which one is chosen if there are too many.
func recordPhase(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*tls.Conn); ok {
		conn = c.NetConn()
	}
	c, ok := conn.(*limitedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.account.SetPhase(memory.Running)
	case http.StateIdle:
		c.account.SetPhase(memory.Idle)
	}
}

// limitedListener closes connections beyond the limit of the budget.
type limitedListener struct {
	net.Listener
	budget *budget.Budget
}

// Accept implements net.Listener.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			// The HTTP server waits before it tries again.
			return nil, err
		}
		c := &limitedConn{Conn: conn}
		account, ok := l.budget.Connect(func() { _ = c.Close() })
		if !ok {
			_ = conn.Close()
			continue
		}
		c.account = account
		return c, nil
	}
}

// limitedConn is a connection that returns its place in the budget when it is closed.
type limitedConn struct {
	net.Conn
	account *budget.Account
	once    sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(c.account.Close)
	return c.Conn.Close()
}
