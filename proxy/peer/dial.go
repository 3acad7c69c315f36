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
	// dialTimeout is the timeout for connecting and for the TLS handshake. It is far
	// above the round trip time of 40 ms between regions.
	dialTimeout = time.Second
	// sendPingTimeout is how long a connection may receive no frame before it is
	// probed by an HTTP/2 ping. A frozen process or a network partition is detected
	// after sendPingTimeout + pingTimeout.
	sendPingTimeout = time.Second
	pingTimeout     = time.Second
	// idleTimeout is the time after which idle connections are closed. It affects
	// peers that only receive occasional membership probes: pings on idle connections
	// to 1,400 peers would cost 131 KB/s. In a small fleet every peer is probed
	// within the timeout, so its connection stays open.
	idleTimeout = 10 * time.Second
)

// DialError is a failure to connect. It proves that the request for which the
// connection was opened was not sent.
type DialError struct {
	cause error
}

// Error returns the message of the cause, prefixed with "dial: ".
func (e *DialError) Error() string { return "dial: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.cause }

// NeverSent reports whether err proves that the request was not sent.
func NeverSent(err error) bool {
	var dial *DialError
	return errors.As(err, &dial)
}

// ClientConfig configures Clients or an HTTP client.
type ClientConfig struct {
	// LocalAddress is the local address of the connections; if it is not valid, the
	// operating system chooses one.
	LocalAddress netip.Addr
	// ConnectionTraffic counts the bytes of the connections; nil counts nothing.
	ConnectionTraffic *ConnectionTraffic
	// MessageTraffic counts the messages of Clients; nil counts nothing. NewHTTPClient
	// ignores it.
	MessageTraffic *MessageTraffic
	// MaxMessageBytes limits a response message of Clients, also when decompressed; 0 means no limit.
	// NewHTTPClient ignores it.
	MaxMessageBytes int
	// MaxStreamBuffer limits what was received in bytes of a response and was not read yet; 0 means
	// the default of the library, 4 MiB.
	MaxStreamBuffer int
	// TLS is the TLS configuration; nil means connections without TLS.
	TLS *tls.Config
}

// Clients is a cache of peer clients, one for each address. They share one HTTP
// client. It is safe for concurrent use.
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
	if config.MaxMessageBytes > 0 {
		c.options = append(c.options, connect.WithReadMaxBytes(config.MaxMessageBytes))
	}
	if config.MessageTraffic != nil {
		c.options = append(c.options, connect.WithInterceptors(config.MessageTraffic))
	}
	return c
}

// Dial returns the client for an address. The client connects when it is first used.
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

// NewHTTPClient returns an HTTP/2 client, which uses no TLS if there is no TLS
// configuration. Its failures to connect are reported as DialError.
func NewHTTPClient(config ClientConfig) *http.Client {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	if config.LocalAddress.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(config.LocalAddress, 0))
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP2(config.TLS != nil)
	protocols.SetUnencryptedHTTP2(config.TLS == nil)
	return &http.Client{
		Transport: chargedTransport{&http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, &DialError{cause: err}
				}
				return config.ConnectionTraffic.wrapConn(conn), nil
			},
			HTTP2: &http.HTTP2Config{
				SendPingTimeout:           sendPingTimeout,
				PingTimeout:               pingTimeout,
				MaxReceiveBufferPerStream: config.MaxStreamBuffer,
			},
			IdleConnTimeout: idleTimeout,
			DialTLSContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				return dialTLS(ctx, dialer, config, network, address)
			},
			Protocols:           protocols,
			TLSClientConfig:     config.TLS,
			TLSHandshakeTimeout: dialTimeout,
		}},
	}
}

// dialTLS connects and runs the TLS handshake, so that a failed handshake is reported
// as a DialError, too.
func dialTLS(ctx context.Context, dialer *net.Dialer, config ClientConfig, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	tcpConn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, &DialError{cause: err}
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, &DialError{cause: errors.Join(err, tcpConn.Close())}
	}
	tlsConfig := config.TLS.Clone()
	tlsConfig.NextProtos = []string{"h2"}
	if tlsConfig.ServerName == "" {
		tlsConfig.ServerName = host
	}
	conn := tls.Client(config.ConnectionTraffic.wrapConn(tcpConn), tlsConfig)
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, &DialError{cause: errors.Join(err, tcpConn.Close())}
	}
	return conn, nil
}

// Scheme returns the URL scheme for a TLS configuration, which may be nil.
func Scheme(config *tls.Config) string {
	if config == nil {
		return "http"
	}
	return "https"
}
