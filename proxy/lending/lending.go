// Package lending admits requests within the limits of their subjects: from this
// VM's own shares, and from tokens that it borrows from other holders.
package lending

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"amaranthdock.dev/api/amaranthdock/peer/v1/peerv1connect"
	"amaranthdock.dev/decision/limits"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/declaration"
	"amaranthdock.dev/proxy/platform"
	"amaranthdock.dev/timer"
)

// Config configures a Part. All fields are required except Random.
type Config struct {
	Configuration Configuration
	Dial          func(address netip.AddrPort) peerv1connect.PeerServiceClient
	Directory     Directory
	Logger        logr.Logger
	Metrics       metrics.Registry
	// Random returns values that are uniform in [0, 1), for jitter. It must be
	// safe for concurrent use.
	Random func() float64
	Store  Store
	Timer  timer.Service
}

// Configuration is what the part needs of the operators' document.
type Configuration interface {
	Current() *declaration.Snapshot
	Subscribe() (changes <-chan struct{}, cancel func())
}

// Directory is what the part needs of the membership.
type Directory interface {
	Address(vm string) (netip.AddrPort, bool)
	// Live returns the live VMs, sorted by name.
	Live() []routing.VM
	Self() routing.VM
}

// Store is what the part needs of the platform's service.
type Store interface {
	CompareAndSwap(ctx context.Context, key string, value []byte, expected uint64) (entry platform.Entry, swapped bool, err error)
	Get(ctx context.Context, key string) (platform.Entry, error)
	ListVMs(ctx context.Context) ([]platform.VM, error)
}

// Part admits requests and lends tokens. It is safe for concurrent use.
type Part struct {
	config  Config
	self    string
	counts  counts
	refresh chan struct{}
	stop    context.CancelFunc
	// calls is the context of calls to lenders, ended by Run.
	calls context.Context

	mu       sync.Mutex
	subjects map[string]*subject
	// loaded is set once the record has been read; first is the revision that
	// was read first.
	loaded   bool
	first    uint64
	record   limits.ShareRecord
	revision uint64
	leaving  bool
	absent   absences
}

// subject is the state of one subject on this VM, guarded by Part.mu.
type subject struct {
	name    string
	share   *limits.LocalShare
	hints   map[string]limits.LenderState
	asked   map[string]int64
	waiters []*waiter
	pumping bool
	rate    admittedRate
	wake    chan struct{}
}

type counts struct {
	admitted, borrowed, discarded, lent, loans, refused, writes, wrongful metrics.Counter
}

// New returns a Part that admits nothing until Run has read the share record.
func New(config Config) (*Part, error) {
	switch {
	case config.Configuration == nil || config.Directory == nil || config.Store == nil:
		return nil, eris.New("lending: the configuration, directory or store is missing")
	case config.Dial == nil || config.Metrics == nil || config.Timer == nil:
		return nil, eris.New("lending: the dial function, metrics or timer is missing")
	}
	if config.Random == nil {
		config.Random = rand.Float64
	}
	p := &Part{
		config:   config,
		self:     config.Directory.Self().Name,
		refresh:  make(chan struct{}, 1),
		subjects: map[string]*subject{},
		absent:   absences{since: map[string]time.Time{}},
	}
	p.config.Logger = config.Logger.WithName("lending")
	p.calls, p.stop = context.WithCancel(context.Background())
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("lending."+name, config.Metrics)
	}
	p.counts = counts{
		admitted:  counter("admitted"),
		borrowed:  counter("borrowedTokens"),
		discarded: counter("discardedTokens"),
		lent:      counter("lentTokens"),
		loans:     counter("loans"),
		refused:   counter("refused"),
		writes:    counter("recordWrites"),
		wrongful:  counter("wrongfulRefusals"),
	}
	return p, nil
}

// Ready tells whether the share record has been read.
func (p *Part) Ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loaded
}

// apply takes over the record from an entry of the store.
func (p *Part) apply(entry platform.Entry) error {
	record, err := limits.DecodeShareRecord(entry.Value)
	if err != nil {
		return eris.Wrapf(err, "lending: read %s", recordKey)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.loaded {
		p.loaded = true
		p.first = entry.Revision
	} else if entry.Revision <= p.revision {
		return nil
	}
	p.record = record
	p.revision = entry.Revision
	now := p.config.Timer.Now()
	for _, s := range record.Subjects {
		p.subject(now, s.Name)
	}
	for _, s := range p.subjects {
		p.applyTo(now, s)
	}
	return nil
}

// applyTo brings a subject's share up to the record. The caller holds mu.
func (p *Part) applyTo(now time.Time, s *subject) {
	s.share.Apply(now, p.revision, p.record.Share(s.name, p.self))
	if p.leaving {
		s.share.Reduce(now, 0, p.revision)
	}
}

// requestRefresh asks Run to read the record soon.
func (p *Part) requestRefresh() {
	select {
	case p.refresh <- struct{}{}:
	default:
	}
}

// subject returns the state of a subject under the configuration in effect. The
// caller holds mu, and the record has been read.
func (p *Part) subject(now time.Time, name string) *subject {
	limit := p.limit(name)
	s, ok := p.subjects[name]
	if ok {
		s.share.SetLimit(now, limit)
		return s
	}
	s = &subject{
		name:  name,
		share: limits.NewLocalShare(now, limit, p.first),
		hints: map[string]limits.LenderState{},
		asked: map[string]int64{},
		wake:  make(chan struct{}, 1),
	}
	p.subjects[name] = s
	p.applyTo(now, s)
	return s
}

// limit returns the limit of a subject; the zero Limit, which admits nothing, if
// the configuration does not name it.
func (p *Part) limit(name string) limits.Limit {
	snapshot := p.config.Configuration.Current()
	if snapshot == nil {
		return limits.Limit{}
	}
	s, ok := snapshot.Subject(name)
	if !ok {
		return limits.Limit{}
	}
	return limits.Limit{
		Rate:  s.Limit.Rate,
		Burst: s.Limit.Burst,
	}
}
