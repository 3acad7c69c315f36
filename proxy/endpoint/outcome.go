package endpoint

import (
	"context"
	"time"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/proxy/peer"
)

// resolveInterval between two looks at a failover; small beside the write gap
// of about 2 s.
const resolveInterval = 50 * time.Millisecond

// lookUpOutcome tells what became of a write. Absent is unknown, because a copy
// of the write may still be on its way.
func (h *Home) lookUpOutcome(ctx context.Context, s *step) (*peerv1.ForwardResult, []*callerv1.Row, error) {
	view, ok := h.config.Observer.View(s.GetDatabase())
	declared, known := s.snapshot.Endpoint(s.GetEndpoint())
	if !ok || !known || view.Primary != s.GetEndpoint() {
		return nil, nil, refusal.NewNotRun(refusal.NotPrimary, "the endpoint is not the primary")
	}
	found, err := h.config.Dial(declared.Address).GetOutcome(ctx, &endpointv1.GetOutcomeRequest{RequestId: s.GetRequestId()})
	if err != nil {
		return nil, nil, refusal.NewNotRun(refusal.Unreachable, "the primary did not answer")
	}
	if !found.GetFound() || found.GetStatus().GetRole() != endpointv1.Role_ROLE_PRIMARY {
		return nil, nil, refusal.NewUnknown(refusal.Internal, "the log of the primary does not hold the request")
	}
	position := peer.DecodePosition(found.GetPosition())
	if err := h.waitDurable(ctx, s, position); err != nil {
		return nil, nil, err
	}
	return &peerv1.ForwardResult{
		Outcome:  callerv1.Outcome_OUTCOME_DONE,
		Position: peer.EncodePosition(position),
	}, nil, nil
}

// resolve waits for proof that a write whose connection was lost was not run: a
// primary of a higher term, whose opening entry is durable, does not hold it. It
// returns the error as it was if there is no proof before the deadline.
func (h *Home) resolve(ctx context.Context, s *step, sentTerm uint64, err error) error {
	refused, ok := refusal.As(err)
	if !ok || refused.Outcome != refusal.Unknown || refused.Reason != refusal.ConnectionLost {
		return err
	}
	ticks := h.config.Timer.Every(resolveInterval)
	defer ticks.Stop()
	for {
		recorded, known := h.isRecorded(ctx, s, sentTerm)
		if known && recorded {
			return err
		}
		if known {
			return refusal.NewNotRun(refusal.NotPrimary, "the primary was replaced, and the write is not in the log")
		}
		select {
		case <-ticks.C():
		case <-ctx.Done():
			return err
		}
	}
}

// isRecorded asks the primary of a higher term whether its log holds the write.
func (h *Home) isRecorded(ctx context.Context, s *step, sentTerm uint64) (recorded, known bool) {
	view, ok := h.config.Observer.View(s.GetDatabase())
	if !ok || view.Term <= sentTerm {
		return false, false
	}
	declared, ok := s.snapshot.Endpoint(view.Primary)
	if !ok {
		return false, false
	}
	found, err := h.config.Dial(declared.Address).GetOutcome(ctx, &endpointv1.GetOutcomeRequest{RequestId: s.GetRequestId()})
	if err != nil || found.GetStatus().GetRole() != endpointv1.Role_ROLE_PRIMARY {
		return false, false
	}
	opening := peer.DecodePosition(found.GetStatus().GetTermStart())
	durable, ok := h.config.Observer.Durable(s.GetDatabase())
	if !ok || opening.Term <= sentTerm || !durable.Covers(opening) {
		return false, false
	}
	return found.GetFound(), true
}
