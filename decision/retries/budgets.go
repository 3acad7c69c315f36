package retries

import "sync"

// Budgets holds the retry budget of each subject. It is safe for concurrent use, since a home, the
// sessions of a VM and the own interface each share one among their requests. Only subjects from
// the configuration should be passed, so that the map stays small.
type Budgets struct {
	mu        sync.Mutex
	bySubject map[string]*Budget
}

// NewBudgets returns Budgets in which each subject starts with a new budget.
func NewBudgets() *Budgets {
	return &Budgets{bySubject: map[string]*Budget{}}
}

// CountRequest counts an admitted request of a subject.
func (b *Budgets) CountRequest(subject string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(subject).CountRequest()
}

// TakeRetry takes one retry from the budget of a subject; false if the budget is used up.
func (b *Budgets) TakeRetry(subject string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.get(subject).TakeRetry()
}

// get returns the budget of a subject. The lock must be held.
func (b *Budgets) get(subject string) *Budget {
	budget, ok := b.bySubject[subject]
	if !ok {
		budget = NewBudget()
		b.bySubject[subject] = budget
	}
	return budget
}
