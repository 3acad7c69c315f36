package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"amaranthdock.dev/api/amaranthdock/peer/v1/peerv1connect"
)

const (
	// dialTimeout is far above the 40 ms of a round trip between regions.
	dialTimeout = time.Second
	// pingAfter without a frame, a connection is probed; a frozen process or a
	// partition is noticed after pingAfter + pingTimeout.
	pingAfter   = time.Second
	pingTimeout = time.Second
	// idleTimeout closes connections to peers that are only probed now and then:
	// pings on idle connections to 1,400 peers would cost 131 KB/s. In a small
	// fleet every peer is probed within the timeout.
	idleTimeout = 10 * time.Second
)

// DialError marks a failure to connect, which proves that the request that
// needed the connection was not sent.
type DialError struct {
	cause error
}

// Error returns the cause.
func (e *DialError) Error() string { return "dial: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.cause }

// NeverSent tells whether err proves that its request never left the process.
func NeverSent(err error) bool {
	var dial *DialError
	return errors.As(err, &dial)
}

// ClientConfig configures a Clients cache.
type ClientConfig struct {
	// From is the address that connections leave from; the system's choice if it
	// is not valid.
	From netip.Addr
	// Connections counts the bytes; nil counts nothing.
	Connections *ConnectionTraffic
	// Messages counts the messages of Clients; nil counts nothing.
	Messages *MessageTraffic
	// TLS of the peers; nil for plain text.
	TLS *tls.Config
}

// Clients caches one client for each address. It is safe for concurrent use.
type Clients struct {
	http    *http.Client
	options []connect.ClientOption
	scheme  string

	mu      sync.Mutex
	clients map[netip.AddrPort]peerv1connect.PeerServiceClient
}

// NewClients returns an empty cache.
func NewClients(config ClientConfig) *Clients {
	c := &Clients{
		http:    NewHTTPClient(config),
		scheme:  Scheme(config.TLS),
		clients: map[netip.AddrPort]peerv1connect.PeerServiceClient{},
	}
	if config.Messages != nil {
		c.options = append(c.options, connect.WithInterceptors(config.Messages))
	}
	return c
}

// Dial returns the client of an address. It connects when it is first used.
func (c *Clients) Dial(address netip.AddrPort) peerv1connect.PeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[address]
	if !ok {
		client = peerv1connect.NewPeerServiceClient(c.http, c.scheme+"://"+address.String(), c.options...)
		c.clients[address] = client
	}
	return client
}

// NewHTTPClient returns a client that speaks HTTP/2 only, in plain text if there
// is no TLS configuration, and marks failures to connect with DialError.
func NewHTTPClient(config ClientConfig) *http.Client {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	if config.From.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(config.From, 0))
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP2(config.TLS != nil)
	protocols.SetUnencryptedHTTP2(config.TLS == nil)
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, &DialError{cause: err}
				}
				return config.Connections.wrap(conn), nil
			},
			HTTP2: &http.HTTP2Config{
				SendPingTimeout: pingAfter,
				PingTimeout:     pingTimeout,
			},
			IdleConnTimeout: idleTimeout,
			DialTLSContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				return dialTLS(ctx, dialer, config, network, address)
			},
			Protocols:           protocols,
			TLSClientConfig:     config.TLS,
			TLSHandshakeTimeout: dialTimeout,
		},
	}
}

// dialTLS connects and shakes hands, so that a failed handshake, too, is known to
// come before any request.
func dialTLS(ctx context.Context, dialer *net.Dialer, config ClientConfig, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, &DialError{cause: err}
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, &DialError{cause: errors.Join(err, raw.Close())}
	}
	session := config.TLS.Clone()
	session.NextProtos = []string{"h2"}
	if session.ServerName == "" {
		session.ServerName = host
	}
	conn := tls.Client(config.Connections.wrap(raw), session)
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, &DialError{cause: errors.Join(err, raw.Close())}
	}
	return conn, nil
}

// Scheme returns the URL scheme that fits a TLS configuration.
func Scheme(config *tls.Config) string {
	if config == nil {
		return "http"
	}
	return "https"
}
