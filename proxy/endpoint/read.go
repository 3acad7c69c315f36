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

// read runs a read that the endpoint may serve. The view is checked again when
// the read's turn comes, and the answer against what the read requires.
func (h *Home) read(ctx context.Context, s *step) (*peerv1.ForwardResult, []*callerv1.Row, error) {
	if err := h.awaitServing(ctx, s); err != nil {
		return nil, nil, err
	}
	var (
		got    answer
		before routing.ServeInput
		sent   time.Time
	)
	err := s.node.submit(ctx, h.item(s), h.checkRefused(s), func() error {
		before = h.serveInput(s)
		if _, ok := routing.ServeRead(before).(routing.ServeNow); !ok {
			return h.refuseServing(routing.ServeRead(before))
		}
		sent = h.config.Timer.Now()
		var err error
		got, err = s.node.pool.runOnce(ctx, s.run(0))
		return err
	})
	if err != nil {
		return nil, nil, err
	}
	if err := h.checkRead(s, before, got, h.config.Timer.Now().Sub(sent)); err != nil {
		return nil, nil, err
	}
	return &peerv1.ForwardResult{
		Outcome:      callerv1.Outcome_OUTCOME_DONE,
		RowsAffected: got.rowsAffected,
		Position:     h.readPosition(s, got.position),
		FromReplica:  before.View.Primary != s.GetEndpoint(),
	}, got.rows, nil
}

// checkRefused returns the check of a read that waits in the queue.
func (h *Home) checkRefused(s *step) func() error {
	return func() error {
		if refused, ok := routing.ServeRead(h.serveInput(s)).(routing.RefuseRead); ok {
			return h.refuseServing(refused)
		}
		return nil
	}
}

// awaitServing returns nil once the endpoint may serve the read.
func (h *Home) awaitServing(ctx context.Context, s *step) error {
	decision := routing.ServeRead(h.serveInput(s))
	wait, ok := decision.(routing.WaitForPosition)
	if !ok {
		return h.refuseServing(decision)
	}
	ctx, cancel := timer.WithTimeout(ctx, h.config.Timer, wait.Limit)
	defer cancel()
	if err := h.config.Observer.WaitApplied(ctx, s.GetEndpoint(), wait.Position); err != nil {
		return refusal.NewNotRun(refusal.ReplicaBehind, "the replica did not reach the position in time")
	}
	return nil
}

func (h *Home) refuseServing(decision routing.ServeDecision) error {
	switch d := decision.(type) {
	case routing.ServeNow:
		return nil
	case routing.RefuseRead:
		return refusal.NewNotRun(d.Reason, "the endpoint cannot serve the read now")
	default:
		return refusal.NewNotRun(refusal.ReplicaBehind, "the replica is behind the position")
	}
}

func (h *Home) serveInput(s *step) routing.ServeInput {
	view, _ := h.config.Observer.View(s.GetDatabase())
	required := peer.DecodePosition(s.GetRequired())
	catchUp, known := h.config.Observer.ExpectedCatchUp(s.GetEndpoint(), required)
	return routing.ServeInput{
		View:         view,
		Endpoint:     s.site(s.GetEndpoint()),
		Primary:      s.site(view.Primary),
		CatchUp:      catchUp,
		CatchUpKnown: known,
		FreshnessRequirement: routing.FreshnessRequirement{
			RequiredPosition:    required,
			HasRequiredPosition: s.GetRequired() != nil,
			MaxAge:              s.GetMaxAge().AsDuration(),
			HasMaxAge:           s.GetMaxAge() != nil,
		},
		PrimaryConfirmed: h.config.Observer.PrimaryConfirmed(s.GetDatabase()),
		Remaining:        s.deadline.Sub(h.config.Timer.Now()),
	}
}

// checkRead guards against an answer that is older than the view promised: the
// member may have restarted or truncated its log, or a primary may have been
// replaced while the read was under way.
func (h *Home) checkRead(s *step, before routing.ServeInput, got answer, elapsed time.Duration) error {
	behind := before.HasRequiredPosition && !got.position.Covers(before.RequiredPosition)
	if before.View.Primary == s.GetEndpoint() {
		if behind || got.term < before.View.Term {
			return refusal.NewNotRun(refusal.NotPrimary, "the endpoint answered in an older term")
		}
		return nil
	}
	if behind {
		return refusal.NewNotRun(refusal.ReplicaBehind, "the answer is older than the position")
	}
	member, _ := before.View.Member(s.GetEndpoint())
	if before.HasMaxAge && (!got.position.Covers(member.Last) || member.Age+elapsed > before.MaxAge) {
		return refusal.NewNotRun(refusal.ReplicaBehind, "the answer is older than the stated age")
	}
	return nil
}

// readPosition returns the position that the session's token has to cover: the
// smaller of the read's own and the durable one, which need not be waited for.
func (h *Home) readPosition(s *step, own logpos.Position) *endpointv1.Position {
	durable, ok := h.config.Observer.DurablePosition(s.GetDatabase())
	if !ok {
		return nil
	}
	return peer.EncodePosition(logpos.Min(own, durable))
}
