// Package lending enforces the rate limits of workspaces across all VMs. The rate and burst
// of a workspace are divided into shares, which a few VMs hold; hashing over the registered
// VMs selects the holders. All other VMs, and holders whose share is used up, borrow tokens
// from the holders. A lender takes the tokens from its bucket before it responds, so that
// tokens can be lost but never duplicated.
package lending

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/decision/limits"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/guard"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/timer"
)

const (
	// loanTTL is how long borrowed tokens may be spent. It bounds the share of the rate
	// that loans move from one time window into the next.
	loanTTL = 400 * time.Millisecond
	// lenderBackoff is the delay before the next loan request after no lender had tokens.
	// Requests are refused immediately during this time.
	lenderBackoff = 60 * time.Millisecond
	// minRestartGap is the minimum time between the end of a process and the start of its
	// successor, during which neither admits requests.
	minRestartGap = 300 * time.Millisecond
	// surplusTTL is how long tokens that accumulated under a higher limit may be spent
	// after the limit is lowered, so that a workspace keeps the burst that it had saved. It
	// is less than the time within which a configuration must be active on all VMs.
	surplusTTL = 3 * time.Second
	// demandWeight is the weight of the latest interval in the moving average of the
	// demand.
	demandWeight = 0.3
	// demandInterval is the minimum length of an interval over which the demand is measured.
	demandInterval = 200 * time.Millisecond
)

// Fleet provides the registered VMs and the configuration.
type Fleet interface {
	Self() catalog.VM
	VMs() *catalog.VMSnapshot
	Configuration() *catalog.Configuration
}

// PeerCaller calls other VMs to borrow tokens from them.
type PeerCaller interface {
	// Call has the contract of peer.Clients.Call.
	Call(ctx context.Context, vm catalog.VM, method string, arguments, reply any, timeout time.Duration) error
	// Unreachable reports whether connecting to the VM failed recently.
	Unreachable(vm string) bool
}

// Config configures a Limiter.
type Config struct {
	Fleet    Fleet
	Peers    PeerCaller
	Timer    timer.Service
	Log      logr.Logger
	Registry metrics.Registry
	// Tolerance is the fraction of a limit by which the fleet may exceed it in any time
	// window of length Window. It is used only for restarts: a process does not know what
	// its predecessor has admitted.
	Tolerance float64
	Window    time.Duration
	// UnregisteredFleetSize returns the number of VMs that this VM knows of, including
	// itself, while it serves without being registered because the store is unreachable; 0
	// otherwise.
	UnregisteredFleetSize func() int
	// Start returns how this process may begin to use its shares.
	Start func() limits.Start
}

// Limiter enforces the rate limits of workspaces on this VM. It is safe for concurrent use.
type Limiter struct {
	config   Config
	borrowed metrics.Counter
	refused  metrics.Counter

	mu         sync.Mutex
	workspaces map[string]*workspaceState
	// bucketsEmptyAt is the latest time at which the buckets of this process were empty.
	bucketsEmptyAt time.Time
	// registeredSince is when this VM first appeared in the fleet.
	registeredSince time.Time
}

// workspaceState is this VM's share of the rate limit of one workspace.
type workspaceState struct {
	bucket limits.Bucket
	// holding is the share of the limit that sizes the bucket.
	holding limits.Holding
	// assigned is set once this VM was assigned a share, which may be zero.
	assigned bool
	// limit, fleet, unregistered and start are the values for which the share was last assigned.
	limit        limits.Limit
	fleet        *catalog.VMSnapshot
	holders      []catalog.VM
	unregistered int
	start        limits.Start

	// expiringTokens are the borrowed and refunded tokens.
	expiringTokens int64
	// tokensExpireAt is a boot-clock reading, which advances while the VM is suspended.
	tokensExpireAt time.Duration
	backoffUntil   time.Time
	// loanDone is closed when the loan request in progress ends; nil if there is none.
	loanDone chan struct{}
	// waiting is the number of requests that wait for a loan.
	waiting int64
	// nextHolder is the index of the holder from which the next loan is requested first.
	nextHolder int

	// requests counts the attempts to take a token since measuredAt, and demand is their
	// moving average per second.
	requests   float64
	demand     float64
	measuredAt time.Time
}

// New returns a Limiter whose buckets start empty and fill from the end of the previous
// process of this VM, so that a restart does not admit a second burst.
func New(config Config) *Limiter {
	return &Limiter{
		config:         config,
		borrowed:       metrics.GetOrRegisterCounter("limits.borrowedTokens", config.Registry),
		refused:        metrics.GetOrRegisterCounter("limits.refused", config.Registry),
		workspaces:     map[string]*workspaceState{},
		bucketsEmptyAt: config.Timer.Now().Add(-minRestartGap),
	}
}

// UpdateBuckets creates or updates the buckets of all workspaces, so that they fill before
// the first request.
func (l *Limiter) UpdateBuckets() {
	configuration := l.config.Fleet.Configuration()
	if configuration == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range configuration.Workspaces {
		l.workspaceState(name)
	}
}

// Admit takes a token of the workspace. If there is none, it waits for at most two loans.
// Its errors are *refusal.Error with the outcome refusal.NotRun.
func (l *Limiter) Admit(ctx context.Context, name string) error {
	for attempt := 0; ; attempt++ {
		l.mu.Lock()
		w, ok := l.workspaceState(name)
		if !ok {
			l.mu.Unlock()
			return refusal.NewNotRun(refusal.NotAllowed, "the workspace is not configured")
		}
		now := l.config.Timer.Now()
		if w.takeToken(now, l.config.Timer.SinceBoot()) {
			l.mu.Unlock()
			return nil
		}
		if attempt > 1 || now.Before(w.backoffUntil) {
			retry := w.bucket.TimeUntil(now, 1)
			l.mu.Unlock()
			l.refused.Inc(1)
			return &refusal.Error{
				Outcome:    refusal.NotRun,
				Reason:     refusal.RateExceeded,
				Message:    "the workspace has reached its rate limit",
				RetryAfter: max(min(retry, time.Second), lenderBackoff),
			}
		}
		done := w.loanDone
		if done == nil {
			done = make(chan struct{})
			w.loanDone = done
			go l.borrow(name, w, done)
		}
		w.waiting++
		l.mu.Unlock()
		select {
		case <-done:
			l.stopWaiting(w)
		case <-ctx.Done():
			l.stopWaiting(w)
			return refusal.NewNotRun(refusal.DeadlineExceeded, "the request ended while it waited for a rate limit token")
		}
	}
}

func (l *Limiter) stopWaiting(w *workspaceState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.waiting--
}

// Refund returns the token of an operation that was refused before it ran. The token
// expires after the same time as borrowed ones.
func (l *Limiter) Refund(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, ok := l.workspaceState(name)
	if !ok {
		return
	}
	boot := l.config.Timer.SinceBoot()
	if boot >= w.tokensExpireAt {
		w.expiringTokens = 0
		w.tokensExpireAt = boot + loanTTL
	}
	w.expiringTokens++
}

// Lend lends tokens for the waiting requests of the borrower. For the requests that the
// borrower expects soon it lends at most half of the available tokens, because borrowed
// tokens that are not spent are lost.
func (l *Limiter) Lend(request *peer.LoanRequest) peer.LoanResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, ok := l.workspaceState(request.Workspace)
	if !ok {
		return peer.LoanResponse{}
	}
	now := l.config.Timer.Now()
	expected := min(w.bucket.Available(now)/2, request.Soon)
	return peer.LoanResponse{Tokens: w.bucket.Take(now, max(request.Waiting, expected))}
}

// workspaceState returns the state of a workspace and updates it to the current
// configuration and fleet; false if the workspace is not configured. The caller holds the
// lock.
func (l *Limiter) workspaceState(name string) (*workspaceState, bool) {
	configuration := l.config.Fleet.Configuration()
	if configuration == nil {
		return nil, false
	}
	configured, ok := configuration.Workspaces[name]
	if !ok {
		return nil, false
	}
	limit := limits.Limit{
		Rate:  configured.RatePerSecond,
		Burst: int64(configured.Burst),
	}
	fleet := l.config.Fleet.VMs()
	now := l.config.Timer.Now()
	w, exists := l.workspaces[name]
	if !exists {
		w = &workspaceState{measuredAt: now}
		l.workspaces[name] = w
	}
	unregistered := l.config.UnregisteredFleetSize()
	start := l.config.Start()
	if w.fleet != fleet || w.limit != limit || w.unregistered != unregistered || w.start != start {
		change := shareChange{
			fleet:   w.fleet != fleet,
			lowered: w.limit.Rate > limit.Rate,
		}
		w.unregistered = unregistered
		w.start = start
		w.fleet = fleet
		w.limit = limit
		w.holders = shareHolders(name, limit.HolderCount(), fleet)
		l.assignShare(name, w, now, change)
	}
	if appliesFrom, ok := w.holding.Advance(now); ok {
		l.logShare(name, w)
		capacity, rate := w.limit.BucketParameters(w.holding.Share())
		w.bucket.Resize(appliesFrom, capacity, rate)
	}
	return w, true
}

// shareChange is what changed before a share is assigned.
type shareChange struct {
	fleet bool
	// lowered is set if the rate of the limit was lowered.
	lowered bool
}

// assignShare assigns this VM's share of a changed limit or in a changed fleet, and resizes
// the bucket.
func (l *Limiter) assignShare(name string, w *workspaceState, now time.Time, change shareChange) {
	if _, registered := w.fleet.ByName[l.config.Fleet.Self().Name]; registered && l.registeredSince.IsZero() {
		l.registeredSince = now
	}
	previous, share := w.holding.Share(), l.share(w)
	first := !w.assigned && (w.unregistered > 0 || !l.registeredSince.IsZero())
	emptyAt, resumes := l.initialBucket(w, now)
	resumes = resumes && first
	switch {
	case resumes, w.unregistered > 0:
		w.holding.Resume(share)
	case change.lowered && !change.fleet && !w.holding.Pending():
		// A lower limit has fewer holders. It binds once all VMs know it, and then the
		// other holders have no share any more.
		w.holding.Resume(share)
	default:
		w.holding.Assign(now, share)
	}
	if w.holding.Share() != previous {
		l.logShare(name, w)
	}
	capacity, rate := w.limit.BucketParameters(w.holding.Share())
	switch {
	case resumes:
		w.bucket = limits.NewBucket(emptyAt, capacity, rate)
	case change.lowered:
		w.bucket.ResizeKeepingSurplus(now, capacity, rate, now.Add(surplusTTL))
	default:
		w.bucket.Resize(now, capacity, rate)
	}
	if _, undecided := w.start.(limits.Undecided); first && !undecided {
		w.assigned = true
	}
}

// initialBucket returns whether the first share of a workspace applies immediately, since
// no other VM can have used it recently, and when its bucket was empty.
func (l *Limiter) initialBucket(w *workspaceState, now time.Time) (emptyAt time.Time, resumes bool) {
	switch w.start.(type) {
	case limits.Resumed, limits.NewFleet:
		return l.bucketsEmptyAt.Add(-l.toleratedRefillTime(w.limit)), true
	case limits.Joined:
		if w.unregistered > 0 {
			return now, true
		}
		emptyAt = l.registeredSince.Add(limits.HandoverDelay)
		return emptyAt, !now.Before(emptyAt)
	default:
		return time.Time{}, false
	}
}

func (l *Limiter) logShare(name string, w *workspaceState) {
	l.config.Log.Info("The share of this VM in a workspace's rate limit was recalculated.", "workspace", name, "rate", w.limit.Rate,
		"burst", w.limit.Burst, "holders", len(w.holders), "part", w.holding.Share())
}

// share returns the share of this VM in a workspace's limit, in millionths. A VM that had to
// start without the store takes no larger share than each VM of a fleet with
// limits.MaxHolders VMs.
func (l *Limiter) share(w *workspaceState) int64 {
	if w.unregistered > 0 {
		return limits.TotalMillionths / int64(max(w.unregistered, limits.MaxHolders))
	}
	for _, vm := range w.holders {
		if vm.Name == l.config.Fleet.Self().Name {
			return limits.TotalMillionths / int64(len(w.holders))
		}
	}
	return 0
}

// toleratedRefillTime returns the time in which a bucket with the given limit gains the
// number of tokens by which the fleet may exceed the limit in one window.
func (l *Limiter) toleratedRefillTime(limit limits.Limit) time.Duration {
	if limit.Rate <= 0 {
		return 0
	}
	seconds := l.config.Window.Seconds() + float64(limit.Burst)/limit.Rate
	return time.Duration(l.config.Tolerance * seconds * float64(time.Second))
}

// shareHolders returns the VMs that hold the shares of a workspace's limit.
func shareHolders(name string, count int, fleet *catalog.VMSnapshot) []catalog.VM {
	holders := make([]catalog.VM, 0, count)
	for _, vm := range routing.First(name, maps.Keys(fleet.ByName), count) {
		holders = append(holders, fleet.ByName[vm])
	}
	return holders
}

// takeToken takes a borrowed or refunded token if there is one, and otherwise a token of
// the bucket. It also measures the demand.
func (w *workspaceState) takeToken(now time.Time, boot time.Duration) bool {
	w.requests++
	if elapsed := now.Sub(w.measuredAt); elapsed >= demandInterval {
		w.demand += demandWeight * (w.requests/elapsed.Seconds() - w.demand)
		w.requests = 0
		w.measuredAt = now
	}
	if w.expiringTokens > 0 && boot < w.tokensExpireAt {
		w.expiringTokens--
		return true
	}
	w.expiringTokens = 0
	return w.bucket.Take(now, 1) == 1
}

// borrow requests a loan from one holder after the other until one of them lends tokens.
func (l *Limiter) borrow(name string, w *workspaceState, done chan struct{}) {
	defer guard.Recover(l.config.Log, "loan")
	borrowed, lender := int64(0), 0
	defer func() { l.endLoan(w, done, borrowed, lender) }()
	l.mu.Lock()
	request := &peer.LoanRequest{
		Workspace: name,
		Waiting:   max(w.waiting, 1),
		Soon:      int64(w.demand * loanTTL.Seconds()),
	}
	holders, first := w.holders, w.nextHolder
	l.mu.Unlock()
	for i := 0; i < len(holders) && borrowed == 0; i++ {
		lender = (first + i) % len(holders)
		vm := holders[lender]
		if vm.Name == l.config.Fleet.Self().Name || l.config.Peers.Unreachable(vm.Name) {
			continue
		}
		var response peer.LoanResponse
		started := l.config.Timer.SinceBoot()
		err := l.config.Peers.Call(context.Background(), vm, "Lend", request, &response, limits.LoanTimeout)
		if err != nil {
			l.config.Log.V(1).Info("Could not borrow tokens from a VM.", "workspace", name, "lender", vm.Name, "error", err.Error())
			continue
		}
		// Tokens of a late response are discarded: spent now, they would count towards a
		// later time window than the one in which the lender took them from its bucket.
		if l.config.Timer.SinceBoot()-started <= limits.LoanTimeout {
			borrowed = response.Tokens
		}
	}
	l.borrowed.Inc(borrowed)
}

// endLoan records the result of a loan request and wakes the requests that wait for it.
func (l *Limiter) endLoan(w *workspaceState, done chan struct{}, borrowed int64, lender int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.loanDone = nil
	if borrowed > 0 {
		w.nextHolder = lender
		w.expiringTokens = borrowed
		w.tokensExpireAt = l.config.Timer.SinceBoot() + loanTTL
	} else {
		w.nextHolder++
		w.backoffUntil = l.config.Timer.Now().Add(lenderBackoff)
	}
	close(done)
}
