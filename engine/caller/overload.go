package caller

import (
	"sync"

	"amaranthdock.dev/decision/retries"
)

// overloadRetries holds, by workspace, the budgets for attempts at another endpoint after a full
// one has refused a read. Without them each read of a burst is sent twice while all endpoints of
// a database are full.
type overloadRetries struct {
	mu      sync.Mutex
	budgets map[string]*retries.Budget
}

// countRequest adds to the budget of a workspace for a new statement.
func (o *overloadRetries) countRequest(workspace string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.budget(workspace).CountRequest()
}

// take takes one retry out of the budget of a workspace. It returns false if the budget is
// exhausted.
func (o *overloadRetries) take(workspace string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.budget(workspace).TakeRetry()
}

// budget returns the budget of a workspace. There is one for each configured workspace at most.
// The lock must be held.
func (o *overloadRetries) budget(workspace string) *retries.Budget {
	if o.budgets == nil {
		o.budgets = map[string]*retries.Budget{}
	}
	budget, ok := o.budgets[workspace]
	if !ok {
		budget = retries.NewBudget()
		o.budgets[workspace] = budget
	}
	return budget
}

// takeOverloadRetry reports whether a read that a full endpoint refused may be sent to
// another one. With urgency across workspaces it takes the retry out of the budget.
func (d *dispatch) takeOverloadRetry() bool {
	manager := d.session.manager
	return !manager.config.UrgencyAcrossWorkspaces || manager.overloadRetries.take(d.auth.workspace)
}
