// Package socket opens TCP connections that notice a silent far end by themselves.
package socket

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a connection that went
	// silent without a reset in about 3 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// unacknowledged data ends the connection after this time.
	unacknowledged = 2500 * time.Millisecond
)

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}
}

// Dial opens a connection.
func Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: keepAlive(),
		Control:         control,
	}
	connection, err := dialer.DialContext(ctx, "tcp4", address.String())
	if err != nil {
		return nil, eris.Wrapf(err, "connect to %s", address)
	}
	return connection, nil
}

// Listen accepts connections at an address.
func Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: keepAlive(),
		Control:         control,
	}
	listener, err := config.Listen(ctx, "tcp4", address.String())
	if err != nil {
		return nil, eris.Wrapf(err, "listen at %s", address)
	}
	return listener, nil
}

// control sets the time limit of unacknowledged data, which accepted connections
// inherit from their listener.
func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	})
	if err != nil {
		return eris.Wrap(err, "reach the socket")
	}
	return eris.Wrap(failed, "limit the time of unacknowledged data")
}

// NoPendingInput tells whether nothing has arrived on a connection, not even its end.
func NoPendingInput(connection net.Conn) bool {
	raw, ok := connection.(syscall.Conn)
	if !ok {
		return true
	}
	descriptor, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	var peek [1]byte
	err = descriptor.Read(func(fd uintptr) bool {
		_, _, failed := unix.Recvfrom(int(fd), peek[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = failed == unix.EAGAIN
		return true
	})
	return err == nil && silent
}
