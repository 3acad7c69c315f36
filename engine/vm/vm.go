// Package vm joins the parts of one process and carries it from its start to its end.
package vm

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"amaranthdock.dev/engine/caller"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/endpoint"
	"amaranthdock.dev/engine/failover"
	"amaranthdock.dev/engine/gossip"
	"amaranthdock.dev/engine/lending"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/engine/store"
	"amaranthdock.dev/engine/view"
	"amaranthdock.dev/timer"
)

const (
	// sweepInterval between two looks for what is not needed any longer.
	sweepInterval = 500 * time.Millisecond
	// transactionShare of the grace that open transactions get to end.
	transactionShare = 0.5
	// idleShare of the grace over which idle sessions are closed.
	idleShare = 0.3
	// endMargin before the end of the grace, at which the process ends.
	endMargin = 500 * time.Millisecond
	// storelessWait after the start, from which a VM that does not reach the store
	// serves with what other VMs told it.
	storelessWait = 1500 * time.Millisecond
)

// Config configures a VM.
type Config struct {
	Self    catalog.VM
	Regions map[string]string
	Seeds   []netip.AddrPort
	// Grace is the time from Leave to the end of the process.
	Grace time.Duration
	// LimitTolerance is the part of a workspace's limit by which the fleet may pass it
	// in any LimitWindow.
	LimitTolerance      float64
	LimitWindow         time.Duration
	Store               store.Store
	ConfigurationSource store.ConfigurationSource
	ReportSource        store.ReportSource
	Promoter            failover.Promoter
	Dialer              endpoint.Dialer
	// DialVM opens connections to other VMs, and PeerListener accepts theirs.
	DialVM       func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	PeerListener net.Listener
	Timer        timer.Service
	Log          logr.Logger
	Registry     metrics.Registry
	Random       *rand.Rand
}

// VM is one process of the fleet.
type VM struct {
	config      Config
	view        *view.View
	links       *peer.Clients
	home        *endpoint.Home
	limits      *lending.Limiter
	gossip      *gossip.Service
	store       *store.Sync
	failover    *failover.Manager
	sessions    *caller.SessionManager
	connections *caller.ConnectionSet
	started     time.Duration
	leaving     atomic.Bool
	ready       atomic.Bool
	// grace is the time from the start of leaving to the end of the process.
	grace atomic.Int64

	randomMu sync.Mutex
}

// New joins the parts of a VM, which do nothing yet.
func New(config Config) (*VM, error) {
	if config.Store == nil || config.ConfigurationSource == nil || config.ReportSource == nil || config.Promoter == nil || config.Dialer == nil {
		return nil, eris.New("vm: a port to the platform is missing")
	}
	v := &VM{
		config:      config,
		connections: caller.NewConnectionSet(config.Timer),
		started:     config.Timer.SinceBoot(),
	}
	v.grace.Store(int64(config.Grace))
	v.links = peer.NewClients(peer.ClientConfig{
		Dial:  config.DialVM,
		Timer: config.Timer,
		Log:   config.Log.WithName("peer"),
	})
	v.view = view.New(view.Config{
		Self:        config.Self,
		Regions:     config.Regions,
		Timer:       config.Timer,
		Log:         config.Log.WithName("view"),
		Unreachable: v.links.Unreachable,
	})
	v.store = store.New(store.Config{
		Store:        config.Store,
		Declarations: config.ConfigurationSource,
		Reports:      config.ReportSource,
		View:         v.view,
		Timer:        config.Timer,
		Log:          config.Log.WithName("store"),
		Registry:     config.Registry,
		Jitter:       v.jitter,
	})
	v.home = endpoint.New(endpoint.Config{
		Dialer:             config.Dialer,
		Timer:              config.Timer,
		Log:                config.Log.WithName("endpoint"),
		Registry:           config.Registry,
		Lookup:             v.view.Endpoint,
		IsFirstHome:        v.view.FirstHome,
		ReportUnresponsive: func(target catalog.Endpoint) { v.failover.ReportUnreachable(target) },
	})
	v.joinDeciders()
	return v, nil
}

// joinDeciders makes the parts that rest on the view and the home.
func (v *VM) joinDeciders() {
	c := v.config
	v.limits = lending.New(lending.Config{
		Fleet:                 v.view,
		Peers:                 v.links,
		Timer:                 c.Timer,
		Log:                   c.Log.WithName("lending"),
		Registry:              c.Registry,
		Tolerance:             c.LimitTolerance,
		Window:                c.LimitWindow,
		UnregisteredFleetSize: v.unregistered,
	})
	v.gossip = gossip.New(gossip.Config{
		View:        v.view,
		Clients:     v.links,
		Store:       v.store,
		Timer:       c.Timer,
		Log:         c.Log.WithName("gossip"),
		Seeds:       c.Seeds,
		RandomIndex: v.pick,
	})
	v.failover = failover.New(failover.Config{
		View:        v.view,
		Store:       c.Store,
		StoreStatus: v.store,
		Clients:     v.links,
		Prober:      v.home,
		Promoter:    c.Promoter,
		Timer:       c.Timer,
		Log:         c.Log.WithName("failover"),
		Registry:    c.Registry,
	})
	v.sessions = caller.New(caller.Config{
		View:     v.view,
		Home:     v.home,
		Peers:    v.links,
		Limiter:  v.limits,
		Joined:   func() bool { return v.registered() || v.unregistered() > 0 },
		Timer:    c.Timer,
		Log:      c.Log.WithName("caller"),
		Registry: c.Registry,
	})
}

// Sessions opens the sessions of callers.
func (v *VM) Sessions() *caller.SessionManager { return v.sessions }

// Connections are those of callers.
func (v *VM) Connections() *caller.ConnectionSet { return v.connections }

// Run runs the parts until the context ends, and then leaves the fleet: open work
// ends, idle sessions are closed, and the process may end when Run returns.
func (v *VM) Run(ctx context.Context) error {
	v.config.Log.Info("Starting.", "dataCentre", v.config.Self.DataCentre, "address", v.config.Self.Address.String(),
		"incarnation", v.config.Self.Incarnation)
	working, stop := context.WithCancel(context.Background())
	defer stop()
	registered, deregister := context.WithCancel(working)
	defer deregister()
	server := peer.NewServer(peer.ServerConfig{
		Handler: handler{vm: v},
		Timer:   v.config.Timer,
		Log:     v.config.Log.WithName("peer"),
	})
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(working, v.config.PeerListener) }()
	var ending sync.WaitGroup
	ending.Go(func() { v.store.Register(registered) })
	ending.Go(func() { v.failover.Campaign(registered) })
	for _, part := range []func(context.Context){
		v.store.FollowConfiguration, v.store.FollowReports, v.store.FollowFleet, v.gossip.Run, v.failover.Run, v.sweep,
	} {
		go part(working)
	}
	select {
	case <-ctx.Done():
	case err := <-failed:
		return eris.Wrap(err, "serve other VMs")
	}
	v.leave(working, deregister, &ending)
	return nil
}

// leave hands over what this VM does for others, while its own callers' work ends.
func (v *VM) leave(working context.Context, deregister func(), ending *sync.WaitGroup) {
	v.config.Log.Info("Leaving.", "connections", v.connections.Count(), "transactions", v.home.OpenTransactions())
	grace := time.Duration(v.grace.Load())
	v.leaving.Store(true)
	v.gossip.MarkLeaving()
	v.gossip.AnnounceLeaving(working)
	deregister()
	last, cancel := timer.WithTimeout(working, v.config.Timer, grace-endMargin)
	defer cancel()
	transactions, cancelTransactions := timer.WithTimeout(working, v.config.Timer, time.Duration(transactionShare*float64(grace)))
	defer cancelTransactions()
	var idle sync.WaitGroup
	idle.Go(func() { v.connections.Drain(last, time.Duration(idleShare*float64(grace))) })
	idle.Go(func() { v.awaitTransactions(transactions) })
	idle.Wait()
	v.connections.CloseAll()
	ending.Wait()
	v.config.Log.Info("Stopped.", "connections", v.connections.Count(), "transactions", v.home.OpenTransactions())
}

// awaitTransactions waits for transactions that other VMs have open on this home.
func (v *VM) awaitTransactions(ctx context.Context) {
	for v.home.OpenTransactions() > 0 {
		if err := timer.Sleep(ctx, v.config.Timer, 50*time.Millisecond); err != nil {
			return
		}
	}
}

// Reconfigure takes settings that may change while the process runs.
func (v *VM) Reconfigure(seeds []netip.AddrPort, grace time.Duration) {
	v.gossip.SetSeeds(seeds)
	v.grace.Store(int64(grace))
}

// Ready returns why the load balancer should send nothing; nil if it should.
func (v *VM) Ready() error {
	err := v.unready()
	if was := v.ready.Swap(err == nil); was != (err == nil) {
		reason := ""
		if err != nil {
			reason = err.Error()
		}
		v.config.Log.Info("Readiness changed.", "ready", err == nil, "reason", reason)
	}
	return err
}

func (v *VM) unready() error {
	switch {
	case v.leaving.Load():
		return eris.New("the VM is leaving")
	case v.view.Configuration() == nil:
		return eris.New("the VM has no configuration yet")
	case len(v.view.Endpoints().ByID) == 0:
		return eris.New("the VM knows no endpoints yet")
	case !v.store.ConfigurationRead() && v.config.Timer.SinceBoot()-v.started < storelessWait:
		return eris.New("the VM has not read the store yet")
	default:
		return nil
	}
}

// sweep closes what is not needed any longer.
func (v *VM) sweep(ctx context.Context) {
	ticks := v.config.Timer.Every(sweepInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C():
			v.home.Sweep(v.view.Present)
			v.limits.UpdateBuckets()
		case <-ctx.Done():
			return
		}
	}
}

// registered tells whether the fleet knows this VM.
func (v *VM) registered() bool {
	_, ok := v.view.VMs().ByName[v.config.Self.Name]
	return ok
}

// unregistered returns how many VMs this one has heard from, itself included, while it
// serves without a registration because it has not reached the store since its start;
// 0 otherwise.
func (v *VM) unregistered() int {
	if v.registered() || v.store.StoreReachable() || v.config.Timer.SinceBoot()-v.started < storelessWait {
		return 0
	}
	return v.view.HeardVMs() + 1
}

func (v *VM) jitter() float64 {
	v.randomMu.Lock()
	defer v.randomMu.Unlock()
	return v.config.Random.Float64()
}

func (v *VM) pick(n int) int {
	v.randomMu.Lock()
	defer v.randomMu.Unlock()
	return v.config.Random.IntN(n)
}
