// Package placement decides which endpoint of a database runs a read.
package placement

import (
	"time"

	"amaranthdock.dev/decision/logpos"
)

const (
	// sameRegionRTT and crossRegionRTT are the round-trip times to another data centre of
	// the region and to another region.
	sameRegionRTT  = 2 * time.Millisecond
	crossRegionRTT = 40 * time.Millisecond
	// crossRegionPenalty is how much longer a read may wait in its own region before it
	// goes to another one, because the link between regions is billed by volume.
	crossRegionPenalty = 60 * time.Millisecond
	// primaryPenalty is how much longer a read may wait at a replica before it goes to the
	// primary, whose slots are meant for writes.
	primaryPenalty = 15 * time.Millisecond
	// reportedWaitHalfLife is the time in which the estimate from a reported wait halves.
	// It is about the time in which the content of a queue is replaced.
	reportedWaitHalfLife = 100 * time.Millisecond
	// behindRetryDelay is how long an endpoint that had not reached a position is avoided
	// by reads that require this or a later position.
	behindRetryDelay = 150 * time.Millisecond
)

// Candidate is an endpoint, with what the VM that received the read knows about it.
type Candidate struct {
	ID         string
	DataCentre string
	Region     string
	Primary    bool
	// Slots is how many statements the endpoint runs at the same time.
	Slots int
	// Capacity is how many statements the endpoint runs well at the same time, as its home has
	// learned; 0 if that is not known, and Slots applies.
	Capacity int
	// Penalty is added to the cost of the endpoint.
	Penalty time.Duration
	// InFlight is how many statements of this VM are queued or running at the endpoint.
	InFlight int
	// ServiceTime is the mean time in which the endpoint runs a statement.
	ServiceTime time.Duration
	// ReportedWait is the wait for a slot, as reported ReportAge ago.
	ReportedWait time.Duration
	ReportAge    time.Duration
	// Position is the latest log position that the endpoint is known to have reached.
	Position logpos.Position
	// MissingPosition is a position that the endpoint had not reached MissingPositionAge
	// ago; zero if there is none.
	MissingPosition    logpos.Position
	MissingPositionAge time.Duration
}

// Location is where the VM that received the read runs.
type Location struct {
	DataCentre string
	Region     string
}

// Choose returns the ID of the candidate with the lowest estimated cost, which is the
// expected time plus penalties for the use of shared resources. It returns false if no
// candidate is expected to have reached the required position.
func Choose(from Location, required logpos.Position, candidates []Candidate) (string, bool) {
	best := ""
	var lowestCost time.Duration
	for i := range candidates {
		c := &candidates[i]
		if !mayHavePosition(c, required) {
			continue
		}
		if cost := estimateCost(from, c); best == "" || cost < lowestCost || (cost == lowestCost && c.ID < best) {
			best, lowestCost = c.ID, cost
		}
	}
	return best, best != ""
}

// mayHavePosition reports whether the endpoint may have reached the required position. It
// returns false only if the endpoint recently had not reached that or an earlier one.
func mayHavePosition(c *Candidate, required logpos.Position) bool {
	if required.IsZero() || c.Position.Covers(required) {
		return true
	}
	if c.MissingPosition.IsZero() || c.MissingPositionAge >= behindRetryDelay {
		return true
	}
	return c.MissingPosition.Compare(required) > 0
}

// estimateCost returns the expected wait and round-trip time of a read, plus the penalties.
func estimateCost(from Location, c *Candidate) time.Duration {
	cost := halved(c.ReportedWait, c.ReportAge, reportedWaitHalfLife)
	capacity := c.Slots
	if c.Capacity > 0 {
		capacity = c.Capacity
	}
	cost += c.ServiceTime*time.Duration(c.InFlight)/time.Duration(max(capacity, 1)) + c.Penalty
	switch {
	case c.Region != from.Region:
		cost += crossRegionRTT + crossRegionPenalty
	case c.DataCentre != from.DataCentre:
		cost += sameRegionRTT
	}
	if c.Primary {
		cost += primaryPenalty
	}
	return cost
}
