package failover

import (
	"context"
	"errors"
	"time"

	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/decision/takeover"
	"amaranthdock.dev/engine/guard"
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
	// maxSuccessors is the number of VMs that watch the lease of a leader that cannot be reached.
	maxSuccessors = 2
	// campaignInterval is the time between two checks for a vacant lease.
	campaignInterval = 250 * time.Millisecond
)

// leadership is the lease of the leader; zero while this VM holds none.
type leadership struct {
	lease uint64
	// revision is the store revision at which this VM wrote the leader's key.
	revision uint64
	// acquiredAt and validUntil are boot-clock readings, which advance while the VM is suspended.
	acquiredAt, validUntil time.Duration
}

// Campaign acquires the lease when it is vacant and renews it until the context ends, then
// releases it.
func (m *Manager) Campaign(ctx context.Context) {
	var vacantSince time.Duration
	for ctx.Err() == nil {
		wait := campaignInterval
		isolated := m.config.Clients.Isolated()
		switch {
		case m.currentLeadership().lease != 0 && isolated:
			m.config.Log.Info("This VM is isolated from most other VMs and gives up the failover lease.")
			m.resign()
		case m.currentLeadership().lease != 0:
			m.renew(ctx)
			wait = renewInterval
		case isolated:
			vacantSince = 0
		case !m.config.StoreStatus.StoreReachable():
			vacantSince = 0
		case m.config.View.VMs().Leader == m.config.View.Self().Name:
			m.reacquire(ctx)
			vacantSince = 0
		case m.config.View.VMs().Leader != "":
			vacantSince = 0
			m.watchLostLeader()
		default:
			if vacantSince == 0 {
				vacantSince = m.config.Timer.SinceBoot()
			}
			if m.config.Timer.SinceBoot()-vacantSince >= m.acquireDelay() {
				m.acquire(ctx, 0)
				vacantSince = 0
			}
		}
		pause := m.config.Timer.After(wait)
		select {
		case <-pause.C():
		case <-ctx.Done():
		}
		pause.Stop()
	}
	m.resign()
}

// watchLostLeader requests reads of the leader's key while the leader cannot be reached and this
// VM is one of the first that would succeed it, so that they notice the end of its lease at
// once.
func (m *Manager) watchLostLeader() {
	vms := m.config.View.VMs()
	leader, ok := vms.ByName[vms.Leader]
	if (!ok || m.config.Clients.Unreachable(vms.Leader) || m.config.View.IsLeaving(leader)) && m.rank() < maxSuccessors {
		m.config.StoreStatus.RefreshFleet()
	}
}

// acquireDelay returns how long the lease must be vacant before this VM tries to acquire
// it. A VM that has just started waits longer than the others, since it cannot decide
// about lost primaries until the store has been reachable for a while.
func (m *Manager) acquireDelay() time.Duration {
	untilHealthy := max(takeover.MinStoreHealthyTime-m.config.StoreStatus.StoreHealthyFor(), 0)
	return time.Duration(m.rank())*rankDelay + untilHealthy
}

// rank returns the position of this VM in the order in which VMs try to acquire the lease. VMs
// that are not available do not count: the registration of a lost leader outlasts its lease.
func (m *Manager) rank() int {
	var candidates []routing.VM
	for name, vm := range m.config.View.VMs().ByName {
		if m.config.View.IsAvailable(vm) {
			candidates = append(candidates, routing.VM{Name: name})
		}
	}
	for i, vm := range routing.Rank(store.LeaderKey, candidates) {
		if vm.Name == m.config.View.Self().Name {
			return i
		}
	}
	return len(candidates)
}

// reacquire takes the leadership over from the previous process of this VM. Otherwise no
// VM could become the leader before the lease of that process expires.
func (m *Manager) reacquire(ctx context.Context) {
	item, found, err := m.config.Store.Get(ctx, store.LeaderKey)
	switch {
	case err != nil:
		m.config.Log.Info("Could not read the leader's key.", "error", err.Error())
	case found && string(item.Value) == m.config.View.Self().Name:
		m.acquire(ctx, item.Revision)
	}
}

// acquire grants a lease and writes the leader's key under it, provided that the key still
// has the expected revision; 0 if it must not exist.
func (m *Manager) acquire(ctx context.Context, expectedRevision uint64) {
	requestedAt := m.config.Timer.SinceBoot()
	lease, ttl, err := m.config.Store.GrantLease(ctx, leaseTTL)
	if err != nil {
		m.config.Log.Info("Could not obtain a lease for the leader's key.", "error", err.Error())
		return
	}
	revision, err := m.config.Store.Commit(ctx, store.Change{
		Conditions: []store.Condition{{
			Key:      store.LeaderKey,
			Revision: expectedRevision,
		}},
		Writes: []store.Write{{
			Key:   store.LeaderKey,
			Value: []byte(m.config.View.Self().Name),
			Lease: lease,
		}},
	})
	if err != nil {
		m.config.Log.Info("Could not write the leader's key; another VM may have become the leader.", "error", err.Error())
		m.revokeLease(lease)
		return
	}
	m.forgetIntents()
	m.setLeadership(leadership{
		lease:      lease,
		revision:   revision,
		acquiredAt: requestedAt,
		validUntil: requestedAt + ttl - leaseSafetyMargin,
	})
	m.config.Log.Info("Acquired the failover lease; this VM is now the leader.", "lease", lease)
	go m.probePrimaries(ctx)
}

// probePrimaries probes all primaries once. VMs that lost the connection to a primary
// while there was no leader could not report it, and learn of the new leader only after a
// delay.
func (m *Manager) probePrimaries(ctx context.Context) {
	configuration := m.config.View.Configuration()
	if configuration == nil {
		return
	}
	for name := range configuration.Databases {
		go func() {
			defer guard.Recover(m.config.Log, "probe")
			if primary, ok := m.config.View.Primary(name); ok && !m.responds(ctx, primary) {
				m.Suspect(primary)
			}
		}()
	}
}

// renew renews the lease. It gives up the leadership when the lease has expired; after
// other errors the next call tries again.
func (m *Manager) renew(ctx context.Context) {
	current := m.currentLeadership()
	requestedAt := m.config.Timer.SinceBoot()
	err := m.config.Store.RenewLease(ctx, current.lease)
	switch {
	case err == nil:
		current.validUntil = requestedAt + leaseTTL - leaseSafetyMargin
		m.setLeadership(current)
	case errors.Is(err, store.ErrLeaseExpired) || m.config.Timer.SinceBoot() > current.validUntil+leaseSafetyMargin:
		m.config.Log.Info("Lost the failover lease; this VM is no longer the leader.", "reason", err.Error())
		m.setLeadership(leadership{})
	}
}

// resign releases the lease, so that another VM can become the leader without waiting for
// it to expire.
func (m *Manager) resign() {
	current := m.currentLeadership()
	m.setLeadership(leadership{})
	if current.lease != 0 {
		m.revokeLease(current.lease)
	}
}

func (m *Manager) revokeLease(lease uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := m.config.Store.RevokeLease(ctx, lease); err != nil {
		m.config.Log.Info("Could not revoke the lease; it will expire after its TTL.", "lease", lease, "error", err.Error())
	}
}

func (m *Manager) currentLeadership() leadership {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leadership
}

func (m *Manager) setLeadership(l leadership) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leadership = l
}

// IsLeader reports whether this VM is the leader and may request promotions.
func (m *Manager) IsLeader() bool {
	current := m.currentLeadership()
	return current.lease != 0 && m.config.Timer.SinceBoot() < current.validUntil
}
