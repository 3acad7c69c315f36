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
	// settleLimit bounds the search for a write that was lost with its home: a
	// home that was killed is replaced within 1.5 s, a primary within 2 s.
	settleLimit = 2 * time.Second
	// settleInterval between two look-ups.
	settleInterval = 50 * time.Millisecond
)

// settle looks for a write whose home was lost before it answered. A write that
// the primary's log shows as durable is done; any other stays unknown, because
// the lost home may have sent it and a copy may still be on its way.
func (c *Caller) settle(ctx context.Context, r *request, database string, result *peerv1.ForwardResult, send peer.SendRows) *peerv1.ForwardResult {
	refused := peer.DecodeRefusal(result)
	if refused == nil || refused.Outcome != refusal.Unknown || refused.Reason != refusal.ConnectionLost {
		return result
	}
	ctx, cancel := timer.WithTimeout(ctx, c.config.Timer, settleLimit)
	defer cancel()
	for timer.Sleep(ctx, c.config.Timer, settleInterval) == nil {
		found := c.lookUp(ctx, r, database, send)
		if found.GetOutcome() == callerv1.Outcome_OUTCOME_DONE {
			return found
		}
	}
	return result
}

// lookUp asks the home of the primary once what became of the request.
func (c *Caller) lookUp(ctx context.Context, r *request, database string, send peer.SendRows) *peerv1.ForwardResult {
	d := &dispatch{
		request:  r,
		database: database,
		forward:  r.forwardRequest(database, endpointv1.Verb_VERB_UNSPECIFIED),
		send:     send,
	}
	d.forward.LookUpOutcome = true
	return c.run(ctx, d)
}
