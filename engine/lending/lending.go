// Package lending enforces the rate limits of workspaces across all VMs. The rate and burst
// of a workspace are divided into shares, which a few VMs hold; hashing over the registered
// VMs selects the holders. All other VMs, and holders whose share is used up, borrow tokens
// from the holders. A lender takes the tokens from its bucket before it responds, so that
// tokens can be lost but never duplicated.
package lending

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/decision/limits"
	"amaranthdock.dev/decision/refusal"
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
	// MayUseShares reports whether this VM may use its shares, or only a small part of them.
	MayUseShares func() bool
	// UrgencyAcrossWorkspaces gives borrowed tokens to the most urgent waiting requests.
	UrgencyAcrossWorkspaces bool
}

// Limiter enforces the rate limits of workspaces on this VM. It is safe for concurrent use.
type Limiter struct {
	config   Config
	borrowed metrics.Counter
	refused  metrics.Counter
	// waiting is the number of requests that wait for a loan.
	waiting metrics.Counter

	mu         sync.Mutex
	workspaces map[string]*workspaceState
	// bucketsEmptyAt is the latest time at which the buckets of this process were empty.
	bucketsEmptyAt time.Time
	// claimedSince is when this VM first appeared in the fleet with a claim.
	claimedSince time.Time
}

// New returns a Limiter whose buckets start empty and fill from the end of the previous
// process of this VM, so that a restart does not admit a second burst.
func New(config Config) *Limiter {
	return &Limiter{
		config:         config,
		borrowed:       metrics.GetOrRegisterCounter("limits.borrowedTokens", config.Registry),
		refused:        metrics.GetOrRegisterCounter("limits.refused", config.Registry),
		waiting:        metrics.GetOrRegisterCounter("limits.waiting", config.Registry),
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

// Admit takes a token of the workspace for a most urgent request; see AdmitWithPriority.
func (l *Limiter) Admit(ctx context.Context, name string) error {
	return l.AdmitWithPriority(ctx, name, 0)
}

// AdmitWithPriority takes a token of the workspace. If there is none, it waits for at most
// two loans. The priority is that of the request's route; 0 is the most urgent. Its errors are
// *refusal.Error with the outcome refusal.NotRun.
func (l *Limiter) AdmitWithPriority(ctx context.Context, name string, priority int) error {
	arrived := l.config.Timer.Now()
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
		waiter := l.startWaiting(w, arrived, priority)
		l.mu.Unlock()
		select {
		case <-done:
			if l.stopWaiting(w, waiter) {
				return nil
			}
		case <-ctx.Done():
			if l.stopWaiting(w, waiter) {
				l.Refund(name)
			}
			return refusal.NewNotRun(refusal.DeadlineExceeded, "the request ended while it waited for a rate limit token")
		}
	}
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
		addressUnknown := vm.Lapsed && !vm.Address.IsValid()
		if vm.Name == l.config.Fleet.Self().Name || addressUnknown || l.config.Peers.Unreachable(vm.Name) {
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
		l.grantTokens(w)
	} else {
		w.nextHolder++
		w.backoffUntil = l.config.Timer.Now().Add(lenderBackoff)
	}
	close(done)
}
