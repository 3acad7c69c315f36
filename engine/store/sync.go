package store

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/decision/limits"
	"amaranthdock.dev/engine/view"
	"amaranthdock.dev/timer"
)

const (
	// pollInterval is the interval of the stale reads of reports and registrations.
	pollInterval = time.Second
	// crossRegionPollInterval applies if the store is in another region, because the link
	// to it is billed by volume. Changes in the meantime arrive from other VMs by gossip.
	crossRegionPollInterval = 3 * time.Second
	// noPrimaryPollInterval applies while some database has no known primary.
	noPrimaryPollInterval = 300 * time.Millisecond
	// crossRegionLatency is longer than a round trip within a region. A higher mean
	// latency means that the store is in another region.
	crossRegionLatency = 15 * time.Millisecond
	// latencyWeight is the weight of a new sample in the moving average of the latency.
	latencyWeight = 0.3
	// initialBackoff is the delay after a failed call. It doubles up to maxBackoff, or
	// up to maxStartupBackoff while this VM has no configuration or no endpoints and
	// cannot serve requests.
	initialBackoff    = 100 * time.Millisecond
	maxBackoff        = time.Second
	maxStartupBackoff = 250 * time.Millisecond
	// contactTimeout is how long the store counts as reachable after a response.
	contactTimeout = 2500 * time.Millisecond
)

// Config configures a Syncer.
type Config struct {
	Store               Store
	ConfigurationSource ConfigurationSource
	ReportSource        ReportSource
	// EvacuationSource is nil if the deployment has no evacuations.
	EvacuationSource EvacuationSource
	View             *view.View
	Timer            timer.Service
	Log              logr.Logger
	Registry         metrics.Registry
	// HearsMostNeighbours reports whether this VM has recently heard most of the VMs with
	// which it exchanges data.
	HearsMostNeighbours func() bool
	// IsSeed is set if other VMs know this VM's address from their settings, and so contact it
	// at their start.
	IsSeed bool
	// Jitter returns a random value in [0, 1).
	Jitter func() float64
}

// Syncer synchronizes this VM with the store. Times are readings of SinceBoot in
// nanoseconds; its clock advances while the VM is suspended.
type Syncer struct {
	config Config
	// lastContact is when the last call was sent to which the store responded; failingSince
	// is the time of the first failed call after it, or 0; healthySince is the time since
	// which no call except for watches has failed, or 0.
	lastContact  atomic.Int64
	failingSince atomic.Int64
	healthySince atomic.Int64
	// configurationLoaded is set once this process knows a configuration that the store
	// held after the process had started.
	configurationLoaded atomic.Bool
	// caughtUp is set while this VM reads the store itself and has its latest
	// configuration.
	caughtUp atomic.Bool
	// seenRevisions holds the store's revisions that responses have shown.
	seenRevisions revisionLog
	// registrationTried is set once this process has tried to write its registration. Only
	// Register uses it.
	registrationTried bool
	// registrationKept and runningPeer are the input of the decision start.
	registrationKept atomic.Bool
	runningPeer      atomic.Bool
	start            atomic.Pointer[limits.Start]
	fleetSettled     atomic.Bool
	fleetRetained    atomic.Bool
	// regionRanking caches the ranking of this VM's region.
	regionRanking atomic.Pointer[regionRanking]
	// readsStore is set while this VM reads the store itself.
	readsStore atomic.Bool
	// configurationRevision is the store revision up to which the configuration is
	// known.
	configurationRevision atomic.Int64
	// startedAt is the time at which the process started.
	startedAt int64
	// spread is the random number with which this VM's reads of the store are spread.
	spread float64
	// registered is closed after the first registration of this process.
	registered chan struct{}
	// readerDataAsOf is the time at which the store held the newest data that a reader
	// has sent.
	readerDataAsOf atomic.Int64
	// registeredAt is the last time at which the store held a registration of this VM; 0 if it
	// never did since the process started.
	registeredAt atomic.Int64
	// lapsedClaims are the claims whose registrations have lapsed, as current reads have shown. Only
	// FollowFleet uses it.
	lapsedClaims limits.LapsedClaims
	// intents are the intents of leaders in the last read of the fleet's keys.
	intents atomic.Pointer[Intents]
	// meanLatency is the moving average of the time that a read of the reports takes, in
	// nanoseconds.
	meanLatency   atomic.Int64
	failures      metrics.Counter
	pollRequested chan struct{}
	// fleetRequested receives the requests for a read of the registrations.
	fleetRequested chan struct{}
}

// New returns a Syncer. Register and the Follow methods do the work.
func New(config Config) *Syncer {
	return &Syncer{
		config:        config,
		startedAt:     int64(config.Timer.SinceBoot()),
		spread:        config.Jitter(),
		registered:    make(chan struct{}),
		failures:      metrics.GetOrRegisterCounter("store.failures", config.Registry),
		pollRequested: make(chan struct{}, 1),
		// Requests that arrive during a read cause one further read.
		fleetRequested: make(chan struct{}, 1),
	}
}

// StoreReachable reports whether the store has responded to this VM recently.
func (s *Syncer) StoreReachable() bool {
	lastContact := s.lastContact.Load()
	return lastContact != 0 && s.config.Timer.SinceBoot()-time.Duration(lastContact) < contactTimeout
}

// StoreHealthyFor returns how long no call to the store, except for watches, has failed; 0
// if the store is unreachable.
func (s *Syncer) StoreHealthyFor() time.Duration {
	healthySince := s.healthySince.Load()
	if healthySince == 0 || !s.StoreReachable() {
		return 0
	}
	return s.config.Timer.SinceBoot() - time.Duration(healthySince)
}

// ConfigurationLoaded reports whether this process knows a configuration that the store
// held after the process had started.
func (s *Syncer) ConfigurationLoaded() bool { return s.configurationLoaded.Load() }

// RefreshReports requests a read of the reports without waiting for the next interval.
func (s *Syncer) RefreshReports() {
	select {
	case s.pollRequested <- struct{}{}:
	default:
	}
}

// RefreshFleet requests a current read of the registrations without waiting for the next
// interval, also by a VM that does not read the store otherwise.
func (s *Syncer) RefreshFleet() {
	select {
	case s.fleetRequested <- struct{}{}:
	default:
	}
}

// recordCall records the result of a call, other than a watch, that was sent at a reading of
// SinceBoot. A failure ends the time for which the store counts as healthy.
func (s *Syncer) recordCall(sentAt time.Duration, err error) {
	if !s.recordResponse(sentAt, err) {
		s.healthySince.Store(0)
	}
}

// recordResponse records the result of a call and reports whether the store responded. The
// contact counts from the request: if this VM is suspended before it handles the response,
// the response says nothing about the time after.
// For watches it is called directly, because a failed watch does not make the store
// unhealthy: the store drops watches when it compacts its history and still responds to
// other calls.
func (s *Syncer) recordResponse(sentAt time.Duration, err error) bool {
	now := int64(s.config.Timer.SinceBoot())
	if err == nil || errors.Is(err, ErrCompacted) || errors.Is(err, ErrConflict) {
		storeMax(&s.lastContact, max(int64(sentAt), 1))
		s.healthySince.CompareAndSwap(0, now)
		if failingSince := s.failingSince.Swap(0); failingSince != 0 {
			s.config.Log.Info("The store is reachable again.", "outage", time.Duration(now-failingSince).String())
		}
		return true
	}
	s.failures.Inc(1)
	if s.failingSince.CompareAndSwap(0, now) {
		s.config.Log.Info("The store is unreachable.", "error", err.Error())
	}
	return false
}

// FollowReports polls the endpoints' reports until the context ends. It is idle while
// this VM does not read the store itself.
func (s *Syncer) FollowReports(ctx context.Context) {
	s.awaitOwnRegistration(ctx, ownRegistrationTimeout/2)
	backoff := s.newBackoff()
	// The first read has to be current, because a stale one may lack a primary.
	stale := false
	for ctx.Err() == nil {
		if !s.ReadsStore() {
			s.sleep(ctx, readerCheckInterval)
			continue
		}
		requestedAt, sentAt := s.config.Timer.SinceBoot(), s.config.Timer.Now()
		endpoints, err := s.config.ReportSource.Read(ctx, stale)
		s.recordCall(requestedAt, err)
		s.recordLatency(s.config.Timer.Now().Sub(sentAt))
		if err == nil && stale && s.seenRevisions.isStale(requestedAt, endpoints.Revision) {
			requestedAt = s.config.Timer.SinceBoot()
			endpoints, err = s.config.ReportSource.Read(ctx, false)
			s.recordCall(requestedAt, err)
		}
		if err != nil {
			backoff.sleep(ctx)
			continue
		}
		backoff.reset()
		s.config.View.AcceptEndpoints(endpoints, "store")
		s.seenRevisions.add(s.config.Timer.SinceBoot(), endpoints.Revision)
		stale = true
		wait := s.nextPollInterval()
		if s.config.View.IsPrimaryMissing() {
			// Reports that expired during an outage are written again one by one.
			wait = s.withJitter(noPrimaryPollInterval)
			stale = !s.readsCurrentReports()
		}
		interval := s.config.Timer.After(wait)
		select {
		case <-interval.C():
		case <-s.pollRequested:
			stale = false
		case <-ctx.Done():
		}
		interval.Stop()
	}
}

// readsCurrentReports reports whether this VM reads current reports while a primary is
// missing: the leader, which promotes another one, and the first reader of each region. The
// others read stale ones, which cost a tenth, and receive the leader's announcement.
func (s *Syncer) readsCurrentReports() bool {
	rank, _ := s.liveRank()
	return rank <= 0 || s.config.View.VMs().Leader == s.config.View.Self().Name
}

// storeMax sets the value to the candidate if that is higher.
func storeMax(value *atomic.Int64, candidate int64) {
	for {
		current := value.Load()
		if candidate <= current || value.CompareAndSwap(current, candidate) {
			return
		}
	}
}

// recordLatency adds a sample to the moving average of the store's latency.
func (s *Syncer) recordLatency(latency time.Duration) {
	previous := s.meanLatency.Load()
	s.meanLatency.Store(previous + int64(latencyWeight*float64(int64(latency)-previous)))
}

// nextPollInterval returns the delay until the next poll.
func (s *Syncer) nextPollInterval() time.Duration {
	if time.Duration(s.meanLatency.Load()) > crossRegionLatency {
		return s.withJitter(crossRegionPollInterval)
	}
	return s.withJitter(pollInterval)
}

// sleep waits for a duration or until the context ends.
func (s *Syncer) sleep(ctx context.Context, duration time.Duration) {
	// The error is that of the context, which the caller's loop checks.
	_ = timer.Sleep(ctx, s.config.Timer, duration)
}

// withJitter varies an interval by up to 10% in both directions, so that the VMs do not
// call the store at the same time.
func (s *Syncer) withJitter(interval time.Duration) time.Duration {
	return time.Duration((0.9 + 0.2*s.config.Jitter()) * float64(interval))
}

// backoff is an exponential backoff between failed calls.
type backoff struct {
	syncer *Syncer
	delay  time.Duration
}

func (s *Syncer) newBackoff() *backoff {
	return &backoff{
		syncer: s,
		delay:  initialBackoff,
	}
}

func (b *backoff) reset() { b.delay = initialBackoff }

// sleep waits for the current delay and doubles it.
func (b *backoff) sleep(ctx context.Context) {
	b.syncer.sleep(ctx, b.syncer.withJitter(b.delay))
	limit := maxBackoff
	if b.syncer.config.View.Configuration() == nil || len(b.syncer.config.View.Endpoints().ByID) == 0 {
		limit = maxStartupBackoff
	}
	b.delay = min(2*b.delay, limit)
}
