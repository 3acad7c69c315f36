package routing

import (
	"time"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/refusal"
)

// dataCentreDistance is the one-way latency between two data centres of a region, and
// regionDistance that between regions, as measured on the users' networks.
const (
	dataCentreDistance = time.Millisecond
	regionDistance     = 20 * time.Millisecond
)

// DeclaredEndpoint is an endpoint as the configuration declares it.
type DeclaredEndpoint struct {
	ID         string
	DataCentre string
	Region     string
	// Leaving endpoints get no new work.
	Leaving bool
}

// FreshnessRequirement is what a read requires of the data. A read that requires neither a
// position nor an age is served by the primary only.
type FreshnessRequirement struct {
	// RequiredPosition position, if HasRequired.
	RequiredPosition    logpos.Position
	HasRequiredPosition bool
	// MaxAge of the data, if HasMaxAge.
	MaxAge    time.Duration
	HasMaxAge bool
}

// AllowsReplica tells whether a replica may serve the read.
func (f FreshnessRequirement) AllowsReplica() bool {
	return f.HasRequiredPosition || f.HasMaxAge
}

// Route says where the entry sends a statement.
type Route interface{ route() }

// SendTo is a Route to the home of an endpoint.
type SendTo struct {
	Endpoint string
	Role     Role
}

// NoRoute is a Route to nowhere at present.
type NoRoute struct {
	Reason refusal.Reason
}

func (SendTo) route()  {}
func (NoRoute) route() {}

// ReadInput is what RouteRead decides on.
type ReadInput struct {
	View       DatabaseView
	Endpoints  []DeclaredEndpoint
	DataCentre string
	Region     string
	FreshnessRequirement
	// Excluded endpoints have refused this read already.
	Excluded map[string]bool
}

// RouteRead sends a read to the best replica of the entry's region that may be
// eligible, else to the primary, else, when no primary can be used, to a replica
// of another region.
func RouteRead(in ReadInput) Route {
	if in.AllowsReplica() {
		if endpoint, ok := bestReplica(in, true); ok {
			return SendTo{
				Endpoint: endpoint,
				Role:     RoleReplica,
			}
		}
	}
	primary := RouteWrite(in.View, in.Endpoints)
	if _, ok := primary.(SendTo); ok || !in.AllowsReplica() {
		return primary
	}
	if endpoint, ok := bestReplica(in, false); ok {
		return SendTo{
			Endpoint: endpoint,
			Role:     RoleReplica,
		}
	}
	return primary
}

// RouteWrite sends a write, or the first step of a transaction, to the primary.
func RouteWrite(view DatabaseView, sites []DeclaredEndpoint) Route {
	if view.Primary == "" {
		return NoRoute{Reason: refusal.NoPrimary}
	}
	for _, s := range sites {
		if s.ID != view.Primary {
			continue
		}
		if s.Leaving {
			return NoRoute{Reason: refusal.EndpointLeaving}
		}
		return SendTo{
			Endpoint: s.ID,
			Role:     RolePrimary,
		}
	}
	return NoRoute{Reason: refusal.NoPrimary}
}

func bestReplica(in ReadInput, sameRegion bool) (string, bool) {
	best, found, lowest := "", false, time.Duration(0)
	for _, s := range in.Endpoints {
		if s.Leaving || in.Excluded[s.ID] || s.ID == in.View.Primary {
			continue
		}
		if sameRegion != (s.Region == in.Region) {
			continue
		}
		member, ok := in.View.Member(s.ID)
		if !ok || !mayServe(member, in.FreshnessRequirement) {
			continue
		}
		cost := replicaCost(member, s, in)
		if !found || cost < lowest {
			best, found, lowest = s.ID, true, cost
		}
	}
	return best, found
}

// mayServe leaves the position to the home, which knows it exactly: the entry's
// view is late, and the replica may have caught up.
func mayServe(member MemberView, f FreshnessRequirement) bool {
	if !member.Reachable {
		return false
	}
	return !f.HasMaxAge || !member.AgeKnown || member.Age <= f.MaxAge
}

func replicaCost(member MemberView, s DeclaredEndpoint, in ReadInput) time.Duration {
	cost := member.QueueWait + distance(s.DataCentre, s.Region, in.DataCentre, in.Region)
	if in.HasRequiredPosition && !member.Last.Covers(in.RequiredPosition) {
		cost += distance(s.DataCentre, s.Region, in.DataCentre, in.Region) + dataCentreDistance
		if member.AgeKnown {
			cost += member.Age
		}
	}
	return cost
}

func distance(dataCentre, region, otherDataCentre, otherRegion string) time.Duration {
	switch {
	case region != otherRegion:
		return regionDistance
	case dataCentre != otherDataCentre:
		return dataCentreDistance
	default:
		return 0
	}
}
