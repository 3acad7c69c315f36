package scheduling

import (
	"slices"
	"time"
)

// chooseNext returns the item to start next; false if none waits. Subjects that Config.Held names
// come after all others.
func (q *Queue) chooseNext(now time.Time) (choice, bool) {
	held := func(f *flow) bool {
		return len(f.steps) == 0 && len(f.statements) > 0 && q.config.Held(f.subject)
	}
	if q.config.Held == nil || !slices.ContainsFunc(q.flows, held) {
		return q.chooseFromFlows(now)
	}
	all := q.flows
	q.flows = slices.DeleteFunc(slices.Clone(all), held)
	next, ok := q.chooseFromFlows(now)
	q.flows = all
	if ok {
		return next, true
	}
	return q.chooseFromFlows(now)
}
