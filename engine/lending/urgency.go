package lending

import (
	"slices"
	"time"

	"amaranthdock.dev/decision/limits"
	"amaranthdock.dev/decision/scheduling"
)

// maxLoanWait is the time for which a request waits for loans: two of them.
const maxLoanWait = 2 * limits.LoanTimeout

// loanWaiter is a request that waits for a loan.
type loanWaiter struct {
	item scheduling.Item
	// granted is set once the request has a token, until grantExpiresAt on the boot clock.
	granted        bool
	grantExpiresAt time.Duration
}

// startWaiting counts a request that waits for a loan. The lock must be held.
func (l *Limiter) startWaiting(w *workspaceState, arrived time.Time, priority int) *loanWaiter {
	w.waiting++
	l.waiting.Inc(1)
	waiter := &loanWaiter{item: scheduling.Item{
		ArrivedAt: arrived,
		Deadline:  arrived.Add(maxLoanWait),
		Priority:  priority,
	}}
	if l.config.UrgencyAcrossWorkspaces {
		w.waiters = append(w.waiters, waiter)
	}
	return waiter
}

// stopWaiting ends the wait of a request, and reports whether it has a token.
func (l *Limiter) stopWaiting(w *workspaceState, waiter *loanWaiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.waiting--
	l.waiting.Dec(1)
	w.waiters = slices.DeleteFunc(w.waiters, func(other *loanWaiter) bool { return other == waiter })
	return waiter.granted && l.config.Timer.SinceBoot() < waiter.grantExpiresAt
}

// grantTokens gives the tokens of a loan to the most urgent waiting requests, and some to
// those that have waited for half of maxLoanWait. A loan may have fewer tokens than requests
// wait, and without an order the requests that run first take them. The lock must be held.
func (l *Limiter) grantTokens(w *workspaceState) {
	now := l.config.Timer.Now()
	for w.expiringTokens > 0 && len(w.waiters) > 0 {
		items := make([]scheduling.Item, 0, len(w.waiters))
		for _, waiter := range w.waiters {
			items = append(items, waiter.item)
		}
		w.grants++
		next := scheduling.NextPermit(now, w.grants, items)
		w.waiters[next].granted = true
		w.waiters[next].grantExpiresAt = w.tokensExpireAt
		w.waiters = slices.Delete(w.waiters, next, next+1)
		w.expiringTokens--
	}
}
