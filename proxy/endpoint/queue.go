package endpoint

import (
	"time"

	"amaranthdock.dev/decision/scheduling"
)

// Queue orders the steps of one endpoint. It is called under the lock of its
// node.
type Queue interface {
	// Enqueue takes a step: Enqueued or Refused.
	Enqueue(now time.Time, item scheduling.Item) scheduling.Decision
	// ExpectedWait of a step that arrives now.
	ExpectedWait(now time.Time, subject string) time.Duration
	// ReleaseUnmeasured frees the slot of a step that the endpoint did not answer.
	ReleaseUnmeasured(id uint64)
	// Complete frees the slot of a step that Next returned with Run.
	Complete(now time.Time, id uint64)
	// Next takes a step out: Run, Expired or Idle.
	Next(now time.Time) scheduling.Decision
	// Remove takes a waiting step out; false if it is not waiting.
	Remove(id uint64) bool
}

// QueueConfig is what a queue is made of.
type QueueConfig struct {
	Slots   int
	MaxWait time.Duration
}
