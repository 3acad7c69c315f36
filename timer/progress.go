package timer

import (
	"context"
	"sync/atomic"
	"time"
)

// ProgressConfig bounds work that may take long while it moves on.
type ProgressConfig struct {
	// InitialTimeout is the time until the first progress.
	InitialTimeout time.Duration
	// StallTimeout is the time between two steps of progress.
	StallTimeout time.Duration
	// TotalTimeout of the whole work.
	TotalTimeout time.Duration
}

// WithProgress returns a context that is canceled, with the cause
// context.DeadlineExceeded, once the work stalls or its limit has passed, and the
// function that records progress.
func WithProgress(ctx context.Context, service Service, config ProgressConfig) (child context.Context, moved func(), cancel context.CancelFunc) {
	child, end := context.WithCancelCause(ctx)
	began := service.Now()
	// expires counts from the beginning.
	var expires atomic.Int64
	expires.Store(int64(config.InitialTimeout))
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
			left := time.Duration(expires.Load()) - service.Now().Sub(began)
			if left <= 0 {
				end(context.DeadlineExceeded)
				return
			}
			subscription = service.After(left)
		}
	}()
	moved = func() {
		expires.Store(int64(min(service.Now().Sub(began)+config.StallTimeout, config.TotalTimeout)))
	}
	return child, moved, func() { end(context.Canceled) }
}
