package bench

import (
	"time"

	"amaranthdock.dev/decision/connections"
)

// poolScenario is the demand for the connections of one endpoint. See docs/hard-load.md.
type poolScenario struct {
	name string
	// load is the part of the capacity that the statements use on average, without the opening of
	// connections.
	load float64
	// factor multiplies the rate of a workspace at a time since the start; nil for none.
	factor func(workspace int, elapsed time.Duration) float64
	// restart empties the pool once the home has run for warmUp. The statements that callers wait
	// for arrive together.
	restart bool
	// keepsHome is set if only the endpoint restarts, so that the home keeps its share.
	keepsHome bool
	// moved is set if the home is new and the previous one has connections that it keeps.
	moved bool
}

// poolChoice is how a home uses its connections.
type poolChoice struct {
	name        string
	usedByProxy bool
	// byDemand evicts and closes unused connections by demand, instead of by their last use.
	byDemand bool
	// shares keeps the limit while the home moves.
	shares bool
	// handshakes is the number of connections being opened from which on statements that have one go
	// first; 0 for none.
	handshakes int
}

func poolScenarios() []poolScenario {
	return []poolScenario{
		{name: "quiet", load: 0.03},
		{name: "wave of 55%", load: 0.55, factor: func(_ int, elapsed time.Duration) float64 { return wave(elapsed) }},
		{name: "one workspace at 5x", load: 0.6, factor: func(workspace int, elapsed time.Duration) float64 {
			if workspace == burstingWorkspace && elapsed%(20*time.Second) > 14*time.Second {
				return 5
			}
			return 1
		}},
		{name: "mass restart", load: 0.75, restart: true},
		{name: "restart of the endpoint", load: 0.75, restart: true, keepsHome: true},
		{name: "moved home", load: 0.6, moved: true},
	}
}

func poolChoices() []poolChoice {
	return []poolChoice{
		{name: "last use"},
		{name: "demand", byDemand: true, shares: true},
		{name: "demand, 2 handshakes", byDemand: true, shares: true, handshakes: 2},
		{name: "demand, 3 handshakes", byDemand: true, shares: true, handshakes: connections.MaxHandshakes(slots), usedByProxy: true},
	}
}

// MeasurePools compares the rules for the connections of one endpoint.
func MeasurePools(config Config) []Result {
	var results []Result
	for _, scenario := range poolScenarios() {
		for _, choice := range poolChoices() {
			r := newPoolRun(config, scenario, choice)
			r.simulate(config)
			results = append(results, Result{
				Section:     "connections",
				Scenario:    scenario.name,
				Choice:      choice.name,
				UsedByProxy: choice.usedByProxy,
				Measures:    r.measures(),
			})
		}
	}
	return results
}

// measures returns the connections opened and rejected, the part of the refused statements, the mean
// waits for a connection by priority, and latencies: those of urgent statements after a restart only,
// if there is one.
func (r *poolRun) measures() []Measure {
	return []Measure{
		newMeasure("opened", float64(r.opened)),
		newMeasure("rejected", float64(r.rejected)),
		newMeasure("refused", ratio(r.refused, r.sent)),
		newMeasure("waitMs0", r.meanWait(0)),
		newMeasure("waitMs1", r.meanWait(1)),
		newMeasure("waitMs2", r.meanWait(2)),
		newMeasure("p50Ms", milliseconds(r.latencies, 50)),
		newMeasure("p99Ms", milliseconds(r.latencies, 99)),
		newMeasure("urgentP50Ms", milliseconds(r.urgent, 50)),
		newMeasure("urgentP99Ms", milliseconds(r.urgent, 99)),
	}
}

// poolLimit returns how many connections the home may have open.
func (r *poolRun) poolLimit() int {
	if !r.choice.shares {
		return previousFirstShare * poolMaxConnections / 100
	}
	return r.tenure.Limit(r.elapsed(), connections.Split(poolMaxConnections))
}
