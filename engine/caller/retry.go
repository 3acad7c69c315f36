package caller

import (
	"context"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/peer"
)

// takeRetry takes a retry from the budget of a workspace; false if the budget is used up.
func (s *SessionManager) takeRetry(workspace string) bool {
	if s.retryBudgets.TakeRetry(workspace) {
		return true
	}
	s.retriesRefused.Inc(1)
	return false
}

// mayRetryOverloaded reports whether a read that a full endpoint refused is sent to another one that
// has not been asked yet. The first such retry is free, and so are those after the refusals of cold
// endpoints. The others take a retry out of the workspace's budget: otherwise each read of a burst
// is sent to all endpoints of a database while all are full. With urgency across workspaces all
// retries do. A read that was sent again after an attempt that may have run is not sent a third time.
func (d *dispatch) mayRetryOverloaded(target catalog.Endpoint, result *peer.RunResponse) bool {
	if d.failure != nil || d.remaining() < minSendTimeout || !d.hasUnaskedEndpoint(target) {
		return false
	}
	manager := d.session.manager
	free := !manager.config.UrgencyAcrossWorkspaces && (d.overloads == 0 || isBudgetRefusal(result))
	if !free && !manager.takeRetry(d.auth.workspace) {
		return false
	}
	d.overloads++
	return true
}

// hasUnaskedEndpoint reports whether an endpoint besides the target can run the read and was not
// asked yet.
func (d *dispatch) hasUnaskedEndpoint(target catalog.Endpoint) bool {
	v := d.session.manager.config.View
	name := d.auth.database.Name
	if _, ok := v.RequiredPosition(name, d.auth.route.MaxStaleness); ok {
		for _, c := range d.candidates() {
			if c.ID != target.Key.ID {
				return true
			}
		}
	}
	primary, ok := v.Primary(name)
	return ok && primary.Key != target.Key && !d.excluded[primary.Key.ID] && d.mayUsePrimary(primary)
}

// isOverload reports whether an endpoint refused a statement because it was full.
func isOverload(refused *refusal.Error) bool {
	if refused == nil {
		return false
	}
	switch refused.Reason {
	case refusal.Overloaded, refusal.QueueTimeout, refusal.DeadlineTooShort:
		return true
	default:
		return false
	}
}

// mayRetryFailedRead reports whether a single read that the endpoint ran and failed is sent once
// more, if possible to another endpoint. The statement counts as a further operation of its
// workspace, because endpoints count what they run.
func (d *dispatch) mayRetryFailedRead(ctx context.Context, refused *refusal.Error) bool {
	isRead := d.request.Step == peer.StepSingle && !d.request.Write
	if !isRead || d.failedReadRetried || d.remaining() < minSendTimeout {
		return false
	}
	d.failedReadRetried = true
	d.failure = refused
	m := d.session.manager
	if !m.takeRetry(d.auth.workspace) || m.admit(ctx, d.auth) != nil {
		return false
	}
	m.failedReadRetries.Inc(1)
	return true
}

// mayRetryLostRead reports whether a read without a response is sent once more. If it may have run,
// the retry is charged to the budget of its workspace.
func (d *dispatch) mayRetryLostRead(ctx context.Context, refused *refusal.Error) bool {
	if refused.Outcome == refusal.NotRun {
		return true
	}
	if d.remaining() < minSendTimeout || ctx.Err() != nil || !d.session.manager.takeRetry(d.auth.workspace) {
		return false
	}
	d.failure = refused
	return true
}
