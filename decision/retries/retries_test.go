package retries_test

import (
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
		Idempotent: idempotent,
		Remaining:  time.Second,
	}
}

var _ = Describe("Budget", func() {
	DescribeTable("decides on a failure",
		// Guards against a doubled effect and against retries that add to an
		// overload.
		func(outcome refusal.Outcome, reason refusal.Reason, idempotent bool, want retries.Decision) {
			Expect(retries.NewBudget().Decide(failure(outcome, reason, idempotent))).To(Equal(want))
		},
		Entry("proof", refusal.NotRun, refusal.NotPrimary, false, retries.Retry{After: 10 * time.Millisecond}),
		Entry("no proof", refusal.Unknown, refusal.ConnectionLost, false, retries.Stop{Cause: retries.NotProven}),
		Entry("idempotent", refusal.Unknown, refusal.ConnectionLost, true, retries.Retry{After: 10 * time.Millisecond}),
		Entry("done", refusal.Done, refusal.StatementFailed, true, retries.Stop{Cause: retries.NotProven}),
		Entry("overload", refusal.NotRun, refusal.Overloaded, true, retries.Stop{Cause: retries.NotRepairable}),
	)

	It("retries less than a tenth of the requests", func() {
		// Guards against retries that amplify an outage by more than 1.1, and
		// against a budget that refuses the first single failures.
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

	It("retries single failures of a new process", func() {
		budget := retries.NewBudget()
		for range 3 {
			Expect(budget.TakeRetry()).To(BeTrue())
		}
		Expect(budget.TakeRetry()).To(BeFalse())
	})

	It("stops when the delay passes the deadline", func() {
		late := failure(refusal.NotRun, refusal.Unreachable, false)
		late.Refusal.RetryAfter = time.Second
		Expect(retries.NewBudget().Decide(late)).To(Equal(retries.Stop{Cause: retries.DeadlineNear}))
	})

	DescribeTable("spreads the delays",
		func(tries int, random float64, want time.Duration) {
			Expect(retries.Backoff(tries, random)).To(Equal(want))
		},
		Entry("first", 1, 0.0, 10*time.Millisecond),
		Entry("spread", 1, 0.5, 15*time.Millisecond),
		Entry("third", 3, 0.0, 40*time.Millisecond),
		Entry("bounded", 100, 0.0, 250*time.Millisecond),
	)
})
