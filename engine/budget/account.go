package budget

import (
	"sync/atomic"
	"time"

	"amaranthdock.dev/decision/memory"
)

// patience is the time for which a request waits before a connection is closed for it. Ordinary
// requests return their memory within this time.
const patience = 200 * time.Millisecond

// Account is the memory of one connection or request. It is not safe for concurrent use, except that the
// Budget may close it. A nil Account has no limits.
type Account struct {
	budget *Budget
	id     uint64
	// end closes the connection or ends the request; nil if others that need its memory cannot do
	// so.
	end func()
	// connection is set for connections of callers, answers for answers of endpoints.
	connection, answers bool

	fixed    int64
	openedAt time.Duration
	closed   chan struct{}
	phase    atomicPhase
	// progressAt is the reading of SinceBoot at the last progress of the caller.
	progressAt atomic.Int64

	// The lock of the Budget protects the following fields.
	group   string
	retired bool
}

// SetPhase records what the connection is doing, which is progress.
func (a *Account) SetPhase(phase memory.Phase) {
	if a == nil {
		return
	}
	a.phase.Store(int32(phase))
	a.Progress()
}

// Progress records that the caller has sent or read something.
func (a *Account) Progress() {
	if a != nil {
		a.progressAt.Store(int64(a.budget.config.Timer.SinceBoot()))
	}
}

// Stalled returns how long the caller has made no progress.
func (a *Account) Stalled() time.Duration {
	if a == nil {
		return 0
	}
	return a.budget.config.Timer.SinceBoot() - time.Duration(a.progressAt.Load())
}

// Resume records what a request is doing, after a time without progress that counts on.
func (a *Account) Resume(phase memory.Phase, stalled time.Duration) {
	if a == nil {
		return
	}
	a.progressAt.Store(int64(a.budget.config.Timer.SinceBoot() - stalled))
	a.phase.Store(int32(phase))
}

// Limits returns the limits of the process.
func (a *Account) Limits() Limits {
	if a == nil {
		return Limits{}.WithDefaults(0, 0)
	}
	return a.budget.config.Limits
}

// Count counts a refusal by its reason.
func (a *Account) Count(reason string) {
	if a != nil {
		a.budget.Count(reason)
	}
}

// SetGroup counts the memory of the connection for a workspace.
func (a *Account) SetGroup(group string) {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.retired {
		return
	}
	b.memory.Regroup(a.id, group)
	a.group = group
	b.grantWaiting()
}

// TryTake takes memory if it is free.
func (a *Account) TryTake(bytes int64) bool {
	if a == nil || bytes <= 0 {
		return true
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.retired || !b.memory.Take(a.id, bytes) {
		return false
	}
	b.update()
	return true
}

// TakeOrEndStalled takes memory if it is free. Otherwise it ends a request or connection that makes
// no progress, so that the next one finds its memory.
func (a *Account) TakeOrEndStalled(bytes int64) bool {
	if a.TryTake(bytes) {
		return true
	}
	a.budget.mu.Lock()
	a.budget.endStalled(a, bytes)
	return false
}

// Take waits for memory until a time. The error is ErrNoMemory or ErrClosed.
func (a *Account) Take(bytes int64, deadline time.Time) error {
	if a.TryTake(bytes) {
		return nil
	}
	b := a.budget
	granted := make(chan struct{})
	b.mu.Lock()
	if a.retired {
		b.mu.Unlock()
		return ErrClosed
	}
	b.memory.Wait(a.id, bytes)
	b.waiting[a.id] = granted
	b.grantWaiting()
	b.mu.Unlock()
	limit := b.config.Timer.After(deadline.Sub(b.config.Timer.Now()))
	defer limit.Stop()
	relief := b.config.Timer.Every(patience)
	defer relief.Stop()
	for {
		select {
		case <-granted:
			return nil
		case <-relief.C():
			b.relieve(a, bytes)
		case <-limit.C():
			return a.cancel(granted, ErrNoMemory)
		case <-a.closed:
			return a.cancel(granted, ErrClosed)
		}
	}
}

// cancel ends the wait for memory. It returns nil if it was granted meanwhile.
func (a *Account) cancel(granted <-chan struct{}, err error) error {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-granted:
		return nil
	default:
	}
	b.memory.Cancel(a.id)
	delete(b.waiting, a.id)
	// Requests of the group that waited behind this one may fit.
	b.grantWaiting()
	return err
}

// Release returns memory.
func (a *Account) Release(bytes int64) {
	if a == nil || bytes <= 0 {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.memory.Release(a.id, bytes)
	b.grantWaiting()
}

// Close returns all memory of the account.
func (a *Account) Close() {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retire(a)
	b.memory.Remove(a.id)
	delete(b.waiting, a.id)
	delete(b.accounts, a.id)
	b.grantWaiting()
}
