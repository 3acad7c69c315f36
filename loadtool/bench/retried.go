package bench

import (
	"time"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/retries"
)

// retried measures how many tries each request causes while a member is down and
// every try fails with proof of not run.
func retried(config Config) []Result {
	var results []Result
	for _, c := range []struct {
		name   string
		budget bool
	}{
		{name: "without budget"},
		{name: "budget", budget: true},
	} {
		e := newEvents()
		random := newRandom(config.Seed, 1)
		budget := retries.NewBudget()
		requests, tries := 0, 0
		var try func(count int, end time.Time)
		try = func(count int, end time.Time) {
			tries++
			if !c.budget {
				budget = retries.NewBudget()
			}
			decision := budget.Decide(retries.Failure{
				Tries:     count,
				Refusal:   refusal.NewNotRun(refusal.Unreachable, "the member is down"),
				Remaining: end.Sub(e.now),
				Random:    random.Float64(),
			})
			if r, ok := decision.(retries.Retry); ok {
				e.after(r.After, func() { try(count+1, end) })
			}
		}
		e.poisson(newRandom(config.Seed, 0), 100, e.now.Add(config.Duration), func() {
			requests++
			budget.Request()
			try(1, e.now.Add(deadline))
		})
		e.runAll()
		results = append(results, Result{
			Section:  "retries",
			Scenario: "member down",
			Choice:   c.name,
			Pick:     c.budget,
			Measures: []Measure{measure("triesPerRequest", float64(tries)/float64(requests))},
		})
	}
	return results
}
