// Package retries decides whether and when a failed request is retried.
package retries

import (
	"time"

	"amaranthdock.dev/decision/refusal"
)

const (
	// maxBudget is the largest number of unused retries that a workspace can
	// accumulate.
	maxBudget = 10
	// budgetPerRequest is the number of retries that each request adds to the budget.
	// Starting from maxBudget, retries stay below a tenth of the requests over 1,000
	// requests; starting from initialBudget, over 300 requests.
	budgetPerRequest = 0.09
	// initialBudget is enough for a few isolated failures after a process start.
	initialBudget = 3
	// initialMaxDelay is the maximum delay before the first retry. The maximum doubles
	// with each further retry.
	initialMaxDelay = 20 * time.Millisecond
	// maxDelay caps the delay after many attempts.
	maxDelay = 500 * time.Millisecond
)

// Budget limits the retries of one workspace. It is not safe for concurrent use.
type Budget struct {
	tokens float64
}

// Cause is the reason why a request is not retried.
type Cause string

// The causes.
const (
	// BudgetSpent means that the retry budget is exhausted.
	BudgetSpent Cause = "budgetSpent"
	// DeadlineNear means that the retry delay would not end before the deadline.
	DeadlineNear Cause = "deadlineNear"
	// NotProven means that a retry could repeat the effect of the request.
	NotProven Cause = "notProven"
	// NotRepairable means that a retry would fail in the same way or add to an
	// overload.
	NotRepairable Cause = "notRepairable"
)

// Decision is the result of Budget.Decide: Retry or Stop.
type Decision interface {
	decision()
}

// Retry allows another attempt after a delay.
type Retry struct {
	After time.Duration
}

// Stop ends the request with the refusal of its last attempt.
type Stop struct {
	Cause Cause
}

func (Retry) decision() {}
func (Stop) decision()  {}

// FailedAttempt is a failed attempt of a request.
type FailedAttempt struct {
	// Attempts is the number of attempts so far, including this one.
	Attempts int
	Refusal  *refusal.Error
	// Idempotent requests may be repeated without proof that they had no effect.
	Idempotent bool
	// UntilDeadline is the time until the request's deadline.
	UntilDeadline time.Duration
	// Random is a uniform random number in [0, 1) for the jitter.
	Random float64
}

// NewBudget returns the budget at the start of a process.
func NewBudget() *Budget {
	return &Budget{tokens: initialBudget}
}

// Decide decides whether a failed request is retried. It takes the retry from the
// budget. Waiting for a newer view without sending anything does not count as a retry.
func (b *Budget) Decide(attempt FailedAttempt) Decision {
	switch {
	case !safeToRepeat(attempt):
		return Stop{Cause: NotProven}
	case !retryable(attempt.Refusal.Reason):
		return Stop{Cause: NotRepairable}
	}
	delay := max(Backoff(attempt.Attempts, attempt.Random), attempt.Refusal.RetryAfter)
	if delay >= attempt.UntilDeadline {
		return Stop{Cause: DeadlineNear}
	}
	if !b.TakeRetry() {
		return Stop{Cause: BudgetSpent}
	}
	return Retry{After: delay}
}

// CountRequest adds to the budget for a new request. Do not call it for retries.
func (b *Budget) CountRequest() {
	b.tokens = min(b.tokens+budgetPerRequest, maxBudget)
}

// TakeRetry takes one retry out of the budget. It returns false if the budget is
// exhausted.
func (b *Budget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the exponential backoff delay after the given number of attempts,
// with jitter: random, uniform in [0, 1), places it in the upper half of the range up
// to the maximum delay.
func Backoff(attempts int, random float64) time.Duration {
	maxForAttempt := initialMaxDelay
	for range attempts - 1 {
		maxForAttempt = min(2*maxForAttempt, maxDelay)
	}
	return time.Duration(float64(maxForAttempt) * (1 + random) / 2)
}

// safeToRepeat reports whether a retry cannot repeat the effect of the failed attempt.
func safeToRepeat(attempt FailedAttempt) bool {
	switch attempt.Refusal.Outcome {
	case refusal.NotRun:
		return true
	case refusal.Unknown:
		return attempt.Idempotent
	default:
		return false
	}
}

// retryable reports whether a retry can have a different result. Refusals due to
// overload are not retried, because retries would add to the load.
func retryable(reason refusal.Reason) bool {
	switch reason {
	case refusal.ConnectionLost, refusal.EndpointLeaving, refusal.NoPrimary, refusal.NotHome,
		refusal.NotPrimary, refusal.NotReady, refusal.ReplicaBehind, refusal.Unreachable:
		return true
	default:
		return false
	}
}
