package routing

import (
	"time"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/refusal"
)

// ServeDecision is what the home of an endpoint does with a read.
type ServeDecision interface{ serveDecision() }

// ServeNow means that the home runs the read at once.
type ServeNow struct{}

// WaitForPosition means that the home runs the read once the endpoint has reached the
// position, and refuses it with the reason replicaBehind if that takes longer than
// Limit.
type WaitForPosition struct {
	Position logpos.Position
	Limit    time.Duration
}

// RefuseRead means that the home refuses the read without running it.
type RefuseRead struct {
	Reason refusal.Reason
}

func (ServeNow) serveDecision()        {}
func (WaitForPosition) serveDecision() {}
func (RefuseRead) serveDecision()      {}

// ServeInput is the input of ServeRead. View is the view of the home itself.
type ServeInput struct {
	View     DatabaseView
	Endpoint DeclaredEndpoint
	// Primary is the endpoint of the view's primary; zero if there is none.
	Primary DeclaredEndpoint
	FreshnessRequirement
	// PrimaryConfirmed is true if another member confirmed the primary's term within the
	// failure detection timeout.
	PrimaryConfirmed bool
	// CatchUp is the expected time until the endpoint reaches the required position, if
	// CatchUpKnown.
	CatchUp      time.Duration
	CatchUpKnown bool
	// UntilDeadline is the time until the deadline of the request.
	UntilDeadline time.Duration
}

// ServeRead decides what the home of an endpoint does with a read.
func ServeRead(in ServeInput) ServeDecision {
	decision, _ := ExplainServe(in)
	return decision
}

// ExplainServe returns the decision of ServeRead and, if it is RefuseRead, why the
// endpoint cannot serve the read.
func ExplainServe(in ServeInput) (ServeDecision, Exclusion) {
	if in.Endpoint.Leaving {
		return RefuseRead{Reason: refusal.EndpointLeaving}, Draining
	}
	if in.View.Primary == in.Endpoint.ID {
		return serveAtPrimary(in)
	}
	if !in.AllowsReplica() {
		return RefuseRead{Reason: refusal.NotPrimary}, PrimaryRequired
	}
	member, ok := in.View.Member(in.Endpoint.ID)
	if !ok || !member.Reachable {
		return RefuseRead{Reason: refusal.Unreachable}, Down
	}
	if in.HasMaxAge && (!member.AgeKnown || member.Age > in.MaxAge) {
		return RefuseRead{Reason: refusal.ReplicaBehind}, TooOld
	}
	if !in.HasRequiredPosition || member.LastPosition.Covers(in.RequiredPosition) {
		return ServeNow{}, ""
	}
	return waitOrRefuse(in)
}

// serveAtPrimary refuses the read if the endpoint may have been replaced as the
// primary: no other member confirms its term, or the session has seen a newer term.
func serveAtPrimary(in ServeInput) (ServeDecision, Exclusion) {
	if !in.PrimaryConfirmed {
		return RefuseRead{Reason: refusal.NotPrimary}, PrimaryNotConfirmed
	}
	if in.HasRequiredPosition && in.RequiredPosition.Term > in.View.Term {
		return RefuseRead{Reason: refusal.NotPrimary}, NotPrimary
	}
	return ServeNow{}, ""
}

// waitOrRefuse waits if the replica is expected to catch up sooner than the primary
// would serve the read. The age of the replica's data is not used as an estimate of the
// catch-up time, because it also grows between samples and while the primary writes
// nothing.
func waitOrRefuse(in ServeInput) (ServeDecision, Exclusion) {
	primaryLatency := primaryReadLatency(in)
	if !in.CatchUpKnown || in.CatchUp > primaryLatency || in.CatchUp >= in.UntilDeadline {
		return RefuseRead{Reason: refusal.ReplicaBehind}, BehindPosition
	}
	return WaitForPosition{
		Position: in.RequiredPosition,
		Limit:    min(primaryLatency, in.UntilDeadline),
	}, ""
}

// primaryReadLatency estimates the time of a read at the primary: the round trip to the
// primary and the wait in its queue.
func primaryReadLatency(in ServeInput) time.Duration {
	latency := 2 * max(dataCentreLatency, networkLatency(in.Endpoint.DataCentre, in.Endpoint.Region, in.Primary.DataCentre, in.Primary.Region))
	if primary, ok := in.View.Member(in.View.Primary); ok {
		latency += primary.QueueWait
	}
	return latency
}
