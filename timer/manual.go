package timer

import (
	"sync"
	"time"
)

// Manual is a Service for tests. Its time changes only by Advance and Suspend.
type Manual struct {
	mu            sync.Mutex
	now           time.Time
	sinceBoot     time.Duration
	subscriptions map[*manualSubscription]struct{}
}

// ManualConfig configures a Manual service.
type ManualConfig struct {
	// Start is the initial time; the zero value stands for the Unix epoch.
	Start time.Time
}

// NewManual returns a Service whose time stands still until Advance is called.
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

// Advance moves the time forward and delivers each tick that becomes due, in time
// order.
func (m *Manual) Advance(duration time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	end := m.now.Add(duration)
	for {
		next := m.nextDue(end)
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
	m.sinceBoot += duration
	m.now = end
}

// Suspend moves only the reading of SinceBoot, as a suspension of the machine does.
func (m *Manual) Suspend(duration time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sinceBoot += duration
}

// After returns a subscription that delivers one tick after the wait.
func (m *Manual) After(wait time.Duration) Subscription {
	return m.subscribe(wait, 0)
}

// SinceBoot returns the sum of all calls of Advance and Suspend.
func (m *Manual) SinceBoot() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sinceBoot
}

// Every returns a subscription that delivers a tick at each interval.
func (m *Manual) Every(interval time.Duration) Subscription {
	return m.subscribe(interval, interval)
}

// Now returns the current time.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Subscribers returns the number of active subscriptions, so that a test can wait
// until the code under test has subscribed.
func (m *Manual) Subscribers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.subscriptions)
}

// nextDue returns the subscription that is due first; nil if none is due by end. The
// caller holds the lock.
func (m *Manual) nextDue(end time.Time) *manualSubscription {
	var next *manualSubscription
	for s := range m.subscriptions {
		if s.due.After(end) {
			continue
		}
		if next == nil || s.due.Before(next.due) {
			next = s
		}
	}
	return next
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

// deliver sends a tick, or drops it if the subscriber has not received the previous
// one.
func (s *manualSubscription) deliver(now time.Time) {
	select {
	case s.ticks <- now:
	default:
	}
}
