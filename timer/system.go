package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// System is a Service on the clock of the machine.
type System struct{}

// NewSystem returns a Service on the clock of the machine.
func NewSystem() *System {
	return &System{}
}

// After subscribes to one tick once the wait has passed.
func (s *System) After(wait time.Duration) Subscription {
	return &systemAfter{timer: time.NewTimer(wait)}
}

// Every subscribes to a tick for each interval.
func (s *System) Every(interval time.Duration) Subscription {
	return &systemEvery{ticker: time.NewTicker(interval)}
}

// Now returns the current time with a monotonic reading.
func (s *System) Now() time.Time {
	return time.Now()
}

// SinceBoot reads CLOCK_BOOTTIME, or the monotonic clock where that fails.
func (s *System) SinceBoot() time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(reading.Nano())
}

// processStart is the origin of Boot where CLOCK_BOOTTIME is missing.
var processStart = time.Now()

type systemAfter struct {
	timer *time.Timer
}

func (s *systemAfter) C() <-chan time.Time { return s.timer.C }
func (s *systemAfter) Stop()               { s.timer.Stop() }

type systemEvery struct {
	ticker *time.Ticker
}

func (s *systemEvery) C() <-chan time.Time { return s.ticker.C }
func (s *systemEvery) Stop()               { s.ticker.Stop() }
