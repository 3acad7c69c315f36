package routing

import (
	"time"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/refusal"
)

// ServeDecision says what the home of an endpoint does with a read.
type ServeDecision interface{ serving() }

// ServeNow runs the read now.
type ServeNow struct{}

// WaitForPosition runs the read once the endpoint holds the position, and refuses it as
// replicaBehind if that takes longer than Limit.
type WaitForPosition struct {
	Position logpos.Position
	Limit    time.Duration
}

// RefuseRead refuses the read as not run.
type RefuseRead struct {
	Reason refusal.Reason
}

func (ServeNow) serving()        {}
func (WaitForPosition) serving() {}
func (RefuseRead) serving()      {}

// ServeInput is what ServeRead decides on. View is the home's own.
type ServeInput struct {
	View     DatabaseView
	Endpoint DeclaredEndpoint
	// Primary is the site of the view's primary; zero if there is none.
	Primary DeclaredEndpoint
	FreshnessRequirement
	// PrimaryConfirmed tells that another member confirmed the primary's term
	// within the detection time.
	PrimaryConfirmed bool
	// CatchUp is the expected time until the endpoint reaches Required, if
	// CatchUpKnown.
	CatchUp      time.Duration
	CatchUpKnown bool
	// Remaining time until the deadline.
	Remaining time.Duration
}

// ServeRead decides at the home of an endpoint whether it serves a read now.
func ServeRead(in ServeInput) ServeDecision {
	if in.Endpoint.Leaving {
		return RefuseRead{Reason: refusal.EndpointLeaving}
	}
	if in.View.Primary == in.Endpoint.ID {
		return serveAtPrimary(in)
	}
	if !in.AllowsReplica() {
		return RefuseRead{Reason: refusal.NotPrimary}
	}
	member, ok := in.View.Member(in.Endpoint.ID)
	if !ok || !member.Reachable {
		return RefuseRead{Reason: refusal.Unreachable}
	}
	if in.HasMaxAge && (!member.AgeKnown || member.Age > in.MaxAge) {
		return RefuseRead{Reason: refusal.ReplicaBehind}
	}
	if !in.HasRequiredPosition || member.Last.Covers(in.RequiredPosition) {
		return ServeNow{}
	}
	return waitOrRefuse(in)
}

// serveAtPrimary refuses when the endpoint may have been replaced: no other member
// confirms its term, or the session has seen a newer one.
func serveAtPrimary(in ServeInput) ServeDecision {
	if !in.PrimaryConfirmed {
		return RefuseRead{Reason: refusal.NotPrimary}
	}
	if in.HasRequiredPosition && in.RequiredPosition.Term > in.View.Term {
		return RefuseRead{Reason: refusal.NotPrimary}
	}
	return ServeNow{}
}

// waitOrRefuse waits if catching up is expected to be shorter than the trip to
// the primary. The age of the replica's data is no estimate of it: the age grows
// between the samples and while the primary stands still.
func waitOrRefuse(in ServeInput) ServeDecision {
	trip := tripToPrimary(in)
	if !in.CatchUpKnown || in.CatchUp > trip || in.CatchUp >= in.Remaining {
		return RefuseRead{Reason: refusal.ReplicaBehind}
	}
	return WaitForPosition{
		Position: in.RequiredPosition,
		Limit:    min(trip, in.Remaining),
	}
}

func tripToPrimary(in ServeInput) time.Duration {
	trip := 2 * max(dataCentreDistance, distance(in.Endpoint.DataCentre, in.Endpoint.Region, in.Primary.DataCentre, in.Primary.Region))
	if primary, ok := in.View.Member(in.View.Primary); ok {
		trip += primary.QueueWait
	}
	return trip
}
