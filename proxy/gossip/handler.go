package gossip

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/confsync"
)

// FetchConfiguration returns the active document if it is newer than the caller's.
func (s *Service) FetchConfiguration(_ context.Context, request *peerv1.FetchConfigurationRequest) (*peerv1.FetchConfigurationResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	response := &peerv1.FetchConfigurationResponse{
		Version: s.syncState.Version(),
	}
	if response.Version > request.GetNewerThan() {
		response.Document = s.encodedDocument
	}
	return response, nil
}

// Probe responds to a probe with this VM's updates and digest.
func (s *Service) Probe(_ context.Context, request *peerv1.ProbeRequest) (*peerv1.ProbeResponse, error) {
	updates := decodeUpdates(request.GetUpdates())
	digest := decodeDigest(request.GetDigest())
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Timer.Now()
	s.table.Apply(now, updates)
	s.refreshView()
	s.fetchIfRequired(request.GetFrom(), s.syncState.ObserveVersion(digest.Version))
	members := s.table.Updates(request.GetFrom())
	if request.GetFullList() {
		members = s.table.Members()
	}
	return &peerv1.ProbeResponse{
		Vm:      s.config.Self.Name,
		Updates: encodeUpdates(members),
		Digest:  encodeDigest(s.syncState.Digest(now)),
	}, nil
}

// ProbeOther probes a third VM on behalf of the caller.
func (s *Service) ProbeOther(ctx context.Context, request *peerv1.ProbeOtherRequest) (*peerv1.ProbeOtherResponse, error) {
	s.mu.Lock()
	member, ok := s.table.Member(request.GetVm())
	s.mu.Unlock()
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, eris.Errorf("gossip: VM %q is unknown", request.GetVm()))
	}
	timeout := indirectProbeTimeout
	if requested := request.GetTimeout().AsDuration(); requested > 0 {
		timeout = min(timeout, requested)
	}
	if err := s.probeMember(ctx, member, timeout, false); err != nil {
		return &peerv1.ProbeOtherResponse{}, nil
	}
	return &peerv1.ProbeOtherResponse{
		Answered: true,
	}, nil
}

// PushConfiguration activates a new document. If the push only announces the document, it
// is fetched from the sender.
func (s *Service) PushConfiguration(_ context.Context, request *peerv1.PushConfigurationRequest) (*peerv1.PushConfigurationResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	decision := s.syncState.ObserveVersion(request.GetVersion())
	_, fetchRequired := decision.(confsync.Fetch)
	switch {
	case fetchRequired && len(request.GetDocument()) > 0:
		s.submit(func(context.Context) { s.activateAndPush(request.GetDocument(), request.GetFrom()) })
	case fetchRequired:
		s.fetchIfRequired(request.GetFrom(), decision)
	}
	return &peerv1.PushConfigurationResponse{
		Version: s.syncState.Version(),
	}, nil
}

// fetchIfRequired submits a job that fetches the configuration from the peer if the
// decision says so. The caller holds mu.
func (s *Service) fetchIfRequired(peer string, decision confsync.Decision) {
	if _, ok := decision.(confsync.Fetch); !ok || s.activeFetches == maxConcurrentFetches {
		return
	}
	member, ok := s.table.Member(peer)
	if !ok {
		return
	}
	submitted := s.submit(func(ctx context.Context) {
		defer s.finishFetch()
		if err := s.fetchFrom(ctx, member); err != nil {
			s.config.Logger.V(1).Info("gossip: could not fetch the configuration", "peer", peer, "error", err.Error())
		}
	})
	if submitted {
		s.activeFetches++
	}
}

func (s *Service) finishFetch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeFetches--
}

func (s *Service) elapsedSince(earlier time.Time) time.Duration {
	return s.config.Timer.Now().Sub(earlier)
}
