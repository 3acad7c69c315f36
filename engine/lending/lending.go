// Package lending holds workspaces to their limits over all VMs. A few VMs each hold
// a part of a workspace's rate and burst, found by hashing over the registered
// fleet; the others, and those whose part is used up, borrow from them. A lender
// debits before it answers, so that tokens can be lost but never made.
package lending

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"amaranthdock.dev/decision/limits"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/timer"
)

const (
	// creditLife is how long borrowed tokens may be spent. It moves at most this much
	// of the rate from one window into the next.
	creditLife = 400 * time.Millisecond
	// dryPause after no lender had tokens, during which requests are refused at once.
	dryPause = 60 * time.Millisecond
	// restartGap is the least time between the end of a process and the start of its
	// successor, in which neither admits anything.
	restartGap = 300 * time.Millisecond
	// surplusLife is how long tokens that were saved under a higher limit may be spent:
	// less than the time in which a configuration has to be in force everywhere, so that
	// a lower limit does not refuse what its workspace had saved.
	surplusLife = 3 * time.Second
	// demandGain is the weight of the last interval in the measured demand.
	demandGain = 0.3
	// demandInterval over which the demand is measured.
	demandInterval = 200 * time.Millisecond
)

// Fleet tells of the registered VMs.
type Fleet interface {
	Self() catalog.VM
	VMs() *catalog.VMSnapshot
	Configuration() *catalog.Configuration
}

// PeerCaller asks another VM for tokens.
type PeerCaller interface {
	// Call has the contract of peer.Links.Call.
	Call(ctx context.Context, vm catalog.VM, method string, arguments, answer any, timeout time.Duration) error
	// Unreachable tells whether the VM could not be reached a moment ago.
	Unreachable(vm string) bool
}

// Config configures Limits.
type Config struct {
	Fleet    Fleet
	Peers    PeerCaller
	Timer    timer.Service
	Log      logr.Logger
	Registry metrics.Registry
	// Tolerance is the part of a limit by which the fleet may pass it in any Window.
	// It is spent on restarts only: a process does not know what its predecessor has
	// admitted.
	Tolerance float64
	Window    time.Duration
	// UnregisteredFleetSize returns how many VMs this one knows of, itself included, while it
	// serves without a registration because the store is away; 0 otherwise.
	UnregisteredFleetSize func() int
}

// Limiter admits requests. It is safe for concurrent use.
type Limiter struct {
	config   Config
	borrowed metrics.Counter
	refused  metrics.Counter

	mu         sync.Mutex
	workspaces map[string]*workspace
	// emptyAt is when the buckets of this process were empty at the latest.
	emptyAt time.Time
}

// workspace is what this VM may admit of one workspace.
type workspace struct {
	bucket limits.Bucket
	// made is set once this VM has seen itself in the fleet, and so knows its part.
	made bool
	// limit and fleet from which the bucket was made.
	limit        limits.Limit
	fleet        *catalog.VMSnapshot
	holders      []catalog.VM
	unregistered int

	credit int64
	// creditUntil is a reading of the clock that goes on while the VM is suspended.
	creditUntil time.Duration
	dryUntil    time.Time
	// borrowing is closed at the end of the loan that is under way; nil if none is.
	borrowing chan struct{}
	// waiting requests, which spend a loan at once.
	waiting int64
	// next is the holder that is asked first.
	next int

	admitted   float64
	demand     float64
	measuredAt time.Time
}

// New returns Limits whose buckets fill from the end of the process's predecessor, so
// that a restart admits no second burst.
func New(config Config) *Limiter {
	return &Limiter{
		config:     config,
		borrowed:   metrics.GetOrRegisterCounter("limits.borrowedTokens", config.Registry),
		refused:    metrics.GetOrRegisterCounter("limits.refused", config.Registry),
		workspaces: map[string]*workspace{},
		emptyAt:    config.Timer.Now().Add(-restartGap),
	}
}

// UpdateBuckets makes the buckets of all workspaces, so that they fill before the first
// request.
func (l *Limiter) UpdateBuckets() {
	configuration := l.config.Fleet.Configuration()
	if configuration == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range configuration.Workspaces {
		l.workspace(name)
	}
}

// Admit takes a token of the workspace, and waits for two loans at most. It returns a
// *refusal.Error, as not run.
func (l *Limiter) Admit(ctx context.Context, name string) error {
	for try := 0; ; try++ {
		l.mu.Lock()
		w, ok := l.workspace(name)
		if !ok {
			l.mu.Unlock()
			return refusal.NewNotRun(refusal.NotAllowed, "the configuration does not name the workspace")
		}
		now := l.config.Timer.Now()
		if w.take(now, l.config.Timer.SinceBoot()) {
			l.mu.Unlock()
			return nil
		}
		if try > 1 || now.Before(w.dryUntil) {
			retry := w.bucket.TimeUntil(now, 1)
			l.mu.Unlock()
			l.refused.Inc(1)
			return &refusal.Error{
				Outcome:    refusal.NotRun,
				Reason:     refusal.RateExceeded,
				Message:    "the workspace is at its limit",
				RetryAfter: max(min(retry, time.Second), dryPause),
			}
		}
		done := w.borrowing
		if done == nil {
			done = make(chan struct{})
			w.borrowing = done
			go l.borrow(name, w, done)
		}
		w.waiting++
		l.mu.Unlock()
		select {
		case <-done:
			l.leaveWait(w)
		case <-ctx.Done():
			l.leaveWait(w)
			return refusal.NewNotRun(refusal.DeadlineExceeded, "the request ended while it waited for its limit")
		}
	}
}

func (l *Limiter) leaveWait(w *workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.waiting--
}

// Refund takes back the token of an operation that was refused before it ran. It may be
// spent as long as a loan.
func (l *Limiter) Refund(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, ok := l.workspace(name)
	if !ok {
		return
	}
	boot := l.config.Timer.SinceBoot()
	if boot >= w.creditUntil {
		w.credit = 0
		w.creditUntil = boot + creditLife
	}
	w.credit++
}

// Lend gives away what waiting requests need, and of what they are expected to need
// soon at most half of the tokens that this VM holds, because a loan that is not
// spent is lost.
func (l *Limiter) Lend(request *peer.LoanRequest) peer.LoanResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, ok := l.workspace(request.Workspace)
	if !ok {
		return peer.LoanResponse{}
	}
	now := l.config.Timer.Now()
	spare := min(w.bucket.Available(now)/2, request.Soon)
	return peer.LoanResponse{Tokens: w.bucket.Take(now, max(request.Waiting, spare))}
}

// workspace returns the state of a workspace, brought up to date with the
// configuration and the fleet. The caller holds the lock.
func (l *Limiter) workspace(name string) (*workspace, bool) {
	configuration := l.config.Fleet.Configuration()
	if configuration == nil {
		return nil, false
	}
	declared, ok := configuration.Workspaces[name]
	if !ok {
		return nil, false
	}
	limit := limits.Limit{
		Rate:  declared.RatePerSecond,
		Burst: int64(declared.Burst),
	}
	fleet := l.config.Fleet.VMs()
	now := l.config.Timer.Now()
	w, known := l.workspaces[name]
	if !known {
		w = &workspace{measuredAt: now}
		l.workspaces[name] = w
	}
	unregistered := l.config.UnregisteredFleetSize()
	if w.fleet != fleet || w.limit != limit || w.unregistered != unregistered {
		lowered := w.made && limit.Rate < w.limit.Rate
		w.unregistered = unregistered
		w.fleet = fleet
		w.limit = limit
		w.holders = holders(name, limit.HolderCount(), fleet)
		part := l.part(w)
		capacity, rate := limit.BucketParameters(part)
		if !w.made {
			w.made = part > 0
			w.bucket = limits.NewBucket(l.emptyAt.Add(-l.tolerated(limit)), capacity, rate)
		}
		l.config.Log.Info("The part of a workspace's limit changed.", "workspace", name, "rate", limit.Rate, "burst", limit.Burst,
			"holders", len(w.holders), "part", part)
		if lowered {
			w.bucket.ResizeKeepingSurplus(now, capacity, rate, now.Add(surplusLife))
		} else {
			w.bucket.Resize(now, capacity, rate)
		}
	}
	return w, true
}

// part of this VM in a workspace's limit, in millionths. A VM that had to start without
// the store takes no more than each VM of a small fleet would.
func (l *Limiter) part(w *workspace) int64 {
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

// tolerated is the time in which a limit's rate yields what the fleet may pass it by.
func (l *Limiter) tolerated(limit limits.Limit) time.Duration {
	if limit.Rate <= 0 {
		return 0
	}
	seconds := l.config.Window.Seconds() + float64(limit.Burst)/limit.Rate
	return time.Duration(l.config.Tolerance * seconds * float64(time.Second))
}

// holders returns the VMs that hold the parts of a workspace.
func holders(name string, count int, fleet *catalog.VMSnapshot) []catalog.VM {
	candidates := make([]routing.VM, 0, len(fleet.ByName))
	for vm := range fleet.ByName {
		candidates = append(candidates, routing.VM{Name: vm})
	}
	ranked := routing.Rank(name, candidates)
	found := make([]catalog.VM, 0, count)
	for _, r := range ranked[:min(count, len(ranked))] {
		found = append(found, fleet.ByName[r.Name])
	}
	return found
}

// take spends a borrowed token before one of its own.
func (w *workspace) take(now time.Time, boot time.Duration) bool {
	w.admitted++
	if elapsed := now.Sub(w.measuredAt); elapsed >= demandInterval {
		w.demand += demandGain * (w.admitted/elapsed.Seconds() - w.demand)
		w.admitted = 0
		w.measuredAt = now
	}
	if w.credit > 0 && boot < w.creditUntil {
		w.credit--
		return true
	}
	w.credit = 0
	return w.bucket.Take(now, 1) == 1
}

// borrow asks the holders in turn until one lends.
func (l *Limiter) borrow(name string, w *workspace, done chan struct{}) {
	l.mu.Lock()
	request := &peer.LoanRequest{
		Workspace: name,
		Waiting:   max(w.waiting, 1),
		Soon:      int64(w.demand * creditLife.Seconds()),
	}
	asked, first := w.holders, w.next
	l.mu.Unlock()
	lent := int64(0)
	for i := 0; i < len(asked) && lent == 0; i++ {
		at := (first + i) % len(asked)
		vm := asked[at]
		if vm.Name == l.config.Fleet.Self().Name || l.config.Peers.Unreachable(vm.Name) {
			continue
		}
		var answer peer.LoanResponse
		started := l.config.Timer.SinceBoot()
		err := l.config.Peers.Call(context.Background(), vm, "Lend", request, &answer, limits.LoanTimeout)
		if err != nil {
			l.config.Log.V(1).Info("A loan failed.", "workspace", name, "lender", vm.Name, "error", err.Error())
			continue
		}
		// A loan that arrives late may no longer fit into the window that paid for it.
		if l.config.Timer.SinceBoot()-started <= limits.LoanTimeout {
			lent = answer.Tokens
			first = at
		}
	}
	l.borrowed.Inc(lent)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Timer.Now()
	w.borrowing = nil
	if lent > 0 {
		w.next = first
		w.credit = lent
		w.creditUntil = l.config.Timer.SinceBoot() + creditLife
	} else {
		w.next++
		w.dryUntil = now.Add(dryPause)
	}
	close(done)
}
