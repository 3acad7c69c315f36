package retries_test

import (
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/retries"
)

func TestRetries(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retries")
}

func failure(outcome refusal.Outcome, reason refusal.Reason, idempotent bool) retries.FailedAttempt {
	return retries.FailedAttempt{
		Attempts: 1,
		Refusal: &refusal.Error{
			Outcome: outcome,
			Reason:  reason,
		},
		Idempotent:    idempotent,
		UntilDeadline: time.Second,
	}
}

var _ = Describe("Budget", func() {
	DescribeTable("decides about a failed attempt",
		// Guards against requests that take effect twice and against retries that add
		// to an overload.
		func(outcome refusal.Outcome, reason refusal.Reason, idempotent bool, want retries.Decision) {
			Expect(retries.NewBudget().Decide(failure(outcome, reason, idempotent))).To(Equal(want))
		},
		Entry("proven to have had no effect", refusal.NotRun, refusal.NotPrimary, false, retries.Retry{After: 10 * time.Millisecond}),
		Entry("unknown outcome", refusal.Unknown, refusal.ConnectionLost, false, retries.Stop{Cause: retries.NotProven}),
		Entry("unknown outcome, idempotent", refusal.Unknown, refusal.ConnectionLost, true, retries.Retry{After: 10 * time.Millisecond}),
		Entry("took effect", refusal.Done, refusal.StatementFailed, true, retries.Stop{Cause: retries.NotProven}),
		Entry("overload", refusal.NotRun, refusal.Overloaded, true, retries.Stop{Cause: retries.NotRepairable}),
	)

	It("retries less than a tenth of the requests", func() {
		// Guards against retries that multiply the load during an outage by more than
		// 1.1, and against a budget that does not cover the first isolated failures.
		budget := retries.NewBudget()
		allowed := 0
		for range 1000 {
			budget.CountRequest()
			if _, ok := budget.Decide(failure(refusal.NotRun, refusal.Unreachable, false)).(retries.Retry); ok {
				allowed++
			}
		}
		Expect(allowed).To(BeNumerically("~", 93, 1))
		Expect(budget.Decide(failure(refusal.NotRun, refusal.Unreachable, false))).To(Equal(retries.Stop{Cause: retries.BudgetSpent}))
	})

	It("retries isolated failures of a new process", func() {
		// Guards against a new process that cannot retry because it has counted too few
		// requests.
		budget := retries.NewBudget()
		for range 3 {
			Expect(budget.TakeRetry()).To(BeTrue())
		}
		Expect(budget.TakeRetry()).To(BeFalse())
	})

	It("stops when the delay exceeds the deadline", func() {
		// Guards against waiting for a retry that the deadline does not allow.
		late := failure(refusal.NotRun, refusal.Unreachable, false)
		late.Refusal.RetryAfter = time.Second
		Expect(retries.NewBudget().Decide(late)).To(Equal(retries.Stop{Cause: retries.DeadlineNear}))
	})

	It("is shared by the concurrent requests of a subject", func() {
		// Guards against more retries than the budget allows, and against a crash of the process,
		// when several requests use the budgets at the same time.
		budgets := retries.NewBudgets()
		var allowed atomic.Int64
		var requests sync.WaitGroup
		for range 100 {
			requests.Go(func() {
				for i := range 100 {
					budgets.CountRequest(strconv.Itoa(i))
					if budgets.TakeRetry("shared") {
						allowed.Add(1)
					}
				}
			})
		}
		requests.Wait()
		Expect(allowed.Load()).To(Equal(int64(3)))
	})

	DescribeTable("doubles the delays with jitter",
		// Guards against many callers that retry at the same time, and against delays
		// that grow without a limit.
		func(attempts int, random float64, want time.Duration) {
			Expect(retries.Backoff(attempts, random)).To(Equal(want))
		},
		Entry("first without jitter", 1, 0.0, 10*time.Millisecond),
		Entry("first with jitter", 1, 0.5, 15*time.Millisecond),
		Entry("third attempt", 3, 0.0, 40*time.Millisecond),
		Entry("at the maximum", 100, 0.0, 250*time.Millisecond),
	)
})
