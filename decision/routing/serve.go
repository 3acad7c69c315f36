package routing

import (
	"time"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/refusal"
)

// Serving is what the home of an endpoint does with a read.
type Serving interface{ serveDecision() }

// ServeNow means that the home runs the read at once.
type ServeNow struct{}

// WaitFor means that the home runs the read once the endpoint has reached the position,
// and refuses it with the reason replicaBehind if that takes longer than Limit.
type WaitFor struct {
	Position logpos.Position
	Limit    time.Duration
}

// RefuseRead means that the home refuses the read without running it.
type RefuseRead struct {
	Reason refusal.Reason
}

func (ServeNow) serveDecision()   {}
func (WaitFor) serveDecision()    {}
func (RefuseRead) serveDecision() {}

// ServeInput is the input of ServeRead. View is the view of the home itself.
type ServeInput struct {
	View DatabaseView
	Site Site
	// Primary is the endpoint of the view's primary; zero if there is none.
	Primary Site
	Freshness
	// PrimaryConfirmed tells whether another member confirmed the primary's term within
	// the failure detection timeout.
	PrimaryConfirmed bool
	// CatchUp is the expected time until the endpoint reaches the required position, if
	// CatchUpKnown.
	CatchUp      time.Duration
	CatchUpKnown bool
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration
}

// ServeRead decides what the home of an endpoint does with a read.
func ServeRead(in ServeInput) Serving {
	if in.Site.Leaving {
		return RefuseRead{Reason: refusal.EndpointLeaving}
	}
	if in.View.Primary == in.Site.Endpoint {
		return serveAtPrimary(in)
	}
	if !in.AllowsReplica() {
		return RefuseRead{Reason: refusal.NotPrimary}
	}
	member, ok := in.View.Member(in.Site.Endpoint)
	if !ok || !member.Reachable {
		return RefuseRead{Reason: refusal.Unreachable}
	}
	if in.HasMaxAge && (!member.AgeKnown || member.Age > in.MaxAge) {
		return RefuseRead{Reason: refusal.ReplicaBehind}
	}
	if !in.HasRequired || member.Last.Covers(in.Required) {
		return ServeNow{}
	}
	return waitOrRefuse(in)
}

// serveAtPrimary refuses the read if the endpoint may have been replaced as the
// primary: no other member confirms its term, or the session has seen a newer term.
func serveAtPrimary(in ServeInput) Serving {
	if !in.PrimaryConfirmed {
		return RefuseRead{Reason: refusal.NotPrimary}
	}
	if in.HasRequired && in.Required.Term > in.View.Term {
		return RefuseRead{Reason: refusal.NotPrimary}
	}
	return ServeNow{}
}

// waitOrRefuse waits if the replica is expected to catch up sooner than the primary
// would serve the read. The age of the replica's data is not used as an estimate of the
// catch-up time, because it also grows between samples and while the primary writes
// nothing.
func waitOrRefuse(in ServeInput) Serving {
	primaryLatency := primaryReadLatency(in)
	if !in.CatchUpKnown || in.CatchUp > primaryLatency || in.CatchUp >= in.Remaining {
		return RefuseRead{Reason: refusal.ReplicaBehind}
	}
	return WaitFor{
		Position: in.Required,
		Limit:    min(primaryLatency, in.Remaining),
	}
}

// primaryReadLatency estimates the time of a read at the primary: the round trip to the
// primary and the wait in its queue.
func primaryReadLatency(in ServeInput) time.Duration {
	latency := 2 * max(dataCentreLatency, networkLatency(in.Site.DataCentre, in.Site.Region, in.Primary.DataCentre, in.Primary.Region))
	if primary, ok := in.View.Member(in.View.Primary); ok {
		latency += primary.QueueWait
	}
	return latency
}
