// Package confsync decides how the configuration is distributed: which VMs watch the
// store, which version is active, and whether this VM may still rely on it. A VM may rely
// on its active version for a limited time after that version was last known to be the
// newest one. The time since then is called the authority age.
package confsync

import (
	"time"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/decision/routing"
)

// Defaults of the configuration.
const (
	// DefaultMaxAuthorityAge is the authority age above which a VM can no longer know
	// whether a key was revoked.
	DefaultMaxAuthorityAge = 4 * time.Second
	// DefaultMaxReportAge is the age up to which a report of another watcher about
	// the store is used. It covers four rounds of probing the watchers.
	DefaultMaxReportAge = 2 * time.Second
	// DefaultWatchersPerRegion is the number of VMs per region that watch the store. It
	// is two so that the loss of one does not delay a change.
	DefaultWatchersPerRegion = 2
)

// Config configures a State. The default is used for each duration or count that is zero.
type Config struct {
	Self routing.VM
	// Key is the key of the configuration in the store.
	Key         string
	StoreRegion string
	// MaxAuthorityAge is the maximum authority age at which keys are accepted, and
	// MaxReportAge the maximum age of another watcher's report.
	MaxAuthorityAge   time.Duration
	MaxReportAge      time.Duration
	WatchersPerRegion int
}

// Digest is what a VM reports about its configuration and the store in every probe.
type Digest struct {
	Version uint64
	// Age is the authority age, if AgeKnown.
	Age      time.Duration
	AgeKnown bool
	// Store is the VM's own view of the store.
	Store StoreState
}

// State is what one VM knows about the configuration's versions and the store. It is not
// safe for concurrent use.
type State struct {
	config  Config
	version uint64
	// highestSeen is the highest version that this VM or a peer has had.
	highestSeen uint64
	// newestAsOf is the latest time at which the active version was known to be the
	// newest one; zero if never.
	newestAsOf time.Time
	// pendingEvidence is evidence for a version that this VM has not fetched yet.
	pendingEvidence evidence
	// lastFailureSentAt is when the latest call of the store that failed was sent.
	lastFailureSentAt time.Time
	// allDataCentresLive is set while every known data centre of the store's region has a
	// live VM.
	allDataCentresLive bool
	// storeReports holds the other VMs' latest reports about the store, by VM.
	storeReports map[string]storeReport
	storeState   StoreState
	// otherWatchers are the watchers of all regions except this VM.
	otherWatchers []routing.VM
	watching      bool
}

// StoreState is what a VM knows about the store from its own recent calls.
type StoreState int

// The states of the store.
const (
	// StoreUnknown means that the VM does not watch the store or has no recent result.
	StoreUnknown StoreState = iota
	// StoreReachable means that the latest call succeeded.
	StoreReachable
	// StoreUnreachable means that the latest call failed.
	StoreUnreachable
)

// evidence is the fact that a version was the newest one as of a time.
type evidence struct {
	version uint64
	asOf    time.Time
}

// storeReport is a VM's report about the store, received in the response to a request
// sent at sentAt.
type storeReport struct {
	sentAt time.Time
	state  StoreState
}

// New returns a State that has no version yet.
func New(config Config) (*State, error) {
	if config.Self.Name == "" || config.StoreRegion == "" || config.Key == "" {
		return nil, eris.New("confsync: the VM, the store's region or the key is empty")
	}
	if config.MaxAuthorityAge == 0 {
		config.MaxAuthorityAge = DefaultMaxAuthorityAge
	}
	if config.MaxReportAge == 0 {
		config.MaxReportAge = DefaultMaxReportAge
	}
	if config.WatchersPerRegion == 0 {
		config.WatchersPerRegion = DefaultWatchersPerRegion
	}
	return &State{
		config:       config,
		storeReports: map[string]storeReport{},
	}, nil
}

// Activate makes a version the active one and returns true. It returns false if that
// version or a higher one is already active, or if a peer is known to have had a higher
// one.
func (s *State) Activate(version uint64) bool {
	if version <= s.version || version < s.highestSeen {
		return false
	}
	s.version = version
	s.highestSeen = version
	if s.pendingEvidence.version <= version {
		s.advanceNewestAsOf(s.pendingEvidence.asOf)
	}
	return true
}

// HandleResponse handles the digest in a peer's response to a request that was sent at
// the given time. The peer's authority age is taken to be as of that time, because the
// response may have been delayed while this VM was paused.
func (s *State) HandleResponse(sent time.Time, peer string, digest Digest) Decision {
	if digest.Store == StoreUnknown {
		delete(s.storeReports, peer)
	} else {
		s.storeReports[peer] = storeReport{
			sentAt: sent,
			state:  digest.Store,
		}
	}
	// The age of a peer with a lower version says nothing about this VM's version.
	if digest.AgeKnown && digest.Version >= s.version {
		s.addEvidence(evidence{
			version: digest.Version,
			asOf:    sent.Add(-digest.Age),
		})
	}
	return s.ObserveVersion(digest.Version)
}

// AuthorityAge returns the authority age, which is the time since the active version was
// last known to be the newest one. It returns false if that was never known.
func (s *State) AuthorityAge(now time.Time) (time.Duration, bool) {
	if asOf, ok := s.outageConfirmedAsOf(now); ok {
		s.advanceNewestAsOf(asOf)
	}
	if s.version == 0 || s.newestAsOf.IsZero() {
		return 0, false
	}
	return max(now.Sub(s.newestAsOf), 0), true
}

// Authorized reports whether requests that need a key may run, because the active
// version is recent enough to check the key.
func (s *State) Authorized(now time.Time) bool {
	age, ok := s.AuthorityAge(now)
	return ok && age <= s.config.MaxAuthorityAge
}

// Digest returns the digest that this VM sends to its peers.
func (s *State) Digest(now time.Time) Digest {
	age, ok := s.AuthorityAge(now)
	store := s.storeState
	// An old failure must not confirm an outage to another watcher.
	if store == StoreUnreachable && s.lastFailureSentAt.Before(now.Add(-s.config.MaxReportAge)) {
		store = StoreUnknown
	}
	return Digest{
		Version:  s.version,
		Age:      age,
		AgeKnown: ok,
		Store:    store,
	}
}

// ObserveVersion records a version that a peer has. It takes no authority age, because
// an age that comes with a peer's request may be out of date: the request may have been
// delayed for an unknown time.
func (s *State) ObserveVersion(version uint64) Decision {
	s.highestSeen = max(s.highestSeen, version)
	if version <= s.version {
		return None{}
	}
	return Fetch{
		NewerThan: s.version,
	}
}

// IsBehind reports whether a peer has had a higher version than this VM.
func (s *State) IsBehind() bool {
	return s.version < s.highestSeen
}

// HighestSeenVersion returns the highest version that this VM or a peer has had.
func (s *State) HighestSeenVersion() uint64 {
	return s.highestSeen
}

// RecordStoreSuccess records a successful call of the store that was sent at the given time
// and returned the version. It returns false if this VM knows of a higher version: the
// response is then stale and is no evidence.
func (s *State) RecordStoreSuccess(sent time.Time, version uint64) bool {
	if s.watching {
		s.storeState = StoreReachable
	}
	if version < s.highestSeen {
		return false
	}
	s.addEvidence(evidence{
		version: version,
		asOf:    sent,
	})
	return true
}

// RecordStoreFailure records a failed call of the store that was sent at the given time.
func (s *State) RecordStoreFailure(sent time.Time) {
	if sent.After(s.lastFailureSentAt) {
		s.lastFailureSentAt = sent
	}
	if s.watching {
		s.storeState = StoreUnreachable
	}
}

// Version returns the active version; 0 if there is none.
func (s *State) Version() uint64 {
	return s.version
}

// outageConfirmedAsOf returns the latest time as of which this VM, a watcher in the
// store's region, may assume that nobody can change the configuration because no VM can
// reach the store. It returns false if such an outage is not confirmed.
//
// A watcher that only itself is cut off from the store must not assume that. So every
// other live watcher of the region must recently have reported, in a response to this
// VM, that it cannot reach the store either, and no VM of any region may have reported a
// success. Network partitions mostly follow data centres: a data centre of the region
// without any live VM may contain the store together with VMs that still change the
// configuration, so every known data centre must have a live VM.
//
// The time may be too late by up to the maximum report age, if the store comes back
// between a failed call and the next one. The check does not cover a change that a VM made
// between the last success and the outage if that VM failed before it told any watcher.
func (s *State) outageConfirmedAsOf(now time.Time) (time.Time, bool) {
	if !s.watching || s.storeState != StoreUnreachable || s.version == 0 || s.version < s.highestSeen {
		return time.Time{}, false
	}
	if s.config.Self.Region != s.config.StoreRegion || !s.allDataCentresLive {
		return time.Time{}, false
	}
	since := now.Add(-s.config.MaxReportAge)
	// After a pause of this VM, its last failure says nothing about the store now.
	if s.lastFailureSentAt.Before(since) {
		return time.Time{}, false
	}
	for _, r := range s.storeReports {
		if r.state == StoreReachable && r.sentAt.After(since) {
			return time.Time{}, false
		}
	}
	asOf := now
	for _, w := range s.otherWatchers {
		if w.Region != s.config.StoreRegion {
			continue
		}
		r, ok := s.storeReports[w.Name]
		if !ok || r.state != StoreUnreachable || r.sentAt.Before(since) {
			return time.Time{}, false
		}
		if r.sentAt.Before(asOf) {
			asOf = r.sentAt
		}
	}
	return asOf, true
}

// advanceNewestAsOf records that the active version was the newest one as of a time.
func (s *State) advanceNewestAsOf(asOf time.Time) {
	if asOf.After(s.newestAsOf) {
		s.newestAsOf = asOf
	}
}

// addEvidence uses evidence at once if its version is the active one or older, and
// otherwise keeps it until that version is fetched.
func (s *State) addEvidence(e evidence) {
	if e.version <= s.version {
		s.advanceNewestAsOf(e.asOf)
		return
	}
	newer := e.version > s.pendingEvidence.version
	later := e.version == s.pendingEvidence.version && e.asOf.After(s.pendingEvidence.asOf)
	if newer || later {
		s.pendingEvidence = e
	}
}
