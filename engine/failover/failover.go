// Package failover orders the promotion of a new primary where one is gone, cannot
// be reached, or is leaving. Only the VM that holds the lease does so, and each order
// has a higher number than all before.
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
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/engine/store"
	"amaranthdock.dev/engine/view"
	"amaranthdock.dev/timer"
)

const (
	// tick between two looks at the databases.
	tick = 150 * time.Millisecond
	// verifyPause between two verifications of one primary.
	verifyPause = 400 * time.Millisecond
	// verifiers are asked at most, besides the leader: all others of a small fleet, and
	// enough of a large one that a group which is cut off is not their majority.
	verifiers = 8
	// confirmTimeout for the answer of a VM that tries an endpoint.
	confirmTimeout = endpoint.ControlTimeout + 200*time.Millisecond
)

// Promoter promotes endpoints.
type Promoter interface {
	// Promote orders an endpoint to lead its database. An order without an answer may
	// still be carried out, unless one with a higher number was.
	Promote(ctx context.Context, database, id, holder string, number uint64) error
}

// Prober asks endpoints for their reports.
type Prober interface {
	// RunControlCommand runs Status or StepDown at an endpoint.
	RunControlCommand(ctx context.Context, target catalog.Endpoint, command endpoint.Command) (*endpoint.Report, error)
}

// StoreStatus tells how the store answers this VM.
type StoreStatus interface {
	StoreReachable() bool
	StoreHealthyFor() time.Duration
	RefreshReports()
}

// Config configures a Part.
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

// Manager looks after the primaries while this VM leads, and passes suspicions on while
// another does.
type Manager struct {
	config Config
	orders metrics.Counter

	mu        sync.Mutex
	lead      lead
	databases map[string]*database
}

// database is what the leader remembers of one database.
type database struct {
	busy bool
	// The times are readings of the clock that goes on while the VM is suspended; 0
	// for never.
	missingSince   time.Duration
	suspectedSince time.Duration
	suspectedAt    time.Duration
	suspect        catalog.EndpointKey
	verifyAfter    time.Duration
	orderedAt      time.Duration
	lastPrimary    catalog.Endpoint
	// replicas holds when each was reported last.
	replicas map[catalog.EndpointKey]time.Duration
}

// New returns a Part that does nothing yet.
func New(config Config) *Manager {
	return &Manager{
		config:    config,
		orders:    metrics.GetOrRegisterCounter("failover.orders", config.Registry),
		databases: map[string]*database{},
	}
}

// ReportUnreachable takes this VM's own word that it does not reach an endpoint, and passes
// it on to the leader if the endpoint leads its database.
func (p *Manager) ReportUnreachable(target catalog.Endpoint) {
	primary, ok := p.config.View.Primary(target.Database)
	if !ok || primary.Key != target.Key {
		return
	}
	p.Suspect(target)
	vms := p.config.View.VMs()
	leader, ok := vms.ByName[vms.Leader]
	if !ok || leader.Name == p.config.View.Self().Name {
		return
	}
	go func() {
		request := &peer.Suspicion{
			From:   p.config.View.Self().Name,
			Target: target,
		}
		if err := p.config.Clients.Call(context.Background(), leader, "Suspect", request, &peer.Empty{}, confirmTimeout); err != nil {
			p.config.Log.Info("The leader could not be told of a lost endpoint.", "peer", leader.Name, "endpoint", target.Key.ID, "error", err.Error())
		}
	}()
}

// Suspect records that a home does not reach a primary.
func (p *Manager) Suspect(target catalog.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.database(target.Database)
	now := p.config.Timer.SinceBoot()
	if d.suspect != target.Key || now-d.suspectedAt > takeover.SuspicionTTL {
		d.suspect = target.Key
		d.suspectedSince = now
	}
	d.suspectedAt = now
}

// Probe tries to reach an endpoint for another VM.
func (p *Manager) Probe(ctx context.Context, target catalog.Endpoint) bool {
	return p.reaches(ctx, target)
}

// ApplyPromotion takes the leader's word of a promotion.
func (p *Manager) ApplyPromotion(promotion *peer.PromotionNotice) {
	p.config.View.RecordPromotion(promotion.Database, promotion.Endpoint, promotion.Leads)
}

// Run looks after the databases until the context ends.
func (p *Manager) Run(ctx context.Context) {
	ticks := p.config.Timer.Every(tick)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C():
		case <-ctx.Done():
			return
		}
		configuration := p.config.View.Configuration()
		if configuration == nil || !p.IsLeader() {
			continue
		}
		for name := range configuration.Databases {
			p.attend(ctx, name)
		}
	}
}

// attend decides about one database.
func (p *Manager) attend(ctx context.Context, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.database(name)
	if d.busy {
		return
	}
	primary, reported := p.config.View.Primary(name)
	now := p.config.Timer.SinceBoot()
	d.remember(p.config.View.Members(name), primary, now)
	switch {
	case reported:
		d.missingSince = 0
		d.lastPrimary = primary
	case d.missingSince == 0:
		d.missingSince = now
		p.config.StoreStatus.RefreshReports()
	}
	situation := takeover.DatabaseState{
		PrimaryReported: reported,
		PrimaryDraining: primary.Draining,
		StoreHealthyFor: p.config.StoreStatus.StoreHealthyFor(),
		Ordered:         d.orderedAt != 0,
		SinceOrder:      now - d.orderedAt,
	}
	if d.missingSince != 0 {
		situation.MissingFor = now - d.missingSince
	}
	if reported && d.suspect == primary.Key && now-d.suspectedAt < takeover.SuspicionTTL && now >= d.verifyAfter {
		situation.SuspectedFor = max(now-d.suspectedSince, 1)
	}
	switch takeover.Decide(situation).(type) {
	case takeover.VerifyPrimary:
		p.start(d, func() { p.verify(ctx, name, primary) })
	case takeover.Switchover:
		p.start(d, func() { p.handOver(ctx, name, primary) })
	case takeover.Failover:
		p.start(d, func() { p.replace(ctx, name, d.lastPrimary, "no primary is reported") })
	}
}

// remember records which replicas there are.
func (d *database) remember(members []catalog.Endpoint, primary catalog.Endpoint, now time.Duration) {
	for _, e := range members {
		if e.Key != primary.Key {
			d.replicas[e.Key] = now
		}
	}
	delete(d.replicas, primary.Key)
	for key, seen := range d.replicas {
		if now-seen > takeover.ReplicaRetention {
			delete(d.replicas, key)
		}
	}
}

// knownReplicas counts the replicas that may hold acknowledged commits, without the old
// primary.
func (p *Manager) knownReplicas(name string, old catalog.Endpoint) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for key := range p.database(name).replicas {
		if key != old.Key {
			count++
		}
	}
	return count
}

// start runs one thing at a time for a database. The caller holds the lock.
func (p *Manager) start(d *database, run func()) {
	d.busy = true
	go func() {
		run()
		p.mu.Lock()
		defer p.mu.Unlock()
		d.busy = false
	}()
}

// database returns what is remembered. The caller holds the lock.
func (p *Manager) database(name string) *database {
	d, ok := p.databases[name]
	if !ok {
		d = &database{replicas: map[catalog.EndpointKey]time.Duration{}}
		p.databases[name] = d
	}
	return d
}

// verify replaces a primary that neither this VM nor another one reaches.
func (p *Manager) verify(ctx context.Context, name string, primary catalog.Endpoint) {
	answers := p.ask(ctx, primary)
	p.config.Log.Info("Verified a suspected primary.", "database", name, "endpoint", primary.Key.ID, "leaderReached", answers.LeaderReached,
		"reached", answers.Reached, "unreached", answers.Unreached)
	if answers.ConfirmsLoss() {
		p.replace(ctx, name, primary, "nobody reaches the primary")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.database(name).verifyAfter = p.config.Timer.SinceBoot() + verifyPause
}

// ask tries the primary from this VM and from some others.
func (p *Manager) ask(ctx context.Context, primary catalog.Endpoint) takeover.ReachabilityResults {
	peers := p.config.View.Homes(primary)
	type word struct{ asked, reached bool }
	words := make(chan word, verifiers)
	asked := 0
	for _, vm := range peers {
		if vm.Name == p.config.View.Self().Name || asked == verifiers {
			continue
		}
		asked++
		go func() {
			var answer peer.ConfirmResponse
			request := &peer.Suspicion{
				From:   p.config.View.Self().Name,
				Target: primary,
			}
			err := p.config.Clients.Call(ctx, vm, "Confirm", request, &answer, confirmTimeout)
			words <- word{
				asked:   err == nil,
				reached: answer.Reached,
			}
		}()
	}
	answers := takeover.ReachabilityResults{
		Asked:         asked,
		LeaderReached: p.reaches(ctx, primary),
	}
	for range asked {
		switch w := <-words; {
		case w.reached:
			answers.Reached++
		case w.asked:
			answers.Unreached++
		}
	}
	return answers
}

// reaches tells whether an endpoint answers this VM at all.
func (p *Manager) reaches(ctx context.Context, target catalog.Endpoint) bool {
	_, err := p.config.Prober.RunControlCommand(ctx, target, endpoint.Status{})
	if err == nil {
		return true
	}
	return isRefusal(err)
}
