// Package failover watches the members of databases, decides what is durable and
// gives a database a new primary when it needs one.
package failover

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"amaranthdock.dev/api/amaranthdock/endpoint/v1/endpointv1connect"
	"amaranthdock.dev/api/amaranthdock/peer/v1/peerv1connect"
	"amaranthdock.dev/decision/promotion"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/declaration"
	"amaranthdock.dev/proxy/platform"
	"amaranthdock.dev/timer"
)

// reconcileInterval bounds the time until a change of membership is noticed.
const reconcileInterval = 50 * time.Millisecond

// defaultHandoverTime is how long a database is watched after its endpoints have moved to
// other homes, as long as a shutdown lasts at most. Until then the writes and the
// open transactions of this VM end, and their commits need the watch.
const defaultHandoverTime = 40 * time.Second

// Directory tells which VMs are live.
type Directory interface {
	Address(vm string) (netip.AddrPort, bool)
	Incarnation(vm string) (uint64, bool)
	Live() []routing.VM
	Self() routing.VM
}

// Configuration provides the configuration in effect.
type Configuration interface {
	// Current returns nil until the first configuration arrives.
	Current() *declaration.Snapshot
	Subscribe() (changes <-chan struct{}, cancel func())
}

// Store is the platform's key-value service.
type Store interface {
	CompareAndSwap(ctx context.Context, key string, value []byte, expected uint64) (entry platform.Entry, swapped bool, err error)
	Get(ctx context.Context, key string) (platform.Entry, error)
}

// Config configures a Part.
type Config struct {
	Configuration Configuration
	// Dial returns a client for a peer.
	Dial func(address netip.AddrPort) peerv1connect.PeerServiceClient
	// DialEndpoint returns a client for a database member.
	DialEndpoint func(address netip.AddrPort) endpointv1connect.EndpointServiceClient
	Directory    Directory
	// HandoverTime is how long a database is watched after its endpoints have
	// moved to other homes; 40 s, the bound of a shutdown, if 0.
	HandoverTime time.Duration
	Logger       logr.Logger
	// Random returns a value in [0, 1) and is safe for concurrent use.
	Random   func() float64
	Registry metrics.Registry
	// SampleInterval between two status samples of all members, on which the
	// age of replicas and the confirmation of primaries rest; 100 ms if 0.
	SampleInterval time.Duration
	Store          Store
	Timer          timer.Service
}

// Manager watches the databases with an endpoint that is homed at this VM.
type Manager struct {
	config Config

	// reconciled is what the watches were last brought up to; only Run uses it.
	reconciled reconciled

	// attend wakes Run when a database is attended anew.
	attend chan struct{}

	mu sync.Mutex
	// attended databases are watched until the time although they have no
	// endpoint that is homed here.
	attended  map[string]time.Time
	databases map[string]*database
	views     map[string]*cachedView
	fetching  map[string]bool
	// background ends with Run.
	background context.Context
	tasks      sync.WaitGroup
}

// New returns a Part that watches nothing until it runs.
func New(config Config) (*Manager, error) {
	if config.Configuration == nil || config.Directory == nil || config.Store == nil || config.Timer == nil {
		return nil, eris.New("failover: configuration, directory, store and timer are required")
	}
	if config.Dial == nil || config.DialEndpoint == nil || config.Random == nil {
		return nil, eris.New("failover: the dial functions and the random source are required")
	}
	if config.Registry == nil {
		config.Registry = metrics.NewRegistry()
	}
	if config.HandoverTime <= 0 {
		config.HandoverTime = defaultHandoverTime
	}
	if config.SampleInterval <= 0 {
		config.SampleInterval = defaultSampleInterval
	}
	return &Manager{
		attend:    make(chan struct{}, 1),
		attended:  map[string]time.Time{},
		config:    config,
		databases: map[string]*database{},
		views:     map[string]*cachedView{},
		fetching:  map[string]bool{},
	}, nil
}

// Run watches the databases until the context ends.
func (p *Manager) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer p.tasks.Wait()
	defer cancel()
	p.mu.Lock()
	p.background = ctx
	p.mu.Unlock()
	changes, unsubscribe := p.config.Configuration.Subscribe()
	defer unsubscribe()
	ticks := p.config.Timer.Every(reconcileInterval)
	defer ticks.Stop()
	for {
		p.reconcile(ctx)
		select {
		case <-ctx.Done():
			p.stopAll()
			return nil
		case <-changes:
		case <-p.attend:
		case <-ticks.C():
		}
	}
}

// reconciled is a configuration and a membership. Ranking the endpoints of all
// databases costs too much to be done on every tick.
type reconciled struct {
	snapshot *declaration.Snapshot
	live     []routing.VM
	attended []string
}

// reconcile starts and stops the watches of databases as homes move.
func (p *Manager) reconcile(ctx context.Context) {
	snapshot := p.config.Configuration.Current()
	if snapshot == nil {
		return
	}
	live := p.config.Directory.Live()
	attended := p.takeAttended()
	if p.reconciled.snapshot == snapshot && slices.Equal(p.reconciled.live, live) &&
		slices.Equal(p.reconciled.attended, attended) {
		return
	}
	p.reconciled = reconciled{
		snapshot: snapshot,
		live:     live,
		attended: attended,
	}
	self := p.config.Directory.Self().Name
	wanted := map[string]bool{}
	for _, declared := range snapshot.Databases() {
		claimants := claimants(snapshot, declared, live)
		rank := slices.Index(claimants, self)
		d, watched := p.find(declared.Name)
		switch {
		case rank >= 0:
			d = p.ensure(ctx, snapshot, declared)
			d.homed = true
		case watched && d.homed:
			d.homed = false
			p.extend(declared.Name, p.config.HandoverTime)
			rank = len(claimants)
		case slices.Contains(attended, declared.Name):
			d = p.ensure(ctx, snapshot, declared)
			rank = len(claimants)
		default:
			continue
		}
		wanted[declared.Name] = true
		d.update(ctx, snapshot, declared, claimants, rank)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, d := range p.databases {
		if !wanted[name] {
			d.cancel()
			delete(p.databases, name)
			p.config.Logger.V(1).Info("failover: watch ended", "database", name)
		}
	}
}

// claimants returns the VMs that watch a database, the homes of its endpoints,
// in the order in which they claim terms.
func claimants(snapshot *declaration.Snapshot, declared *declaration.Database, live []routing.VM) []string {
	homes := map[string]routing.VM{}
	for _, e := range declared.Endpoints {
		if home, ok := routing.Home(e.Name, e.DataCentre, snapshot.RegionOf(e.DataCentre), live); ok {
			homes[home.Name] = home
		}
	}
	var names []string
	for _, v := range routing.Rank(declared.Name, slices.Collect(maps.Values(homes))) {
		names = append(names, v.Name)
	}
	return names
}

// ensure returns the watch of a database and starts it if there is none.
func (p *Manager) ensure(ctx context.Context, snapshot *declaration.Snapshot, declared *declaration.Database) *database {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d, ok := p.databases[declared.Name]; ok {
		return d
	}
	self := p.config.Directory.Self().Name
	incarnation, _ := p.config.Directory.Incarnation(self)
	ctx, cancel := context.WithCancel(ctx)
	d := &database{
		part:    p,
		name:    declared.Name,
		cancel:  cancel,
		watches: map[string]*watch{},
		changed: make(chan struct{}),
		catchUp: map[string]time.Duration{},
		trail:   promotion.NewDataAgeTracker(trailInterval),
		monitor: promotion.New(promotion.Config{
			Database: declared.Name,
			// Two watches of one run must not share a claimant either.
			Claimant:    fmt.Sprintf("%s/%d/%d", self, incarnation, p.config.Timer.Now().UnixNano()),
			Members:     toMembers(snapshot, declared),
			StoreRegion: snapshot.StoreRegion(),
			StartedAt:   p.config.Timer.Now(),
		}),
	}
	p.databases[declared.Name] = d
	p.tasks.Go(func() { d.runSteps(ctx) })
	p.tasks.Go(func() { d.runSamples(ctx) })
	p.config.Logger.V(1).Info("failover: watch started", "database", declared.Name)
	return d
}

func (p *Manager) find(name string) (*database, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d, ok := p.databases[name]
	return d, ok
}

func (p *Manager) findByEndpoint(endpoint string) (*database, bool) {
	snapshot := p.config.Configuration.Current()
	if snapshot == nil {
		return nil, false
	}
	declared, ok := snapshot.DatabaseOf(endpoint)
	if !ok {
		return nil, false
	}
	return p.find(declared.Name)
}

func (p *Manager) stopAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, d := range p.databases {
		d.cancel()
		delete(p.databases, name)
	}
}

func toMembers(snapshot *declaration.Snapshot, declared *declaration.Database) []promotion.Member {
	members := make([]promotion.Member, 0, len(declared.Endpoints))
	for _, e := range declared.Endpoints {
		members = append(members, promotion.Member{
			Endpoint: e.Name,
			Region:   snapshot.RegionOf(e.DataCentre),
			Leaving:  e.Leaving,
		})
	}
	return members
}
