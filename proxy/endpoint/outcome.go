package endpoint

import (
	"context"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/proxy/failover"
	"amaranthdock.dev/proxy/peer"
)

// lookUpOutcome looks up the outcome of a write in the primary's log. If the log does
// not contain the write, its outcome is unknown, because a copy of it may still be
// in flight.
func (h *Home) lookUpOutcome(ctx context.Context, s *step) (*peerv1.ForwardResult, []*callerv1.Row, error) {
	view, ok := h.config.Observer.View(s.GetDatabase())
	if !ok || view.Primary != s.GetEndpoint() {
		return nil, nil, refusal.NewNotRun(refusal.NotPrimary, "the endpoint is not the primary")
	}
	found := h.config.Observer.LookUpOutcome(ctx, s.GetDatabase(), s.GetRequestId())
	if found.Outcome != refusal.Done {
		return nil, nil, refusal.NewUnknown(refusal.OutcomeNotKnown, "the log of the primary does not show the request as durable")
	}
	result, rows := recordedResult(found)
	return result, rows, nil
}

// resolveOutcome resolves the outcome of a write that was sent and failed with an
// unknown outcome. It returns the error unchanged if the outcome cannot be proved
// before the deadline.
func (h *Home) resolveOutcome(ctx context.Context, s *step, sentTerm uint64, err error) (*peerv1.ForwardResult, []*callerv1.Row, error) {
	refused, ok := refusal.As(err)
	if !ok || refused.Outcome != refusal.Unknown || sentTerm == 0 {
		return nil, nil, err
	}
	found := h.config.Observer.Resolve(ctx, s.GetDatabase(), s.GetRequestId(), sentTerm)
	switch found.Outcome {
	case refusal.Done:
		result, rows := recordedResult(found)
		return result, rows, nil
	case refusal.NotRun:
		return nil, nil, refusal.NewNotRun(refusal.NotPrimary, "the primary was replaced, and the write is not in the log")
	default:
		return nil, nil, err
	}
}

// recordedResult returns the result and rows of a write as recorded in the primary's
// log.
func recordedResult(found failover.Resolution) (*peerv1.ForwardResult, []*callerv1.Row) {
	return &peerv1.ForwardResult{
		Outcome:      callerv1.Outcome_OUTCOME_DONE,
		RowsAffected: found.RowsAffected,
		Position:     peer.EncodePosition(found.Position),
	}, found.Rows
}
