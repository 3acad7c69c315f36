package view

import (
	"time"

	"amaranthdock.dev/decision/slowstart"
	"amaranthdock.dev/engine/catalog"
)

// recordColdness records how long a new report says that its endpoint stays slow. Each report
// of a process gives an upper bound, because it arrives after it was written; the lowest one
// applies.
func (s *endpointState) recordColdness(previous, current catalog.Endpoint, now time.Duration) {
	until := now + current.ColdFor
	switch {
	case previous.Key == current.Key && previous.ColdFor > 0:
		s.coldUntil = min(s.coldUntil, until)
	case current.ColdFor > 0:
		s.coldUntil = until
	}
}

// recordBudgetWait records how long, according to its home, a cold endpoint takes no statements.
func (s *endpointState) recordBudgetWait(now time.Time, wait time.Duration) {
	if wait > 0 {
		s.budgetSpentUntil = now.Add(wait)
	}
}

// budgetPenalty returns the cost of a read at a cold endpoint that takes no statements now.
func (s *endpointState) budgetPenalty(now time.Time) time.Duration {
	return max(s.budgetSpentUntil.Sub(now), 0)
}

// Coldness returns what this VM knows about an endpoint that is or was cold.
func (v *View) Coldness(endpoint catalog.Endpoint) slowstart.Coldness {
	c := v.configuration.Load()
	if c == nil || c.Databases[endpoint.Database].ColdRate <= 0 {
		return slowstart.Coldness{}
	}
	v.mu.Lock()
	coldness := slowstart.Coldness{
		Rate:  c.Databases[endpoint.Database].ColdRate,
		Until: v.database(endpoint.Database).endpoint(endpoint.Key).coldUntil,
	}
	v.mu.Unlock()
	if coldness.Limited(v.config.Timer.SinceBoot()) {
		coldness.Share = v.coldHomeShare(endpoint)
	}
	return coldness
}

// coldHomeShare returns the part of a home's allowance that this VM may use at a cold endpoint.
// Only the first two VMs of the ranking can be its home. VMs that are cut off from many others
// could otherwise all take themselves for the first one that is reachable. A VM that is leaving
// is none: the other VMs have left it out of their rankings, but its own still holds it.
func (v *View) coldHomeShare(endpoint catalog.Endpoint) float64 {
	if v.config.Leaving != nil && v.config.Leaving() {
		return 0
	}
	ranked := v.rankedHomes(endpoint)
	switch self := v.config.Self.Name; {
	case ranked[0].Name == self && v.IsAvailable(ranked[0]):
		return 1
	case len(ranked) > 1 && ranked[1].Name == self && v.isHomeLost(endpoint, ranked[0]):
		return slowstart.SecondHomeShare
	default:
		return 0
	}
}

// isHomeLost reports whether the first home of an endpoint has become unavailable and has not
// responded since. A VM counts as unreachable only until the next attempt to connect, so that
// its successor would otherwise change between having a budget and having none.
func (v *View) isHomeLost(endpoint catalog.Endpoint, home catalog.VM) bool {
	available := v.IsAvailable(home)
	v.mu.Lock()
	defer v.mu.Unlock()
	state := v.database(endpoint.Database).endpoint(endpoint.Key)
	if !available {
		state.lostHome = home.Name
		state.lostHomeAt = v.config.Timer.SinceBoot()
	}
	return state.lostHome == home.Name && v.lastContact[home.Name] <= state.lostHomeAt
}
