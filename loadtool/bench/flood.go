package bench

import (
	"amaranthdock.dev/decision/limits"
)

// measureFlood lets one workspace send five times its usual rate. It compares the other
// workspaces with runs in which each of them is alone, and with a run without the flood.
func measureFlood(config Config) []Result {
	var results []Result
	for _, choice := range schedulingChoices() {
		flooded := runFlood(config, choice, floodFactor, 1, "")
		withoutFlood := runFlood(config, choice, 1, 1, "")
		worstVsAlone, worstVsCalm, worstServed := 0.0, 0.0, 1.0
		servedWeight, totalWeight := 0.0, 0.0
		for i, w := range workspaces() {
			s := flooded[w.name]
			expected := w.rate * config.Duration.Seconds()
			servedShare := min(float64(s.completed)/expected, 1)
			servedWeight += float64(w.weight) * servedShare
			totalWeight += float64(w.weight)
			if i == 0 {
				continue
			}
			alone := runFlood(config, choice, 1, 1, w.name)
			worstVsAlone = max(worstVsAlone, s.latencies.Mean()/alone[w.name].latencies.Mean())
			worstVsCalm = max(worstVsCalm, s.latencies.Mean()/withoutFlood[w.name].latencies.Mean())
			worstServed = min(worstServed, float64(s.completed)/float64(s.sent))
		}
		results = append(results, Result{
			Section:     "scheduling",
			Scenario:    "one workspace at 5x",
			Choice:      choice.name,
			UsedByProxy: choice.usedByProxy,
			Measures: []Measure{
				newMeasure("latencyVsAlone", worstVsAlone),
				newMeasure("latencyVsCalm", worstVsCalm),
				newMeasure("worstServed", worstServed),
				newMeasure("servedByWorth", servedWeight/totalWeight),
			},
		})
	}
	return results
}

// runFlood runs all workspaces, or only the named one, at loadFactor times their usual
// rates. The first workspace sends floodMultiple times as much.
func runFlood(config Config, choice schedulingChoice, floodMultiple, loadFactor float64, only string) map[string]*stats {
	e := newEndpointRun(config.Seed, choice.config)
	end := e.now.Add(config.Duration)
	for i, w := range workspaces() {
		if only != "" && only != w.name {
			continue
		}
		if choice.rateLimited {
			// The rate limit is 10% above the workspace's usual rate.
			bucket := limits.NewBucket(e.now, loadFactor*w.rate/2, 1.1*loadFactor*w.rate)
			e.buckets[w.name] = &bucket
		}
		multiple := loadFactor
		if i == 0 {
			multiple = floodMultiple * loadFactor
		}
		e.generateLoad(config.Seed, uint64(i), w, multiple, end)
	}
	e.runAll()
	return e.stats
}

// measureFloodOverCapacity lets one workspace send five times its rate while the load of
// all workspaces is above the capacity, so that the weights decide who is served.
func measureFloodOverCapacity(config Config) []Result {
	// The workspaces use 60% of the capacity at their usual rates, so this is 120%.
	const loadFactor = 2
	var results []Result
	for _, choice := range schedulingChoices() {
		stats := runFlood(config, choice, floodFactor, loadFactor, "")
		worstServed, servedWeight, totalWeight := 1.0, 0.0, 0.0
		for i, w := range workspaces() {
			s := stats[w.name]
			expected := float64(s.sent)
			if i == 0 {
				expected /= floodFactor
			}
			servedShare := min(float64(s.completed)/expected, 1)
			servedWeight += float64(w.weight) * servedShare
			totalWeight += float64(w.weight)
			if i > 0 {
				worstServed = min(worstServed, servedShare)
			}
		}
		results = append(results, Result{
			Section:     "scheduling",
			Scenario:    "one at 5x, all at 120%",
			Choice:      choice.name,
			UsedByProxy: choice.usedByProxy,
			Measures: []Measure{
				newMeasure("worstServed", worstServed),
				newMeasure("servedByWorth", servedWeight/totalWeight),
			},
		})
	}
	return results
}
