package gossip

import (
	"context"

	"github.com/rotisserie/eris"

	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/membership"
	"amaranthdock.dev/timer"
)

// adopt puts a document into effect and pushes it on if it was new.
func (p *Service) adopt(encoded []byte, source string) {
	_, accepted, err := p.accept(encoded, source)
	if err != nil {
		p.config.Logger.Error(err, "gossip: configuration rejected", "source", source)
		return
	}
	if accepted {
		p.push()
	}
}

// fetch reads the configuration of a peer.
func (p *Service) fetch(ctx context.Context, peer membership.Member) error {
	p.mu.Lock()
	request := &peerv1.FetchConfigurationRequest{
		NewerThan: p.versions.Version(),
	}
	p.mu.Unlock()
	p.count("fetches")
	child, cancel := timer.WithTimeout(ctx, p.config.Timer, fetchTimeout)
	defer cancel()
	response, err := p.config.Dial(peer.Address).FetchConfiguration(child, request)
	if err != nil {
		return eris.Wrapf(err, "gossip: fetch from %s", peer.Address)
	}
	if len(response.GetDocument()) > 0 {
		p.adopt(response.GetDocument(), peer.VM)
	}
	return nil
}

// push has the workers send the configuration in effect to some random peers. A
// VM that is starting leaves that to the others.
func (p *Service) push() {
	if !p.ready.Load() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	request := &peerv1.PushConfigurationRequest{
		From:    p.config.Self.Name,
		Version: p.versions.Version(),
	}
	if len(p.encoded) <= inlineLimit {
		request.Document = p.encoded
	}
	for _, m := range p.table.Sample(pushFanOut) {
		p.submit(func(ctx context.Context) { p.pushTo(ctx, m, request) })
	}
}

func (p *Service) pushTo(ctx context.Context, peer membership.Member, request *peerv1.PushConfigurationRequest) {
	p.count("pushes")
	child, cancel := timer.WithTimeout(ctx, p.config.Timer, pushTimeout)
	defer cancel()
	if _, err := p.config.Dial(peer.Address).PushConfiguration(child, request); err != nil {
		p.config.Logger.V(1).Info("gossip: push failed", "peer", peer.VM, "error", err.Error())
	}
}
