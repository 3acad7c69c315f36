package caller

import (
	"context"
	"sync"
	"time"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/session"
)

const (
	// revocationInterval is the interval between two checks of the keys of open
	// transactions, in case a notification of a change was missed.
	revocationInterval = time.Second
	// maxTrackingTime is how long a VM tracks a transaction that it opened. A
	// transaction that continues through other VMs is checked there at each step.
	maxTrackingTime = time.Hour
)

// openTransactions tracks the transactions that this VM opened. It is safe for
// concurrent use. The zero value is ready to use.
type openTransactions struct {
	mu      sync.Mutex
	tracked map[string]trackedTransaction
}

type trackedTransaction struct {
	handle session.Handle
	opened time.Time
}

func (o *openTransactions) add(handle session.Handle, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.tracked == nil {
		o.tracked = map[string]trackedTransaction{}
	}
	o.tracked[handle.Transaction] = trackedTransaction{
		handle: handle,
		opened: now,
	}
}

func (o *openTransactions) remove(handle session.Handle) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.tracked, handle.Transaction)
}

func (o *openTransactions) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.tracked)
}

// matchingHandles returns the handles for which match returns true. It stops tracking
// transactions that are older than maxTrackingTime.
func (o *openTransactions) matchingHandles(now time.Time, match func(session.Handle) bool) []session.Handle {
	o.mu.Lock()
	defer o.mu.Unlock()
	var handles []session.Handle
	for id, t := range o.tracked {
		if now.Sub(t.opened) > maxTrackingTime {
			delete(o.tracked, id)
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

// rollBackRevokedKeys rolls back the tracked transactions whose key is revoked.
func (c *Caller) rollBackRevokedKeys(ctx context.Context) {
	snapshot := c.config.Configuration.Current()
	if snapshot == nil {
		return
	}
	revoked := c.transactions.matchingHandles(c.config.Timer.Now(), func(h session.Handle) bool {
		return isRevoked(snapshot, h.KeyID, h.Workspace)
	})
	var rollbacks sync.WaitGroup
	for _, handle := range revoked {
		rollbacks.Go(func() { c.rollBackRevokedTransaction(ctx, handle) })
	}
	rollbacks.Wait()
}

// watchRevocation calls end when the request's key is revoked, until the returned
// function is called.
func (c *Caller) watchRevocation(ctx context.Context, r *request, end context.CancelCauseFunc) func() {
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
				if err := c.checkKeyValid(r); err != nil {
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

// checkStreamKey returns a refusal if the key of a running stream was revoked. The
// outcome of the refusal is Unknown, because rows may have been sent already.
func (c *Caller) checkStreamKey(ctx context.Context, r *request) error {
	if refused, ok := refusal.As(context.Cause(ctx)); ok {
		return refused
	}
	return c.checkKeyValid(r)
}

// checkKeyValid returns a refusal if the request's key is revoked in the current
// snapshot.
func (c *Caller) checkKeyValid(r *request) error {
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
