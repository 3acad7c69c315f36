package store

import (
	"context"
	"errors"
	"time"

	"amaranthdock.dev/engine/catalog"
)

const (
	// watchTimeout is the timeout of one watch request for configurations. A watch may
	// miss a change while the store compacts its history, so it has to end well before
	// the 4 s within which a new configuration has to be active.
	watchTimeout = 2600 * time.Millisecond
	// watchPause is the delay after a change before the next watch, so that several
	// configurations in quick succession cost one request.
	watchPause = 200 * time.Millisecond
	// catchUpTimeout is the timeout of the first watch, which returns almost at once.
	catchUpTimeout = time.Millisecond
	// ownRegistrationTimeout limits the wait for this VM's own registration to appear. It
	// is several times the round trips that a registration takes.
	ownRegistrationTimeout = time.Second
)

// FollowConfiguration reads the configuration and then watches it until the context
// ends. It is idle while this VM does not read the store itself.
func (s *Syncer) FollowConfiguration(ctx context.Context) {
	s.awaitOwnRegistration(ctx, ownRegistrationTimeout)
	backoff := s.newBackoff()
	for ctx.Err() == nil {
		if !s.ReadsStore() {
			s.caughtUp.Store(false)
			s.sleep(ctx, readerCheckInterval)
			continue
		}
		fetch := s.watchConfiguration
		if s.configurationRevision.Load() == 0 {
			fetch = s.readConfiguration
		}
		changed, err := fetch(ctx)
		switch {
		case errors.Is(err, ErrCompacted):
			s.configurationRevision.Store(0)
		case err != nil:
			backoff.sleep(ctx)
		default:
			backoff.reset()
			s.caughtUp.Store(true)
		}
		if changed {
			s.sleep(ctx, watchPause)
		}
	}
}

// awaitOwnRegistration waits until this VM appears in the fleet, so that it knows
// whether it is a reader. It gives up when the store is unreachable.
func (s *Syncer) awaitOwnRegistration(ctx context.Context, limit time.Duration) {
	timeout := s.config.Timer.After(limit)
	defer timeout.Stop()
	for s.failingSince.Load() == 0 {
		changed := s.config.View.Changed()
		if _, ok := s.config.View.VMs().ByName[s.config.View.Self().Name]; ok {
			return
		}
		recheck := s.config.Timer.After(readerCheckInterval)
		done := false
		select {
		case <-changed:
		case <-recheck.C():
		case <-timeout.C():
			done = true
		case <-ctx.Done():
			done = true
		}
		recheck.Stop()
		if done {
			return
		}
	}
}

// readConfiguration reads the current configuration, or watches for the first one.
func (s *Syncer) readConfiguration(ctx context.Context) (changed bool, err error) {
	sentAt := s.config.Timer.SinceBoot()
	configuration, revision, err := s.config.ConfigurationSource.Read(ctx)
	s.recordCall(sentAt, err)
	switch {
	case err != nil:
		return false, err
	case configuration == nil:
		return s.watchAfter(ctx, revision, s.withJitter(watchTimeout))
	}
	// The next watch continues from the revision of the configuration, so the evacuations must
	// not be older.
	if err := s.readEvacuations(ctx); err != nil {
		return false, err
	}
	s.acceptConfiguration(configuration, revision)
	return false, nil
}

// watchConfiguration waits for a newer configuration. The first watch is short, so
// that a VM that starts to read the store is soon marked as caught up.
func (s *Syncer) watchConfiguration(ctx context.Context) (changed bool, err error) {
	timeout := catchUpTimeout
	if s.caughtUp.Load() {
		timeout = s.withJitter(watchTimeout)
	}
	return s.watchAfter(ctx, uint64(s.configurationRevision.Load()), timeout)
}

// watchAfter waits for a configuration that is newer than a revision.
func (s *Syncer) watchAfter(ctx context.Context, revision uint64, timeout time.Duration) (changed bool, err error) {
	sentAt := s.config.Timer.SinceBoot()
	configuration, reached, err := s.watch(ctx, revision, timeout)
	s.recordResponse(sentAt, err)
	if err != nil {
		return false, err
	}
	s.acceptConfiguration(configuration, reached)
	return configuration != nil, nil
}

// acceptConfiguration records that the store held this configuration at a revision;
// nil means that it has not changed.
func (s *Syncer) acceptConfiguration(configuration *catalog.Configuration, revision uint64) {
	if configuration != nil {
		s.config.View.AcceptConfiguration(configuration, "store")
	}
	// Without a newer one, the store has confirmed the configuration that this VM got from others.
	if s.config.View.Configuration() != nil {
		s.configurationLoaded.Store(true)
	}
	storeMax(&s.configurationRevision, int64(revision))
	s.seenRevisions.add(s.config.Timer.SinceBoot(), revision)
}
