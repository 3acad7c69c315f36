package lending

import (
	"context"
	"slices"
	"time"

	"amaranthdock.dev/decision/limits"
	"amaranthdock.dev/decision/refusal"
)

const (
	// maxWait is the longest time that a request waits for a token. It covers
	// three loans, of which two may time out, plus 50 ms for the next token of an
	// almost empty bucket. Requests that are not expected to get a token within
	// it are refused at once.
	maxWait = 3*limits.LoanTimeout + 50*time.Millisecond
	// minRoundInterval is the shortest time between two rounds of loan requests.
	minRoundInterval = time.Millisecond
	// notReadyRetryAfter is the retry delay that callers are told while the share
	// record has not been read or the subject has no share holders.
	notReadyRetryAfter = time.Second
)

// waiter is a request that waits for a token.
type waiter struct {
	// admitted is closed once the request has got its token.
	admitted chan struct{}
}

// Admit takes a token of the subject and waits up to maxWait for one. If it fails,
// it returns a *refusal.Error with the outcome NotRun and one of these reasons:
// rateExceeded, with the time until a retry can succeed; notAllowed if the subject
// is not configured; notReady if the share record has not been read or names no
// holder of the subject; deadlineExceeded if the context ends.
func (l *Limiter) Admit(ctx context.Context, name string) error {
	if refused := l.checkConfigured(name); refused != nil {
		return refused
	}
	s, w, err := l.admitOrEnqueue(name)
	if err != nil || w == nil {
		return err
	}
	timeout := l.config.Timer.After(maxWait)
	defer timeout.Stop()
	select {
	case <-w.admitted:
		return nil
	case <-timeout.C():
		return l.cancelWait(s, w, nil)
	case <-ctx.Done():
		return l.cancelWait(s, w, refusal.NewNotRun(refusal.DeadlineExceeded, "the request ended while it waited for a rate limit token"))
	}
}

// cancelWait removes a waiter and returns the given refusal, or rateExceeded if it
// is nil. It returns nil if the waiter has been admitted in the meantime.
func (l *Limiter) cancelWait(s *subject, w *waiter, refused *refusal.Error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	index := slices.Index(s.waiters, w)
	if index < 0 {
		return nil
	}
	s.waiters = slices.Delete(s.waiters, index, index+1)
	if refused == nil {
		now := l.config.Timer.Now()
		refused = l.rateExceeded(now, s)
		l.countWrongfulRefusal(now, s)
	}
	l.counters.refused.Inc(1)
	return refused
}

// admitOrEnqueue takes a token if one is available and returns a nil waiter. Otherwise
// it returns a refusal, or a waiter that has been added to the subject's queue.
func (l *Limiter) admitOrEnqueue(name string) (*subject, *waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.loaded {
		l.counters.refused.Inc(1)
		return nil, nil, errNotLoaded()
	}
	now := l.config.Timer.Now()
	s := l.subject(now, name)
	mustWait, refused := l.decide(now, s)
	if refused != nil {
		l.countRefusal(now, s, refused)
		return nil, nil, refused
	}
	if !mustWait {
		s.share.Take(now, 1)
		l.counters.admitted.Inc(1)
		s.rate.add(now, 1)
		return s, nil, nil
	}
	w := &waiter{admitted: make(chan struct{})}
	s.waiters = append(s.waiters, w)
	if !s.borrowing {
		s.borrowing = true
		go l.borrowForWaiters(s)
	}
	return s, w, nil
}

// decide returns whether a new request of the subject must wait for a token, or its
// refusal. It takes no token. The caller holds mu.
func (l *Limiter) decide(now time.Time, s *subject) (mustWait bool, refused *refusal.Error) {
	switch {
	case len(s.waiters) == 0 && s.share.Available(now) >= 1:
		return false, nil
	case len(l.record.Shares(s.name)) == 0:
		return false, notReady("no VM holds a share of the subject's rate limit yet")
	case !limits.CanAdmitWithin(now, maxWait, int64(len(s.waiters)), s.share, l.lenders(s)):
		return false, l.rateExceeded(now, s)
	default:
		return true, nil
	}
}

// countRefusal counts a refusal by decide. If no VM holds a share, it has the share record
// read again. The caller holds mu.
func (l *Limiter) countRefusal(now time.Time, s *subject, refused *refusal.Error) {
	l.counters.refused.Inc(1)
	if refused.Reason == refusal.RateExceeded {
		l.countWrongfulRefusal(now, s)
		return
	}
	l.requestRefresh()
}

// borrowForWaiters borrows tokens until the subject has no waiters.
func (l *Limiter) borrowForWaiters(s *subject) {
	for {
		requests, delay, more := l.planRound(s)
		if !more {
			return
		}
		for _, request := range requests {
			go l.borrow(s, request)
		}
		if l.waitForWake(s, delay) != nil {
			return
		}
	}
}

// waitForWake waits for a signal on the subject's wake channel, for the delay at
// most. It returns an error once Run has ended.
func (l *Limiter) waitForWake(s *subject, delay time.Duration) error {
	subscription := l.config.Timer.After(max(delay, minRoundInterval))
	defer subscription.Stop()
	select {
	case <-s.wake:
		return nil
	case <-subscription.C():
		return nil
	case <-l.loanContext.Done():
		return l.loanContext.Err()
	}
}

// rateExceeded returns the refusal of a request that got no token, with the time
// until it can expect one. The caller holds mu.
func (l *Limiter) rateExceeded(now time.Time, s *subject) *refusal.Error {
	retryAfter := min(s.share.TimeUntil(now, 1), limits.TimeUntilLendable(now, l.lenders(s)))
	if retryAfter == limits.Never {
		retryAfter = notReadyRetryAfter
	}
	if rate := l.limit(s.name).Rate; rate > 0 {
		queueSeconds := float64(len(s.waiters)+1) / rate
		retryAfter = max(retryAfter, time.Duration(queueSeconds*float64(time.Second)))
	}
	refused := refusal.NewNotRun(refusal.RateExceeded, "the subject has reached its rate limit")
	refused.RetryAfter = retryAfter
	return refused
}

// planRound admits waiters with tokens of this VM's own share and plans loans for
// the others. It returns the loan requests to send, the delay until the next round,
// and whether any request is still waiting.
func (l *Limiter) planRound(s *subject) ([]limits.LoanRequest, time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Timer.Now()
	l.subject(now, s.name)
	l.admitWaiters(s, s.share.Take(now, int64(len(s.waiters))))
	if len(s.waiters) == 0 {
		s.borrowing = false
		return nil, 0, false
	}
	demand := int64(len(s.waiters))
	var idle []limits.Lender
	for _, lender := range l.lenders(s) {
		requested, busy := s.requestedTokens[lender.VM]
		demand -= requested
		if !busy {
			idle = append(idle, lender)
		}
	}
	requests := limits.PlanLoans(now, demand, idle)
	for _, request := range requests {
		s.requestedTokens[request.Lender] = request.Tokens
		demand -= request.Tokens
		idle = slices.DeleteFunc(idle, func(lender limits.Lender) bool { return lender.VM == request.Lender })
	}
	delay := s.share.TimeUntil(now, 1)
	if demand > 0 {
		delay = min(delay, limits.TimeUntilLendable(now, idle))
	}
	return requests, min(delay, maxWait), true
}

// admitWaiters admits the waiters at the head of the queue, one for each token. The
// caller holds mu.
func (l *Limiter) admitWaiters(s *subject, tokens int64) {
	count := min(int(tokens), len(s.waiters))
	for _, w := range s.waiters[:count] {
		close(w.admitted)
	}
	s.waiters = slices.Delete(s.waiters, 0, count)
	l.counters.admitted.Inc(int64(count))
	s.rate.add(l.config.Timer.Now(), int64(count))
}

func notReady(message string) *refusal.Error {
	refused := refusal.NewNotRun(refusal.NotReady, message)
	refused.RetryAfter = notReadyRetryAfter
	return refused
}
