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

// link is an HTTP transport that delays all calls while it is blocked, like a network
// partition or a frozen process.
type link struct {
	mu        sync.Mutex
	unblocked chan struct{}
	next      http.RoundTripper
}

func (l *link) setBlocked(blocked bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if blocked && l.unblocked == nil {
		l.unblocked = make(chan struct{})
	}
	if !blocked && l.unblocked != nil {
		close(l.unblocked)
		l.unblocked = nil
	}
}

func (l *link) blockedUntil() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unblocked
}

// RoundTrip waits while the link is blocked. A stream that is open when the link is
// blocked stays open but delivers nothing.
func (l *link) RoundTrip(request *http.Request) (*http.Response, error) {
	if err := l.wait(request.Context()); err != nil {
		return nil, err
	}
	response, err := l.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = &linkBody{
		ReadCloser: response.Body,
		link:       l,
		ctx:        request.Context(),
	}
	return response, l.wait(request.Context())
}

func (l *link) wait(ctx context.Context) error {
	blockedUntil := l.blockedUntil()
	if blockedUntil == nil {
		return nil
	}
	select {
	case <-blockedUntil:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

type linkBody struct {
	io.ReadCloser
	link *link
	ctx  context.Context
}

func (b *linkBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if cause := b.link.wait(b.ctx); cause != nil {
		return 0, cause
	}
	return n, err
}

// pausableClient delays the promote calls of a paused VM.
type pausableClient struct {
	endpointv1connect.EndpointServiceClient
	promoteLink *link
}

func (p *pausableClient) Promote(ctx context.Context, request *endpointv1.PromoteRequest) (*endpointv1.PromoteResponse, error) {
	if blockedUntil := p.promoteLink.blockedUntil(); blockedUntil != nil {
		<-blockedUntil
		ctx = context.WithoutCancel(ctx)
	}
	return p.EndpointServiceClient.Promote(ctx, request)
}

// peerClient calls another VM's manager directly.
type peerClient struct {
	peerv1connect.PeerServiceClient
	manager *failover.Manager
}

func (p *peerClient) ConfirmSuspicion(ctx context.Context, request *peerv1.ConfirmSuspicionRequest) (*peerv1.ConfirmSuspicionResponse, error) {
	return p.manager.ConfirmSuspicion(ctx, request)
}

func (p *peerClient) GetDatabaseView(ctx context.Context, request *peerv1.GetDatabaseViewRequest) (*peerv1.DatabaseView, error) {
	return p.manager.GetDatabaseView(ctx, request)
}

// store is an in-memory store that can be made unavailable.
type store struct {
	mu          sync.Mutex
	unavailable bool
	entry       platform.Entry
}

func (s *store) CompareAndSwap(_ context.Context, key string, value []byte, expected uint64) (platform.Entry, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return platform.Entry{}, false, errors.New("the store is unavailable")
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
	if s.unavailable {
		return platform.Entry{}, errors.New("the store is unavailable")
	}
	return s.entry, nil
}

func (s *store) value() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.entry.Value)
}
