// Package lending enforces the rate limits of subjects (workspaces and public
// routes) across the VMs. A durable record in the platform's store assigns each VM
// a share of a subject's limit. A VM admits requests with the tokens of its own
// share, and borrows tokens from other share holders when these are used up.
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

// Config configures a Limiter. All fields are required except Random.
type Config struct {
	Configuration Configuration
	Dial          func(address netip.AddrPort) peerv1connect.PeerServiceClient
	Directory     Directory
	Logger        logr.Logger
	Metrics       metrics.Registry
	// Random returns uniformly distributed values in [0, 1), used for jitter. It
	// must be safe for concurrent use.
	Random func() float64
	Store  Store
	Timer  timer.Service
}

// Configuration provides the active configuration.
type Configuration interface {
	Current() *declaration.Snapshot
	Subscribe() (changes <-chan struct{}, cancel func())
}

// Directory provides the members of the fleet.
type Directory interface {
	Address(vm string) (netip.AddrPort, bool)
	// Live returns the live VMs, sorted by name.
	Live() []routing.VM
	Self() routing.VM
}

// Store is the part of the platform's service that holds the share record and the
// VM list.
type Store interface {
	CompareAndSwap(ctx context.Context, key string, value []byte, expected uint64) (entry platform.Entry, swapped bool, err error)
	Get(ctx context.Context, key string) (platform.Entry, error)
	ListVMs(ctx context.Context) ([]platform.VM, error)
}

// Limiter admits requests and lends tokens to other VMs. It is safe for concurrent
// use.
type Limiter struct {
	config          Config
	self            string
	counters        counters
	refreshRequests chan struct{}
	cancelLoans     context.CancelFunc
	// loanContext is the context of loan requests; Run cancels it when it ends.
	loanContext context.Context

	mu       sync.Mutex
	subjects map[string]*subject
	// loaded is set once the share record has been read; firstRevision is the
	// revision of the record that was read first.
	loaded        bool
	firstRevision uint64
	record        limits.ShareRecord
	revision      uint64
	leaving       bool
	absences      absenceTracker
}

// subject is the state of one subject on this VM, guarded by Limiter.mu.
type subject struct {
	name  string
	share *limits.LocalShare
	// lenderStates holds the last response of each lender, by VM.
	lenderStates map[string]limits.LenderState
	// requestedTokens holds the tokens asked for in loan requests that are still in
	// flight, by the lender's VM.
	requestedTokens map[string]int64
	waiters         []*waiter
	// borrowing is set while borrowForWaiters runs.
	borrowing bool
	rate      admittedRate
	// wake signals borrowForWaiters that a loan request has ended.
	wake chan struct{}
}

type counters struct {
	admitted, borrowed, discarded, lent, loans, refused, recordWrites, wrongful metrics.Counter
}

// New returns a Limiter that admits nothing until Run has read the share record.
func New(config Config) (*Limiter, error) {
	switch {
	case config.Configuration == nil || config.Directory == nil || config.Store == nil:
		return nil, eris.New("lending: Config lacks Configuration, Directory or Store")
	case config.Dial == nil || config.Metrics == nil || config.Timer == nil:
		return nil, eris.New("lending: Config lacks Dial, Metrics or Timer")
	}
	if config.Random == nil {
		config.Random = rand.Float64
	}
	l := &Limiter{
		config:          config,
		self:            config.Directory.Self().Name,
		refreshRequests: make(chan struct{}, 1),
		subjects:        map[string]*subject{},
		absences:        absenceTracker{absentSince: map[string]time.Time{}},
	}
	l.config.Logger = config.Logger.WithName("lending")
	l.loanContext, l.cancelLoans = context.WithCancel(context.Background())
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("lending."+name, config.Metrics)
	}
	l.counters = counters{
		admitted:     counter("admitted"),
		borrowed:     counter("borrowedTokens"),
		discarded:    counter("discardedTokens"),
		lent:         counter("lentTokens"),
		loans:        counter("loans"),
		refused:      counter("refused"),
		recordWrites: counter("recordWrites"),
		wrongful:     counter("wrongfulRefusals"),
	}
	return l, nil
}

// Ready reports whether the share record has been read.
func (l *Limiter) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loaded
}

// applyRecord applies the share record from an entry of the store, unless it is
// older than the current one.
func (l *Limiter) applyRecord(entry platform.Entry) error {
	record, err := limits.DecodeShareRecord(entry.Value)
	if err != nil {
		return eris.Wrapf(err, "lending: decode %s", recordKey)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.loaded {
		l.loaded = true
		l.firstRevision = entry.Revision
	} else if entry.Revision <= l.revision {
		return nil
	}
	l.record = record
	l.revision = entry.Revision
	now := l.config.Timer.Now()
	for _, s := range record.Subjects {
		l.subject(now, s.Name)
	}
	for _, s := range l.subjects {
		l.applyToSubject(now, s)
	}
	return nil
}

// applyToSubject applies the share record to a subject's share. The caller holds
// mu.
func (l *Limiter) applyToSubject(now time.Time, s *subject) {
	s.share.Apply(now, l.revision, l.record.Share(s.name, l.self))
	if l.leaving {
		s.share.Reduce(now, 0, l.revision)
	}
}

// requestRefresh makes Run read the share record soon.
func (l *Limiter) requestRefresh() {
	select {
	case l.refreshRequests <- struct{}{}:
	default:
	}
}

// subject returns the state of a subject, with the limit of the active configuration.
// The caller holds mu, and the share record must have been read.
func (l *Limiter) subject(now time.Time, name string) *subject {
	s, ok := l.subjects[name]
	if ok {
		s.share.SetLimit(now, l.limit(name))
		return s
	}
	s = l.newSubject(now, name)
	l.subjects[name] = s
	return s
}

// newSubject returns the state of a subject of which this VM has none yet. The caller
// holds mu.
func (l *Limiter) newSubject(now time.Time, name string) *subject {
	s := &subject{
		name:            name,
		share:           limits.NewLocalShare(now, l.limit(name), l.firstRevision),
		lenderStates:    map[string]limits.LenderState{},
		requestedTokens: map[string]int64{},
		wake:            make(chan struct{}, 1),
	}
	l.applyToSubject(now, s)
	return s
}

// limit returns the rate limit of a subject. For a subject that is not configured
// it returns the zero Limit, which admits nothing.
func (l *Limiter) limit(name string) limits.Limit {
	snapshot := l.config.Configuration.Current()
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
