// Package gossip keeps the membership of the fleet and spreads the configuration
// between the proxies and from the store.
package gossip

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"amaranthdock.dev/decision/confsync"
	"amaranthdock.dev/decision/membership"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/declaration"
)

// ErrReplaced is returned by Run when another process runs under the VM's name
// with a higher incarnation.
var ErrReplaced = eris.New("gossip: a newer process runs under the name of this VM")

// Service is the I/O of membership and configuration. It is safe for concurrent
// use.
type Service struct {
	config  Config
	current atomic.Pointer[declaration.Snapshot]
	jobs    chan func(ctx context.Context)
	leaving chan struct{}
	ready   atomic.Bool
	view    atomic.Pointer[view]

	// mu guards the fields below; it is never held during I/O.
	mu          sync.Mutex
	versions    *confsync.State
	encoded     []byte
	fetching    int
	joined      bool
	left        bool
	listRead    bool
	regionsOf   *declaration.Snapshot
	revision    uint64
	stored      stored
	subscribers map[chan struct{}]struct{}
	table       *membership.Table
}

// stored is the newest entry that the store has shown to this VM.
type stored struct {
	revision uint64
	version  uint64
}

// view is what the other parts read without a lock.
type view struct {
	live    []routing.VM
	members map[string]membership.Member
}

// New returns a Part that knows only itself until Run is called.
func New(config Config) (*Service, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	if config.Incarnation == 0 {
		config.Incarnation = uint64(config.Timer.Now().UnixNano())
	}
	table, err := membership.New(membership.Config{
		Random: config.Random,
		Self: membership.Member{
			VM:          config.Self.Name,
			DataCentre:  config.Self.DataCentre,
			Address:     config.Address,
			Incarnation: config.Incarnation,
		},
	})
	if err != nil {
		return nil, err
	}
	versions, err := confsync.New(confsync.Config{
		Self:        config.Self,
		Key:         ConfigurationKey,
		StoreRegion: config.StoreRegion,
	})
	if err != nil {
		return nil, err
	}
	p := &Service{
		config:      config,
		jobs:        make(chan func(ctx context.Context), jobLimit),
		leaving:     make(chan struct{}),
		subscribers: map[chan struct{}]struct{}{},
		table:       table,
		versions:    versions,
	}
	p.rebuild()
	return p, nil
}

// Run probes, watches and spreads until the context ends. It returns
// ErrReplaced if a newer process runs under the VM's name.
func (p *Service) Run(ctx context.Context) error {
	group, child := errgroup.WithContext(ctx)
	for range workerCount {
		group.Go(func() error { return p.work(child) })
	}
	loops := []func(context.Context) error{
		p.checkLoop,
		p.listLoop,
		p.probeLoop,
		p.start,
		p.watchLoop,
	}
	for _, loop := range loops {
		group.Go(func() error { return loop(child) })
	}
	if err := group.Wait(); ctx.Err() == nil {
		return err
	}
	return nil
}

func (p *Service) count(name string) {
	metrics.GetOrRegisterCounter("gossip."+name, p.config.Metrics).Inc(1)
}

func (p *Service) gauge(name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge("gossip."+name, p.config.Metrics)
}

// rebuild derives the published view; the caller holds mu.
func (p *Service) rebuild() {
	p.revision = p.table.Revision()
	p.regionsOf = p.current.Load()
	fleet := p.table.Fleet()
	next := &view{
		members: make(map[string]membership.Member, len(fleet)),
	}
	known := make([]confsync.FleetVM, 0, len(fleet))
	for _, m := range fleet {
		vm := routing.VM{
			Name:       m.VM,
			DataCentre: m.DataCentre,
			Region:     p.regionOf(m.DataCentre),
		}
		next.members[m.VM] = m.Member
		if m.Live {
			next.live = append(next.live, vm)
		}
		known = append(known, confsync.FleetVM{
			VM:   vm,
			Live: m.Live,
		})
	}
	sortByName(next.live)
	if p.joined {
		p.versions.SetFleet(known)
	}
	p.view.Store(next)
	p.gauge("liveVms").Update(int64(len(next.live)))
	if p.table.Self().State == membership.Leaving && !p.left {
		p.left = true
		close(p.leaving)
	}
}

// refresh publishes the view if it has changed; the caller holds mu.
func (p *Service) refresh() {
	if p.revision != p.table.Revision() || p.regionsOf != p.current.Load() {
		p.rebuild()
	}
}

// regionOf returns the region of a data centre; empty while no configuration tells it.
func (p *Service) regionOf(dataCentre string) string {
	if dataCentre == p.config.Self.DataCentre {
		return p.config.Self.Region
	}
	if snapshot := p.current.Load(); snapshot != nil {
		return snapshot.RegionOf(dataCentre)
	}
	return ""
}

// submit hands a call to the workers, or drops it if too many wait.
func (p *Service) submit(job func(ctx context.Context)) bool {
	select {
	case p.jobs <- job:
		return true
	default:
		p.count("jobsDropped")
		return false
	}
}

func (p *Service) work(ctx context.Context) error {
	for {
		select {
		case job := <-p.jobs:
			job(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
