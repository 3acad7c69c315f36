package routing

import (
	"time"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/refusal"
)

// dataCentreLatency and regionLatency are the one-way latencies on the users' networks
// between two data centres of a region and between two regions.
const (
	dataCentreLatency = time.Millisecond
	regionLatency     = 20 * time.Millisecond
)

// DeclaredEndpoint is an endpoint as declared in the configuration.
type DeclaredEndpoint struct {
	ID         string
	DataCentre string
	Region     string
	// Leaving endpoints get no new statements.
	Leaving bool
}

// FreshnessRequirement is how recent the data must be that a read sees. A read that
// requires neither a position nor a maximum age is served by the primary only.
type FreshnessRequirement struct {
	// RequiredPosition is the log position that the data must include, if
	// HasRequiredPosition.
	RequiredPosition    logpos.Position
	HasRequiredPosition bool
	// MaxAge is the maximum age of the data, if HasMaxAge.
	MaxAge    time.Duration
	HasMaxAge bool
}

// AllowsReplica reports whether a replica may serve the read.
func (f FreshnessRequirement) AllowsReplica() bool {
	return f.HasRequiredPosition || f.HasMaxAge
}

// Route is where the entry VM, which received a statement from its caller, sends it.
type Route interface{ route() }

// SendTo is a Route to the home of an endpoint.
type SendTo struct {
	Endpoint string
	Role     Role
}

// NoRoute means that no endpoint can serve the statement at present.
type NoRoute struct {
	Reason refusal.Reason
}

func (SendTo) route()  {}
func (NoRoute) route() {}

// ReadInput is the input of RouteRead.
type ReadInput struct {
	View      DatabaseView
	Endpoints []DeclaredEndpoint
	// DataCentre and Region are the location of the entry VM.
	DataCentre string
	Region     string
	FreshnessRequirement
	// ExcludedEndpoints contains the endpoints that have already refused this read.
	ExcludedEndpoints map[string]bool
}

// RouteRead returns the route of a read: the eligible replica with the lowest cost in
// the entry VM's region, else the primary, else, if no primary can be used, a replica
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
	primaryRoute := RouteWrite(in.View, in.Endpoints)
	if _, ok := primaryRoute.(SendTo); ok || !in.AllowsReplica() {
		return primaryRoute
	}
	if endpoint, ok := bestReplica(in, false); ok {
		return SendTo{
			Endpoint: endpoint,
			Role:     RoleReplica,
		}
	}
	return primaryRoute
}

// RouteWrite returns the route of a write or of the first step of a transaction, which
// is the primary.
func RouteWrite(view DatabaseView, endpoints []DeclaredEndpoint) Route {
	if view.Primary == "" {
		return NoRoute{Reason: refusal.NoPrimary}
	}
	for _, declared := range endpoints {
		if declared.ID != view.Primary {
			continue
		}
		if declared.Leaving {
			return NoRoute{Reason: refusal.EndpointLeaving}
		}
		return SendTo{
			Endpoint: declared.ID,
			Role:     RolePrimary,
		}
	}
	return NoRoute{Reason: refusal.NoPrimary}
}

// bestReplica returns the eligible replica with the lowest cost, either in the entry
// VM's region or outside of it.
func bestReplica(in ReadInput, sameRegion bool) (string, bool) {
	best, found, lowestCost := "", false, time.Duration(0)
	for _, declared := range in.Endpoints {
		if declared.ID == in.View.Primary || sameRegion != (declared.Region == in.Region) {
			continue
		}
		member, exclusion := replicaExclusion(declared, in)
		if exclusion != "" {
			continue
		}
		cost := replicaCost(member, declared, in)
		if !found || cost < lowestCost {
			best, found, lowestCost = declared.ID, true, cost
		}
	}
	return best, found
}

// replicaExclusion returns the view of a replica and why the replica cannot serve a
// read; an empty Exclusion if it may be able to. It leaves the check of the position to
// the home, which knows it exactly: the entry VM's view is delayed, and the replica may
// have caught up since.
func replicaExclusion(declared DeclaredEndpoint, in ReadInput) (MemberView, Exclusion) {
	member, ok := in.View.Member(declared.ID)
	switch {
	case declared.Leaving:
		return member, Draining
	case in.ExcludedEndpoints[declared.ID]:
		return member, RefusedByHome
	case !ok || !member.Reachable:
		return member, Down
	case in.HasMaxAge && member.AgeKnown && member.Age > in.MaxAge:
		return member, TooOld
	default:
		return member, ""
	}
}

// replicaCost estimates the time of a read at a replica, which includes catching up if
// the replica is not known to have the required position.
func replicaCost(member MemberView, declared DeclaredEndpoint, in ReadInput) time.Duration {
	cost := member.QueueWait + networkLatency(declared.DataCentre, declared.Region, in.DataCentre, in.Region)
	if in.HasRequiredPosition && !member.LastPosition.Covers(in.RequiredPosition) {
		cost += networkLatency(declared.DataCentre, declared.Region, in.DataCentre, in.Region) + dataCentreLatency
		if member.AgeKnown {
			cost += member.Age
		}
	}
	return cost
}

// networkLatency returns the one-way latency between two locations.
func networkLatency(dataCentre, region, otherDataCentre, otherRegion string) time.Duration {
	switch {
	case region != otherRegion:
		return regionLatency
	case dataCentre != otherDataCentre:
		return dataCentreLatency
	default:
		return 0
	}
}
