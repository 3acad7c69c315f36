// Package socket opens TCP connections that fail within a few seconds when the peer
// stops responding.
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
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a peer that disappeared
	// without a reset in about 3 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout is the TCP user timeout: the connection ends if sent data is not
	// acknowledged within this time.
	userTimeout = 2500 * time.Millisecond
)

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}
}

// Dial opens a connection to an address.
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

// Listen listens for connections at an address.
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

// control sets the TCP user timeout of a socket. Accepted connections inherit it from
// their listener.
func control(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return eris.Wrap(err, "access the socket")
	}
	return eris.Wrap(optionErr, "set the TCP user timeout")
}

// NoPendingInput reports whether the peer has neither sent data that is still unread nor
// closed the connection. It returns true for connections that cannot be checked
// because they have no file descriptor.
func NoPendingInput(connection net.Conn) bool {
	socket, ok := connection.(syscall.Conn)
	if !ok {
		return true
	}
	rawConnection, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	noInput := false
	var peek [1]byte
	err = rawConnection.Read(func(descriptor uintptr) bool {
		_, _, receiveErr := unix.Recvfrom(int(descriptor), peek[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noInput = receiveErr == unix.EAGAIN
		return true
	})
	return err == nil && noInput
}
