package caller

import (
	"context"
	"time"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/session"
	"amaranthdock.dev/proxy/peer"
	"amaranthdock.dev/timer"
)

// rollbackTimeout of a rollback that no caller waits for.
const rollbackTimeout = time.Second

// Begin opens a transaction at the primary of a database.
func (c *Caller) Begin(ctx context.Context, begin *callerv1.BeginRequest) (*callerv1.BeginResponse, error) {
	r, ctx, cancel, err := c.open(ctx, begin.GetRequestId(), "")
	defer cancel()
	if err == nil {
		err = r.permit(r.snapshot, begin.GetDatabase(), callerv1.Access_ACCESS_WRITE, "")
	}
	if err == nil {
		err = c.admit(ctx, r)
	}
	if err == nil {
		err = c.openTokens(r, begin.GetSessionTokens())
	}
	if err != nil {
		return nil, c.refuse(r, err)
	}
	d := &dispatch{
		request:  r,
		database: begin.GetDatabase(),
		forward:  r.forwardRequest(begin.GetDatabase(), endpointv1.Verb_VERB_BEGIN),
		send:     func([]*callerv1.Row) error { return nil },
	}
	d.forward.Access = callerv1.Access_ACCESS_WRITE
	result := c.run(ctx, d)
	if refused := peer.DecodeRefusal(result); refused != nil {
		return nil, c.refuse(r, refused)
	}
	incarnation, ok := c.config.Directory.Incarnation(d.vm)
	if !ok {
		return nil, c.refuse(r, refusal.NewUnknown(refusal.ConnectionLost, "the home is gone"))
	}
	handle := session.Handle{
		VM:          d.vm,
		Incarnation: incarnation,
		Transaction: result.GetTransactionId(),
		Workspace:   r.workspace,
		Database:    begin.GetDatabase(),
		Endpoint:    d.forward.GetEndpoint(),
		KeyID:       r.keyID,
	}
	c.transactions.add(handle, c.config.Timer.Now())
	return &callerv1.BeginResponse{
		Transaction:          c.config.Signer.SignHandle(handle),
		RequestId:            r.id,
		ConfigurationVersion: r.snapshot.Version(),
	}, nil
}

// Commit commits an open transaction.
func (c *Caller) Commit(ctx context.Context, commit *callerv1.CommitRequest) (*callerv1.CommitResponse, error) {
	r, ctx, cancel, err := c.open(ctx, commit.GetRequestId(), "")
	defer cancel()
	handle, err := c.openHandle(ctx, r, commit.GetTransaction(), err)
	if err == nil {
		err = c.admit(ctx, r)
	}
	if err != nil {
		return nil, c.refuse(r, err)
	}
	forward := r.forwardRequest(handle.Database, endpointv1.Verb_VERB_COMMIT)
	result := c.step(ctx, r, handle, forward, discardRows)
	result = c.settle(ctx, r, handle.Database, result, discardRows)
	if refused := peer.DecodeRefusal(result); refused != nil {
		return nil, c.refuse(r, refused)
	}
	c.transactions.remove(handle)
	return &callerv1.CommitResponse{
		SessionToken:         c.sealToken(r, handle.Database, result, true),
		RequestId:            r.id,
		ConfigurationVersion: r.snapshot.Version(),
	}, nil
}

// Rollback ends an open transaction without effect. It takes nothing out of the
// limit, because it frees what the transaction holds.
func (c *Caller) Rollback(ctx context.Context, rollback *callerv1.RollbackRequest) (*callerv1.RollbackResponse, error) {
	r, ctx, cancel, err := c.open(ctx, "", "")
	defer cancel()
	handle, err := c.openHandle(ctx, r, rollback.GetTransaction(), err)
	if err != nil {
		return nil, c.refuse(r, err)
	}
	forward := r.forwardRequest(handle.Database, endpointv1.Verb_VERB_ROLLBACK)
	result := c.step(ctx, r, handle, forward, discardRows)
	refused := peer.DecodeRefusal(result)
	// A transaction that is not open has been rolled back before.
	if refused != nil && refused.Reason != refusal.TransactionUnknown {
		return nil, c.refuse(r, refused)
	}
	c.transactions.remove(handle)
	return &callerv1.RollbackResponse{}, nil
}

// executeInTransaction runs a statement of an open transaction; opened is the
// error of opening the request.
func (c *Caller) executeInTransaction(ctx context.Context, r *request, execute *callerv1.ExecuteRequest, opened error) (*callerv1.ExecuteResponse, error) {
	handle, err := c.openHandle(ctx, r, execute.GetTransaction(), opened)
	if err == nil {
		err = checkStatement(execute, handle.Database)
	}
	if err == nil {
		err = c.admit(ctx, r)
	}
	if err == nil {
		err = c.openTokens(r, execute.GetSessionTokens())
	}
	if err != nil {
		return nil, c.refuse(r, err)
	}
	forward := r.forwardRequest(handle.Database, endpointv1.Verb_VERB_EXECUTE)
	forward.Access = execute.GetAccess()
	forward.Statement = execute.GetStatement()
	var rows []*callerv1.Row
	result := c.step(ctx, r, handle, forward, func(more []*callerv1.Row) error {
		rows = append(rows, more...)
		return nil
	})
	if refused := peer.DecodeRefusal(result); refused != nil {
		return nil, c.refuse(r, refused)
	}
	return &callerv1.ExecuteResponse{
		Rows:                 rows,
		RowsAffected:         result.GetRowsAffected(),
		SessionToken:         c.sealToken(r, handle.Database, nil, false),
		RequestId:            r.id,
		ConfigurationVersion: r.snapshot.Version(),
		Endpoint:             handle.Endpoint,
	}, nil
}

// openHandle opens a transaction's handle and checks that the key that opened the
// transaction still works; if it does not, the transaction is rolled back, even when
// the request itself carries the revoked key.
func (c *Caller) openHandle(ctx context.Context, r *request, text string, opened error) (session.Handle, error) {
	refused, ok := refusal.As(opened)
	if opened != nil && !(ok && refused.Reason == refusal.KeyRevoked) {
		return session.Handle{}, opened
	}
	if r.workspace == "" {
		return session.Handle{}, invalid("transaction", "a transaction needs a key")
	}
	handle, err := c.config.Signer.VerifyHandle(r.workspace, text)
	if err != nil {
		if opened != nil {
			return session.Handle{}, opened
		}
		return session.Handle{}, invalid("transaction", "the transaction handle is not accepted: "+err.Error())
	}
	if isRevoked(r.snapshot, handle.KeyID, handle.Workspace) {
		c.rollBackRevoked(ctx, handle)
		return session.Handle{}, keyRefused(refusal.KeyRevoked, "the key that opened the transaction is revoked")
	}
	if opened != nil {
		return session.Handle{}, opened
	}
	return handle, r.permit(r.snapshot, handle.Database, callerv1.Access_ACCESS_WRITE, "")
}

// step sends a step of a transaction to its home, and nowhere else.
func (c *Caller) step(ctx context.Context, r *request, handle session.Handle, forward *peerv1.ForwardRequest, send peer.SendRows) *peerv1.ForwardResult {
	forward.Endpoint = handle.Endpoint
	forward.TransactionId = handle.Transaction
	incarnation, ok := c.config.Directory.Incarnation(handle.VM)
	if !ok || incarnation != handle.Incarnation {
		c.transactions.remove(handle)
		return peer.EncodeRefusal(homeGone(forward))
	}
	return c.forward(ctx, handle.VM, &dispatch{
		request: r,
		forward: forward,
		send:    send,
	})
}

func discardRows([]*callerv1.Row) error { return nil }

// homeGone leaves a commit unknown: an earlier one, whose answer was lost, may
// have taken effect before the home went.
func homeGone(forward *peerv1.ForwardRequest) error {
	const message = "the home of the transaction is gone"
	if forward.GetVerb() == endpointv1.Verb_VERB_COMMIT {
		return refusal.NewUnknown(refusal.TransactionUnknown, message)
	}
	return refusal.NewNotRun(refusal.TransactionUnknown, message)
}

// rollBackRevoked ends a transaction whose key no longer works.
func (c *Caller) rollBackRevoked(ctx context.Context, handle session.Handle) {
	ctx, cancel := timer.WithTimeout(context.WithoutCancel(ctx), c.config.Timer, rollbackTimeout)
	defer cancel()
	r := &request{
		principal: principal{
			workspace: handle.Workspace,
			subject:   handle.Workspace,
		},
		deadline: c.config.Timer.Now().Add(rollbackTimeout),
		snapshot: c.config.Configuration.Current(),
	}
	forward := r.forwardRequest(handle.Database, endpointv1.Verb_VERB_ROLLBACK)
	result := c.step(ctx, r, handle, forward, func([]*callerv1.Row) error { return nil })
	c.config.Log.Info("caller: transaction of a revoked key rolled back", "workspace", handle.Workspace, "outcome", result.GetOutcome().String())
	c.transactions.remove(handle)
}
