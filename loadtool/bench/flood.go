package bench

import (
	"amaranthdock.dev/decision/limits"
)

// flood lets one workspace send five times its rate and compares the others with
// their runs alone, and with a run in which nobody floods.
func flood(config Config) []Result {
	var results []Result
	for _, p := range policies() {
		flooded := floodRun(config, p, floodFactor, 1, "")
		calm := floodRun(config, p, 1, 1, "")
		worstAlone, worstCalm, worstServed := 0.0, 0.0, 1.0
		worth, delivered := 0.0, 0.0
		for i, w := range workspaces() {
			s := flooded[w.name]
			rate := w.rate * config.Duration.Seconds()
			share := min(float64(s.finished)/rate, 1)
			worth += float64(w.worth) * share
			delivered += float64(w.worth)
			if i == 0 {
				continue
			}
			alone := floodRun(config, p, 1, 1, w.name)
			worstAlone = max(worstAlone, s.latencies.Mean()/alone[w.name].latencies.Mean())
			worstCalm = max(worstCalm, s.latencies.Mean()/calm[w.name].latencies.Mean())
			worstServed = min(worstServed, float64(s.finished)/float64(s.sent))
		}
		results = append(results, Result{
			Section:  "scheduling",
			Scenario: "one workspace at 5x",
			Choice:   p.name,
			Pick:     p.pick,
			Measures: []Measure{
				measure("latencyVsAlone", worstAlone),
				measure("latencyVsCalm", worstCalm),
				measure("worstServed", worstServed),
				measure("servedByWorth", worth/delivered),
			},
		})
	}
	return results
}

// floodRun runs all workspaces, or only the named one, at multiples of their rates.
func floodRun(config Config, p policy, factor, base float64, only string) map[string]*stats {
	e := newEndpoint(config.Seed, p.config)
	end := e.now.Add(config.Duration)
	for i, w := range workspaces() {
		if only != "" && only != w.name {
			continue
		}
		if p.limited {
			// The limit is a little above the rate that the workspace usually sends.
			bucket := limits.NewBucket(e.now, base*w.rate/2, 1.1*base*w.rate)
			e.buckets[w.name] = &bucket
		}
		times := base
		if i == 0 {
			times = factor * base
		}
		e.send(config.Seed, uint64(i), w, times, end)
	}
	e.runAll()
	return e.stats
}

// crowded lets one workspace send five times its rate while all together ask for
// more than the capacity, so that worth decides who is served.
func crowded(config Config) []Result {
	const base = 2
	var results []Result
	for _, p := range policies() {
		stats := floodRun(config, p, floodFactor, base, "")
		worst, worth, delivered := 1.0, 0.0, 0.0
		for i, w := range workspaces() {
			s := stats[w.name]
			wanted := float64(s.sent)
			if i == 0 {
				wanted /= floodFactor
			}
			share := min(float64(s.finished)/wanted, 1)
			worth += float64(w.worth) * share
			delivered += float64(w.worth)
			if i > 0 {
				worst = min(worst, share)
			}
		}
		results = append(results, Result{
			Section:  "scheduling",
			Scenario: "one at 5x, all at 120%",
			Choice:   p.name,
			Pick:     p.pick,
			Measures: []Measure{
				measure("worstServed", worst),
				measure("servedByWorth", worth/delivered),
			},
		})
	}
	return results
}
