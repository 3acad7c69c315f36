package caller

import (
	"sync"

	"amaranthdock.dev/decision/retries"
)

// RetryBudgets holds the retry budget of each subject. It is safe for concurrent use.
type RetryBudgets struct {
	mu      sync.Mutex
	budgets map[string]*retries.Budget
}

// NewRetryBudgets returns RetryBudgets in which each subject starts with a new budget.
func NewRetryBudgets() *RetryBudgets {
	return &RetryBudgets{
		budgets: map[string]*retries.Budget{},
	}
}

// CountRequest counts an admitted request of a subject.
func (b *RetryBudgets) CountRequest(subject string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(subject).CountRequest()
}

// TakeRetry takes one retry from the budget of a subject; false if the budget is used
// up.
func (b *RetryBudgets) TakeRetry(subject string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.get(subject).TakeRetry()
}

// get returns the budget of a subject. The caller holds b.mu. Only subjects
// from the configuration are admitted, so the map stays small.
func (b *RetryBudgets) get(subject string) *retries.Budget {
	budget, ok := b.budgets[subject]
	if !ok {
		budget = retries.NewBudget()
		b.budgets[subject] = budget
	}
	return budget
}
