package gossip

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/types/known/durationpb"

	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/membership"
	"amaranthdock.dev/timer"
)

// probeMember probes a member: both sides exchange updates and digests. A member without
// a name (a seed peer) may respond with any name.
func (s *Service) probeMember(ctx context.Context, peer membership.Member, timeout time.Duration, fullList bool) error {
	s.mu.Lock()
	sentAt := s.config.Timer.Now()
	request := &peerv1.ProbeRequest{
		From:     s.config.Self.Name,
		Updates:  encodeUpdates(s.table.Updates(peer.VM)),
		Digest:   encodeDigest(s.syncState.Digest(sentAt)),
		FullList: fullList,
	}
	s.mu.Unlock()
	s.count("probes")
	child, cancel := timer.WithTimeout(ctx, s.config.Timer, timeout)
	defer cancel()
	response, err := s.config.Dial(peer.Address).Probe(child, request)
	if err != nil {
		s.count("probesMissed")
		return eris.Wrapf(err, "gossip: probe of %s", peer.Address)
	}
	// The address of a removed VM may have been reassigned to another VM.
	if peer.VM != "" && response.GetVm() != peer.VM {
		return eris.Errorf("gossip: VM %q responded at the address of %q", response.GetVm(), peer.VM)
	}
	updates := decodeUpdates(response.GetUpdates())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Apply(s.config.Timer.Now(), updates)
	s.refreshView()
	decision := s.syncState.HandleResponse(sentAt, response.GetVm(), decodeDigest(response.GetDigest()))
	s.fetchIfRequired(response.GetVm(), decision)
	return nil
}

// probeMembers probes members concurrently and returns the number of responses.
func (s *Service) probeMembers(ctx context.Context, members []membership.Member, fullList bool) int {
	var responded atomic.Int64
	var group errgroup.Group
	for _, m := range members {
		group.Go(func() error {
			if err := s.probeMember(ctx, m, membership.DefaultProbeTimeout, fullList); err != nil {
				return err
			}
			responded.Add(1)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		s.config.Logger.V(1).Info("gossip: a peer did not respond", "error", err.Error())
	}
	return int(responded.Load())
}

// probeLoop drives the member table. While this VM cannot reach the store, it also probes
// the other watchers directly.
func (s *Service) probeLoop(ctx context.Context) error {
	ticks := s.config.Timer.Every(tickInterval)
	defer ticks.Stop()
	var lastWatcherProbe time.Time
	for {
		select {
		case <-ticks.C():
		case <-ctx.Done():
			return ctx.Err()
		}
		s.mu.Lock()
		now := s.config.Timer.Now()
		decisions := s.table.Tick(now)
		s.refreshView()
		replaced := s.table.Replaced()
		var watchers []membership.Member
		if now.Sub(lastWatcherProbe) >= storeCheckInterval {
			watchers = s.lookUpMembers(s.syncState.WatchersToProbe())
			lastWatcherProbe = now
		}
		s.mu.Unlock()
		if replaced {
			return ErrReplaced
		}
		for _, d := range decisions {
			s.execute(d)
		}
		for _, m := range watchers {
			s.submit(func(ctx context.Context) { s.probeMembers(ctx, []membership.Member{m}, false) })
		}
	}
}

// execute submits a decision of the member table to the workers.
func (s *Service) execute(decision membership.Decision) {
	probe, ok := decision.(membership.ProbePeer)
	if !ok {
		return
	}
	if s.submit(func(ctx context.Context) { s.runProbe(ctx, probe) }) {
		return
	}
	// A probe that was dropped must not count as a failure of the peer.
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.HandleAck(probe.ID)
}

func (s *Service) runProbe(ctx context.Context, probe membership.ProbePeer) {
	err := s.probeMember(ctx, probe.Peer, membership.DefaultProbeTimeout, false)
	decision := s.reportProbeResult(probe.ID, err == nil)
	if indirect, ok := decision.(membership.ProbeIndirectly); ok {
		s.reportProbeResult(indirect.ID, s.probeIndirectly(ctx, indirect))
	}
}

// probeIndirectly asks other VMs to probe a peer and reports whether one of them got a
// response.
func (s *Service) probeIndirectly(ctx context.Context, probe membership.ProbeIndirectly) bool {
	s.count("indirectProbes")
	child, cancel := timer.WithTimeout(ctx, s.config.Timer, membership.DefaultProbeTimeout)
	defer cancel()
	var responded atomic.Bool
	var group errgroup.Group
	for _, m := range probe.Relays {
		group.Go(func() error {
			response, err := s.config.Dial(m.Address).ProbeOther(child, &peerv1.ProbeOtherRequest{
				Vm:      probe.Peer.VM,
				Timeout: durationpb.New(indirectProbeTimeout),
			})
			if err != nil {
				return err
			}
			if response.GetAnswered() {
				responded.Store(true)
				cancel()
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil && !responded.Load() {
		s.config.Logger.V(1).Info("gossip: indirect probe failed", "peer", probe.Peer.VM, "error", err.Error())
	}
	return responded.Load()
}

// reportProbeResult reports the result of a probe to the member table.
func (s *Service) reportProbeResult(id uint64, responded bool) membership.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if responded {
		s.table.HandleAck(id)
		return membership.None{}
	}
	decision := s.table.HandleProbeTimeout(s.config.Timer.Now(), id)
	s.refreshView()
	return decision
}
