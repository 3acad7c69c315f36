package lending

import (
	"time"

	"amaranthdock.dev/decision/limits"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/engine/catalog"
)

// workspaceState is this VM's share of the rate limit of one workspace.
type workspaceState struct {
	bucket limits.Bucket
	// holding is the share of the limit that sizes the bucket.
	holding limits.Holding
	// assigned is set once this VM was assigned a share that it may use, which may be zero.
	assigned bool
	// limit, fleet, unregistered, start and certain are the values for which the share was last
	// assigned.
	limit        limits.Limit
	fleet        *catalog.VMSnapshot
	holders      []catalog.VM
	unregistered int
	start        limits.Start
	certain      bool

	// expiringTokens are the borrowed and refunded tokens.
	expiringTokens int64
	// tokensExpireAt is a boot-clock reading, which advances while the VM is suspended.
	tokensExpireAt time.Duration
	backoffUntil   time.Time
	// loanDone is closed when the loan request in progress ends; nil if there is none.
	loanDone chan struct{}
	// waiting is the number of requests that wait for a loan.
	waiting int64
	// waiters are those requests if tokens are given to the most urgent ones, and grants is the
	// number of tokens given to them so far.
	waiters []*loanWaiter
	grants  uint64
	// nextHolder is the index of the holder from which the next loan is requested first.
	nextHolder int

	// requests counts the attempts to take a token since measuredAt, and demand is their
	// moving average per second.
	requests   float64
	demand     float64
	measuredAt time.Time
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
	certain := l.config.MayUseShares()
	if w.fleet != fleet || w.limit != limit || w.unregistered != unregistered || w.start != start || w.certain != certain {
		change := shareChange{
			fleet:   w.fleet != fleet || w.certain != certain,
			lowered: w.limit.Rate > limit.Rate,
		}
		w.unregistered = unregistered
		w.start = start
		w.certain = certain
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
	if self, ok := w.fleet.ByName[l.config.Fleet.Self().Name]; ok && !self.Unclaimed && l.claimedSince.IsZero() {
		l.claimedSince = now
	}
	previous, share := w.holding.Share(), l.share(w)
	first := !w.assigned && (w.unregistered > 0 || !l.claimedSince.IsZero())
	emptyAt, resumes := l.initialBucket(w, now)
	resumes = resumes && first
	switch {
	case resumes, l.startsFleet(w):
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
	if _, undecided := w.start.(limits.Undecided); first && !undecided && w.certain {
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
		if l.startsFleet(w) {
			return now, true
		}
		emptyAt = l.claimedSince.Add(limits.HandoverDelay)
		return emptyAt, !now.Before(emptyAt)
	default:
		return time.Time{}, false
	}
}

func (l *Limiter) logShare(name string, w *workspaceState) {
	l.config.Log.Info("The share of this VM in a workspace's rate limit was recalculated.", "workspace", name, "rate", w.limit.Rate,
		"burst", w.limit.Burst, "holders", len(w.holders), "part", w.holding.Share())
}

// startsFleet reports whether this VM serves without the store and knows no claims: no VM has
// used shares since the store was lost.
func (l *Limiter) startsFleet(w *workspaceState) bool {
	return w.unregistered > 0 && len(w.fleet.ByName) == 0
}

// share returns the share of this VM in a workspace's limit, in millionths. A VM of a fleet that
// started without the store takes no larger share than each VM of a fleet with
// limits.MaxHolders VMs.
func (l *Limiter) share(w *workspaceState) int64 {
	if l.startsFleet(w) {
		return limits.TotalMillionths / int64(max(w.unregistered, limits.MaxHolders))
	}
	for _, vm := range w.holders {
		if vm.Name != l.config.Fleet.Self().Name {
			continue
		}
		share := limits.TotalMillionths / int64(len(w.holders))
		if !w.certain {
			share = limits.UncertainShare(share, l.config.Tolerance)
		}
		return share
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
	claiming := func(yield func(string) bool) {
		for name, vm := range fleet.ByName {
			if !vm.Unclaimed && !yield(name) {
				return
			}
		}
	}
	holders := make([]catalog.VM, 0, count)
	for _, vm := range routing.First(name, claiming, count) {
		holders = append(holders, fleet.ByName[vm])
	}
	return holders
}
