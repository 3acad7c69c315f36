package gossip

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/decision/membership"
	"amaranthdock.dev/proxy/platform"
	"amaranthdock.dev/timer"
)

// storeCheckLoop periodically checks with the store whether the configuration is still the
// newest one while this VM is a watcher.
func (s *Service) storeCheckLoop(ctx context.Context) error {
	for {
		if err := timer.Sleep(ctx, s.config.Timer, storeCheckInterval); err != nil {
			return err
		}
		if s.isWatcher() {
			s.watchStore(ctx, 0)
		}
	}
}

// listLoop periodically reads the platform's VM list while this VM is a watcher.
func (s *Service) listLoop(ctx context.Context) error {
	for {
		s.mu.Lock()
		interval := max(minListInterval, time.Duration(s.table.Size())*listIntervalPerVM)
		s.mu.Unlock()
		if err := timer.Sleep(ctx, s.config.Timer, interval); err != nil {
			return err
		}
		if !s.isWatcher() {
			continue
		}
		if err := s.readPlatformList(ctx); err != nil {
			s.config.Logger.V(1).Info("gossip: could not merge the platform's VM list", "error", err.Error())
		}
	}
}

// watchLoop waits for changes of the configuration while this VM is a watcher.
func (s *Service) watchLoop(ctx context.Context) error {
	for {
		delay := retryInterval
		if s.isWatcher() {
			startedAt := s.config.Timer.Now()
			if s.watchStore(ctx, maxWatchWait) {
				delay = max(minWatchInterval-s.elapsedSince(startedAt), 0)
			}
		}
		if err := timer.Sleep(ctx, s.config.Timer, delay); err != nil {
			return err
		}
	}
}

// readPlatformList reads the platform's VM list and merges it into the member table.
func (s *Service) readPlatformList(ctx context.Context) error {
	vms, err := s.config.Store.ListVMs(ctx)
	if err != nil {
		return err
	}
	list := make([]membership.PlatformVM, 0, len(vms))
	for _, v := range vms {
		list = append(list, membership.PlatformVM{
			VM:         v.Name,
			DataCentre: v.DataCentre,
			Address:    v.PeerAddress,
			Leaving:    v.Leaving,
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.table.MergePlatformList(s.config.Timer.Now(), list); err != nil {
		return err
	}
	s.platformListRead = true
	s.refreshView()
	return nil
}

// readConfiguration reads the configuration from the store and activates it if it is
// newer.
func (s *Service) readConfiguration(ctx context.Context) error {
	sentAt := s.config.Timer.Now()
	entry, err := s.config.Store.Get(ctx, ConfigurationKey)
	if err != nil {
		s.recordStoreFailure(sentAt)
		return err
	}
	return s.handleEntry(sentAt, entry)
}

func (s *Service) recordStoreFailure(sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.syncState.RecordStoreFailure(sentAt)
}

// handleEntry handles an entry that the store returned for a call sent at the given time.
// It returns an error if the entry is invalid or stale.
func (s *Service) handleEntry(sentAt time.Time, entry platform.Entry) error {
	observed := storedVersion{
		revision: entry.Revision,
	}
	if entry.Found {
		version, activated, err := s.activate(entry.Value, "the store")
		if err != nil {
			return err
		}
		observed.version = version
		if activated {
			defer s.pushToPeers()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if observed.revision > s.newestStored.revision {
		s.newestStored = observed
	}
	if !s.syncState.RecordStoreSuccess(sentAt, observed.version) {
		return eris.Errorf("gossip: the store returned version %d, which is lower than a version seen before", observed.version)
	}
	return nil
}

// watchStore makes one watch call to the store and reports whether the response was valid
// and not stale.
func (s *Service) watchStore(ctx context.Context, wait time.Duration) bool {
	s.mu.Lock()
	known := s.newestStored
	s.mu.Unlock()
	sentAt := s.config.Timer.Now()
	entry, changed, err := s.config.Store.Watch(ctx, ConfigurationKey, known.revision, wait)
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		s.recordStoreFailure(sentAt)
		s.config.Logger.V(1).Info("gossip: could not watch the store", "error", err.Error())
		return false
	}
	if changed {
		if err := s.handleEntry(sentAt, entry); err != nil {
			s.config.Logger.Error(err, "gossip: ignoring an entry from the store", "revision", entry.Revision)
			return false
		}
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.syncState.RecordStoreSuccess(sentAt, known.version)
}

func (s *Service) isWatcher() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.syncState.IsWatcher()
}
