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

// exchange probes a member: both sides learn each other's updates and digests.
// A member without a name (a seed peer) may answer under any name.
func (p *Service) exchange(ctx context.Context, peer membership.Member, timeout time.Duration, fullList bool) error {
	p.mu.Lock()
	sent := p.config.Timer.Now()
	request := &peerv1.ProbeRequest{
		From:     p.config.Self.Name,
		Updates:  updatesToWire(p.table.Updates(peer.VM)),
		Digest:   digestToWire(p.versions.Digest(sent)),
		FullList: fullList,
	}
	p.mu.Unlock()
	p.count("probes")
	child, cancel := timer.WithTimeout(ctx, p.config.Timer, timeout)
	defer cancel()
	response, err := p.config.Dial(peer.Address).Probe(child, request)
	if err != nil {
		p.count("probesMissed")
		return eris.Wrapf(err, "gossip: probe of %s", peer.Address)
	}
	// The address of a VM that is gone may belong to another VM by now.
	if peer.VM != "" && response.GetVm() != peer.VM {
		return eris.Errorf("gossip: VM %q answers at the address of %q", response.GetVm(), peer.VM)
	}
	updates := updatesFromWire(response.GetUpdates())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Apply(p.config.Timer.Now(), updates)
	p.refresh()
	decision := p.versions.HandleResponse(sent, response.GetVm(), digestFromWire(response.GetDigest()))
	p.handleHeard(response.GetVm(), decision)
	return nil
}

// exchangeAll probes members at the same time and returns the number of answers.
func (p *Service) exchangeAll(ctx context.Context, members []membership.Member, fullList bool) int {
	var answered atomic.Int64
	var group errgroup.Group
	for _, m := range members {
		group.Go(func() error {
			if err := p.exchange(ctx, m, membership.DefaultProbeTimeout, fullList); err != nil {
				return err
			}
			answered.Add(1)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		p.config.Logger.V(1).Info("gossip: a peer did not answer", "error", err.Error())
	}
	return int(answered.Load())
}

// probeLoop drives the member table.
func (p *Service) probeLoop(ctx context.Context) error {
	ticks := p.config.Timer.Every(tickInterval)
	defer ticks.Stop()
	var lastConsult time.Time
	for {
		select {
		case <-ticks.C():
		case <-ctx.Done():
			return ctx.Err()
		}
		p.mu.Lock()
		now := p.config.Timer.Now()
		decisions := p.table.Tick(now)
		p.refresh()
		replaced := p.table.Replaced()
		var consult []membership.Member
		if now.Sub(lastConsult) >= checkInterval {
			consult = p.addresses(p.versions.WatchersToProbe())
			lastConsult = now
		}
		p.mu.Unlock()
		if replaced {
			return ErrReplaced
		}
		for _, d := range decisions {
			p.execute(d)
		}
		for _, m := range consult {
			p.submit(func(ctx context.Context) { p.exchangeAll(ctx, []membership.Member{m}, false) })
		}
	}
}

// execute hands a decision of the member table to the workers.
func (p *Service) execute(decision membership.Decision) {
	probe, ok := decision.(membership.ProbePeer)
	if !ok {
		return
	}
	if p.submit(func(ctx context.Context) { p.probePeer(ctx, probe) }) {
		return
	}
	// A probe that was not made says nothing about the peer.
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.HandleAck(probe.ID)
}

func (p *Service) probePeer(ctx context.Context, probe membership.ProbePeer) {
	err := p.exchange(ctx, probe.Peer, membership.DefaultProbeTimeout, false)
	decision := p.report(probe.ID, err == nil)
	if through, ok := decision.(membership.ProbeIndirectly); ok {
		p.report(through.ID, p.probeThrough(ctx, through))
	}
}

// probeThrough tells whether one of the asked VMs got an answer.
func (p *Service) probeThrough(ctx context.Context, probe membership.ProbeIndirectly) bool {
	p.count("indirectProbes")
	child, cancel := timer.WithTimeout(ctx, p.config.Timer, membership.DefaultProbeTimeout)
	defer cancel()
	var answered atomic.Bool
	var group errgroup.Group
	for _, m := range probe.Relays {
		group.Go(func() error {
			response, err := p.config.Dial(m.Address).ProbeOther(child, &peerv1.ProbeOtherRequest{
				Vm:      probe.Peer.VM,
				Timeout: durationpb.New(relayTimeout),
			})
			if err != nil {
				return err
			}
			if response.GetAnswered() {
				answered.Store(true)
				cancel()
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil && !answered.Load() {
		p.config.Logger.V(1).Info("gossip: indirect probe failed", "peer", probe.Peer.VM, "error", err.Error())
	}
	return answered.Load()
}

// report tells the member table the result of a probe.
func (p *Service) report(id uint64, answered bool) membership.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answered {
		p.table.HandleAck(id)
		return membership.None{}
	}
	decision := p.table.HandleProbeTimeout(p.config.Timer.Now(), id)
	p.refresh()
	return decision
}
