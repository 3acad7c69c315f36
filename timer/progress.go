package timer

import (
	"context"
	"sync/atomic"
	"time"
)

// ProgressConfig holds the timeouts of work that may take a long time while it makes
// progress.
type ProgressConfig struct {
	// InitialTimeout is the timeout until the first progress.
	InitialTimeout time.Duration
	// StallTimeout is the timeout between two steps of progress.
	StallTimeout time.Duration
	// TotalTimeout is the timeout of the whole work. It applies from the first progress on.
	TotalTimeout time.Duration
}

// WithProgress returns a context that is canceled, with the cause
// context.DeadlineExceeded, when one of the timeouts expires. Each call of
// recordProgress restarts the timeout for the next step.
func WithProgress(ctx context.Context, service Service, config ProgressConfig) (child context.Context, recordProgress func(), cancel context.CancelFunc) {
	child, cancelWithCause := context.WithCancelCause(ctx)
	startedAt := service.Now()
	// expiresAfter is the current deadline, as a time since startedAt in nanoseconds.
	var expiresAfter atomic.Int64
	expiresAfter.Store(int64(config.InitialTimeout))
	subscription := service.After(config.InitialTimeout)
	go func() {
		for {
			select {
			case <-subscription.C():
			case <-child.Done():
				subscription.Stop()
				return
			}
			subscription.Stop()
			remaining := time.Duration(expiresAfter.Load()) - service.Now().Sub(startedAt)
			if remaining <= 0 {
				cancelWithCause(context.DeadlineExceeded)
				return
			}
			subscription = service.After(remaining)
		}
	}()
	recordProgress = func() {
		expiresAfter.Store(int64(min(service.Now().Sub(startedAt)+config.StallTimeout, config.TotalTimeout)))
	}
	return child, recordProgress, func() { cancelWithCause(context.Canceled) }
}
