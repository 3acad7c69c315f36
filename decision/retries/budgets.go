package retries

// Budgets holds the retry budget of each subject. It is not safe for concurrent use. Only
// subjects from the configuration should be passed, so that the map stays small.
type Budgets struct {
	bySubject map[string]*Budget
}

// NewBudgets returns Budgets in which each subject starts with a new budget.
func NewBudgets() *Budgets {
	return &Budgets{bySubject: map[string]*Budget{}}
}

// CountRequest counts an admitted request of a subject.
func (b *Budgets) CountRequest(subject string) {
	b.get(subject).CountRequest()
}

// TakeRetry takes one retry from the budget of a subject; false if the budget is used up.
func (b *Budgets) TakeRetry(subject string) bool {
	return b.get(subject).TakeRetry()
}

func (b *Budgets) get(subject string) *Budget {
	budget, ok := b.bySubject[subject]
	if !ok {
		budget = NewBudget()
		b.bySubject[subject] = budget
	}
	return budget
}
