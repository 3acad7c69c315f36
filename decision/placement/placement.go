// Package placement decides at which endpoint of a database a read runs.
package placement

import (
	"time"

	"amaranthdock.dev/decision/logpos"
)

const (
	// sameRegionTrip and otherRegionTrip are the trips there and back.
	sameRegionTrip  = 2 * time.Millisecond
	otherRegionTrip = 40 * time.Millisecond
	// linkCost is the wait that a read accepts in its own region to spare the link
	// between regions, which is billed by volume.
	linkCost = 60 * time.Millisecond
	// primaryCost is the wait that a read accepts at a replica to leave the slots of
	// the primary to writes.
	primaryCost = 15 * time.Millisecond
	// waitHalfLife of a reported wait, about the time in which a queue turns over.
	waitHalfLife = 100 * time.Millisecond
	// behindPause after an endpoint lacked a position, before it is tried again for
	// a position that is not known to be there.
	behindPause = 150 * time.Millisecond
)

// Candidate is an endpoint as the VM of the caller knows it.
type Candidate struct {
	ID         string
	DataCentre string
	Region     string
	Primary    bool
	Slots      int
	// InFlight is how many statements of this VM are at the endpoint.
	InFlight int
	// ServiceTime is the mean time of a statement.
	ServiceTime time.Duration
	// ReportedWait for a slot, ReportAge ago.
	ReportedWait time.Duration
	ReportAge    time.Duration
	// Position that the endpoint is known to hold.
	Position logpos.Position
	// MissingPosition is a position that the endpoint did not hold LackedAge ago; zero if
	// there was none.
	MissingPosition    logpos.Position
	MissingPositionAge time.Duration
}

// Location is where the read comes from.
type Location struct {
	DataCentre string
	Region     string
}

// Choose returns the candidate with the smallest cost, in time and in what it takes
// from others, and false if none is expected to hold the required position.
func Choose(from Location, required logpos.Position, candidates []Candidate) (string, bool) {
	best := ""
	var least time.Duration
	for i := range candidates {
		c := &candidates[i]
		if !mayHold(c, required) {
			continue
		}
		if cost := costOf(from, c); best == "" || cost < least || (cost == least && c.ID < best) {
			best, least = c.ID, cost
		}
	}
	return best, best != ""
}

// mayHold tells whether the endpoint holds the position, or may have caught up since
// it lacked one.
func mayHold(c *Candidate, required logpos.Position) bool {
	if required.IsZero() || c.Position.Covers(required) {
		return true
	}
	if c.MissingPosition.IsZero() || c.MissingPositionAge >= behindPause {
		return true
	}
	return c.MissingPosition.Compare(required) > 0
}

func costOf(from Location, c *Candidate) time.Duration {
	cost := c.ReportedWait
	for age := c.ReportAge; age >= waitHalfLife && cost > 0; age -= waitHalfLife {
		cost /= 2
	}
	cost += c.ServiceTime * time.Duration(c.InFlight) / time.Duration(max(c.Slots, 1))
	switch {
	case c.Region != from.Region:
		cost += otherRegionTrip + linkCost
	case c.DataCentre != from.DataCentre:
		cost += sameRegionTrip
	}
	if c.Primary {
		cost += primaryCost
	}
	return cost
}
