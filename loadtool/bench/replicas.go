package bench

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"amaranthdock.dev/decision/routing"
)

const (
	// readers sessions think for thinkTime on average between two requests.
	readers    = 40
	thinkTime  = 100 * time.Millisecond
	writeShare = 0.15
	// followTime is the mean pause between a write and the read that follows it.
	followTime = 2 * time.Millisecond
	// warmUp is not counted: the homes have no samples yet.
	warmUp = time.Second
)

// readChoice is one way to choose the member that serves a read.
type readChoice struct {
	name string
	pick bool
	// route returns the member that a read is sent to first.
	route func(r *replicaRun, t *try) int
	// catchUp is the home's estimate of the time until a replica reaches a
	// position.
	catchUp func(r *replicaRun, m *replicaMember, index uint64) (time.Duration, bool)
}

// readCase is one scenario; a maxAge of 0 stands for reads with a session token.
type readCase struct {
	lag    time.Duration
	maxAge time.Duration
}

func (c readCase) String() string {
	if c.maxAge > 0 {
		return fmt.Sprintf("reads, lag %v, age %v", c.lag, c.maxAge)
	}
	return fmt.Sprintf("reads, lag %v, sessions", c.lag)
}

func readChoices() []readChoice {
	return []readChoice{
		{name: "always the primary", route: func(*replicaRun, *try) int { return 0 }, catchUp: noEstimate},
		{name: "random replica with redirect", route: routeRandom, catchUp: noEstimate},
		{name: "routing, age as catch-up", route: routeByView, catchUp: ageEstimate},
		{name: "routing", pick: true, route: routeByView, catchUp: meanEstimate},
		{name: "routing, mean less the time passed", route: routeByView, catchUp: passedEstimate},
	}
}

// readResults are the sums of one run.
type readResults struct {
	reads, byReplica                int
	couldServe, served              int
	stale, crossed, refused, wasted int
	latencies                       *hdrhistogram.Histogram
}

// replicaReads compares the choices of the member that serves a read.
func replicaReads(config Config) []Result {
	var results []Result
	for _, lag := range []time.Duration{5 * time.Millisecond, 50 * time.Millisecond, 500 * time.Millisecond} {
		for _, age := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second} {
			c := readCase{
				lag:    lag,
				maxAge: age,
			}
			for _, choice := range readChoices() {
				r := newReplicaRun(config, c, choice)
				r.simulate(config)
				results = append(results, Result{
					Section:  "routing",
					Scenario: c.String(),
					Choice:   choice.name,
					Pick:     choice.pick,
					Measures: r.results.measures(),
				})
			}
		}
	}
	return results
}

func (s *readResults) measures() []Measure {
	return []Measure{
		measure("servedOfServable", ratio(s.served, s.couldServe)),
		measure("byReplica", ratio(s.byReplica, s.reads)),
		measure("staleReads", float64(s.stale)),
		measure("needlessCrossings", float64(s.crossed)),
		measure("redirected", ratio(s.wasted, s.reads)),
		measure("refused", ratio(s.refused, s.reads)),
		measure("p50Ms", milliseconds(s.latencies, 50)),
		measure("p99Ms", milliseconds(s.latencies, 99)),
	}
}

// noEstimate makes a home refuse each read that its replica cannot serve now.
func noEstimate(*replicaRun, *replicaMember, uint64) (time.Duration, bool) {
	return 0, false
}

// ageEstimate takes the bound of the data's age as the time to catch up.
func ageEstimate(r *replicaRun, m *replicaMember, _ uint64) (time.Duration, bool) {
	return m.samples.Age(r.now, at(m.seen))
}

// meanEstimate takes the mean of the member's recent delays, as the proxy does.
func meanEstimate(_ *replicaRun, m *replicaMember, _ uint64) (time.Duration, bool) {
	return m.catchUp, m.catchUpKnown
}

// passedEstimate takes off the time since the home saw the position at the
// primary.
func passedEstimate(r *replicaRun, m *replicaMember, index uint64) (time.Duration, bool) {
	passed, _ := m.trail.Age(r.now, at(index))
	return max(m.catchUp-passed, 0), m.catchUpKnown
}

// routeRandom takes any replica, whatever its region, and then the primary.
func routeRandom(r *replicaRun, t *try) int {
	if len(t.excluded) > 0 {
		return 0
	}
	return 1 + r.random.IntN(len(r.members)-1)
}

// routeByView asks decision/routing with the entry's view.
func routeByView(r *replicaRun, t *try) int {
	route := routing.RouteRead(routing.ReadInput{
		View:                 r.entryView(t.entry.Name),
		Endpoints:            r.sites,
		DataCentre:           t.entry.DataCentre,
		Region:               t.entry.Region,
		FreshnessRequirement: t.freshness,
		Excluded:             t.excluded,
	})
	if to, ok := route.(routing.SendTo); ok {
		for i, m := range r.members {
			if m.site.ID == to.Endpoint {
				return i
			}
		}
	}
	return 0
}
