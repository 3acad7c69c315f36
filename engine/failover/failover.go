// Package failover promotes a new primary when the primary of a database is gone, is
// unreachable, or is draining. Only the leader, the VM that holds the failover lease,
// requests promotions. Each request carries a fencing token that is higher than all
// earlier ones of the database.
package failover

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/decision/takeover"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/endpoint"
	"amaranthdock.dev/engine/guard"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/engine/store"
	"amaranthdock.dev/engine/view"
	"amaranthdock.dev/timer"
)

const (
	// checkInterval is the time between two checks of all databases.
	checkInterval = 150 * time.Millisecond
	// verifyInterval is the minimum time between two verifications of the same primary.
	verifyInterval = 400 * time.Millisecond
	// maxVerifiers is the maximum number of VMs besides the leader that probe a suspected
	// primary: all other VMs of a small fleet, and enough of a large fleet that a group
	// of partitioned VMs is not the majority of them.
	maxVerifiers = 8
	// peerCallTimeout bounds a call to another VM, which may probe an endpoint before it
	// responds.
	peerCallTimeout = endpoint.ControlTimeout + 200*time.Millisecond
)

// Promoter requests promotions from the platform.
type Promoter interface {
	// Promote makes an endpoint the primary of its database. holder is the VM that
	// requests it and token is the fencing token. A request that returned an error may
	// still take effect later, unless one with a higher token took effect before.
	Promote(ctx context.Context, database, id, holder string, token uint64) error
}

// Prober queries the status of endpoints.
type Prober interface {
	// RunControlCommand runs Status or StepDown at an endpoint and returns its report.
	RunControlCommand(ctx context.Context, target catalog.Endpoint, command endpoint.Command) (*endpoint.Report, error)
	// ServesWell reports whether an endpoint of which this VM is the home has served statements
	// recently and fails few of them.
	ServesWell(target catalog.Endpoint) bool
}

// StoreStatus is the state of this VM's connection to the store.
type StoreStatus interface {
	// StoreReachable reports whether the store has responded to this VM recently.
	StoreReachable() bool
	// StoreHealthyFor returns how long the store has responded to this VM without a
	// failure; 0 if it is unreachable.
	StoreHealthyFor() time.Duration
	// RefreshReports requests a read of the endpoints' reports from the store, and RefreshFleet
	// one of the registrations and the leader's key.
	RefreshReports()
	RefreshFleet()
	// Intents returns the intents in the last read of the registrations; nil if there was none.
	Intents() *store.Intents
}

// Config configures a Manager.
type Config struct {
	View        *view.View
	Store       store.Store
	StoreStatus StoreStatus
	Clients     *peer.Clients
	Prober      Prober
	Promoter    Promoter
	Timer       timer.Service
	Log         logr.Logger
	Registry    metrics.Registry
}

// Manager monitors and replaces the primaries while this VM is the leader. On all other
// VMs it reports unreachable primaries to the leader.
type Manager struct {
	config              Config
	promotionRequests   metrics.Counter
	unansweredRequests  metrics.Counter
	recordedIntents     metrics.Counter
	resumedReplacements metrics.Counter
	discardedIntents    metrics.Counter

	mu         sync.Mutex
	leadership leadership
	databases  map[string]*databaseState
	// intentsRemovedBy is the revision of the leadership that has removed intents last.
	intentsRemovedBy uint64
}

// databaseState is the leader's state of one database.
type databaseState struct {
	// busy is set while a verification, a switchover or a replacement runs.
	busy bool
	// All times are boot-clock readings, which advance while the VM is suspended; 0
	// means never.
	primaryMissingSince  time.Duration
	suspectedSince       time.Duration
	lastSuspectedAt      time.Duration
	suspectedKey         catalog.EndpointKey
	verifyAfter          time.Duration
	promotionRequestedAt time.Duration
	switchoverAfter      time.Duration
	lastPrimary          catalog.Endpoint
	// failingKey is the primary that its home, failingReporter, reported as failing at failingAt.
	// failingReplacedAt is when a primary was last replaced for that reason.
	failingKey        catalog.EndpointKey
	failingReporter   string
	failingAt         time.Duration
	failingReplacedAt time.Duration
	intent            intentState
	// replicaLastSeen holds the time at which each replica was last reported.
	replicaLastSeen map[catalog.EndpointKey]time.Duration
}

// New returns a Manager. Start it with Run and Campaign.
func New(config Config) *Manager {
	return &Manager{
		config:              config,
		promotionRequests:   metrics.GetOrRegisterCounter("failover.orders", config.Registry),
		unansweredRequests:  metrics.GetOrRegisterCounter("failover.unanswered", config.Registry),
		recordedIntents:     metrics.GetOrRegisterCounter("failover.intents.recorded", config.Registry),
		resumedReplacements: metrics.GetOrRegisterCounter("failover.intents.resumed", config.Registry),
		discardedIntents:    metrics.GetOrRegisterCounter("failover.intents.discarded", config.Registry),
		databases:           map[string]*databaseState{},
	}
}

// ReportUnreachable records that an endpoint does not respond to this VM. If the endpoint
// is the primary of its database, the leader is notified.
func (m *Manager) ReportUnreachable(target catalog.Endpoint) {
	primary, ok := m.config.View.Primary(target.Database)
	if !ok || primary.Key != target.Key {
		return
	}
	m.Suspect(target)
	m.notifyLeader(&peer.Suspicion{
		From:   m.config.View.Self().Name,
		Target: target,
	})
}

// Suspect records that a VM does not reach a primary.
func (m *Manager) Suspect(target catalog.Endpoint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.databaseState(target.Database)
	now := m.config.Timer.SinceBoot()
	if d.suspectedKey != target.Key || now-d.lastSuspectedAt > takeover.SuspicionTTL {
		d.suspectedKey = target.Key
		d.suspectedSince = now
	}
	d.lastSuspectedAt = now
}

// Probe probes an endpoint on behalf of the leader and reports whether it responds.
func (m *Manager) Probe(ctx context.Context, target catalog.Endpoint) bool {
	return m.responds(ctx, target)
}

// ApplyPromotion applies a promotion announced by the leader to the view.
func (m *Manager) ApplyPromotion(promotion *peer.PromotionNotice) {
	m.config.View.RecordPromotion(promotion.Database, promotion.Endpoint, promotion.Leads)
}

// Run checks all databases periodically while this VM is the leader, until the context
// ends.
func (m *Manager) Run(ctx context.Context) {
	ticks := m.config.Timer.Every(checkInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C():
		case <-ctx.Done():
			return
		}
		configuration := m.config.View.Configuration()
		if configuration == nil || !m.IsLeader() {
			continue
		}
		m.adoptIntents(ctx, configuration.Databases)
		for name := range configuration.Databases {
			m.checkDatabase(ctx, name)
		}
	}
}

// checkDatabase updates the state of one database and starts a verification, a switchover
// or a replacement of its primary if one is due.
func (m *Manager) checkDatabase(ctx context.Context, name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.databaseState(name)
	if d.busy {
		return
	}
	primary, primaryReported := m.config.View.ReportedPrimary(name)
	now := m.config.Timer.SinceBoot()
	d.recordReplicas(m.config.View.Members(name), primary, now)
	switch {
	case primaryReported:
		d.primaryMissingSince = 0
		d.lastPrimary = primary
	case d.primaryMissingSince == 0:
		d.primaryMissingSince = now
		m.config.StoreStatus.RefreshReports()
	}
	state := takeover.DatabaseState{
		PrimaryReported:       primaryReported,
		PrimaryDraining:       (primary.Draining || m.mustEvacuate(primary, primaryReported)) && now >= d.switchoverAfter,
		PrimaryFailing:        primaryReported && d.isFailing(primary, now),
		StoreHealthyFor:       m.config.StoreStatus.StoreHealthyFor(),
		PromotionRequested:    d.promotionRequestedAt != 0,
		SincePromotionRequest: now - d.promotionRequestedAt,
		IntentPending:         d.intent.isDue(primaryReported, now),
		RequestOutstanding:    d.intent.unanswered,
	}
	if d.primaryMissingSince != 0 {
		state.PrimaryMissingFor = now - d.primaryMissingSince
	}
	if primaryReported && d.suspectedKey == primary.Key && now-d.lastSuspectedAt < takeover.SuspicionTTL && now >= d.verifyAfter {
		state.PrimarySuspectedFor = max(now-d.suspectedSince, 1)
	}
	switch takeover.Decide(state).(type) {
	case takeover.VerifyPrimary:
		m.runExclusive(d, func() { m.verify(ctx, name, primary) })
	case takeover.ResumeReplacement:
		m.runExclusive(d, func() { m.resume(ctx, name) })
	case takeover.ReplaceFailing:
		m.runExclusive(d, func() { m.replaceFailing(ctx, name, primary) })
	case takeover.Switchover:
		m.runExclusive(d, func() { m.switchOver(ctx, name, primary) })
	case takeover.Failover:
		m.runExclusive(d, func() { m.replacePrimary(ctx, name, d.lastPrimary, "no primary is reported") })
	}
}

// recordReplicas updates the times at which replicas were last reported and removes
// outdated entries.
func (d *databaseState) recordReplicas(members []catalog.Endpoint, primary catalog.Endpoint, now time.Duration) {
	for _, e := range members {
		if e.Key != primary.Key {
			d.replicaLastSeen[e.Key] = now
		}
	}
	delete(d.replicaLastSeen, primary.Key)
	for key, seen := range d.replicaLastSeen {
		if now-seen > takeover.ReplicaRetention {
			delete(d.replicaLastSeen, key)
		}
	}
}

// knownReplicas returns the number of replicas that may hold acknowledged commits. The old
// primary does not count.
func (m *Manager) knownReplicas(name string, old catalog.Endpoint) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for key := range m.databaseState(name).replicaLastSeen {
		if key != old.Key {
			count++
		}
	}
	return count
}

// runExclusive runs an action in the background and marks the database as busy until it
// returns. The caller holds the lock.
func (m *Manager) runExclusive(d *databaseState, run func()) {
	d.busy = true
	go func() {
		defer func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			d.busy = false
		}()
		defer guard.Recover(m.config.Log, "replacement of a primary")
		run()
	}()
}

// databaseState returns the state of a database and creates it if necessary. The caller
// holds the lock.
func (m *Manager) databaseState(name string) *databaseState {
	d, ok := m.databases[name]
	if !ok {
		d = &databaseState{replicaLastSeen: map[catalog.EndpointKey]time.Duration{}}
		m.databases[name] = d
	}
	return d
}

// verify probes a suspected primary from several VMs and replaces it if they confirm that
// it is unreachable. It reports whether they did.
func (m *Manager) verify(ctx context.Context, name string, primary catalog.Endpoint) bool {
	reachability := m.probeFromPeers(ctx, primary)
	m.config.Log.Info("Probed a suspected primary from several VMs.", "database", name, "endpoint", primary.Key.ID, "leaderReached", reachability.LeaderReached,
		"reached", reachability.SuccessCount, "unreached", reachability.FailureCount)
	if reachability.ConfirmsLoss() {
		m.replacePrimary(ctx, name, primary, "no VM reached the primary")
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.databaseState(name).verifyAfter = m.config.Timer.SinceBoot() + verifyInterval
	return false
}

// probeFromPeers probes the primary from this VM and from up to maxVerifiers others.
func (m *Manager) probeFromPeers(ctx context.Context, primary catalog.Endpoint) takeover.ReachabilityResults {
	peers := m.config.View.Homes(primary, maxVerifiers+1)
	type probeResult struct{ responded, reached bool }
	results := make(chan probeResult, maxVerifiers)
	asked := 0
	for _, vm := range peers {
		if vm.Name == m.config.View.Self().Name || asked == maxVerifiers {
			continue
		}
		asked++
		go func() {
			var response peer.ConfirmResponse
			request := &peer.Suspicion{
				From:   m.config.View.Self().Name,
				Target: primary,
			}
			err := m.config.Clients.Call(ctx, vm, "Confirm", request, &response, peerCallTimeout)
			results <- probeResult{
				responded: err == nil,
				reached:   response.Reached,
			}
		}()
	}
	reachability := takeover.ReachabilityResults{
		AskedCount:    asked,
		LeaderReached: m.responds(ctx, primary),
	}
	for range asked {
		switch result := <-results; {
		case result.reached:
			reachability.SuccessCount++
		case result.responded:
			reachability.FailureCount++
		}
	}
	return reachability
}

// responds reports whether an endpoint responds to this VM. An error reply counts as a
// response. An endpoint that may get no control commands counts as responding.
func (m *Manager) responds(ctx context.Context, target catalog.Endpoint) bool {
	if !m.mayControl(target) {
		return true
	}
	_, err := m.config.Prober.RunControlCommand(ctx, target, endpoint.Status{})
	if err == nil {
		return true
	}
	return isEndpointError(err)
}
