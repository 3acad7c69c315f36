package failover

import (
	"context"
	"errors"
	"time"

	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/decision/takeover"
	"amaranthdock.dev/engine/store"
)

const (
	// leaseLife of the leader. Another VM leads at most this much, and one poll of the
	// registrations, after the leader is gone.
	leaseLife = 3 * time.Second
	// leaseMargin by which this VM stops to lead before its lease ends, for the time
	// between its check and the arrival of an order.
	leaseMargin = 500 * time.Millisecond
	// renewInterval of the lease.
	renewInterval = time.Second
	// rankDelay between the VMs that may take the lease, so that one call is enough.
	rankDelay = 500 * time.Millisecond
	// campaignInterval between two looks at the leader's key.
	campaignInterval = 250 * time.Millisecond
)

// lead holds the lease while this VM has one.
type lead struct {
	lease uint64
	// revision of the leader's key under this lease.
	revision uint64
	// until is a reading of the clock that goes on while the VM is suspended.
	until time.Duration
}

// Campaign takes the lease when nobody has it, and keeps it, until the context ends.
func (p *Manager) Campaign(ctx context.Context) {
	var vacantSince time.Duration
	for ctx.Err() == nil {
		wait := campaignInterval
		isolated := p.config.Clients.Isolated()
		switch {
		case p.current().lease != 0 && isolated:
			p.config.Log.Info("This VM reaches few others and lets another one order promotions.")
			p.resign()
		case p.current().lease != 0:
			p.renew(ctx)
			wait = renewInterval
		case isolated:
			vacantSince = 0
		case !p.config.StoreStatus.StoreReachable():
			vacantSince = 0
		case p.config.View.VMs().Leader == p.config.View.Self().Name:
			p.inherit(ctx)
			vacantSince = 0
		case p.config.View.VMs().Leader != "":
			vacantSince = 0
		case vacantSince == 0:
			vacantSince = p.config.Timer.SinceBoot()
		case p.config.Timer.SinceBoot()-vacantSince >= p.patience():
			p.take(ctx, 0)
			vacantSince = 0
		}
		pause := p.config.Timer.After(wait)
		select {
		case <-pause.C():
		case <-ctx.Done():
		}
		pause.Stop()
	}
	p.resign()
}

// patience before this VM takes a vacant lead. One that has just started lets others
// go first, since it cannot decide about lost primaries yet.
func (p *Manager) patience() time.Duration {
	unsteady := max(takeover.MinStoreHealthyTime-p.config.StoreStatus.StoreHealthyFor(), 0)
	return time.Duration(p.rank())*rankDelay + unsteady
}

// rank of this VM among those that may lead.
func (p *Manager) rank() int {
	var candidates []routing.VM
	for name := range p.config.View.VMs().ByName {
		candidates = append(candidates, routing.VM{Name: name})
	}
	for i, vm := range routing.Rank(store.LeaderKey, candidates) {
		if vm.Name == p.config.View.Self().Name {
			return i
		}
	}
	return len(candidates)
}

// inherit takes the lead over from this VM's last process, which is gone. Nobody else
// can lead before the lease of that process ends.
func (p *Manager) inherit(ctx context.Context) {
	item, found, err := p.config.Store.Get(ctx, store.LeaderKey)
	switch {
	case err != nil:
		p.config.Log.Info("The leader's key cannot be read.", "error", err.Error())
	case found && string(item.Value) == p.config.View.Self().Name:
		p.take(ctx, item.Revision)
	}
}

// take writes the leader's key if it still has the given revision; 0 for none.
func (p *Manager) take(ctx context.Context, known uint64) {
	asked := p.config.Timer.SinceBoot()
	lease, lasts, err := p.config.Store.GrantLease(ctx, leaseLife)
	if err != nil {
		p.config.Log.Info("No lease for the leader's key.", "error", err.Error())
		return
	}
	revision, err := p.config.Store.Commit(ctx, store.Change{
		Conditions: []store.Condition{{
			Key:      store.LeaderKey,
			Revision: known,
		}},
		Writes: []store.Write{{
			Key:   store.LeaderKey,
			Value: []byte(p.config.View.Self().Name),
			Lease: lease,
		}},
	})
	if err != nil {
		p.config.Log.Info("Another VM may have taken the lead.", "error", err.Error())
		p.endLease(lease)
		return
	}
	p.setLead(lead{
		lease:    lease,
		revision: revision,
		until:    asked + lasts - leaseMargin,
	})
	p.config.Log.Info("This VM orders promotions from now on.", "lease", lease)
	go p.survey(ctx)
}

// survey looks at all primaries once. Homes that lost one while nobody led could not
// tell it, and learn of the new leader only after a while.
func (p *Manager) survey(ctx context.Context) {
	configuration := p.config.View.Configuration()
	if configuration == nil {
		return
	}
	for name := range configuration.Databases {
		go func() {
			if primary, ok := p.config.View.Primary(name); ok && !p.reaches(ctx, primary) {
				p.Suspect(primary)
			}
		}()
	}
}

func (p *Manager) renew(ctx context.Context) {
	held := p.current()
	asked := p.config.Timer.SinceBoot()
	err := p.config.Store.RenewLease(ctx, held.lease)
	switch {
	case err == nil:
		held.until = asked + leaseLife - leaseMargin
		p.setLead(held)
	case errors.Is(err, store.ErrLeaseExpired) || p.config.Timer.SinceBoot() > held.until+leaseMargin:
		p.config.Log.Info("This VM no longer orders promotions.", "reason", err.Error())
		p.setLead(lead{})
	}
}

// resign lets another VM lead at once.
func (p *Manager) resign() {
	held := p.current()
	p.setLead(lead{})
	if held.lease != 0 {
		p.endLease(held.lease)
	}
}

func (p *Manager) endLease(lease uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := p.config.Store.RevokeLease(ctx, lease); err != nil {
		p.config.Log.Info("The lease ends by itself.", "lease", lease, "error", err.Error())
	}
}

func (p *Manager) current() lead {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lead
}

func (p *Manager) setLead(l lead) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lead = l
}

// IsLeader tells whether this VM may order promotions now.
func (p *Manager) IsLeader() bool {
	held := p.current()
	return held.lease != 0 && p.config.Timer.SinceBoot() < held.until
}
