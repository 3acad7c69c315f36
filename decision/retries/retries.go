// Package retries decides whether a failed request is tried again, and when.
package retries

import (
	"time"

	"amaranthdock.dev/decision/refusal"
)

const (
	// budgetBurst is the number of retries that a workspace may save up.
	budgetBurst = 10
	// budgetShare of a workspace's requests may be retries. With the burst it
	// stays below the bound of a tenth over 1,000 requests, and with the start
	// over 300.
	budgetShare = 0.09
	// budgetStart is enough for a few single failures after a process started.
	budgetStart = 3
	// firstDelay is the longest delay before the first retry; it doubles with
	// each further one.
	firstDelay = 20 * time.Millisecond
	// maxDelay bounds the delay of late retries.
	maxDelay = 500 * time.Millisecond
)

// Budget bounds the retries of one workspace. It is not safe for concurrent use.
type Budget struct {
	tokens float64
}

// Cause says why a request is not tried again.
type Cause string

// The causes.
const (
	BudgetSpent   Cause = "budgetSpent"
	DeadlineNear  Cause = "deadlineNear"
	NotProven     Cause = "notProven"
	NotRepairable Cause = "notRepairable"
)

// Decision is Retry or Stop.
type Decision interface {
	decision()
}

// Retry allows another try after a delay.
type Retry struct {
	After time.Duration
}

// Stop ends the request with the refusal of its last try.
type Stop struct {
	Cause Cause
}

func (Retry) decision() {}
func (Stop) decision()  {}

// FailedAttempt is a try that failed.
type FailedAttempt struct {
	// Attempts counts the tries so far, from 1.
	Attempts int
	Refusal  *refusal.Error
	// Idempotent requests may be repeated without proof.
	Idempotent bool
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Random is uniform in [0, 1).
	Random float64
}

// NewBudget returns the budget of a process that starts.
func NewBudget() *Budget {
	return &Budget{tokens: budgetStart}
}

// Decide tells whether a failed request is tried again, and takes the retry from
// the budget. Waiting for a newer view without sending anything is no retry.
func (b *Budget) Decide(failure FailedAttempt) Decision {
	switch {
	case !proven(failure):
		return Stop{Cause: NotProven}
	case !repairable(failure.Refusal.Reason):
		return Stop{Cause: NotRepairable}
	}
	delay := max(Backoff(failure.Attempts, failure.Random), failure.Refusal.RetryAfter)
	if delay >= failure.Remaining {
		return Stop{Cause: DeadlineNear}
	}
	if !b.TakeRetry() {
		return Stop{Cause: BudgetSpent}
	}
	return Retry{After: delay}
}

// CountRequest counts a new request, which adds to the budget. A retry is none.
func (b *Budget) CountRequest() {
	b.tokens = min(b.tokens+budgetShare, budgetBurst)
}

// TakeRetry takes one retry out of the budget; false if it is spent.
func (b *Budget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the delay after the given number of tries, from 1: doubled for
// each try and spread over its upper half by random, uniform in [0, 1).
func Backoff(tries int, random float64) time.Duration {
	longest := firstDelay
	for range tries - 1 {
		longest = min(2*longest, maxDelay)
	}
	return time.Duration(float64(longest) * (1 + random) / 2)
}

// proven tells whether another try cannot double the effect of this one.
func proven(failure FailedAttempt) bool {
	switch failure.Refusal.Outcome {
	case refusal.NotRun:
		return true
	case refusal.Unknown:
		return failure.Idempotent
	default:
		return false
	}
}

// repairable tells whether another try can end differently. Refusals that shed
// load are not tried again, because that would add to the load.
func repairable(reason refusal.Reason) bool {
	switch reason {
	case refusal.ConnectionLost, refusal.EndpointLeaving, refusal.NoPrimary, refusal.NotHome,
		refusal.NotPrimary, refusal.NotReady, refusal.ReplicaBehind, refusal.Unreachable:
		return true
	default:
		return false
	}
}
