package caller

import (
	"context"
	"sync"
	"time"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/session"
)

const (
	// revocationInterval between two looks at the keys of open transactions, for
	// the case that a notice of a change was missed.
	revocationInterval = time.Second
	// maxTracked is how long an entry remembers a transaction that it opened; one
	// that goes on through other entries is checked there at each step.
	maxTracked = time.Hour
)

// openTransactions are those that this entry opened. It is safe for concurrent
// use, and the zero value is ready.
type openTransactions struct {
	mu    sync.Mutex
	known map[string]tracked
}

type tracked struct {
	handle session.Handle
	opened time.Time
}

func (o *openTransactions) add(handle session.Handle, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.known == nil {
		o.known = map[string]tracked{}
	}
	o.known[handle.Transaction] = tracked{
		handle: handle,
		opened: now,
	}
}

func (o *openTransactions) remove(handle session.Handle) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.known, handle.Transaction)
}

func (o *openTransactions) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.known)
}

// matching returns the handles for which the function returns true, and forgets
// those that are too old.
func (o *openTransactions) matching(now time.Time, match func(session.Handle) bool) []session.Handle {
	o.mu.Lock()
	defer o.mu.Unlock()
	var handles []session.Handle
	for id, t := range o.known {
		if now.Sub(t.opened) > maxTracked {
			delete(o.known, id)
			continue
		}
		if match(t.handle) {
			handles = append(handles, t.handle)
		}
	}
	return handles
}

// Run rolls back the transactions of revoked keys until the context ends.
func (c *Caller) Run(ctx context.Context) error {
	changes, cancel := c.config.Configuration.Subscribe()
	defer cancel()
	ticks := c.config.Timer.Every(revocationInterval)
	defer ticks.Stop()
	for {
		c.rollBackRevokedKeys(ctx)
		select {
		case <-changes:
		case <-ticks.C():
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Caller) rollBackRevokedKeys(ctx context.Context) {
	snapshot := c.config.Configuration.Current()
	if snapshot == nil {
		return
	}
	revoked := c.transactions.matching(c.config.Timer.Now(), func(h session.Handle) bool {
		return isRevoked(snapshot, h.KeyID, h.Workspace)
	})
	var rollbacks sync.WaitGroup
	for _, handle := range revoked {
		rollbacks.Go(func() { c.rollBackRevoked(ctx, handle) })
	}
	rollbacks.Wait()
}

// watchKey ends a running stream when its key is revoked, until the returned
// function is called.
func (c *Caller) watchKey(ctx context.Context, r *request, end context.CancelCauseFunc) func() {
	if r.route != nil {
		return func() {}
	}
	changes, cancel := c.config.Configuration.Subscribe()
	go func() {
		for {
			select {
			case _, open := <-changes:
				if !open {
					return
				}
				if err := c.checkKey(r); err != nil {
					end(err)
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return cancel
}

// checkRunning returns the refusal of a stream whose key was revoked. Rows may
// have been delivered, so it is not reported as not run.
func (c *Caller) checkRunning(ctx context.Context, r *request) error {
	if refused, ok := refusal.As(context.Cause(ctx)); ok {
		return refused
	}
	return c.checkKey(r)
}

// checkKey checks the key of a request against the newest snapshot.
func (c *Caller) checkKey(r *request) error {
	if r.route == nil && isRevoked(c.config.Configuration.Current(), r.keyID, r.workspace) {
		return &refusal.Error{
			Outcome: refusal.Unknown,
			Reason:  refusal.KeyRevoked,
			Message: "the key was revoked while the stream was open",
			Field:   authorizationHeader,
		}
	}
	return nil
}
