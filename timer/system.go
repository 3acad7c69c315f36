package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// System is a Service that uses the clocks of the machine.
type System struct{}

// NewSystem returns a Service that uses the clocks of the machine.
func NewSystem() *System {
	return &System{}
}

// After returns a subscription that delivers one tick after the wait.
func (s *System) After(wait time.Duration) Subscription {
	return &systemAfter{timer: time.NewTimer(wait)}
}

// Every returns a subscription that delivers a tick at each interval.
func (s *System) Every(interval time.Duration) Subscription {
	return &systemEvery{ticker: time.NewTicker(interval)}
}

// Now returns the current time with a monotonic reading.
func (s *System) Now() time.Time {
	return time.Now()
}

// SinceBoot reads CLOCK_BOOTTIME. If that fails, it returns the monotonic time since the
// process started.
func (s *System) SinceBoot() time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(reading.Nano())
}

// processStart is the origin of SinceBoot if CLOCK_BOOTTIME is unavailable.
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
