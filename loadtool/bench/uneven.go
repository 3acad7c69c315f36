package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// unevenScenario is how the endpoints of a database differ.
type unevenScenario struct {
	name string
	// slowdown is the factor of the service times of an endpoint, by its index, at a time since
	// the start with a number of statements in progress.
	slowdown func(endpoint int, elapsed time.Duration, inFlight int) float64
}

// unevenChoice is what the homes learn about the endpoints and tell the entry VMs.
type unevenChoice struct {
	name        string
	usedByProxy bool
	// limits applies the learned limits, and reports them.
	limits bool
	// times reports the measured service times.
	times bool
}

// unevenResults holds the counts and the latencies of one run.
type unevenResults struct {
	sent, refused, completed int
	// arrivals are the statements that arrived at each endpoint's home.
	arrivals  []int
	latencies *hdrhistogram.Histogram
}

const (
	// slowPeriod is the interval between two times at which an endpoint is slow for slowTime.
	slowPeriod = 20 * time.Second
	slowTime   = 6 * time.Second
)

func unevenScenarios() []unevenScenario {
	slowForAWhile := func(endpoint int, elapsed time.Duration, _ int) float64 {
		if endpoint == 1 && elapsed%slowPeriod >= slowPeriod-slowTime {
			return 4
		}
		return 1
	}
	slowAboveHalf := func(endpoint int, _ time.Duration, inFlight int) float64 {
		if endpoint == 2 && inFlight > slots/2 {
			return 3
		}
		return 1
	}
	return []unevenScenario{
		{name: "equal endpoints", slowdown: func(int, time.Duration, int) float64 { return 1 }},
		{name: "one 4 times slower for 6 s", slowdown: slowForAWhile},
		{name: "one 3 times slower above half", slowdown: slowAboveHalf},
		{name: "both", slowdown: func(endpoint int, elapsed time.Duration, inFlight int) float64 {
			return slowForAWhile(endpoint, elapsed, inFlight) * slowAboveHalf(endpoint, elapsed, inFlight)
		}},
	}
}

// MeasureUnevenEndpoints compares the use of the reported slots with what the homes learn.
func MeasureUnevenEndpoints(config Config) []Result {
	choices := []unevenChoice{
		{name: "reported slots"},
		{name: "learned limits", limits: true},
		{name: "learned limits and times", limits: true, times: true, usedByProxy: true},
	}
	var results []Result
	for _, scenario := range unevenScenarios() {
		for _, choice := range choices {
			r := newUnevenRun(config, scenario, choice)
			r.simulate(config)
			results = append(results, Result{
				Section:     "uneven",
				Scenario:    scenario.name,
				Choice:      choice.name,
				UsedByProxy: choice.usedByProxy,
				Measures:    r.results.measures(config.Duration),
			})
		}
	}
	return results
}

func (s *unevenResults) measures(duration time.Duration) []Measure {
	busiest, total := 0, 0
	for _, n := range s.arrivals[1:] {
		busiest = max(busiest, n)
		total += n
	}
	return []Measure{
		newMeasure("goodputPerSecond", float64(s.completed)/duration.Seconds()),
		newMeasure("refused", ratio(s.refused, s.sent)),
		newMeasure("p50Ms", milliseconds(s.latencies, 50)),
		newMeasure("p99Ms", milliseconds(s.latencies, 99)),
		newMeasure("busiestReplica", float64(busiest*(len(s.arrivals)-1))/float64(max(total, 1))),
	}
}
