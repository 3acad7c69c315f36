package gossip

import (
	"context"

	"golang.org/x/sync/errgroup"

	"amaranthdock.dev/decision/membership"
	"amaranthdock.dev/timer"
)

// start tries to join the fleet and to obtain a configuration until both have succeeded.
func (s *Service) start(ctx context.Context) error {
	for !s.tryStart(ctx) {
		if err := timer.Sleep(ctx, s.config.Timer, retryInterval); err != nil {
			return err
		}
	}
	s.ready.Store(true)
	s.config.Logger.Info("gossip: ready", "version", s.Current().Version())
	return nil
}

// tryStart makes one attempt to join the fleet and to obtain the newest configuration, and
// reports whether it succeeded. While the store is unavailable, at least one peer must
// have responded.
func (s *Service) tryStart(ctx context.Context) bool {
	var group errgroup.Group
	group.Go(func() error { return s.readConfiguration(ctx) })
	if err := s.readPlatformList(ctx); err != nil {
		s.config.Logger.V(1).Info("gossip: starting without the platform's VM list", "error", err.Error())
	}
	responded := s.join(ctx)
	storeErr := group.Wait()
	if storeErr != nil {
		s.config.Logger.V(1).Info("gossip: starting without the store", "error", storeErr.Error())
	}
	joined := s.completeJoin(responded)
	s.catchUp(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	upToDate := s.syncState.Version() > 0 && !s.syncState.IsBehind()
	return joined && upToDate && (storeErr == nil || responded > 0)
}

// catchUp fetches the configuration from random peers until this VM has the highest
// version that it has seen.
func (s *Service) catchUp(ctx context.Context) {
	s.mu.Lock()
	peers := s.table.Sample(joinFanOut)
	s.mu.Unlock()
	for _, m := range peers {
		s.mu.Lock()
		behind := s.syncState.IsBehind()
		s.mu.Unlock()
		if !behind {
			return
		}
		if err := s.fetchFrom(ctx, m); err != nil {
			s.config.Logger.V(1).Info("gossip: starting without the configuration of a peer", "error", err.Error())
		}
	}
}

// completeJoin completes the join if a peer has responded or the platform's VM list has
// been read. It reports whether this VM has joined.
func (s *Service) completeJoin(responded int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.joined && (responded > 0 || s.platformListRead) {
		s.joined = true
		s.table.MarkJoined()
		s.rebuildView()
	}
	return s.joined
}

// join requests the full member list from random peers and returns how many responded. If
// none did, it asks the seed peers.
func (s *Service) join(ctx context.Context) int {
	s.mu.Lock()
	peers := s.table.Sample(joinFanOut)
	s.mu.Unlock()
	if responded := s.probeMembers(ctx, peers, true); responded > 0 {
		return responded
	}
	var seeds []membership.Member
	for _, address := range s.config.SeedPeers {
		if address != s.config.Address && len(seeds) < joinFanOut {
			seeds = append(seeds, membership.Member{
				Address: address,
			})
		}
	}
	return s.probeMembers(ctx, seeds, true)
}
