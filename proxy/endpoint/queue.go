package endpoint

import (
	"time"

	"amaranthdock.dev/decision/scheduling"
)

// Queue decides in which order the steps of one endpoint run. Its methods are called
// under the lock of the endpoint's client.
type Queue interface {
	// Enqueue adds a step to the queue. The decision is Enqueued or Refused.
	Enqueue(now time.Time, item scheduling.Item) scheduling.Decision
	// Evaluate returns the decision of Enqueue and the expected wait of the step, without
	// changing the queue.
	Evaluate(now time.Time, item scheduling.Item) (scheduling.Decision, time.Duration)
	// ExpectedWait estimates the queue wait of a step that arrives now.
	ExpectedWait(now time.Time, subject string) time.Duration
	// ReleaseUnmeasured frees the slot of a step to which the endpoint did not respond.
	// The step's duration does not count as a service time.
	ReleaseUnmeasured(id uint64)
	// Complete frees the slot of a step that Next returned with Run, and records the
	// service time.
	Complete(now time.Time, id uint64)
	// Next removes a step from the queue. The decision is Run, Expired or Idle.
	Next(now time.Time) scheduling.Decision
	// Remove removes a waiting step from the queue; false if it is not waiting.
	Remove(id uint64) bool
}

// QueueConfig configures a Queue.
type QueueConfig struct {
	// Slots is the number of steps that the endpoint runs at the same time.
	Slots int
	// MaxWait is the expected wait above which steps are refused; 0 means no limit.
	MaxWait time.Duration
}
