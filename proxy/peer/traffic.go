package peer

import (
	"context"
	"net"
	"path"

	"connectrpc.com/connect"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"amaranthdock.dev/api/amaranthdock/peer/v1/peerv1connect"
)

// The purposes by which messages between proxies are counted. PurposeForward is for
// steps of callers; all others are for control messages.
const (
	PurposeFailover = "failover"
	PurposeForward  = "forward"
	PurposeGossip   = "gossip"
	PurposeLending  = "lending"
)

// purposes maps procedures of PeerService to their purpose. All others have the
// purpose gossip.
var purposes = map[string]string{
	path.Base(peerv1connect.PeerServiceBorrowProcedure):           PurposeLending,
	path.Base(peerv1connect.PeerServiceConfirmSuspicionProcedure): PurposeFailover,
	path.Base(peerv1connect.PeerServiceExplainStepProcedure):      PurposeForward,
	path.Base(peerv1connect.PeerServiceForwardProcedure):          PurposeForward,
	path.Base(peerv1connect.PeerServiceGetDatabaseViewProcedure):  PurposeFailover,
}

// ConnectionTraffic counts the bytes of connections, including TLS and HTTP headers.
type ConnectionTraffic struct {
	read, written metrics.Counter
}

// NewConnectionTraffic returns a ConnectionTraffic that uses the counters
// <name>.bytesRead and <name>.bytesWritten of a registry.
func NewConnectionTraffic(name string, registry metrics.Registry) *ConnectionTraffic {
	return &ConnectionTraffic{
		read:    metrics.GetOrRegisterCounter(name+".bytesRead", registry),
		written: metrics.GetOrRegisterCounter(name+".bytesWritten", registry),
	}
}

// WrapListener returns a listener that counts the bytes of the connections it accepts.
func (t *ConnectionTraffic) WrapListener(listener net.Listener) net.Listener {
	return &countingListener{
		Listener: listener,
		traffic:  t,
	}
}

// wrapConn returns a connection that counts its bytes. A nil ConnectionTraffic returns
// the connection unchanged.
func (t *ConnectionTraffic) wrapConn(c net.Conn) net.Conn {
	if t == nil {
		return c
	}
	return &countingConn{
		Conn:    c,
		traffic: t,
	}
}

type countingListener struct {
	net.Listener
	traffic *ConnectionTraffic
}

// Accept returns the next connection, with its bytes counted.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.wrapConn(c), nil
}

type countingConn struct {
	net.Conn
	traffic *ConnectionTraffic
}

// Read counts the bytes read.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.read.Inc(int64(n))
	return n, err
}

// Write counts the bytes written.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.written.Inc(int64(n))
	return n, err
}

// MessageTraffic counts the messages between proxies and their encoded size by
// purpose. The size is measured before compression, headers and TLS. It is a Connect
// interceptor for the clients and the handler of PeerService.
type MessageTraffic struct {
	byPurpose map[string]*messageCounters
}

type messageCounters struct {
	calls, sent, received, bytesSent, bytesReceived metrics.Counter
}

var _ connect.Interceptor = (*MessageTraffic)(nil)

// NewMessageTraffic returns a MessageTraffic that uses the counters peer.<purpose>.*
// of a registry.
func NewMessageTraffic(registry metrics.Registry) *MessageTraffic {
	t := &MessageTraffic{
		byPurpose: map[string]*messageCounters{},
	}
	for _, purpose := range []string{PurposeFailover, PurposeForward, PurposeGossip, PurposeLending} {
		counter := func(name string) metrics.Counter {
			return metrics.GetOrRegisterCounter("peer."+purpose+"."+name, registry)
		}
		t.byPurpose[purpose] = &messageCounters{
			calls:         counter("calls"),
			sent:          counter("messagesSent"),
			received:      counter("messagesReceived"),
			bytesSent:     counter("bytesSent"),
			bytesReceived: counter("bytesReceived"),
		}
	}
	return t
}

// WrapUnary counts the messages of a unary call.
func (t *MessageTraffic) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		counters := t.countersFor(request.Spec())
		if request.Spec().IsClient {
			counters.calls.Inc(1)
			counters.send(request.Any())
		} else {
			counters.receive(request.Any())
		}
		response, err := next(ctx, request)
		if err != nil {
			return response, err
		}
		if request.Spec().IsClient {
			counters.receive(response.Any())
		} else {
			counters.send(response.Any())
		}
		return response, nil
	}
}

// WrapStreamingClient counts the messages of a stream on the client side.
func (t *MessageTraffic) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		counters := t.countersFor(spec)
		counters.calls.Inc(1)
		return &countingClientStream{
			StreamingClientConn: next(ctx, spec),
			counters:            counters,
		}
	}
}

// WrapStreamingHandler counts the messages of a stream on the handler side.
func (t *MessageTraffic) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, stream connect.StreamingHandlerConn) error {
		return next(ctx, &countingHandlerStream{
			StreamingHandlerConn: stream,
			counters:             t.countersFor(stream.Spec()),
		})
	}
}

func (t *MessageTraffic) countersFor(spec connect.Spec) *messageCounters {
	purpose, ok := purposes[path.Base(spec.Procedure)]
	if !ok {
		purpose = PurposeGossip
	}
	return t.byPurpose[purpose]
}

func (c *messageCounters) receive(message any) {
	c.received.Inc(1)
	c.bytesReceived.Inc(sizeOf(message))
}

func (c *messageCounters) send(message any) {
	c.sent.Inc(1)
	c.bytesSent.Inc(sizeOf(message))
}

type countingClientStream struct {
	connect.StreamingClientConn
	counters *messageCounters
}

// Receive counts the messages received.
func (s *countingClientStream) Receive(message any) error {
	if err := s.StreamingClientConn.Receive(message); err != nil {
		return err
	}
	s.counters.receive(message)
	return nil
}

// Send counts the messages sent.
func (s *countingClientStream) Send(message any) error {
	s.counters.send(message)
	return s.StreamingClientConn.Send(message)
}

type countingHandlerStream struct {
	connect.StreamingHandlerConn
	counters *messageCounters
}

// Receive counts the messages received.
func (s *countingHandlerStream) Receive(message any) error {
	if err := s.StreamingHandlerConn.Receive(message); err != nil {
		return err
	}
	s.counters.receive(message)
	return nil
}

// Send counts the messages sent.
func (s *countingHandlerStream) Send(message any) error {
	s.counters.send(message)
	return s.StreamingHandlerConn.Send(message)
}

func sizeOf(message any) int64 {
	if m, ok := message.(proto.Message); ok {
		return int64(proto.Size(m))
	}
	return 0
}
