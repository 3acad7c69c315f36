package caller

import (
	"context"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/peer"
)

// countRequest adds an admitted statement to the retry budget of its workspace.
func (s *SessionManager) countRequest(workspace string) {
	s.retriesMu.Lock()
	defer s.retriesMu.Unlock()
	s.retryBudgets.CountRequest(workspace)
}

// takeRetry takes a retry from the budget of a workspace; false if the budget is used up.
func (s *SessionManager) takeRetry(workspace string) bool {
	s.retriesMu.Lock()
	defer s.retriesMu.Unlock()
	if s.retryBudgets.TakeRetry(workspace) {
		return true
	}
	s.retriesRefused.Inc(1)
	return false
}

// takeOverloadRetry reports whether a read that a full endpoint refused may be sent to another one.
// With urgency across workspaces it takes the retry out of the workspace's budget: otherwise each
// read of a burst is sent twice while all endpoints of a database are full.
func (d *dispatch) takeOverloadRetry() bool {
	manager := d.session.manager
	return !manager.config.UrgencyAcrossWorkspaces || manager.takeRetry(d.auth.workspace)
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
