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

// Purposes of the messages between proxies. All but forward are control.
const (
	PurposeFailover = "failover"
	PurposeForward  = "forward"
	PurposeGossip   = "gossip"
	PurposeLending  = "lending"
)

// purposes of the procedures of PeerService.
var purposes = map[string]string{
	path.Base(peerv1connect.PeerServiceBorrowProcedure):           PurposeLending,
	path.Base(peerv1connect.PeerServiceConfirmSuspicionProcedure): PurposeFailover,
	path.Base(peerv1connect.PeerServiceForwardProcedure):          PurposeForward,
	path.Base(peerv1connect.PeerServiceGetDatabaseViewProcedure):  PurposeFailover,
}

// ConnectionTraffic counts the bytes of connections, with TLS and headers.
type ConnectionTraffic struct {
	read, written metrics.Counter
}

// NewConnectionTraffic returns the counters <name>.bytesRead and
// <name>.bytesWritten of a registry.
func NewConnectionTraffic(name string, registry metrics.Registry) *ConnectionTraffic {
	return &ConnectionTraffic{
		read:    metrics.GetOrRegisterCounter(name+".bytesRead", registry),
		written: metrics.GetOrRegisterCounter(name+".bytesWritten", registry),
	}
}

// Listen counts the connections that a listener accepts.
func (t *ConnectionTraffic) Listen(listener net.Listener) net.Listener {
	return &countingListener{
		Listener: listener,
		traffic:  t,
	}
}

// wrap counts a connection; a nil ConnectionTraffic counts nothing.
func (t *ConnectionTraffic) wrap(c net.Conn) net.Conn {
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

// Accept returns the next connection, counted.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.wrap(c), nil
}

type countingConn struct {
	net.Conn
	traffic *ConnectionTraffic
}

// Read reads and counts.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.read.Inc(int64(n))
	return n, err
}

// Write writes and counts.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.written.Inc(int64(n))
	return n, err
}

// MessageTraffic counts the messages between proxies by purpose, and their size
// in bytes before compression, headers and TLS. It is an interceptor of the
// clients and the handler of PeerService.
type MessageTraffic struct {
	byPurpose map[string]*messageCounters
}

type messageCounters struct {
	calls, sent, received, bytesSent, bytesReceived metrics.Counter
}

var _ connect.Interceptor = (*MessageTraffic)(nil)

// NewMessageTraffic returns the counters peer.<purpose>.* of a registry.
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
		counters := t.of(request.Spec())
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

// WrapStreamingClient counts the messages of a stream at the client.
func (t *MessageTraffic) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		counters := t.of(spec)
		counters.calls.Inc(1)
		return &countingClientStream{
			StreamingClientConn: next(ctx, spec),
			counters:            counters,
		}
	}
}

// WrapStreamingHandler counts the messages of a stream at the handler.
func (t *MessageTraffic) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, stream connect.StreamingHandlerConn) error {
		return next(ctx, &countingHandlerStream{
			StreamingHandlerConn: stream,
			counters:             t.of(stream.Spec()),
		})
	}
}

func (t *MessageTraffic) of(spec connect.Spec) *messageCounters {
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

// Receive receives and counts.
func (s *countingClientStream) Receive(message any) error {
	if err := s.StreamingClientConn.Receive(message); err != nil {
		return err
	}
	s.counters.receive(message)
	return nil
}

// Send counts and sends.
func (s *countingClientStream) Send(message any) error {
	s.counters.send(message)
	return s.StreamingClientConn.Send(message)
}

type countingHandlerStream struct {
	connect.StreamingHandlerConn
	counters *messageCounters
}

// Receive receives and counts.
func (s *countingHandlerStream) Receive(message any) error {
	if err := s.StreamingHandlerConn.Receive(message); err != nil {
		return err
	}
	s.counters.receive(message)
	return nil
}

// Send counts and sends.
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
