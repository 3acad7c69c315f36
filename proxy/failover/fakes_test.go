package failover_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	"amaranthdock.dev/api/amaranthdock/endpoint/v1/endpointv1connect"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/api/amaranthdock/peer/v1/peerv1connect"
	"amaranthdock.dev/proxy/failover"
	"amaranthdock.dev/proxy/platform"
)

// cut is a link that holds back all calls while it is closed, as a partition or a
// frozen process does.
type cut struct {
	mu     sync.Mutex
	closed chan struct{}
	next   http.RoundTripper
}

func (c *cut) set(closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if closed && c.closed == nil {
		c.closed = make(chan struct{})
	}
	if !closed && c.closed != nil {
		close(c.closed)
		c.closed = nil
	}
}

func (c *cut) gate() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// RoundTrip waits while the link is closed; a stream that is open when the link
// closes keeps its body but delivers nothing.
func (c *cut) RoundTrip(request *http.Request) (*http.Response, error) {
	if err := c.wait(request.Context()); err != nil {
		return nil, err
	}
	response, err := c.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = &cutBody{
		ReadCloser: response.Body,
		cut:        c,
		ctx:        request.Context(),
	}
	return response, c.wait(request.Context())
}

func (c *cut) wait(ctx context.Context) error {
	gate := c.gate()
	if gate == nil {
		return nil
	}
	select {
	case <-gate:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

type cutBody struct {
	io.ReadCloser
	cut *cut
	ctx context.Context
}

func (b *cutBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if cause := b.cut.wait(b.ctx); cause != nil {
		return 0, cause
	}
	return n, err
}

// pausable holds back promote calls of a paused VM.
type pausable struct {
	endpointv1connect.EndpointServiceClient
	pause *cut
}

func (p *pausable) Promote(ctx context.Context, request *endpointv1.PromoteRequest) (*endpointv1.PromoteResponse, error) {
	if gate := p.pause.gate(); gate != nil {
		<-gate
		ctx = context.WithoutCancel(ctx)
	}
	return p.EndpointServiceClient.Promote(ctx, request)
}

// peer calls another VM's part directly.
type peer struct {
	peerv1connect.PeerServiceClient
	part *failover.Manager
}

func (p *peer) ConfirmSuspicion(ctx context.Context, request *peerv1.ConfirmSuspicionRequest) (*peerv1.ConfirmSuspicionResponse, error) {
	return p.part.ConfirmSuspicion(ctx, request)
}

func (p *peer) GetDatabaseView(ctx context.Context, request *peerv1.GetDatabaseViewRequest) (*peerv1.DatabaseView, error) {
	return p.part.GetDatabaseView(ctx, request)
}

// store is a store in memory that can be out.
type store struct {
	mu    sync.Mutex
	out   bool
	entry platform.Entry
}

func (s *store) CompareAndSwap(_ context.Context, key string, value []byte, expected uint64) (platform.Entry, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.out {
		return platform.Entry{}, false, errors.New("the store is out")
	}
	if s.entry.Revision != expected {
		return s.entry, false, nil
	}
	s.entry = platform.Entry{
		Key:      key,
		Value:    value,
		Revision: expected + 1,
		Found:    true,
	}
	return s.entry, true, nil
}

func (s *store) Get(context.Context, string) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.out {
		return platform.Entry{}, errors.New("the store is out")
	}
	return s.entry, nil
}

func (s *store) value() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.entry.Value)
}
