// Package timer is the only package that reads the clock. Other packages use a
// Service, which tests replace by a Manual clock.
package timer

import (
	"context"
	"time"
)

// Service provides the current time, timers and tickers.
type Service interface {
	// After returns a subscription that delivers one tick after the wait.
	After(wait time.Duration) Subscription
	// Every returns a subscription that delivers a tick at each interval. A tick is
	// dropped if the subscriber has not received the previous one.
	Every(interval time.Duration) Subscription
	// Now returns the current time with a monotonic reading.
	Now() time.Time
	// SinceBoot returns the time since an arbitrary origin, such as the start of the
	// machine. Unlike the monotonic clock, it includes the time for which the machine
	// was suspended. Ages and leases that must expire during a suspension are measured
	// with it.
	SinceBoot() time.Duration
}

// Subscription is a timer or a ticker.
type Subscription interface {
	// C returns the channel on which the ticks are delivered.
	C() <-chan time.Time
	// Stop ends the subscription. C is not closed.
	Stop()
}

// Sleep waits for the duration. If the context ends first, it returns the context's
// error.
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
