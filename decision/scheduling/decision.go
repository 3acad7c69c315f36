package scheduling

import (
	"time"

	"amaranthdock.dev/decision/refusal"
)

// Decision is the answer of a Queue: Enqueued, Expired, Idle, Refused or Run.
type Decision interface {
	decision()
}

// Enqueued accepts an item; Next will return it in Run or Expired.
type Enqueued struct{}

// Expired drops an item that can no longer finish before its deadline. The
// caller refuses it as not run, with the reason queueTimeout.
type Expired struct {
	Item Item
}

// Idle means that there is nothing to start: no item waits, or no slot is free.
// Ask again after Finished or Arrive.
type Idle struct{}

// Refused turns an item away at arrival, as not run.
type Refused struct {
	// Reason is deadlineTooShort or overloaded.
	Reason refusal.Reason
	// RetryAfter is the earliest useful time for another try; 0 if another try
	// with the same timeout would not help.
	RetryAfter time.Duration
}

// Run starts an item, which holds a slot until Finished.
type Run struct {
	Item Item
}

func (Enqueued) decision() {}
func (Expired) decision()  {}
func (Idle) decision()     {}
func (Refused) decision()  {}
func (Run) decision()      {}
