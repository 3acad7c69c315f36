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
	// leaseTTL is the TTL of the leader's lease. After the leader fails, another VM takes
	// over after at most this time and one poll of the registrations.
	leaseTTL = 3 * time.Second
	// leaseSafetyMargin is how long before the end of its lease this VM stops acting as the
	// leader. It covers the time between the check of the lease and the arrival of a
	// promotion request.
	leaseSafetyMargin = 500 * time.Millisecond
	// renewInterval is the time between two renewals of the lease.
	renewInterval = time.Second
	// rankDelay staggers the attempts of the VMs to acquire a vacant lease, so that usually
	// only the first one tries.
	rankDelay = 500 * time.Millisecond
	// campaignInterval is the time between two checks for a vacant lease.
	campaignInterval = 250 * time.Millisecond
)

// leadership is the lease of the leader; zero while this VM holds none.
type leadership struct {
	lease uint64
	// revision is the store revision at which this VM wrote the leader's key.
	revision uint64
	// validUntil is a boot-clock reading, which advances while the VM is suspended.
	validUntil time.Duration
}

// Campaign acquires the lease when it is vacant and renews it until the context ends, then
// releases it.
func (p *Part) Campaign(ctx context.Context) {
	var vacantSince time.Duration
	for ctx.Err() == nil {
		wait := campaignInterval
		isolated := p.config.Links.Isolated()
		switch {
		case p.currentLeadership().lease != 0 && isolated:
			p.config.Log.Info("This VM is isolated from most other VMs and gives up the failover lease.")
			p.resign()
		case p.currentLeadership().lease != 0:
			p.renew(ctx)
			wait = renewInterval
		case isolated:
			vacantSince = 0
		case !p.config.Contact.Reached():
			vacantSince = 0
		case p.config.View.VMs().Leader == p.config.View.Self().Name:
			p.reacquire(ctx)
			vacantSince = 0
		case p.config.View.VMs().Leader != "":
			vacantSince = 0
		case vacantSince == 0:
			vacantSince = p.config.Timer.Boot()
		case p.config.Timer.Boot()-vacantSince >= p.acquireDelay():
			p.acquire(ctx, 0)
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

// acquireDelay returns how long the lease must be vacant before this VM tries to acquire
// it. A VM that has just started waits longer than the others, since it cannot decide
// about lost primaries until the store has been reachable for a while.
func (p *Part) acquireDelay() time.Duration {
	untilSteady := max(takeover.StoreSteady-p.config.Contact.SteadyFor(), 0)
	return time.Duration(p.rank())*rankDelay + untilSteady
}

// rank returns the position of this VM in the order in which VMs try to acquire the lease.
func (p *Part) rank() int {
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

// reacquire takes the leadership over from the previous process of this VM. Otherwise no
// VM could become the leader before the lease of that process expires.
func (p *Part) reacquire(ctx context.Context) {
	item, found, err := p.config.Store.Get(ctx, store.LeaderKey)
	switch {
	case err != nil:
		p.config.Log.Info("Could not read the leader's key.", "error", err.Error())
	case found && string(item.Value) == p.config.View.Self().Name:
		p.acquire(ctx, item.Revision)
	}
}

// acquire grants a lease and writes the leader's key under it, provided that the key still
// has the expected revision; 0 if it must not exist.
func (p *Part) acquire(ctx context.Context, expectedRevision uint64) {
	requestedAt := p.config.Timer.Boot()
	lease, ttl, err := p.config.Store.Grant(ctx, leaseTTL)
	if err != nil {
		p.config.Log.Info("Could not obtain a lease for the leader's key.", "error", err.Error())
		return
	}
	revision, err := p.config.Store.Commit(ctx, store.Change{
		Conditions: []store.Condition{{
			Key:      store.LeaderKey,
			Revision: expectedRevision,
		}},
		Writes: []store.Write{{
			Key:   store.LeaderKey,
			Value: []byte(p.config.View.Self().Name),
			Lease: lease,
		}},
	})
	if err != nil {
		p.config.Log.Info("Could not write the leader's key; another VM may have become the leader.", "error", err.Error())
		p.revokeLease(lease)
		return
	}
	p.setLeadership(leadership{
		lease:      lease,
		revision:   revision,
		validUntil: requestedAt + ttl - leaseSafetyMargin,
	})
	p.config.Log.Info("Acquired the failover lease; this VM is now the leader.", "lease", lease)
	go p.probePrimaries(ctx)
}

// probePrimaries probes all primaries once. VMs that lost the connection to a primary
// while there was no leader could not report it, and learn of the new leader only after a
// delay.
func (p *Part) probePrimaries(ctx context.Context) {
	configuration := p.config.View.Configuration()
	if configuration == nil {
		return
	}
	for name := range configuration.Databases {
		go func() {
			if primary, ok := p.config.View.Primary(name); ok && !p.responds(ctx, primary) {
				p.Suspect(primary)
			}
		}()
	}
}

// renew renews the lease. It gives up the leadership when the lease has expired; after
// other errors the next call tries again.
func (p *Part) renew(ctx context.Context) {
	current := p.currentLeadership()
	requestedAt := p.config.Timer.Boot()
	err := p.config.Store.Keep(ctx, current.lease)
	switch {
	case err == nil:
		current.validUntil = requestedAt + leaseTTL - leaseSafetyMargin
		p.setLeadership(current)
	case errors.Is(err, store.ErrNoLease) || p.config.Timer.Boot() > current.validUntil+leaseSafetyMargin:
		p.config.Log.Info("Lost the failover lease; this VM is no longer the leader.", "reason", err.Error())
		p.setLeadership(leadership{})
	}
}

// resign releases the lease, so that another VM can become the leader without waiting for
// it to expire.
func (p *Part) resign() {
	current := p.currentLeadership()
	p.setLeadership(leadership{})
	if current.lease != 0 {
		p.revokeLease(current.lease)
	}
}

func (p *Part) revokeLease(lease uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := p.config.Store.End(ctx, lease); err != nil {
		p.config.Log.Info("Could not revoke the lease; it will expire after its TTL.", "lease", lease, "error", err.Error())
	}
}

func (p *Part) currentLeadership() leadership {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leadership
}

func (p *Part) setLeadership(l leadership) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leadership = l
}

// Leads tells whether this VM is the leader and may request promotions.
func (p *Part) Leads() bool {
	current := p.currentLeadership()
	return current.lease != 0 && p.config.Timer.Boot() < current.validUntil
}
