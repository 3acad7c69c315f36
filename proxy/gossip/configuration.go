package gossip

import (
	"math"
	"time"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/declaration"
)

// unknownAge is the authority age of a configuration that was never known to be the
// newest one.
const unknownAge = time.Duration(math.MaxInt64)

// Configuration provides the active configuration.
type Configuration interface {
	// AuthorityAge returns the time since the configuration was last known to be the
	// newest one; the maximum duration if it never was.
	AuthorityAge() time.Duration
	// Authorized reports whether requests that need a key may run.
	Authorized() bool
	// Current returns the active snapshot, or nil if there is none yet.
	Current() *declaration.Snapshot
	// Subscribe signals changes of the snapshot. Changes that occur before the
	// subscriber has received the last signal are combined into one.
	Subscribe() (changes <-chan struct{}, cancel func())
}

var _ Configuration = (*Service)(nil)

// AuthorityAge returns the time since the configuration was last known to be the newest
// one; the maximum duration if it never was.
func (s *Service) AuthorityAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	age, ok := s.syncState.AuthorityAge(s.config.Timer.Now())
	if !ok {
		return unknownAge
	}
	return age
}

// Authorized reports whether requests that need a key may run. A VM that is not ready may
// not have heard from any peer yet, so it could mistake a stale response from the store
// for the newest version.
func (s *Service) Authorized() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.authorized(s.config.Timer.Now())
}

// authorized implements Authorized. The caller holds mu.
func (s *Service) authorized(now time.Time) bool {
	return s.ready.Load() && s.syncState.Authorized(now)
}

// Current returns the active snapshot, or nil if there is none yet.
func (s *Service) Current() *declaration.Snapshot {
	return s.current.Load()
}

// Ready reports whether this VM has joined the fleet and has a configuration.
func (s *Service) Ready() bool {
	return s.ready.Load()
}

// Subscribe signals changes of the snapshot.
func (s *Service) Subscribe() (<-chan struct{}, func()) {
	changes := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers[changes] = struct{}{}
	return changes, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subscribers, changes)
	}
}

// activate activates an encoded document if it is newer than the active configuration. It
// returns the document's version, and whether it was activated.
func (s *Service) activate(encoded []byte, source string) (version uint64, activated bool, err error) {
	document, err := s.config.Decode(encoded)
	if err != nil {
		return 0, false, eris.Wrapf(err, "gossip: decode the configuration from %s", source)
	}
	version = document.Version
	if snapshot := s.current.Load(); snapshot != nil && version <= snapshot.Version() {
		return version, false, nil
	}
	snapshot := declaration.NewSnapshot(document)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.syncState.Activate(version) {
		return version, false, nil
	}
	s.current.Store(snapshot)
	s.encodedDocument = encoded
	s.gauge("configurationVersion").Update(int64(version))
	s.refreshView()
	for changes := range s.subscribers {
		select {
		case changes <- struct{}{}:
		default:
		}
	}
	s.config.Logger.Info("gossip: configuration activated", "version", version, "source", source)
	return version, true, nil
}
