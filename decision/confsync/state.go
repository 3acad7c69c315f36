// Package confsync decides how the configuration spreads: which VMs watch the
// store, which version is in effect, and whether this VM may still rely on it.
package confsync

import (
	"time"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/decision/routing"
)

// Defaults of the configuration.
const (
	// DefaultAuthorityLimit is the authority age above which a VM cannot know of
	// a revoked key.
	DefaultAuthorityLimit = 4 * time.Second
	// DefaultConsultationLimit is the age up to which a report of another
	// watcher counts. It covers four rounds of consultation.
	DefaultConsultationLimit = 2 * time.Second
	// DefaultWatchersPerRegion that read the store. Two, so that the loss of one
	// does not delay a change.
	DefaultWatchersPerRegion = 2
)

// Config configures a State. Zero durations and counts stand for the defaults.
type Config struct {
	Self routing.VM
	// Key of the configuration in the store.
	Key               string
	StoreRegion       string
	AuthorityLimit    time.Duration
	ConsultationLimit time.Duration
	WatchersPerRegion int
}

// Digest is what a VM tells of its configuration on every probe.
type Digest struct {
	Version uint64
	// Age is the authority age, if AgeKnown.
	Age      time.Duration
	AgeKnown bool
	Store    Store
}

// State is what one VM knows of the configuration's versions. It is not safe
// for concurrent use.
type State struct {
	config  Config
	version uint64
	// heard is the highest version that this VM or a peer has had.
	heard uint64
	// asOf is the latest time at which the version in effect was known to be
	// the newest one; zero if never.
	asOf time.Time
	// pending is the evidence for a version that has yet to be fetched.
	pending evidence
	// failed is the sending time of the last call of the store that failed.
	failed             time.Time
	dataCentresCovered bool
	reports            map[string]report
	store              Store
	watchers           []routing.VM
	watching           bool
}

// Store is what a VM knows of the store from its own calls.
type Store int

// The states of the store.
const (
	StoreUnwatched Store = iota
	StoreReachable
	StoreUnreachable
)

type evidence struct {
	version uint64
	asOf    time.Time
}

type report struct {
	sent  time.Time
	store Store
}

// New returns a State without a version.
func New(config Config) (*State, error) {
	if config.Self.Name == "" || config.StoreRegion == "" || config.Key == "" {
		return nil, eris.New("confsync: the VM, the store's region or the key is empty")
	}
	if config.AuthorityLimit == 0 {
		config.AuthorityLimit = DefaultAuthorityLimit
	}
	if config.ConsultationLimit == 0 {
		config.ConsultationLimit = DefaultConsultationLimit
	}
	if config.WatchersPerRegion == 0 {
		config.WatchersPerRegion = DefaultWatchersPerRegion
	}
	return &State{
		config:  config,
		reports: map[string]report{},
	}, nil
}

// Activate puts a version into effect, unless this VM or a peer that it has heard
// from has had a higher one, or it is in effect already.
func (s *State) Activate(version uint64) bool {
	if version <= s.version || version < s.heard {
		return false
	}
	s.version = version
	s.heard = version
	if s.pending.version <= version {
		s.known(s.pending.asOf)
	}
	return true
}

// HandleResponse takes in the digest of a peer's answer to a request that was
// sent at the given time. The peer's age counts from the sending: the answer may
// have waited unread while this VM was paused.
func (s *State) HandleResponse(sent time.Time, peer string, digest Digest) Decision {
	if digest.Store == StoreUnwatched {
		delete(s.reports, peer)
	} else {
		s.reports[peer] = report{
			sent:  sent,
			store: digest.Store,
		}
	}
	// The age of a peer with a lower version cannot tell about the own one.
	if digest.AgeKnown && digest.Version >= s.version {
		s.learn(evidence{
			version: digest.Version,
			asOf:    sent.Add(-digest.Age),
		})
	}
	return s.ObserveVersion(digest.Version)
}

// AuthorityAge returns the authority age, or false if the version in effect was never
// known to be the newest one.
func (s *State) AuthorityAge(now time.Time) (time.Duration, bool) {
	if claim, ok := s.claim(now); ok {
		s.known(claim)
	}
	if s.version == 0 || s.asOf.IsZero() {
		return 0, false
	}
	return max(now.Sub(s.asOf), 0), true
}

// Authorized tells whether requests that need a key may run.
func (s *State) Authorized(now time.Time) bool {
	age, ok := s.AuthorityAge(now)
	return ok && age <= s.config.AuthorityLimit
}

// Digest returns what this VM tells its peers.
func (s *State) Digest(now time.Time) Digest {
	age, ok := s.AuthorityAge(now)
	store := s.store
	// An old failure must not support the claim of another watcher.
	if store == StoreUnreachable && s.failed.Before(now.Add(-s.config.ConsultationLimit)) {
		store = StoreUnwatched
	}
	return Digest{
		Version:  s.version,
		Age:      age,
		AgeKnown: ok,
		Store:    store,
	}
}

// ObserveVersion takes in a version that a peer has. An age that comes with a request is
// not used, since the request may have waited for an unknown time.
func (s *State) ObserveVersion(version uint64) Decision {
	s.heard = max(s.heard, version)
	if version <= s.version {
		return None{}
	}
	return Fetch{
		NewerThan: s.version,
	}
}

// IsBehind tells whether a peer has had a higher version than this VM.
func (s *State) IsBehind() bool {
	return s.version < s.heard
}

// HighestSeenVersion returns the highest version that this VM or a peer has had.
func (s *State) HighestSeenVersion() uint64 {
	return s.heard
}

// RecordStoreSuccess reports a successful call of the store, sent at the given time,
// after which the store held the version. It returns false if the version is
// lower than one that this VM has heard of: the answer is stale and proves
// nothing.
func (s *State) RecordStoreSuccess(sent time.Time, version uint64) bool {
	if s.watching {
		s.store = StoreReachable
	}
	if version < s.heard {
		return false
	}
	s.learn(evidence{
		version: version,
		asOf:    sent,
	})
	return true
}

// RecordStoreFailure reports a call of the store, sent at the given time, that failed.
func (s *State) RecordStoreFailure(sent time.Time) {
	if sent.After(s.failed) {
		s.failed = sent
	}
	if s.watching {
		s.store = StoreUnreachable
	}
}

// Version returns the version in effect; 0 if there is none.
func (s *State) Version() uint64 {
	return s.version
}

// claim returns the time as of which a watcher of the store's region may say
// that nobody can change the configuration, because the store is out for all.
//
// A watcher that alone is cut off from the store must not claim that. So every
// other live watcher of the region has to have reported recently, in an answer
// to this VM, that the store is out for it too, and no VM of any region may have
// reported a success. Partitions mostly follow data centres: a data centre of the region
// without any live VM may hold the store together with VMs that still change
// the configuration, so every known data centre has to have a live VM. The claim may
// be late by the consultation limit, if the store comes back between a failure
// and the next call. It does not cover a change that was made between the last
// success and the outage by a VM that failed before it told any watcher.
func (s *State) claim(now time.Time) (time.Time, bool) {
	if !s.watching || s.store != StoreUnreachable || s.version == 0 || s.version < s.heard {
		return time.Time{}, false
	}
	if s.config.Self.Region != s.config.StoreRegion || !s.dataCentresCovered {
		return time.Time{}, false
	}
	since := now.Add(-s.config.ConsultationLimit)
	// After a pause of this VM the last failure tells nothing of the store.
	if s.failed.Before(since) {
		return time.Time{}, false
	}
	for _, r := range s.reports {
		if r.store == StoreReachable && r.sent.After(since) {
			return time.Time{}, false
		}
	}
	claim := now
	for _, w := range s.watchers {
		if w.Region != s.config.StoreRegion {
			continue
		}
		r, ok := s.reports[w.Name]
		if !ok || r.store != StoreUnreachable || r.sent.Before(since) {
			return time.Time{}, false
		}
		if r.sent.Before(claim) {
			claim = r.sent
		}
	}
	return claim, true
}

// known moves the time as of which the version in effect was the newest one.
func (s *State) known(asOf time.Time) {
	if asOf.After(s.asOf) {
		s.asOf = asOf
	}
}

// learn uses evidence at once if the version in effect covers it, and keeps it
// until the version is fetched otherwise.
func (s *State) learn(e evidence) {
	if e.version <= s.version {
		s.known(e.asOf)
		return
	}
	newer := e.version > s.pending.version
	later := e.version == s.pending.version && e.asOf.After(s.pending.asOf)
	if newer || later {
		s.pending = e
	}
}
