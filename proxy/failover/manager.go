// Package failover monitors the members of databases, determines which writes are
// durable and promotes a new primary when a database needs one.
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

// reconcileInterval is the longest time until a membership change takes effect.
const reconcileInterval = 50 * time.Millisecond

// defaultHandoverGracePeriod is how long a database is still watched after its
// endpoints have moved to other homes. It equals the maximum duration of a shutdown:
// in that time this VM's writes and open transactions finish, and their commits need
// the watch.
const defaultHandoverGracePeriod = 40 * time.Second

// Directory looks up VMs and lists the live ones.
type Directory interface {
	Address(vm string) (netip.AddrPort, bool)
	Incarnation(vm string) (uint64, bool)
	Live() []routing.VM
	Self() routing.VM
}

// Configuration provides the active configuration.
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

// Config configures a Manager.
type Config struct {
	Configuration Configuration
	// Dial returns a client for a peer.
	Dial func(address netip.AddrPort) peerv1connect.PeerServiceClient
	// DialEndpoint returns a client for a database member.
	DialEndpoint func(address netip.AddrPort) endpointv1connect.EndpointServiceClient
	Directory    Directory
	// HandoverGracePeriod is how long a database is still watched after its
	// endpoints have moved to other homes. 0 means 40 s, the maximum duration of a
	// shutdown.
	HandoverGracePeriod time.Duration
	Logger              logr.Logger
	// Random returns a value in [0, 1) and is safe for concurrent use.
	Random   func() float64
	Registry metrics.Registry
	// SampleInterval is the interval at which all members are queried for their
	// status. The data age of replicas and the confirmation of primaries are derived
	// from these samples. 0 means 100 ms.
	SampleInterval time.Duration
	Store          Store
	Timer          timer.Service
}

// Manager watches the databases that have an endpoint whose home is this VM.
type Manager struct {
	config Config

	// lastInputs are the inputs of the last reconciliation. Only Run uses them.
	lastInputs reconcileInputs

	// wake triggers a reconciliation when a temporary watch is added.
	wake chan struct{}

	mu sync.Mutex
	// temporaryUntil holds the expiry times of temporary watches, by database. These
	// databases are watched although this VM is not the home of any of their
	// endpoints.
	temporaryUntil map[string]time.Time
	databases      map[string]*databaseWatch
	cachedViews    map[string]*cachedView
	fetchingViews  map[string]bool
	// runContext is the context of Run, for background tasks.
	runContext context.Context
	tasks      sync.WaitGroup
}

// New returns a Manager that watches no database until Run is called.
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
	if config.HandoverGracePeriod <= 0 {
		config.HandoverGracePeriod = defaultHandoverGracePeriod
	}
	if config.SampleInterval <= 0 {
		config.SampleInterval = defaultSampleInterval
	}
	return &Manager{
		wake:           make(chan struct{}, 1),
		temporaryUntil: map[string]time.Time{},
		config:         config,
		databases:      map[string]*databaseWatch{},
		cachedViews:    map[string]*cachedView{},
		fetchingViews:  map[string]bool{},
	}, nil
}

// Run watches the databases until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer m.tasks.Wait()
	defer cancel()
	m.mu.Lock()
	m.runContext = ctx
	m.mu.Unlock()
	changes, unsubscribe := m.config.Configuration.Subscribe()
	defer unsubscribe()
	ticks := m.config.Timer.Every(reconcileInterval)
	defer ticks.Stop()
	for {
		m.reconcile(ctx)
		select {
		case <-ctx.Done():
			m.stopAll()
			return nil
		case <-changes:
		case <-m.wake:
		case <-ticks.C():
		}
	}
}

// reconcileInputs are the inputs of a reconciliation. While they are unchanged,
// reconciliations are skipped, because ranking the endpoints of all databases on every
// tick is too expensive.
type reconcileInputs struct {
	snapshot  *declaration.Snapshot
	live      []routing.VM
	temporary []string
}

// reconcile starts and stops watches of databases when endpoints change homes and when
// temporary watches are added or expire.
func (m *Manager) reconcile(ctx context.Context) {
	snapshot := m.config.Configuration.Current()
	if snapshot == nil {
		return
	}
	live := m.config.Directory.Live()
	temporary := m.pruneTemporaryWatches()
	if m.lastInputs.snapshot == snapshot && slices.Equal(m.lastInputs.live, live) &&
		slices.Equal(m.lastInputs.temporary, temporary) {
		return
	}
	m.lastInputs = reconcileInputs{
		snapshot:  snapshot,
		live:      live,
		temporary: temporary,
	}
	self := m.config.Directory.Self().Name
	wanted := map[string]bool{}
	for _, declared := range snapshot.Databases() {
		claimants := rankClaimants(snapshot, declared, live)
		rank := slices.Index(claimants, self)
		d, watched := m.findWatch(declared.Name)
		switch {
		case rank >= 0:
			d = m.ensureWatch(ctx, snapshot, declared)
			d.isHome = true
		case watched && d.isHome:
			d.isHome = false
			m.extendTemporaryWatch(declared.Name, m.config.HandoverGracePeriod)
			rank = len(claimants)
		case slices.Contains(temporary, declared.Name):
			d = m.ensureWatch(ctx, snapshot, declared)
			rank = len(claimants)
		default:
			continue
		}
		wanted[declared.Name] = true
		d.updateMembers(ctx, snapshot, declared, claimants, rank)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, d := range m.databases {
		if !wanted[name] {
			d.cancel()
			delete(m.databases, name)
			m.config.Logger.V(1).Info("failover: watch ended", "database", name)
		}
	}
}

// rankClaimants returns the VMs that watch a database (the homes of its endpoints) in
// the order in which they claim terms.
func rankClaimants(snapshot *declaration.Snapshot, declared *declaration.Database, live []routing.VM) []string {
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

// ensureWatch returns the watch of a database and starts one if there is none.
func (m *Manager) ensureWatch(ctx context.Context, snapshot *declaration.Snapshot, declared *declaration.Database) *databaseWatch {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d, ok := m.databases[declared.Name]; ok {
		return d
	}
	self := m.config.Directory.Self().Name
	incarnation, _ := m.config.Directory.Incarnation(self)
	ctx, cancel := context.WithCancel(ctx)
	d := &databaseWatch{
		manager:          m,
		name:             declared.Name,
		cancel:           cancel,
		streams:          map[string]*statusStream{},
		changed:          make(chan struct{}),
		meanCatchUp:      map[string]time.Duration{},
		primaryPositions: promotion.NewDataAgeTracker(positionInterval),
		monitor: promotion.New(promotion.Config{
			Database: declared.Name,
			// The time is included because two watches of the same process must not
			// use the same claimant name either.
			Claimant:    fmt.Sprintf("%s/%d/%d", self, incarnation, m.config.Timer.Now().UnixNano()),
			Members:     toMembers(snapshot, declared),
			StoreRegion: snapshot.StoreRegion(),
			StartedAt:   m.config.Timer.Now(),
		}),
	}
	m.databases[declared.Name] = d
	m.tasks.Go(func() { d.runSteps(ctx) })
	m.tasks.Go(func() { d.runSamples(ctx) })
	m.config.Logger.V(1).Info("failover: watch started", "database", declared.Name)
	return d
}

func (m *Manager) findWatch(name string) (*databaseWatch, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d, ok := m.databases[name]
	return d, ok
}

func (m *Manager) findWatchByEndpoint(endpoint string) (*databaseWatch, bool) {
	snapshot := m.config.Configuration.Current()
	if snapshot == nil {
		return nil, false
	}
	declared, ok := snapshot.DatabaseOf(endpoint)
	if !ok {
		return nil, false
	}
	return m.findWatch(declared.Name)
}

func (m *Manager) stopAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, d := range m.databases {
		d.cancel()
		delete(m.databases, name)
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
