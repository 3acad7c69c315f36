package gossip

import (
	"context"

	"github.com/rotisserie/eris"

	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/membership"
	"amaranthdock.dev/timer"
)

// activateAndPush activates a document and pushes it to other peers if it was new.
func (s *Service) activateAndPush(encoded []byte, source string) {
	_, activated, err := s.activate(encoded, source)
	if err != nil {
		s.config.Logger.Error(err, "gossip: configuration rejected", "source", source)
		return
	}
	if activated {
		s.pushToPeers()
	}
}

// fetchFrom fetches the configuration from a peer and activates it.
func (s *Service) fetchFrom(ctx context.Context, peer membership.Member) error {
	s.mu.Lock()
	request := &peerv1.FetchConfigurationRequest{
		NewerThan: s.syncState.Version(),
	}
	s.mu.Unlock()
	s.count("fetches")
	child, cancel := timer.WithTimeout(ctx, s.config.Timer, fetchTimeout)
	defer cancel()
	response, err := s.config.Dial(peer.Address).FetchConfiguration(child, request)
	if err != nil {
		return eris.Wrapf(err, "gossip: fetch the configuration from %s", peer.Address)
	}
	if len(response.GetDocument()) > 0 {
		s.activateAndPush(response.GetDocument(), peer.VM)
	}
	return nil
}

// pushToPeers submits jobs that push the active configuration to random peers. A VM that
// is still starting does not push.
func (s *Service) pushToPeers() {
	if !s.ready.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	request := &peerv1.PushConfigurationRequest{
		From:    s.config.Self.Name,
		Version: s.syncState.Version(),
	}
	if len(s.encodedDocument) <= maxInlineDocumentSize {
		request.Document = s.encodedDocument
	}
	for _, m := range s.table.Sample(pushFanOut) {
		s.submit(func(ctx context.Context) { s.pushTo(ctx, m, request) })
	}
}

func (s *Service) pushTo(ctx context.Context, peer membership.Member, request *peerv1.PushConfigurationRequest) {
	s.count("pushes")
	child, cancel := timer.WithTimeout(ctx, s.config.Timer, pushTimeout)
	defer cancel()
	if _, err := s.config.Dial(peer.Address).PushConfiguration(child, request); err != nil {
		s.config.Logger.V(1).Info("gossip: could not push the configuration", "peer", peer.VM, "error", err.Error())
	}
}
