package scheduling

import (
	"time"

	"amaranthdock.dev/decision/refusal"
)

// Decision is the result of Queue.Enqueue (Enqueued or Refused) or Queue.Next (Run,
// Expired, Displaced or Idle).
type Decision interface {
	decision()
}

// Enqueued means that the item was accepted. Next will return it in Run, Expired or
// Displaced.
type Enqueued struct{}

// Expired means that an item was dropped because it can no longer finish before its
// deadline. The caller refuses it as not run, with the reason queueTimeout.
type Expired struct {
	Item Item
	// RetryAfter is the delay after which a retry can succeed; 0 if unknown.
	RetryAfter time.Duration
}

// Idle means that there is nothing to start: no item waits, no slot is free, or
// Config.MayStart holds back the next item. Call Next again after Enqueue, Complete or
// ReleaseUnmeasured, or once MayStart would return true.
type Idle struct{}

// Refused means that the item was not accepted and has not run.
type Refused struct {
	// Reason is deadlineTooShort or overloaded.
	Reason refusal.Reason
	// RetryAfter is the delay after which a retry can succeed; 0 if a retry with
	// the same timeout would not help.
	RetryAfter time.Duration
}

// Run means that the caller must start the item. It holds a slot until Complete or
// ReleaseUnmeasured.
type Run struct {
	Item Item
}

func (Enqueued) decision() {}
func (Expired) decision()  {}
func (Idle) decision()     {}
func (Refused) decision()  {}
func (Run) decision()      {}
