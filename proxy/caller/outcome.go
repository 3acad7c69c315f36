package caller

import (
	"context"
	"time"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/proxy/peer"
	"amaranthdock.dev/timer"
)

const (
	// outcomeTimeout is the timeout for finding a write whose home was lost. A killed
	// home is replaced within 1.5 s, a primary within 2 s.
	outcomeTimeout = 2 * time.Second
	// outcomeInterval is the interval between two look-ups.
	outcomeInterval = 50 * time.Millisecond
)

// resolveOutcome looks up the outcome of a write if the connection to its home was
// lost before the response. A write that is durable in the primary's log is done. The
// outcome of any other write stays unknown, because the lost home may have sent it
// and a copy of it may still be in flight.
func (c *Caller) resolveOutcome(ctx context.Context, r *request, database string, result *peerv1.ForwardResult, send peer.SendRows) *peerv1.ForwardResult {
	refused := peer.DecodeRefusal(result)
	if refused == nil || refused.Outcome != refusal.Unknown || refused.Reason != refusal.ConnectionLost {
		return result
	}
	ctx, cancel := timer.WithTimeout(ctx, c.config.Timer, outcomeTimeout)
	defer cancel()
	for timer.Sleep(ctx, c.config.Timer, outcomeInterval) == nil {
		found := c.lookUpOutcome(ctx, r, database, send)
		if found.GetOutcome() == callerv1.Outcome_OUTCOME_DONE {
			return found
		}
	}
	return result
}

// lookUpOutcome queries the home of the primary for the outcome of the request.
func (c *Caller) lookUpOutcome(ctx context.Context, r *request, database string, send peer.SendRows) *peerv1.ForwardResult {
	d := c.newStepDispatch(r, database, r.forwardRequest(database, endpointv1.Verb_VERB_UNSPECIFIED), send)
	d.forward.LookUpOutcome = true
	return c.run(ctx, d)
}
