package gossip

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/confsync"
)

// FetchConfiguration returns the document in effect if it is newer.
func (p *Service) FetchConfiguration(_ context.Context, request *peerv1.FetchConfigurationRequest) (*peerv1.FetchConfigurationResponse, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	response := &peerv1.FetchConfigurationResponse{
		Version: p.versions.Version(),
	}
	if response.Version > request.GetNewerThan() {
		response.Document = p.encoded
	}
	return response, nil
}

// Probe answers a probe with this VM's updates and digest.
func (p *Service) Probe(_ context.Context, request *peerv1.ProbeRequest) (*peerv1.ProbeResponse, error) {
	updates := updatesFromWire(request.GetUpdates())
	digest := digestFromWire(request.GetDigest())
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Timer.Now()
	p.table.Apply(now, updates)
	p.refresh()
	p.handleHeard(request.GetFrom(), p.versions.ObserveVersion(digest.Version))
	members := p.table.Updates(request.GetFrom())
	if request.GetFullList() {
		members = p.table.Members()
	}
	return &peerv1.ProbeResponse{
		Vm:      p.config.Self.Name,
		Updates: updatesToWire(members),
		Digest:  digestToWire(p.versions.Digest(now)),
	}, nil
}

// ProbeOther probes a third VM on behalf of the caller.
func (p *Service) ProbeOther(ctx context.Context, request *peerv1.ProbeOtherRequest) (*peerv1.ProbeOtherResponse, error) {
	p.mu.Lock()
	member, ok := p.table.Member(request.GetVm())
	p.mu.Unlock()
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, eris.Errorf("gossip: VM %q is unknown", request.GetVm()))
	}
	timeout := relayTimeout
	if stated := request.GetTimeout().AsDuration(); stated > 0 {
		timeout = min(timeout, stated)
	}
	if err := p.exchange(ctx, member, timeout, false); err != nil {
		return &peerv1.ProbeOtherResponse{}, nil
	}
	return &peerv1.ProbeOtherResponse{
		Answered: true,
	}, nil
}

// PushConfiguration takes in a new document, or fetches it from the pusher if
// the push only announces it.
func (p *Service) PushConfiguration(_ context.Context, request *peerv1.PushConfigurationRequest) (*peerv1.PushConfigurationResponse, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	decision := p.versions.ObserveVersion(request.GetVersion())
	_, wanted := decision.(confsync.Fetch)
	switch {
	case wanted && len(request.GetDocument()) > 0:
		p.submit(func(context.Context) { p.adopt(request.GetDocument(), request.GetFrom()) })
	case wanted:
		p.handleHeard(request.GetFrom(), decision)
	}
	return &peerv1.PushConfigurationResponse{
		Version: p.versions.Version(),
	}, nil
}

// handleHeard has the configuration fetched if the decision says so; the caller
// holds mu.
func (p *Service) handleHeard(peer string, decision confsync.Decision) {
	if _, ok := decision.(confsync.Fetch); !ok || p.fetching == fetchLimit {
		return
	}
	member, ok := p.table.Member(peer)
	if !ok {
		return
	}
	submitted := p.submit(func(ctx context.Context) {
		defer p.endFetch()
		if err := p.fetch(ctx, member); err != nil {
			p.config.Logger.V(1).Info("gossip: fetch failed", "peer", peer, "error", err.Error())
		}
	})
	if submitted {
		p.fetching++
	}
}

func (p *Service) endFetch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fetching--
}

// since returns the time from an earlier reading to now.
func (p *Service) since(earlier time.Time) time.Duration {
	return p.config.Timer.Now().Sub(earlier)
}
