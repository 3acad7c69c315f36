package bench

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"amaranthdock.dev/decision/routing"
)

const (
	// sessionCount sessions pause for thinkTime on average between two requests.
	sessionCount = 40
	thinkTime    = 100 * time.Millisecond
	// writeShare is the probability that the request after thinkTime is a write.
	writeShare = 0.15
	// readAfterWriteTime is the mean pause between a write and the read that follows it.
	readAfterWriteTime = 2 * time.Millisecond
	// warmUpTime is not counted, because the home VMs have no samples yet.
	warmUpTime = time.Second
)

// readChoice is one way to choose the member that serves a read.
type readChoice struct {
	name        string
	usedByProxy bool
	// route returns the index of the member that a read is sent to.
	route func(r *replicaRun, request *readRequest) int
	// catchUp is the home VM's estimate of the time until a replica reaches a position.
	catchUp func(r *replicaRun, m *databaseMember, index uint64) (time.Duration, bool)
}

// readCase is one scenario. If maxAge is 0, the reads use a session token.
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
		{name: "always the primary", route: func(*replicaRun, *readRequest) int { return 0 }, catchUp: noEstimate},
		{name: "random replica with redirect", route: routeRandom, catchUp: noEstimate},
		{name: "routing, age as catch-up", route: routeByView, catchUp: ageEstimate},
		{name: "routing", usedByProxy: true, route: routeByView, catchUp: meanEstimate},
		{name: "routing, mean less the time passed", route: routeByView, catchUp: remainingEstimate},
	}
}

// readResults holds the counts and the latencies of one run.
type readResults struct {
	reads, byReplica                              int
	servable, servedServable                      int
	stale, needlessCrossings, refused, redirected int
	latencies                                     *hdrhistogram.Histogram
}

// measureReplicaReads compares the ways to choose the member that serves a read.
func measureReplicaReads(config Config) []Result {
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
					Section:     "routing",
					Scenario:    c.String(),
					Choice:      choice.name,
					UsedByProxy: choice.usedByProxy,
					Measures:    r.results.measures(),
				})
			}
		}
	}
	return results
}

func (s *readResults) measures() []Measure {
	return []Measure{
		newMeasure("servedOfServable", ratio(s.servedServable, s.servable)),
		newMeasure("byReplica", ratio(s.byReplica, s.reads)),
		newMeasure("staleReads", float64(s.stale)),
		newMeasure("needlessCrossings", float64(s.needlessCrossings)),
		newMeasure("redirected", ratio(s.redirected, s.reads)),
		newMeasure("refused", ratio(s.refused, s.reads)),
		newMeasure("p50Ms", milliseconds(s.latencies, 50)),
		newMeasure("p99Ms", milliseconds(s.latencies, 99)),
	}
}

// noEstimate gives no estimate, so a home VM redirects each read that its replica cannot
// serve at once.
func noEstimate(*replicaRun, *databaseMember, uint64) (time.Duration, bool) {
	return 0, false
}

// ageEstimate uses the age of the replica's data as the time to catch up.
func ageEstimate(r *replicaRun, m *databaseMember, _ uint64) (time.Duration, bool) {
	return m.primarySamples.Age(r.now, positionAt(m.knownIndex))
}

// meanEstimate uses the moving average of the replica's recent delays, as the proxy does.
func meanEstimate(_ *replicaRun, m *databaseMember, _ uint64) (time.Duration, bool) {
	return m.meanCatchUp, m.catchUpKnown
}

// remainingEstimate is meanEstimate less the time since the home VM saw the position at
// the primary.
func remainingEstimate(r *replicaRun, m *databaseMember, index uint64) (time.Duration, bool) {
	elapsed, _ := m.primaryHistory.Age(r.now, positionAt(index))
	return max(m.meanCatchUp-elapsed, 0), m.catchUpKnown
}

// routeRandom chooses a random replica in any region, and the primary after a redirect.
func routeRandom(r *replicaRun, request *readRequest) int {
	if len(request.excluded) > 0 {
		return 0
	}
	return 1 + r.random.IntN(len(r.members)-1)
}

// routeByView lets decision/routing choose, based on the receiving VM's cached view.
func routeByView(r *replicaRun, request *readRequest) int {
	decision := routing.RouteRead(routing.ReadInput{
		View:                 r.entryView(request.entry.Name),
		Endpoints:            r.declaredEndpoints,
		DataCentre:           request.entry.DataCentre,
		Region:               request.entry.Region,
		FreshnessRequirement: request.freshness,
		ExcludedEndpoints:    request.excluded,
	})
	if to, ok := decision.(routing.SendTo); ok {
		for i, m := range r.members {
			if m.endpoint.ID == to.Endpoint {
				return i
			}
		}
	}
	return 0
}
