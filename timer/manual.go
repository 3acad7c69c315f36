package timer

import (
	"sync"
	"time"
)

// Manual is a Service whose time moves only by Advance. It is for tests.
type Manual struct {
	mu            sync.Mutex
	now           time.Time
	boot          time.Duration
	subscriptions map[*manualSubscription]struct{}
}

// ManualConfig configures a Manual service.
type ManualConfig struct {
	// Start is the first reading; the zero value stands for the Unix epoch.
	Start time.Time
}

// NewManual returns a Service that stands still until Advance is called.
func NewManual(config ManualConfig) *Manual {
	start := config.Start
	if start.IsZero() {
		start = time.Unix(0, 0).UTC()
	}
	return &Manual{
		now:           start,
		subscriptions: map[*manualSubscription]struct{}{},
	}
}

// Advance moves the time and delivers each tick that falls due, in time order.
func (m *Manual) Advance(duration time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	end := m.now.Add(duration)
	for {
		next := m.earliest(end)
		if next == nil {
			break
		}
		m.now = next.due
		next.deliver(m.now)
		if next.interval == 0 {
			delete(m.subscriptions, next)
			continue
		}
		next.due = next.due.Add(next.interval)
	}
	m.boot += duration
	m.now = end
}

// Suspend moves only the clock that goes on while a machine is suspended.
func (m *Manual) Suspend(duration time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.boot += duration
}

// After subscribes to one tick once the wait has passed.
func (m *Manual) After(wait time.Duration) Subscription {
	return m.subscribe(wait, 0)
}

// SinceBoot returns the time that Advance and Suspend have added up to.
func (m *Manual) SinceBoot() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.boot
}

// Every subscribes to a tick for each interval.
func (m *Manual) Every(interval time.Duration) Subscription {
	return m.subscribe(interval, interval)
}

// Now returns the current reading.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Subscribers returns the number of open subscriptions, so that a test can wait
// until the part under test has subscribed.
func (m *Manual) Subscribers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.subscriptions)
}

// earliest returns the subscription that is due first, not after end.
func (m *Manual) earliest(end time.Time) *manualSubscription {
	var first *manualSubscription
	for s := range m.subscriptions {
		if s.due.After(end) {
			continue
		}
		if first == nil || s.due.Before(first.due) {
			first = s
		}
	}
	return first
}

func (m *Manual) subscribe(wait, interval time.Duration) Subscription {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &manualSubscription{
		manual:   m,
		ticks:    make(chan time.Time, 1),
		due:      m.now.Add(wait),
		interval: interval,
	}
	if wait <= 0 && interval == 0 {
		s.deliver(m.now)
		return s
	}
	m.subscriptions[s] = struct{}{}
	return s
}

type manualSubscription struct {
	manual   *Manual
	ticks    chan time.Time
	due      time.Time
	interval time.Duration
}

func (s *manualSubscription) C() <-chan time.Time { return s.ticks }

func (s *manualSubscription) Stop() {
	s.manual.mu.Lock()
	defer s.manual.mu.Unlock()
	delete(s.manual.subscriptions, s)
}

// deliver drops the tick if the subscriber has not taken the last one.
func (s *manualSubscription) deliver(now time.Time) {
	select {
	case s.ticks <- now:
	default:
	}
}
