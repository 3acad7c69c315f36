package gossip

import (
	"math"
	"time"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/declaration"
)

// unknownAge stands for the age of a configuration that was never known to be
// the newest one.
const unknownAge = time.Duration(math.MaxInt64)

// Configuration gives the configuration in effect.
type Configuration interface {
	// AuthorityAge is the time since the configuration was known to be the newest
	// one; the longest duration if it never was.
	AuthorityAge() time.Duration
	// Authorized tells whether requests that need a key may run.
	Authorized() bool
	// Current returns the snapshot in effect; nil before there is one.
	Current() *declaration.Snapshot
	// Subscribe signals changes of the snapshot. Changes that come before the
	// subscriber has taken the last signal are combined into one.
	Subscribe() (changes <-chan struct{}, cancel func())
}

var _ Configuration = (*Service)(nil)

// AuthorityAge is the time since the configuration was known to be the newest.
func (p *Service) AuthorityAge() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	age, ok := p.versions.AuthorityAge(p.config.Timer.Now())
	if !ok {
		return unknownAge
	}
	return age
}

// Authorized tells whether requests that need a key may run. A VM that is not
// ready has heard from no peer, so a stale answer of the store could pass for the
// newest version.
func (p *Service) Authorized() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.authorized(p.config.Timer.Now())
}

// authorized is Authorized for a caller that holds mu.
func (p *Service) authorized(now time.Time) bool {
	return p.ready.Load() && p.versions.Authorized(now)
}

// Current returns the snapshot in effect; nil before there is one.
func (p *Service) Current() *declaration.Snapshot {
	return p.current.Load()
}

// Ready tells whether this VM has joined the fleet and has a configuration.
func (p *Service) Ready() bool {
	return p.ready.Load()
}

// Subscribe signals changes of the snapshot.
func (p *Service) Subscribe() (<-chan struct{}, func()) {
	changes := make(chan struct{}, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.subscribers[changes] = struct{}{}
	return changes, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.subscribers, changes)
	}
}

// accept puts an encoded document into effect if it is newer. It returns the
// document's version, and whether it was new to this VM.
func (p *Service) accept(encoded []byte, source string) (version uint64, accepted bool, err error) {
	document, err := p.config.Decode(encoded)
	if err != nil {
		return 0, false, eris.Wrapf(err, "gossip: configuration from %s", source)
	}
	version = document.Version
	if snapshot := p.current.Load(); snapshot != nil && version <= snapshot.Version() {
		return version, false, nil
	}
	snapshot := declaration.NewSnapshot(document)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.versions.Activate(version) {
		return version, false, nil
	}
	p.current.Store(snapshot)
	p.encoded = encoded
	p.gauge("configurationVersion").Update(int64(version))
	p.refresh()
	for changes := range p.subscribers {
		select {
		case changes <- struct{}{}:
		default:
		}
	}
	p.config.Logger.Info("gossip: configuration in effect", "version", version, "source", source)
	return version, true, nil
}
