package bench

import (
	"math/rand/v2"
	"time"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/retries"
)

// retried measures how many tries each request causes while every try fails with
// proof of not run, and how many single failures a budget refuses.
func retried(config Config) []Result {
	var results []Result
	for _, scenario := range []struct {
		name    string
		failing float64
	}{
		{name: "member down", failing: 1},
		{name: "1% of first tries fail", failing: 0.01},
	} {
		for _, choice := range []string{"without budget", "budget"} {
			r := newRetryRun(config, scenario.failing, choice == "budget")
			r.simulate(config)
			results = append(results, Result{
				Section:  "retries",
				Scenario: scenario.name,
				Choice:   choice,
				Pick:     r.limited,
				Measures: []Measure{
					measure("triesPerRequest", ratio(r.tries, r.requests)),
					measure("failedRequests", ratio(r.failed, r.requests)),
				},
			})
		}
	}
	return results
}

// retryRun sends requests of which a share fails; retries succeed unless all fail.
type retryRun struct {
	*events
	random                  *rand.Rand
	budget                  *retries.Budget
	failing                 float64
	limited                 bool
	requests, tries, failed int
}

func newRetryRun(config Config, failing float64, limited bool) *retryRun {
	return &retryRun{
		events:  newEvents(),
		random:  newRandom(config.Seed, 1),
		budget:  retries.NewBudget(),
		failing: failing,
		limited: limited,
	}
}

func (r *retryRun) simulate(config Config) {
	r.poisson(newRandom(config.Seed, 0), 100, r.now.Add(config.Duration), func() {
		r.requests++
		r.budget.CountRequest()
		r.try(1, r.now.Add(deadline))
	})
	r.runAll()
}

func (r *retryRun) try(count int, end time.Time) {
	r.tries++
	fails := r.failing == 1 || (count == 1 && r.random.Float64() < r.failing)
	if !fails {
		return
	}
	if !r.limited {
		r.budget = retries.NewBudget()
	}
	decision := r.budget.Decide(retries.FailedAttempt{
		Attempts:  count,
		Refusal:   refusal.NewNotRun(refusal.Unreachable, "the member is down"),
		Remaining: end.Sub(r.now),
		Random:    r.random.Float64(),
	})
	if d, ok := decision.(retries.Retry); ok {
		r.after(d.After, func() { r.try(count+1, end) })
		return
	}
	r.failed++
}
