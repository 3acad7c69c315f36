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

// rollbackTimeout is the timeout of a rollback without a request from the caller.
const rollbackTimeout = time.Second

// Begin opens a transaction at the primary of a database.
func (c *Caller) Begin(ctx context.Context, begin *callerv1.BeginRequest) (*callerv1.BeginResponse, error) {
	r, ctx, cancel, err := c.startRequest(ctx, begin.GetRequestId(), "")
	defer cancel()
	if err == nil {
		err = r.authorize(r.snapshot, begin.GetDatabase(), callerv1.Access_ACCESS_WRITE, "")
	}
	if err == nil {
		err = c.admit(ctx, r)
	}
	if err == nil {
		err = c.verifyTokens(r, begin.GetSessionTokens())
	}
	if err != nil {
		return nil, c.refuseRequest(r, err)
	}
	d := c.newBeginDispatch(r, begin.GetDatabase())
	result := c.run(ctx, d)
	if refused := peer.DecodeRefusal(result); refused != nil {
		return nil, c.refuseRequest(r, refused)
	}
	incarnation, ok := c.config.Directory.Incarnation(d.lastVM)
	if !ok {
		return nil, c.refuseRequest(r, refusal.NewUnknown(refusal.ConnectionLost, "the home is no longer a live VM"))
	}
	handle := session.Handle{
		VM:          d.lastVM,
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

// newBeginDispatch returns the dispatch of the begin of a transaction.
func (c *Caller) newBeginDispatch(r *request, database string) *dispatch {
	d := c.newStepDispatch(r, database, r.forwardRequest(database, endpointv1.Verb_VERB_BEGIN), discardRows)
	d.forward.Access = callerv1.Access_ACCESS_WRITE
	return d
}

// Commit commits an open transaction.
func (c *Caller) Commit(ctx context.Context, commit *callerv1.CommitRequest) (*callerv1.CommitResponse, error) {
	r, ctx, cancel, err := c.startRequest(ctx, commit.GetRequestId(), "")
	defer cancel()
	handle, err := c.verifyHandle(ctx, r, commit.GetTransaction(), err)
	if err == nil {
		err = c.admit(ctx, r)
	}
	if err != nil {
		return nil, c.refuseRequest(r, err)
	}
	forward := r.forwardRequest(handle.Database, endpointv1.Verb_VERB_COMMIT)
	result := c.sendTransactionStep(ctx, r, handle, forward, discardRows)
	result = c.resolveOutcome(ctx, r, handle.Database, result, discardRows)
	if refused := peer.DecodeRefusal(result); refused != nil {
		return nil, c.refuseRequest(r, refused)
	}
	c.transactions.remove(handle)
	return &callerv1.CommitResponse{
		SessionToken:         c.signToken(r, handle.Database, result, true),
		RequestId:            r.id,
		ConfigurationVersion: r.snapshot.Version(),
	}, nil
}

// Rollback rolls an open transaction back. It does not count against the rate limit,
// because it releases the resources of the transaction.
func (c *Caller) Rollback(ctx context.Context, rollback *callerv1.RollbackRequest) (*callerv1.RollbackResponse, error) {
	r, ctx, cancel, err := c.startRequest(ctx, "", "")
	defer cancel()
	handle, err := c.verifyHandle(ctx, r, rollback.GetTransaction(), err)
	if err != nil {
		return nil, c.refuseRequest(r, err)
	}
	forward := r.forwardRequest(handle.Database, endpointv1.Verb_VERB_ROLLBACK)
	result := c.sendTransactionStep(ctx, r, handle, forward, discardRows)
	refused := peer.DecodeRefusal(result)
	// A transaction that is not open needs no rollback.
	if refused != nil && refused.Reason != refusal.TransactionUnknown {
		return nil, c.refuseRequest(r, refused)
	}
	c.transactions.remove(handle)
	return &callerv1.RollbackResponse{}, nil
}

// executeInTransaction runs a statement in an open transaction. The parameter startErr
// is the error that startRequest returned for the request.
func (c *Caller) executeInTransaction(ctx context.Context, r *request, execute *callerv1.ExecuteRequest, startErr error) (*callerv1.ExecuteResponse, error) {
	handle, err := c.verifyHandle(ctx, r, execute.GetTransaction(), startErr)
	if err == nil {
		err = checkStatement(execute, handle.Database)
	}
	if err == nil {
		err = c.admit(ctx, r)
	}
	if err == nil {
		err = c.verifyTokens(r, execute.GetSessionTokens())
	}
	if err != nil {
		return nil, c.refuseRequest(r, err)
	}
	forward := r.forwardRequest(handle.Database, endpointv1.Verb_VERB_EXECUTE)
	forward.Access = execute.GetAccess()
	forward.Statement = execute.GetStatement()
	var rows []*callerv1.Row
	result := c.sendTransactionStep(ctx, r, handle, forward, c.collectRows(ctx, r, &rows))
	if refused := peer.DecodeRefusal(result); refused != nil {
		return nil, c.refuseRequest(r, refused)
	}
	return &callerv1.ExecuteResponse{
		Rows:                 rows,
		RowsAffected:         result.GetRowsAffected(),
		SessionToken:         c.signToken(r, handle.Database, nil, false),
		RequestId:            r.id,
		ConfigurationVersion: r.snapshot.Version(),
		Endpoint:             handle.Endpoint,
	}, nil
}

// verifyHandle verifies a transaction's handle and checks that the key that began the
// transaction is still valid. If that key is revoked, it rolls the transaction back,
// even if the request itself was refused because it has the revoked key. The parameter
// startErr is the error that startRequest returned for the request.
func (c *Caller) verifyHandle(ctx context.Context, r *request, text string, startErr error) (session.Handle, error) {
	refused, ok := refusal.As(startErr)
	if startErr != nil && !(ok && refused.Reason == refusal.KeyRevoked) {
		return session.Handle{}, startErr
	}
	if r.workspace == "" {
		return session.Handle{}, invalidRequest("transaction", "a transaction requires a key")
	}
	handle, err := c.config.Signer.VerifyHandle(r.workspace, text)
	if err != nil {
		if startErr != nil {
			return session.Handle{}, startErr
		}
		return session.Handle{}, invalidRequest("transaction", "the transaction handle is invalid: "+err.Error())
	}
	if isRevoked(r.snapshot, handle.KeyID, handle.Workspace) {
		c.rollBackRevokedTransaction(ctx, handle)
		return session.Handle{}, keyError(refusal.KeyRevoked, "the key that began the transaction is revoked")
	}
	if startErr != nil {
		return session.Handle{}, startErr
	}
	return handle, r.authorize(r.snapshot, handle.Database, callerv1.Access_ACCESS_WRITE, "")
}

// sendTransactionStep sends a step of a transaction once, to the process that runs
// the transaction.
func (c *Caller) sendTransactionStep(ctx context.Context, r *request, handle session.Handle, forward *peerv1.ForwardRequest, send peer.SendRows) *peerv1.ForwardResult {
	forward.Endpoint = handle.Endpoint
	forward.TransactionId = handle.Transaction
	incarnation, ok := c.config.Directory.Incarnation(handle.VM)
	if !ok || incarnation != handle.Incarnation {
		c.transactions.remove(handle)
		return peer.EncodeRefusal(homeGoneError(forward))
	}
	return c.forward(ctx, handle.VM, c.newStepDispatch(r, handle.Database, forward, send))
}

func discardRows([]*callerv1.Row) error { return nil }

// homeGoneError returns the refusal of a step whose home has stopped or restarted.
// The outcome of a commit is unknown: an earlier commit of the transaction, whose
// response was lost, may have taken effect.
func homeGoneError(forward *peerv1.ForwardRequest) error {
	const message = "the home of the transaction is no longer running"
	if forward.GetVerb() == endpointv1.Verb_VERB_COMMIT {
		return refusal.NewUnknown(refusal.TransactionUnknown, message)
	}
	return refusal.NewNotRun(refusal.TransactionUnknown, message)
}

// rollBackRevokedTransaction rolls back a transaction whose key is revoked.
func (c *Caller) rollBackRevokedTransaction(ctx context.Context, handle session.Handle) {
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
	result := c.sendTransactionStep(ctx, r, handle, forward, func([]*callerv1.Row) error { return nil })
	c.config.Log.Info("caller: requested the rollback of a transaction whose key is revoked", "workspace", handle.Workspace, "outcome", result.GetOutcome().String())
	c.transactions.remove(handle)
}
