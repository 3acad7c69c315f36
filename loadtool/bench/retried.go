package bench

import (
	"math/rand/v2"
	"time"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/retries"
)

// measureRetryBudget measures how many attempts each request causes, and how many requests
// fail because they are not retried, with and without a retry budget. All failed attempts
// have the outcome "not run", so a retry is always safe.
func measureRetryBudget(config Config) []Result {
	var results []Result
	for _, scenario := range []struct {
		name               string
		failureProbability float64
	}{
		{name: "member down", failureProbability: 1},
		{name: "1% of first tries fail", failureProbability: 0.01},
	} {
		for _, choice := range []string{"without budget", "budget"} {
			r := newRetryRun(config, scenario.failureProbability, choice == "budget")
			r.simulate(config)
			results = append(results, Result{
				Section:     "retries",
				Scenario:    scenario.name,
				Choice:      choice,
				UsedByProxy: r.useBudget,
				Measures: []Measure{
					newMeasure("triesPerRequest", ratio(r.attempts, r.requests)),
					newMeasure("failedRequests", ratio(r.failed, r.requests)),
				},
			})
		}
	}
	return results
}

// retryRun sends requests whose first attempts fail with a given probability. Retries
// succeed, unless the probability is 1: then all attempts fail.
type retryRun struct {
	*eventLoop
	random                     *rand.Rand
	budget                     *retries.Budget
	failureProbability         float64
	useBudget                  bool
	requests, attempts, failed int
}

func newRetryRun(config Config, failureProbability float64, useBudget bool) *retryRun {
	return &retryRun{
		eventLoop:          newEventLoop(),
		random:             newRandom(config.Seed, 1),
		budget:             retries.NewBudget(),
		failureProbability: failureProbability,
		useBudget:          useBudget,
	}
}

func (r *retryRun) simulate(config Config) {
	r.poisson(newRandom(config.Seed, 0), 100, r.now.Add(config.Duration), func() {
		r.requests++
		r.budget.CountRequest()
		r.attempt(1, r.now.Add(requestTimeout))
	})
	r.runAll()
}

func (r *retryRun) attempt(number int, deadline time.Time) {
	r.attempts++
	fails := r.failureProbability == 1 || (number == 1 && r.random.Float64() < r.failureProbability)
	if !fails {
		return
	}
	if !r.useBudget {
		r.budget = retries.NewBudget()
	}
	decision := r.budget.Decide(retries.FailedAttempt{
		Attempts:      number,
		Refusal:       refusal.NewNotRun(refusal.Unreachable, "the member is down"),
		UntilDeadline: deadline.Sub(r.now),
		Random:        r.random.Float64(),
	})
	if d, ok := decision.(retries.Retry); ok {
		r.after(d.After, func() { r.attempt(number+1, deadline) })
		return
	}
	r.failed++
}
