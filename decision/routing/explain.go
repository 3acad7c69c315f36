package routing

import (
	"time"

	"amaranthdock.dev/decision/refusal"
)

// Exclusion is a stable camelCase identifier of why an endpoint does not serve a
// statement; empty if it does or may.
type Exclusion string

// The exclusions. RefusedByHome is used where the home gives no more exact one.
const (
	BehindPosition      Exclusion = "behindPosition"
	Down                Exclusion = "down"
	Draining            Exclusion = "draining"
	Farther             Exclusion = "farther"
	HigherCost          Exclusion = "higherCost"
	NotPrimary          Exclusion = "notPrimary"
	OverCapacity        Exclusion = "overCapacity"
	PrimaryNotConfirmed Exclusion = "primaryNotConfirmed"
	PrimaryRequired     Exclusion = "primaryRequired"
	RefusedByHome       Exclusion = "refusedByHome"
	ReplicaPreferred    Exclusion = "replicaPreferred"
	TooOld              Exclusion = "tooOld"
)

// ExclusionOf returns the exclusion that corresponds to the reason of a refusal by an
// endpoint's home.
func ExclusionOf(reason refusal.Reason) Exclusion {
	switch reason {
	case refusal.DeadlineTooShort, refusal.Overloaded, refusal.QueueTimeout:
		return OverCapacity
	case refusal.EndpointLeaving:
		return Draining
	case refusal.NotPrimary:
		return NotPrimary
	case refusal.ReplicaBehind:
		return BehindPosition
	case refusal.Unreachable:
		return Down
	default:
		return RefusedByHome
	}
}

// Verdict is why a route does not use an endpoint.
type Verdict struct {
	Endpoint string
	// Exclusion is empty if the route uses the endpoint.
	Exclusion Exclusion
	// Cost is the estimated time of a read at a replica, if CostKnown.
	Cost      time.Duration
	CostKnown bool
}

// ExplainRead returns the route of RouteRead and a verdict on each declared endpoint.
func ExplainRead(in ReadInput) (Route, []Verdict) {
	route := RouteRead(in)
	verdicts := make([]Verdict, 0, len(in.Endpoints))
	for _, declared := range in.Endpoints {
		verdicts = append(verdicts, readVerdict(declared, in, route))
	}
	return route, verdicts
}

// ExplainWrite returns the route of RouteWrite and a verdict on each declared endpoint.
func ExplainWrite(view DatabaseView, endpoints []DeclaredEndpoint) (Route, []Verdict) {
	verdicts := make([]Verdict, 0, len(endpoints))
	for _, declared := range endpoints {
		verdict := Verdict{Endpoint: declared.ID}
		switch {
		case declared.ID != view.Primary:
			verdict.Exclusion = NotPrimary
		case declared.Leaving:
			verdict.Exclusion = Draining
		}
		verdicts = append(verdicts, verdict)
	}
	return RouteWrite(view, endpoints), verdicts
}

// readVerdict returns the verdict on one endpoint under a route of RouteRead.
func readVerdict(declared DeclaredEndpoint, in ReadInput, route Route) Verdict {
	verdict := Verdict{Endpoint: declared.ID}
	to, _ := route.(SendTo)
	if declared.ID == in.View.Primary {
		switch {
		case declared.Leaving:
			verdict.Exclusion = Draining
		case to.Endpoint != declared.ID:
			verdict.Exclusion = ReplicaPreferred
		}
		return verdict
	}
	member, exclusion := replicaExclusion(declared, in)
	if exclusion != "" {
		verdict.Exclusion = exclusion
		return verdict
	}
	if !in.AllowsReplica() {
		verdict.Exclusion = PrimaryRequired
		return verdict
	}
	verdict.Cost, verdict.CostKnown = replicaCost(member, declared, in), true
	switch {
	case to.Endpoint == declared.ID:
	case declared.Region != in.Region:
		verdict.Exclusion = Farther
	default:
		verdict.Exclusion = HigherCost
	}
	return verdict
}
