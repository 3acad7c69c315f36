// Package vm wires the components of a VM's process together and manages their lifecycle.
package vm

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"amaranthdock.dev/decision/limits"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/decision/slowstart"
	"amaranthdock.dev/engine/budget"
	"amaranthdock.dev/engine/caller"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/endpoint"
	"amaranthdock.dev/engine/failover"
	"amaranthdock.dev/engine/gossip"
	"amaranthdock.dev/engine/guard"
	"amaranthdock.dev/engine/lending"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/engine/store"
	"amaranthdock.dev/engine/view"
	"amaranthdock.dev/timer"
)

const (
	// maintenanceInterval is the interval of runMaintenance.
	maintenanceInterval = 500 * time.Millisecond
	// storeWaitAtStart is how long a VM waits for the store after its start. If the store
	// is still unreachable then, the VM serves with the data from other VMs.
	storeWaitAtStart = 1500 * time.Millisecond
)

// Config configures a VM.
type Config struct {
	Self catalog.VM
	// Regions maps data centres to their regions.
	Regions map[string]string
	// Seeds are the addresses of VMs to contact while no other VM is known.
	Seeds []netip.AddrPort
	// Grace is the grace period: the time from the start of leaving to the end of the
	// process.
	Grace time.Duration
	// DrainLimit is the time after which an endpoint that is draining may get no new statements;
	// 0 for no limit.
	DrainLimit time.Duration
	// LimitTolerance is the fraction of a workspace's limit by which the fleet may exceed
	// it in any time window of length LimitWindow.
	LimitTolerance float64
	LimitWindow    time.Duration
	// EvacuationLimit is the time after which an evacuated data centre may get no more statements;
	// 0 if the deployment has no evacuations.
	EvacuationLimit time.Duration
	// ColdOverage and ColdSlack state how many requests a cold endpoint may get in one second:
	// its rate times ColdOverage, plus ColdSlack.
	ColdOverage float64
	ColdSlack   float64
	// UrgencyAcrossWorkspaces orders the statements of all workspaces by urgency, instead of
	// those of each workspace.
	UrgencyAcrossWorkspaces bool
	// Size is what this VM can carry.
	Size catalog.VMSize
	// Budget limits what callers, endpoints and VMs make this process hold; nil for no limits.
	Budget *budget.Budget
	// MaxDescriptors and MemoryMiB are the limits of the process; 0 if they are not known.
	MaxDescriptors      int
	MemoryMiB           int64
	Store               store.Store
	ConfigurationSource store.ConfigurationSource
	ReportSource        store.ReportSource
	// EvacuationSource is used if EvacuationLimit is above 0.
	EvacuationSource store.EvacuationSource
	Promoter         failover.Promoter
	Dialer           endpoint.Dialer
	// DialVM opens connections to other VMs. PeerListener accepts connections from them.
	DialVM       func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	PeerListener net.Listener
	Timer        timer.Service
	Log          logr.Logger
	Registry     metrics.Registry
	Random       *rand.Rand
}

// VM is one process of the proxy fleet.
type VM struct {
	config      Config
	view        *view.View
	clients     *peer.Clients
	home        *endpoint.Home
	limits      *lending.Limiter
	gossip      *gossip.Service
	store       *store.Syncer
	failover    *failover.Manager
	sessions    *caller.SessionManager
	connections *caller.ConnectionSet
	startedAt   time.Duration
	leaving     atomic.Bool
	ready       atomic.Bool
	// checkingFirstHome is set while checkFirstHome calls a VM.
	checkingFirstHome atomic.Bool
	// cutOff is set while this VM may not use its shares of limits any more. usedShares is set
	// once it could; only runMaintenance uses it.
	cutOff     atomic.Bool
	usedShares bool
	// grace is the grace period in nanoseconds; see Config.Grace.
	grace atomic.Int64

	// randomMu protects config.Random.
	randomMu sync.Mutex
}

// New creates the components of a VM. They start with Run.
func New(config Config) (*VM, error) {
	if config.Store == nil || config.ConfigurationSource == nil || config.ReportSource == nil || config.Promoter == nil || config.Dialer == nil {
		return nil, eris.New("vm: Config lacks Store, ConfigurationSource, ReportSource, Promoter or Dialer")
	}
	config.Self.Size = config.Size
	homeWeight := routing.HomeWeight(config.Size.Cores, config.Size.LinkMbps)
	metrics.GetOrRegisterGauge("fleet.homeWeight", config.Registry).Update(int64(homeWeight))
	v := &VM{
		config:      config,
		connections: caller.NewConnectionSet(config.Timer),
		startedAt:   config.Timer.SinceBoot(),
	}
	v.grace.Store(int64(config.Grace))
	v.clients = peer.NewClients(peer.ClientConfig{
		Dial:       config.DialVM,
		Budget:     config.Budget,
		Timer:      config.Timer,
		Log:        config.Log.WithName("peer"),
		OnResponse: func(vm string) { v.view.RecordContact(vm) },
	})
	v.view = view.New(view.Config{
		Self:        config.Self,
		Regions:     config.Regions,
		Timer:       config.Timer,
		Log:         config.Log.WithName("view"),
		Unreachable: v.clients.Unreachable,
		Leaving:     v.leaving.Load,
		DrainLimit:  config.DrainLimit,

		EvacuationLimit: config.EvacuationLimit,
	})
	v.store = store.New(store.Config{
		Store:               config.Store,
		ConfigurationSource: config.ConfigurationSource,
		ReportSource:        config.ReportSource,
		EvacuationSource:    v.evacuationSource(),
		View:                v.view,
		Timer:               config.Timer,
		Log:                 config.Log.WithName("store"),
		Registry:            config.Registry,
		Jitter:              v.randomFraction,
		HearsMostNeighbours: func() bool { return v.gossip.HearsMostNeighbours() },
		IsSeed:              slices.Contains(config.Seeds, config.Self.Address),
	})
	v.home = endpoint.New(endpoint.Config{
		Dialer:      config.Dialer,
		Timer:       config.Timer,
		Log:         config.Log.WithName("endpoint"),
		Registry:    config.Registry,
		Lookup:      v.view.Endpoint,
		IsFirstHome: v.view.IsFirstHome,
		Standing:    v.homeStanding,
		Coldness:    v.view.Coldness,
		ColdTolerance: slowstart.Config{
			Overage: config.ColdOverage,
			Slack:   config.ColdSlack,
		},
		CheckFirstHome:          v.checkFirstHome,
		ReportUnresponsive:      func(target catalog.Endpoint) { v.failover.ReportUnreachable(target) },
		ReportFailing:           func(target catalog.Endpoint) { v.failover.ReportFailing(target) },
		Places:                  v.view,
		UrgencyAcrossWorkspaces: config.UrgencyAcrossWorkspaces,
	})
	v.newDependentComponents()
	return v, nil
}

// newDependentComponents creates the components that depend on the view, the store and
// the home.
func (v *VM) newDependentComponents() {
	c := v.config
	v.limits = lending.New(lending.Config{
		Fleet:                 claimingFleet{View: v.view},
		Peers:                 v.clients,
		Timer:                 c.Timer,
		Log:                   c.Log.WithName("lending"),
		Registry:              c.Registry,
		Tolerance:             c.LimitTolerance,
		Window:                c.LimitWindow,
		UnregisteredFleetSize: v.unregisteredFleetSize,
		Start:                 v.store.Start,
		MayUseShares:          v.store.MayUseShares,

		UrgencyAcrossWorkspaces: c.UrgencyAcrossWorkspaces,
	})
	v.gossip = gossip.New(gossip.Config{
		View:        v.view,
		Clients:     v.clients,
		Store:       v.store,
		Timer:       c.Timer,
		Log:         c.Log.WithName("gossip"),
		Seeds:       c.Seeds,
		RandomIndex: v.randomIndex,
	})
	v.failover = failover.New(failover.Config{
		View:        v.view,
		Store:       c.Store,
		StoreStatus: v.store,
		Clients:     v.clients,
		Prober:      v.home,
		Promoter:    c.Promoter,
		Timer:       c.Timer,
		Log:         c.Log.WithName("failover"),
		Registry:    c.Registry,
	})
	v.sessions = caller.New(caller.Config{
		View:     v.view,
		Home:     v.home,
		Peers:    v.clients,
		Limiter:  v.limits,
		Joined:   func() bool { return v.isRegistered() || v.unregisteredFleetSize() > 0 },
		Timer:    c.Timer,
		Log:      c.Log.WithName("caller"),
		Registry: c.Registry,

		UrgencyAcrossWorkspaces: c.UrgencyAcrossWorkspaces,
	})
}

// claimingFleet is the fleet for the limits: the registered VMs, and those that have only a claim
// to shares of limits. VMs agree on them, whereas each VM knows by itself from which VMs it has
// received a message.
type claimingFleet struct{ *view.View }

// VMs returns the VMs that are registered or have a claim.
func (f claimingFleet) VMs() *catalog.VMSnapshot {
	registrations, _ := f.Registrations()
	return registrations
}

// Sessions returns the session manager, which opens the sessions of callers.
func (v *VM) Sessions() *caller.SessionManager { return v.sessions }

// Connections returns the open connections of callers.
func (v *VM) Connections() *caller.ConnectionSet { return v.connections }

// Run runs the components until the context ends, and then shuts down gracefully: open
// transactions finish, idle sessions are closed, and the VM leaves the fleet. The process
// may exit when Run returns.
func (v *VM) Run(ctx context.Context) error {
	v.config.Log.Info("Starting.", "dataCentre", v.config.Self.DataCentre, "address", v.config.Self.Address.String(),
		"incarnation", v.config.Self.Incarnation, "cores", v.config.Self.Size.Cores, "linkMbps", v.config.Self.Size.LinkMbps)
	running, stop := context.WithCancel(context.Background())
	defer stop()
	registered, deregister := context.WithCancel(running)
	defer deregister()
	server := peer.NewServer(peer.ServerConfig{
		Handler: handler{vm: v},
		Budget:  v.config.Budget,
		Timer:   v.config.Timer,
		Log:     v.config.Log.WithName("peer"),
	})
	serverFailed := make(chan error, 1)
	go func() { serverFailed <- server.Serve(running, v.config.PeerListener) }()
	var deregistration sync.WaitGroup
	deregistration.Go(func() { v.loop(registered, "registration", v.store.Register) })
	deregistration.Go(func() { v.loop(registered, "campaign", v.failover.Campaign) })
	for task, loop := range map[string]func(context.Context){
		"configuration": v.store.FollowConfiguration,
		"reports":       v.store.FollowReports,
		"fleet":         v.store.FollowFleet,
		"gossip":        v.gossip.Run,
		"failover":      v.failover.Run,
		"maintenance":   v.runMaintenance,
		"evacuations":   v.followEvacuations,
	} {
		go v.loop(running, task, loop)
	}
	select {
	case <-ctx.Done():
	case err := <-serverFailed:
		return eris.Wrap(err, "serve the requests of other VMs")
	}
	v.leave(running, deregister, &deregistration)
	return nil
}

// loop runs a task of this VM until the context ends.
func (v *VM) loop(ctx context.Context, task string, loop func(context.Context)) {
	guard.Loop(ctx, v.config.Timer, v.config.Log, task, loop)
}

// Reconfigure applies the settings that may change while the process runs.
func (v *VM) Reconfigure(seeds []netip.AddrPort, grace time.Duration) {
	v.gossip.SetSeeds(seeds)
	v.grace.Store(int64(grace))
}

// Ready returns nil if the load balancer should send requests to this VM, and the reason
// otherwise.
func (v *VM) Ready() error {
	err := v.readinessError()
	if wasReady := v.ready.Swap(err == nil); wasReady != (err == nil) {
		reason := ""
		if err != nil {
			reason = err.Error()
		}
		v.config.Log.Info("Readiness changed.", "ready", err == nil, "reason", reason)
	}
	return err
}

// readinessError returns why this VM is not ready; nil if it is.
func (v *VM) readinessError() error {
	switch {
	case v.leaving.Load():
		return eris.New("the VM is leaving")
	case v.cutOff.Load():
		return eris.New("the VM is cut off from the store and the fleet")
	case v.view.Configuration() == nil:
		return eris.New("the VM has no configuration yet")
	case len(v.view.Endpoints().ByID) == 0:
		return eris.New("the VM knows no endpoints yet")
	case !v.store.ConfigurationLoaded() && v.config.Timer.SinceBoot()-v.startedAt < storeWaitAtStart:
		return eris.New("the VM has not read the store yet")
	case v.store.Start() == limits.Start(limits.Undecided{}):
		return eris.New("the VM does not know yet whether the fleet has been running")
	default:
		return nil
	}
}

// runMaintenance periodically closes unused endpoint connections and abandoned
// transactions, creates the token buckets of new workspaces, and checks whether this VM is cut
// off.
func (v *VM) runMaintenance(ctx context.Context) {
	ticker := v.config.Timer.Every(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C():
			v.home.Sweep(v.view.HasEndpoint)
			v.updateCutOff()
			v.limits.UpdateBuckets()
		case <-ctx.Done():
			return
		}
	}
}

// updateCutOff lets callers go to other VMs while this VM may not use its shares of limits: it
// closes idle sessions and is not ready. A process that has just started does not count as cut
// off, because the other VMs may start at the same time.
func (v *VM) updateCutOff() {
	mayUseShares := v.store.MayUseShares()
	v.usedShares = v.usedShares || mayUseShares
	cutOff := v.usedShares && !mayUseShares && !v.leaving.Load()
	if v.cutOff.Swap(cutOff) == cutOff || v.leaving.Load() {
		return
	}
	v.config.Log.Info("Whether this VM is cut off from the store and the fleet has changed.", "cutOff", cutOff, "connections", v.connections.Count())
	v.connections.SetCloseIdle(cutOff)
}

// unregisteredFleetSize returns the size of the fleet for a VM that serves without a
// registration because it has not reached the store since its start: the number of VMs
// that sent it a message recently, itself included. Otherwise it returns 0.
func (v *VM) unregisteredFleetSize() int {
	if v.isRegistered() || v.store.StoreReachable() || v.config.Timer.SinceBoot()-v.startedAt < storeWaitAtStart {
		return 0
	}
	return v.view.RecentContactCount() + 1
}

func (v *VM) randomFraction() float64 {
	v.randomMu.Lock()
	defer v.randomMu.Unlock()
	return v.config.Random.Float64()
}

func (v *VM) randomIndex(n int) int {
	v.randomMu.Lock()
	defer v.randomMu.Unlock()
	return v.config.Random.IntN(n)
}
