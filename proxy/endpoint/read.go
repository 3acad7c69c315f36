package endpoint

import (
	"context"
	"time"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/proxy/peer"
	"amaranthdock.dev/timer"
)

// read runs a read if the endpoint may serve it. It checks the view again when the
// read leaves the queue, and checks the response against the read's freshness
// requirement.
func (h *Home) read(ctx context.Context, s *step) (*peerv1.ForwardResult, []*callerv1.Row, error) {
	if err := h.waitUntilServable(ctx, s); err != nil {
		return nil, nil, err
	}
	var (
		resp   response
		before routing.ServeInput
		sent   time.Time
	)
	err := s.client.submit(ctx, h.queueItem(s), h.readCheck(s), func() error {
		before = h.serveInput(s)
		if _, ok := routing.ServeRead(before).(routing.ServeNow); !ok {
			return h.servingError(routing.ServeRead(before))
		}
		sent = h.config.Timer.Now()
		var err error
		resp, err = s.client.pool.runAndPut(ctx, s.runMessage(0))
		return err
	})
	if err != nil {
		return nil, nil, err
	}
	if err := h.checkFreshness(s, before, resp, h.config.Timer.Now().Sub(sent)); err != nil {
		return nil, nil, err
	}
	return &peerv1.ForwardResult{
		Outcome:      callerv1.Outcome_OUTCOME_DONE,
		RowsAffected: resp.rowsAffected,
		Position:     h.tokenPosition(s, resp.position),
		FromReplica:  before.View.Primary != s.GetEndpoint(),
	}, resp.rows, nil
}

// readCheck returns a function that checks whether a queued read may still run.
func (h *Home) readCheck(s *step) func() error {
	return func() error {
		if refused, ok := routing.ServeRead(h.serveInput(s)).(routing.RefuseRead); ok {
			return h.servingError(refused)
		}
		return nil
	}
}

// waitUntilServable waits until the endpoint may serve the read.
func (h *Home) waitUntilServable(ctx context.Context, s *step) error {
	decision := routing.ServeRead(h.serveInput(s))
	wait, ok := decision.(routing.WaitForPosition)
	if !ok {
		return h.servingError(decision)
	}
	ctx, cancel := timer.WithTimeout(ctx, h.config.Timer, wait.Limit)
	defer cancel()
	if err := h.config.Observer.WaitApplied(ctx, s.GetEndpoint(), wait.Position); err != nil {
		return refusal.NewNotRun(refusal.ReplicaBehind, "the replica did not reach the required position in time")
	}
	return nil
}

// servingError returns the error for a decision; nil if the read may be served now.
func (h *Home) servingError(decision routing.ServeDecision) error {
	switch d := decision.(type) {
	case routing.ServeNow:
		return nil
	case routing.RefuseRead:
		return refusal.NewNotRun(d.Reason, "the endpoint cannot serve the read now")
	default:
		return refusal.NewNotRun(refusal.ReplicaBehind, "the replica is behind the required position")
	}
}

// serveInput collects what is known now for the decision whether to serve the read.
func (h *Home) serveInput(s *step) routing.ServeInput {
	view, _ := h.config.Observer.View(s.GetDatabase())
	required := peer.DecodePosition(s.GetRequired())
	catchUp, known := h.config.Observer.ExpectedCatchUp(s.GetEndpoint(), required)
	return routing.ServeInput{
		View:         view,
		Endpoint:     s.declaredEndpoint(s.GetEndpoint()),
		Primary:      s.declaredEndpoint(view.Primary),
		CatchUp:      catchUp,
		CatchUpKnown: known,
		FreshnessRequirement: routing.FreshnessRequirement{
			RequiredPosition:    required,
			HasRequiredPosition: s.GetRequired() != nil,
			MaxAge:              s.GetMaxAge().AsDuration(),
			HasMaxAge:           s.GetMaxAge() != nil,
		},
		PrimaryConfirmed: h.config.Observer.PrimaryConfirmed(s.GetDatabase()),
		UntilDeadline:    s.deadline.Sub(h.config.Timer.Now()),
	}
}

// checkFreshness checks that the response is as fresh as the view from before the read
// implied. It may be older because the endpoint restarted or truncated its log, or
// because the primary was replaced during the read.
func (h *Home) checkFreshness(s *step, before routing.ServeInput, resp response, elapsed time.Duration) error {
	behind := before.HasRequiredPosition && !resp.position.Covers(before.RequiredPosition)
	if before.View.Primary == s.GetEndpoint() {
		if behind || resp.term < before.View.Term {
			return refusal.NewNotRun(refusal.NotPrimary, "the endpoint responded with an older term")
		}
		return nil
	}
	if behind {
		return refusal.NewNotRun(refusal.ReplicaBehind, "the response is older than the required position")
	}
	member, _ := before.View.Member(s.GetEndpoint())
	if before.HasMaxAge && (!resp.position.Covers(member.LastPosition) || member.Age+elapsed > before.MaxAge) {
		return refusal.NewNotRun(refusal.ReplicaBehind, "the response is older than the maximum age")
	}
	return nil
}

// tokenPosition returns the position for the session token: the smaller of the read's
// position and the durable position. The read thus does not have to wait until its
// position is durable.
func (h *Home) tokenPosition(s *step, own logpos.Position) *endpointv1.Position {
	durable, ok := h.config.Observer.DurablePosition(s.GetDatabase())
	if !ok {
		return nil
	}
	return peer.EncodePosition(logpos.Min(own, durable))
}
