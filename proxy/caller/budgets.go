package caller

import (
	"sync"

	"amaranthdock.dev/decision/retries"
)

// RetryBudgets holds the retry budget of each subject. It is safe for concurrent use.
type RetryBudgets struct {
	mu      sync.Mutex
	budgets *retries.Budgets
}

// NewRetryBudgets returns RetryBudgets in which each subject starts with a new budget.
func NewRetryBudgets() *RetryBudgets {
	return &RetryBudgets{budgets: retries.NewBudgets()}
}

// CountRequest counts an admitted request of a subject.
func (b *RetryBudgets) CountRequest(subject string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgets.CountRequest(subject)
}

// TakeRetry takes one retry from the budget of a subject; false if the budget is used
// up.
func (b *RetryBudgets) TakeRetry(subject string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budgets.TakeRetry(subject)
}
