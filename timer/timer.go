// Package timer is the only reader of the clock. Parts subscribe to a Service,
// so that tests can move the time by hand.
package timer

import (
	"context"
	"time"
)

// Service tells the time and delivers ticks to subscribers.
type Service interface {
	// After subscribes to one tick once the wait has passed.
	After(wait time.Duration) Subscription
	// Every subscribes to a tick for each interval; ticks that the subscriber
	// has not taken are dropped.
	Every(interval time.Duration) Subscription
	// Now returns the current time with a monotonic reading.
	Now() time.Time
	// SinceBoot returns a reading of a clock that goes on while the machine is
	// suspended, which the monotonic clock does not. Ages and leases that must not
	// outlive a suspension are measured with it.
	SinceBoot() time.Duration
}

// Subscription is one subscriber's ticks.
type Subscription interface {
	// C delivers the ticks.
	C() <-chan time.Time
	// Stop ends the subscription. C is not closed.
	Stop()
}

// Sleep waits until the duration has passed or the context ends, in which case
// it returns the context's error.
func Sleep(ctx context.Context, service Service, duration time.Duration) error {
	subscription := service.After(duration)
	defer subscription.Stop()
	select {
	case <-subscription.C():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// WithTimeout returns a context that is canceled, with the cause
// context.DeadlineExceeded, once the timeout has passed on the service.
func WithTimeout(ctx context.Context, service Service, timeout time.Duration) (context.Context, context.CancelFunc) {
	child, cancel := context.WithCancelCause(ctx)
	subscription := service.After(timeout)
	go func() {
		defer subscription.Stop()
		select {
		case <-subscription.C():
			cancel(context.DeadlineExceeded)
		case <-child.Done():
		}
	}()
	return child, func() { cancel(context.Canceled) }
}
