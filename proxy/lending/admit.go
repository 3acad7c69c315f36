package lending

import (
	"context"
	"slices"
	"time"

	"amaranthdock.dev/decision/limits"
	"amaranthdock.dev/decision/refusal"
)

const (
	// maxWait is the longest wait for a token: three loans, of which two may be
	// late, and a little for the next token of a bucket that is almost empty.
	// Requests that are not expected to get a token in time are refused at once.
	maxWait = 3*limits.LoanTimeout + 50*time.Millisecond
	// minPause is the shortest pause between two rounds of asking lenders.
	minPause = time.Millisecond
	// notReadyRetryAfter is the retry delay while there is no share record or no
	// holder of the subject's parts yet.
	notReadyRetryAfter = time.Second
)

// waiter is a request that waits for a token.
type waiter struct {
	admitted chan struct{}
}

// Admit takes a token of the subject, waiting for one at most maxWait. It returns
// a *refusal.Error, always as not run: rateExceeded with the time until another
// try can succeed, notAllowed for a subject that the configuration does not name,
// notReady before the share record was read, deadlineExceeded if the context ends.
func (p *Part) Admit(ctx context.Context, name string) error {
	snapshot := p.config.Configuration.Current()
	if snapshot == nil {
		return notReady("there is no configuration yet")
	}
	if _, ok := snapshot.Subject(name); !ok {
		return refusal.NewNotRun(refusal.NotAllowed, "the configuration does not name the subject")
	}
	s, w, err := p.begin(name)
	if err != nil || w == nil {
		return err
	}
	timeout := p.config.Timer.After(maxWait)
	defer timeout.Stop()
	select {
	case <-w.admitted:
		return nil
	case <-timeout.C():
		return p.abandon(s, w, nil)
	case <-ctx.Done():
		return p.abandon(s, w, refusal.NewNotRun(refusal.DeadlineExceeded, "the request ended while it waited for its limit"))
	}
}

// abandon ends a wait with the given refusal, or with rateExceeded if it is nil.
// A token that arrived at the same time counts.
func (p *Part) abandon(s *subject, w *waiter, refused *refusal.Error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := slices.Index(s.waiters, w)
	if at < 0 {
		return nil
	}
	s.waiters = slices.Delete(s.waiters, at, at+1)
	if refused == nil {
		refused = p.rateExceeded(p.config.Timer.Now(), s)
	}
	p.counts.refused.Inc(1)
	return refused
}

// begin takes a token at once (no waiter), refuses, or returns a waiter.
func (p *Part) begin(name string) (*subject, *waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.loaded {
		p.counts.refused.Inc(1)
		return nil, nil, notReady("the share record has not been read yet")
	}
	now := p.config.Timer.Now()
	s := p.subject(now, name)
	if len(s.waiters) == 0 && s.share.Take(now, 1) == 1 {
		p.counts.admitted.Inc(1)
		s.rate.add(now, 1)
		return s, nil, nil
	}
	if len(p.record.Shares(name)) == 0 {
		p.counts.refused.Inc(1)
		p.requestRefresh()
		return nil, nil, notReady("the subject's limit has no holder yet")
	}
	if !limits.CanAdmitWithin(now, maxWait, int64(len(s.waiters)), s.share, p.lenders(s)) {
		p.counts.refused.Inc(1)
		return nil, nil, p.rateExceeded(now, s)
	}
	w := &waiter{admitted: make(chan struct{})}
	s.waiters = append(s.waiters, w)
	if !s.pumping {
		s.pumping = true
		go p.pump(s)
	}
	return s, w, nil
}

// pump gets tokens for the waiters of a subject until none is left.
func (p *Part) pump(s *subject) {
	for {
		asks, pause, more := p.round(s)
		if !more {
			return
		}
		for _, a := range asks {
			go p.borrow(s, a)
		}
		if p.pause(s, pause) != nil {
			return
		}
	}
}

// pause waits until the subject is woken or the pause has passed.
func (p *Part) pause(s *subject, pause time.Duration) error {
	subscription := p.config.Timer.After(max(pause, minPause))
	defer subscription.Stop()
	select {
	case <-s.wake:
		return nil
	case <-subscription.C():
		return nil
	case <-p.calls.Done():
		return p.calls.Err()
	}
}

// rateExceeded returns the refusal of a request without a token. The caller holds
// mu.
func (p *Part) rateExceeded(now time.Time, s *subject) *refusal.Error {
	after := min(s.share.TimeUntil(now, 1), limits.TimeUntilLendable(now, p.lenders(s)))
	if after == limits.Never {
		after = notReadyRetryAfter
	}
	if rate := p.limit(s.name).Rate; rate > 0 {
		ahead := float64(len(s.waiters)+1) / rate
		after = max(after, time.Duration(ahead*float64(time.Second)))
	}
	p.countWrongful(now, s)
	refused := refusal.NewNotRun(refusal.RateExceeded, "the subject's rate and burst are used up")
	refused.RetryAfter = after
	return refused
}

// round serves waiters from the own share and plans the next loans. It returns
// false once nobody waits.
func (p *Part) round(s *subject) ([]limits.LoanRequest, time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Timer.Now()
	p.subject(now, s.name)
	p.serve(s, s.share.Take(now, int64(len(s.waiters))))
	if len(s.waiters) == 0 {
		s.pumping = false
		return nil, 0, false
	}
	demand := int64(len(s.waiters))
	var free []limits.Lender
	for _, l := range p.lenders(s) {
		asked, busy := s.asked[l.VM]
		demand -= asked
		if !busy {
			free = append(free, l)
		}
	}
	asks := limits.PlanLoans(now, demand, free)
	for _, a := range asks {
		s.asked[a.Lender] = a.Tokens
		demand -= a.Tokens
		free = slices.DeleteFunc(free, func(l limits.Lender) bool { return l.VM == a.Lender })
	}
	pause := s.share.TimeUntil(now, 1)
	if demand > 0 {
		pause = min(pause, limits.TimeUntilLendable(now, free))
	}
	return asks, min(pause, maxWait), true
}

// serve admits the first waiters, one for each token. The caller holds mu.
func (p *Part) serve(s *subject, tokens int64) {
	count := min(int(tokens), len(s.waiters))
	for _, w := range s.waiters[:count] {
		close(w.admitted)
	}
	s.waiters = slices.Delete(s.waiters, 0, count)
	p.counts.admitted.Inc(int64(count))
	s.rate.add(p.config.Timer.Now(), int64(count))
}

func notReady(message string) *refusal.Error {
	refused := refusal.NewNotRun(refusal.NotReady, message)
	refused.RetryAfter = notReadyRetryAfter
	return refused
}
