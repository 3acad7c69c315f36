// Package gossip maintains the membership of the fleet and distributes the configuration
// from the store to all proxies.
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

// Service performs the I/O for membership and configuration distribution; the decisions are
// made by packages membership and confsync. It is safe for concurrent use.
type Service struct {
	config  Config
	current atomic.Pointer[declaration.Snapshot]
	jobs    chan func(ctx context.Context)
	leaving chan struct{}
	ready   atomic.Bool
	fleet   atomic.Pointer[fleetView]

	// mu guards the fields below; it is never held during I/O.
	mu               sync.Mutex
	syncState        *confsync.State
	encodedDocument  []byte
	activeFetches    int
	joined           bool
	isLeaving        bool
	platformListRead bool
	// viewSnapshot and viewRevision are the configuration and the revision of the member
	// table that the fleet view was built from.
	viewSnapshot *declaration.Snapshot
	viewRevision uint64
	// newestStored is the newest entry that this VM has received from the store.
	newestStored storedVersion
	subscribers  map[chan struct{}]struct{}
	table        *membership.Table
}

// storedVersion identifies an entry of the store: its revision, and the version of the
// configuration in it.
type storedVersion struct {
	revision uint64
	version  uint64
}

// fleetView is a snapshot of the fleet that other packages read without a lock.
type fleetView struct {
	live    []routing.VM
	members map[string]membership.Member
}

// New returns a Service that knows only this VM until Run is called.
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
	syncState, err := confsync.New(confsync.Config{
		Self:        config.Self,
		Key:         ConfigurationKey,
		StoreRegion: config.StoreRegion,
	})
	if err != nil {
		return nil, err
	}
	s := &Service{
		config:      config,
		jobs:        make(chan func(ctx context.Context), jobQueueSize),
		leaving:     make(chan struct{}),
		subscribers: map[chan struct{}]struct{}{},
		table:       table,
		syncState:   syncState,
	}
	s.rebuildView()
	return s, nil
}

// Run probes peers, watches the store and distributes the configuration until the
// context ends. It returns ErrReplaced if a newer process runs under the VM's name.
func (s *Service) Run(ctx context.Context) error {
	group, child := errgroup.WithContext(ctx)
	for range workerCount {
		group.Go(func() error { return s.runJobs(child) })
	}
	loops := []func(context.Context) error{
		s.storeCheckLoop,
		s.listLoop,
		s.probeLoop,
		s.start,
		s.watchLoop,
	}
	for _, loop := range loops {
		group.Go(func() error { return loop(child) })
	}
	if err := group.Wait(); ctx.Err() == nil {
		return err
	}
	return nil
}

func (s *Service) count(name string) {
	metrics.GetOrRegisterCounter("gossip."+name, s.config.Metrics).Inc(1)
}

func (s *Service) gauge(name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge("gossip."+name, s.config.Metrics)
}

// rebuildView derives the fleet view from the member table and publishes it. The caller
// holds mu.
func (s *Service) rebuildView() {
	s.viewRevision = s.table.Revision()
	s.viewSnapshot = s.current.Load()
	fleet := s.table.Fleet()
	view := &fleetView{
		members: make(map[string]membership.Member, len(fleet)),
	}
	fleetVMs := make([]confsync.FleetVM, 0, len(fleet))
	for _, m := range fleet {
		vm := routing.VM{
			Name:       m.VM,
			DataCentre: m.DataCentre,
			Region:     s.regionOf(m.DataCentre),
		}
		view.members[m.VM] = m.Member
		if m.Live {
			view.live = append(view.live, vm)
		}
		fleetVMs = append(fleetVMs, confsync.FleetVM{
			VM:   vm,
			Live: m.Live,
		})
	}
	sortByName(view.live)
	if s.joined {
		s.syncState.SetFleet(fleetVMs)
	}
	s.fleet.Store(view)
	s.gauge("liveVms").Update(int64(len(view.live)))
	if s.table.Self().State == membership.Leaving && !s.isLeaving {
		s.isLeaving = true
		close(s.leaving)
	}
}

// refreshView rebuilds the fleet view if its inputs have changed. The caller holds mu.
func (s *Service) refreshView() {
	if s.viewRevision != s.table.Revision() || s.viewSnapshot != s.current.Load() {
		s.rebuildView()
	}
}

// regionOf returns the region of a data centre, or an empty string if it is not known
// from a configuration.
func (s *Service) regionOf(dataCentre string) string {
	if dataCentre == s.config.Self.DataCentre {
		return s.config.Self.Region
	}
	if snapshot := s.current.Load(); snapshot != nil {
		return snapshot.RegionOf(dataCentre)
	}
	return ""
}

// submit queues a job for the workers, or drops it and returns false if the queue is
// full.
func (s *Service) submit(job func(ctx context.Context)) bool {
	select {
	case s.jobs <- job:
		return true
	default:
		s.count("jobsDropped")
		return false
	}
}

func (s *Service) runJobs(ctx context.Context) error {
	for {
		select {
		case job := <-s.jobs:
			job(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
