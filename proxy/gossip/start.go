package gossip

import (
	"context"

	"golang.org/x/sync/errgroup"

	"amaranthdock.dev/decision/membership"
	"amaranthdock.dev/timer"
)

// start joins the fleet and obtains a configuration, until the part is ready.
func (p *Service) start(ctx context.Context) error {
	for !p.startRound(ctx) {
		if err := timer.Sleep(ctx, p.config.Timer, retryInterval); err != nil {
			return err
		}
	}
	p.ready.Store(true)
	p.config.Logger.Info("gossip: ready", "version", p.Current().Version())
	return nil
}

// startRound returns whether membership and configuration are settled. With the
// store out, that takes a peer that has the newest version heard of.
func (p *Service) startRound(ctx context.Context) bool {
	var group errgroup.Group
	group.Go(func() error { return p.readStore(ctx) })
	if err := p.readList(ctx); err != nil {
		p.config.Logger.V(1).Info("gossip: start without the platform list", "error", err.Error())
	}
	answered := p.join(ctx)
	storeErr := group.Wait()
	if storeErr != nil {
		p.config.Logger.V(1).Info("gossip: start without the store", "error", storeErr.Error())
	}
	joined := p.endJoin(answered)
	p.catchUp(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	settled := p.versions.Version() > 0 && !p.versions.IsBehind()
	return joined && settled && (storeErr == nil || answered > 0)
}

// catchUp fetches from some peers until this VM has the newest version heard of.
func (p *Service) catchUp(ctx context.Context) {
	p.mu.Lock()
	peers := p.table.Sample(joinPeers)
	p.mu.Unlock()
	for _, m := range peers {
		p.mu.Lock()
		behind := p.versions.IsBehind()
		p.mu.Unlock()
		if !behind {
			return
		}
		if err := p.fetch(ctx, m); err != nil {
			p.config.Logger.V(1).Info("gossip: start without a peer", "error", err.Error())
		}
	}
}

// endJoin ends the join if a peer answered or the platform's list was read.
func (p *Service) endJoin(answered int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.joined && (answered > 0 || p.listRead) {
		p.joined = true
		p.table.MarkJoined()
		p.rebuild()
	}
	return p.joined
}

// join asks some peers for the whole member list and returns how many answered.
// The seed peers are asked if the platform's list did not lead to any.
func (p *Service) join(ctx context.Context) int {
	p.mu.Lock()
	peers := p.table.Sample(joinPeers)
	p.mu.Unlock()
	if answered := p.exchangeAll(ctx, peers, true); answered > 0 {
		return answered
	}
	var seeds []membership.Member
	for _, address := range p.config.SeedPeers {
		if address != p.config.Address && len(seeds) < joinPeers {
			seeds = append(seeds, membership.Member{
				Address: address,
			})
		}
	}
	return p.exchangeAll(ctx, seeds, true)
}
