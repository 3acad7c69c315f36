package endpoint

import (
	"context"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/proxy/failover"
	"amaranthdock.dev/proxy/peer"
)

// lookUpOutcome tells what became of a write. Absent is unknown, because a copy
// of the write may still be on its way.
func (h *Home) lookUpOutcome(ctx context.Context, s *step) (*peerv1.ForwardResult, []*callerv1.Row, error) {
	view, ok := h.config.Observer.View(s.GetDatabase())
	if !ok || view.Primary != s.GetEndpoint() {
		return nil, nil, refusal.NewNotRun(refusal.NotPrimary, "the endpoint is not the primary")
	}
	found := h.config.Observer.LookUpOutcome(ctx, s.GetDatabase(), s.GetRequestId())
	if found.Outcome != refusal.Done {
		return nil, nil, refusal.NewUnknown(refusal.OutcomeNotKnown, "the log of the primary does not show the request as durable")
	}
	result, rows := recorded(found)
	return result, rows, nil
}

// settle finds out what became of a write that was sent and whose end is unknown.
// It returns the error as it was if there is no proof before the deadline.
func (h *Home) settle(ctx context.Context, s *step, sentTerm uint64, err error) (*peerv1.ForwardResult, []*callerv1.Row, error) {
	refused, ok := refusal.As(err)
	if !ok || refused.Outcome != refusal.Unknown || sentTerm == 0 {
		return nil, nil, err
	}
	found := h.config.Observer.Resolve(ctx, s.GetDatabase(), s.GetRequestId(), sentTerm)
	switch found.Outcome {
	case refusal.Done:
		result, rows := recorded(found)
		return result, rows, nil
	case refusal.NotRun:
		return nil, nil, refusal.NewNotRun(refusal.NotPrimary, "the primary was replaced, and the write is not in the log")
	default:
		return nil, nil, err
	}
}

// recorded returns the answer of a write from its record.
func recorded(found failover.Resolution) (*peerv1.ForwardResult, []*callerv1.Row) {
	return &peerv1.ForwardResult{
		Outcome:      callerv1.Outcome_OUTCOME_DONE,
		RowsAffected: found.RowsAffected,
		Position:     peer.EncodePosition(found.Position),
	}, found.Rows
}
