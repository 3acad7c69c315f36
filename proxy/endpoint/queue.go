package endpoint

import (
	"time"

	"amaranthdock.dev/decision/refusal"
)

// Queue orders the steps of one endpoint. It has the methods and types of
// decision/scheduling and is called under the lock of its node.
type Queue interface {
	// Arrive takes a step: Enqueued or Refused.
	Arrive(now time.Time, item Item) Decision
	// ExpectedWait of a step that arrives now.
	ExpectedWait(now time.Time, subject string) time.Duration
	// Finished frees the slot of a step that Next returned with Run.
	Finished(now time.Time, id uint64)
	// Next takes a step out: Run, Expired or Idle.
	Next(now time.Time) Decision
	// Remove takes a waiting step out; false if it is not waiting.
	Remove(id uint64) bool
}

// QueueConfig is what a queue is made of.
type QueueConfig struct {
	Slots   int
	MaxWait time.Duration
}

// Item is one step in a queue.
type Item struct {
	ID                uint64
	Subject           string
	Worth             int
	Arrived, Deadline time.Time
	// Transaction marks the steps of open transactions.
	Transaction bool
}

// Decision is what a queue says about a step.
type Decision interface{ decision() }

// Enqueued is the Decision that the step waits.
type Enqueued struct{}

// Refused is the Decision that the step cannot be run in time.
type Refused struct {
	Reason     refusal.Reason
	RetryAfter time.Duration
}

// Run is the Decision to run a step now.
type Run struct{ Item Item }

// Expired is the Decision to refuse a step that waited too long.
type Expired struct{ Item Item }

// Idle is the Decision that no step can be run now.
type Idle struct{}

func (Enqueued) decision() {}
func (Refused) decision()  {}
func (Run) decision()      {}
func (Expired) decision()  {}
func (Idle) decision()     {}
