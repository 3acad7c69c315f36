package caller

import (
	"sync"

	"amaranthdock.dev/decision/retries"
)

// Budgets holds the retry budget of each subject. It is safe for concurrent use.
type Budgets struct {
	mu      sync.Mutex
	budgets map[string]*retries.Budget
}

// NewRetryBudgets returns the budgets of all subjects, as at the start.
func NewRetryBudgets() *Budgets {
	return &Budgets{
		budgets: map[string]*retries.Budget{},
	}
}

// Request counts a request that was admitted.
func (b *Budgets) Request(subject string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(subject).CountRequest()
}

// Retry takes a retry out of the budget, or returns false.
func (b *Budgets) Retry(subject string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(subject).TakeRetry()
}

// of returns the budget of a subject; the caller holds the lock. Only subjects
// of the configuration are admitted, so that the map stays small.
func (b *Budgets) of(subject string) *retries.Budget {
	budget, ok := b.budgets[subject]
	if !ok {
		budget = retries.NewBudget()
		b.budgets[subject] = budget
	}
	return budget
}
