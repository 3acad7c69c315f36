package store

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/engine/view"
	"amaranthdock.dev/timer"
)

const (
	// pollInterval of the stale reads of reports and registrations.
	pollInterval = time.Second
	// farPollInterval where the store is in another region, because the link to it is
	// billed by volume. Other VMs tell what changed meanwhile.
	farPollInterval = 3 * time.Second
	// vacantPollInterval while a database has no primary that this VM knows of.
	vacantPollInterval = 300 * time.Millisecond
	// farTrip there and back is longer than within a region.
	farTrip = 15 * time.Millisecond
	// tripGain is the weight of a new trip in the mean.
	tripGain = 0.3
	// firstPause after a failed call; it doubles up to maxPause, or up to
	// maxStartPause while this VM has no configuration and serves nobody.
	firstPause    = 100 * time.Millisecond
	maxPause      = time.Second
	maxStartPause = 250 * time.Millisecond
	// recentContact within which the store counts as reached.
	recentContact = 2500 * time.Millisecond
)

// Config configures a Sync.
type Config struct {
	Store        Store
	Declarations ConfigurationSource
	Reports      ReportSource
	View         *view.View
	Timer        timer.Service
	Log          logr.Logger
	Registry     metrics.Registry
	// Jitter returns a random value in [0, 1).
	Jitter func() float64
}

// Sync follows the store.
type Sync struct {
	config Config
	// reached is the reading of the clock at the last answer of the store, and lost
	// the one at the first failure since, or 0. steady is the reading since when the
	// store has answered without a failure.
	reached atomic.Int64
	lost    atomic.Int64
	steady  atomic.Int64
	// read is set once this process knows the configuration that the store held after
	// its start.
	read atomic.Bool
	// following is set while this VM reads the store itself and has caught up with its
	// configuration.
	following atomic.Bool
	// shown holds the revisions that the store has reached.
	shown revisions
	// reads is set while this VM reads the store itself.
	reads atomic.Bool
	// followed is the revision of the store up to which the configuration is known.
	followed atomic.Int64
	// began is the reading of the clock at the start of the process.
	began int64
	// registered is closed once this process has registered.
	registered chan struct{}
	// relayed is the reading of the clock at which the store held what a reader told.
	relayed atomic.Int64
	// trip is the mean time of a call, in nanoseconds.
	trip     atomic.Int64
	failures metrics.Counter
	wake     chan struct{}
}

// New returns a Sync that does nothing yet.
func New(config Config) *Sync {
	return &Sync{
		config:     config,
		began:      int64(config.Timer.SinceBoot()),
		registered: make(chan struct{}),
		failures:   metrics.GetOrRegisterCounter("store.failures", config.Registry),
		wake:       make(chan struct{}, 1),
	}
}

// StoreReachable tells whether the store answered lately.
func (s *Sync) StoreReachable() bool {
	reached := s.reached.Load()
	return reached != 0 && s.config.Timer.SinceBoot()-time.Duration(reached) < recentContact
}

// StoreHealthyFor returns for how long the store has answered this VM without a failure.
func (s *Sync) StoreHealthyFor() time.Duration {
	steady := s.steady.Load()
	if steady == 0 || !s.StoreReachable() {
		return 0
	}
	return s.config.Timer.SinceBoot() - time.Duration(steady)
}

// ConfigurationRead tells whether this process knows the configuration that the store
// held after its start.
func (s *Sync) ConfigurationRead() bool { return s.read.Load() }

// RefreshReports asks for a read of the reports without waiting for the next interval.
func (s *Sync) RefreshReports() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// note records the outcome of a call to the store, which is steady while all of them
// are answered.
func (s *Sync) note(err error) {
	if !s.answered(err) {
		s.steady.Store(0)
	}
}

// answered records the outcome of a call and tells whether the store answered it. A
// watch that is not answered does not end the store's steadiness: the store loses
// watches when it drops its history, and answers other calls meanwhile.
func (s *Sync) answered(err error) bool {
	boot := int64(s.config.Timer.SinceBoot())
	if err == nil || errors.Is(err, ErrCompacted) || errors.Is(err, ErrConflict) {
		s.reached.Store(boot)
		s.steady.CompareAndSwap(0, boot)
		if lost := s.lost.Swap(0); lost != 0 {
			s.config.Log.Info("The store answers again.", "outage", time.Duration(boot-lost).String())
		}
		return true
	}
	s.failures.Inc(1)
	if s.lost.CompareAndSwap(0, boot) {
		s.config.Log.Info("The store does not answer.", "error", err.Error())
	}
	return false
}

// FollowReports reads the endpoints' reports in intervals until the context ends,
// while this VM reads the store itself.
func (s *Sync) FollowReports(ctx context.Context) {
	backoff := s.newBackoff()
	// The first read has to be right, because a stale one may lack a primary.
	stale := false
	for ctx.Err() == nil {
		if !s.Reads() {
			s.pause(ctx, restInterval)
			continue
		}
		boot, asked := s.config.Timer.SinceBoot(), s.config.Timer.Now()
		endpoints, err := s.config.Reports.Read(ctx, stale)
		s.note(err)
		s.took(s.config.Timer.Now().Sub(asked))
		if err == nil && stale && s.shown.behind(boot, endpoints.Revision) {
			endpoints, err = s.config.Reports.Read(ctx, false)
			s.note(err)
		}
		if err != nil {
			backoff.sleep(ctx)
			continue
		}
		backoff.reset()
		s.config.View.AcceptEndpoints(endpoints, "store")
		s.shown.add(s.config.Timer.SinceBoot(), endpoints.Revision)
		stale = true
		wait := s.interval()
		if s.config.View.IsPrimaryMissing() {
			// Reports that lapsed in an outage come back one by one.
			wait = s.jittered(vacantPollInterval)
			stale = false
		}
		interval := s.config.Timer.After(wait)
		select {
		case <-interval.C():
		case <-s.wake:
			stale = false
		case <-ctx.Done():
		}
		interval.Stop()
	}
}

// raise stores a value that is higher than the one before.
func raise(value *atomic.Int64, to int64) {
	for {
		known := value.Load()
		if to <= known || value.CompareAndSwap(known, to) {
			return
		}
	}
}

// took measures the trip to the store.
func (s *Sync) took(trip time.Duration) {
	mean := s.trip.Load()
	s.trip.Store(mean + int64(tripGain*float64(int64(trip)-mean)))
}

// interval between two polls.
func (s *Sync) interval() time.Duration {
	if time.Duration(s.trip.Load()) > farTrip {
		return s.jittered(farPollInterval)
	}
	return s.jittered(pollInterval)
}

func (s *Sync) pause(ctx context.Context, wait time.Duration) {
	// The error says that the context has ended, which the caller's loop sees too.
	_ = timer.Sleep(ctx, s.config.Timer, wait)
}

// jittered spreads an interval by a fifth, so that the VMs' calls do not meet.
func (s *Sync) jittered(interval time.Duration) time.Duration {
	return time.Duration((0.9 + 0.2*s.config.Jitter()) * float64(interval))
}

// backoff grows the pause between failed calls.
type backoff struct {
	sync *Sync
	wait time.Duration
}

func (s *Sync) newBackoff() *backoff {
	return &backoff{
		sync: s,
		wait: firstPause,
	}
}

func (b *backoff) reset() { b.wait = firstPause }

func (b *backoff) sleep(ctx context.Context) {
	b.sync.pause(ctx, b.sync.jittered(b.wait))
	longest := maxPause
	if b.sync.config.View.Configuration() == nil || len(b.sync.config.View.Endpoints().ByID) == 0 {
		longest = maxStartPause
	}
	b.wait = min(2*b.wait, longest)
}
