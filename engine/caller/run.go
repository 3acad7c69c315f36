package caller

import (
	"context"
	"errors"
	"time"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/guard"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/engine/statement"
)

// defaultTimeout applies to statements whose route sets no timeout.
const defaultTimeout = 3 * time.Second

// runStatement runs a read or write, alone or in the open transaction.
func (s *Session) runStatement(ctx context.Context, request statement.Request, op operation) statement.Response {
	started := s.manager.config.Timer.Now()
	t := s.transaction
	if t == nil {
		return s.runSingle(ctx, request, op, started)
	}
	if refused := s.reauthorize(); refused != nil {
		s.endTransaction(refused)
		return s.doInEndedTransaction(request)
	}
	run := s.newRun(t.auth, request, op)
	run.Transaction = t.key
	if !t.opened {
		if err := s.manager.admit(ctx, t.auth); err != nil {
			return s.finishRefused(request, t.auth, err, started)
		}
		return s.runFirst(ctx, request, run, started)
	}
	run.Step = peer.StepNext
	return s.runNext(ctx, request, run, started)
}

// runSingle runs a statement outside of a transaction.
func (s *Session) runSingle(ctx context.Context, request statement.Request, op operation, started time.Time) statement.Response {
	auth, refused := s.authorize()
	if refused != nil {
		return s.finishRefused(request, auth, refused, started)
	}
	if err := s.manager.admit(ctx, auth); err != nil {
		return s.finishRefused(request, auth, err, started)
	}
	run := s.newRun(auth, request, op)
	d := s.newDispatch(auth, run, started)
	result := d.run(ctx)
	if result.Refused != nil {
		s.manager.refund(auth, result.Refused)
		return s.finishRefused(request, auth, result.Refused, started)
	}
	// The proven primary of a newer term may have discarded writes that the session
	// made in an older term. Its position covers the writes that survived.
	if op.write || (result.ProvedPrimary && !s.position.IsZero() && result.Position.Term > s.position.Term) {
		s.advancePosition(result.Position)
	}
	return s.finishServed(auth, d.request, d.home, result, started)
}

// runFirst opens the transaction at an endpoint and runs its first statement there.
func (s *Session) runFirst(ctx context.Context, request statement.Request, run *peer.RunRequest, started time.Time) statement.Response {
	t := s.transaction
	run.Step = peer.StepFirst
	run.Transaction = peer.TransactionKey{
		Process: s.manager.config.View.Self().Incarnation,
		Number:  s.manager.lastTransaction.Add(1),
	}
	d := s.newDispatch(t.auth, run, started)
	result := d.run(ctx)
	if result.Refused != nil {
		s.manager.refund(t.auth, result.Refused)
		return s.finishRefused(request, t.auth, result.Refused, started)
	}
	t.opened = true
	t.key = d.request.Transaction
	t.endpoint = d.endpoint
	t.home = d.home
	t.hasWrites = run.Write
	return s.finishServed(t.auth, d.request, d.home, result, started)
}

// runNext runs a further statement, or the commit, of the open transaction.
func (s *Session) runNext(ctx context.Context, request statement.Request, run *peer.RunRequest, started time.Time) statement.Response {
	t := s.transaction
	run.Endpoint = t.endpoint.Key.ID
	run.Transaction = t.key
	run.Timeout = statementTimeout(t.auth.route)
	run.Target = s.remainingTarget(t.auth, started)
	s.lastAttempt = attempt{
		endpoint: t.endpoint.Key.ID,
		home:     t.home.Name,
	}
	result, err := s.manager.callHome(ctx, t.home, run)
	if err != nil {
		result = &peer.RunResponse{Refused: lostStepRefusal(run, err)}
	}
	if result.Refused != nil {
		if result.Refused.Outcome != refusal.NotRun && run.Step != peer.StepCommit && result.Refused.Reason != refusal.StatementFailed {
			// The commit was never sent, so the transaction had no effect.
			result.Refused = refusal.NewNotRun(refusal.TransactionConflict, result.Refused.Message)
		}
		return s.finishRefused(request, t.auth, result.Refused, started)
	}
	t.hasWrites = t.hasWrites || run.Write
	return s.finishServed(t.auth, run, t.home, result, started)
}

// lostStepRefusal returns the refusal for a step of a transaction whose home did not
// respond. The home rolls the transaction back unless the commit was sent.
func lostStepRefusal(run *peer.RunRequest, err error) *refusal.Error {
	if run.Step == peer.StepCommit && !errors.Is(err, peer.ErrUnreachable) {
		return refusal.NewUnknown(refusal.OutcomeNotKnown, "the transaction's home VM did not respond to the commit")
	}
	return refusal.NewNotRun(refusal.TransactionConflict, "the transaction's home VM did not respond, so the transaction was not committed")
}

// commit commits the open transaction. If it had no statement yet, it is opened at an
// endpoint first, because the caller's commit has to reach an endpoint.
func (s *Session) commit(ctx context.Context, request statement.Request) statement.Response {
	t := s.transaction
	if t == nil {
		return s.respondRefused(refusal.NewNotRun(refusal.InvalidRequest, "no transaction is open"))
	}
	if refused := s.reauthorize(); refused != nil {
		s.endTransaction(refused)
		return s.doInEndedTransaction(request)
	}
	started := s.manager.config.Timer.Now()
	if !t.opened {
		if err := s.manager.admit(ctx, t.auth); err != nil {
			s.transaction = nil
			return s.finishRefused(request, t.auth, err, started)
		}
		openingRun := s.newRun(t.auth, statement.Request{}, operation{})
		if response := s.runFirst(ctx, request, openingRun, started); response.Refused != nil {
			s.transaction = nil
			return s.respond(response)
		}
	}
	run := s.newRun(t.auth, request, operation{text: request.Text})
	run.Step = peer.StepCommit
	hasWrites := t.hasWrites
	sentAt := s.manager.config.View.SinceBoot()
	response := s.runNext(ctx, request, run, started)
	s.transaction = nil
	if response.Refused == nil && hasWrites {
		s.advancePosition(response.Position)
		s.manager.config.View.AddSample(t.auth.database.Name, sentAt, response.Position)
	}
	return s.respond(response)
}

// rollBackInBackground ends the session's transaction and rolls it back at its
// endpoint without waiting for the result.
func (s *Session) rollBackInBackground() {
	t := s.transaction
	s.transaction = nil
	if !t.opened {
		return
	}
	request := &peer.RunRequest{
		Step:        peer.StepRollback,
		Transaction: t.key,
		Endpoint:    t.endpoint.Key.ID,
		Timeout:     statementTimeout(t.auth.route),
	}
	go func() {
		defer guard.Recover(s.manager.config.Log, "rollback")
		if _, err := s.manager.callHome(context.Background(), t.home, request); err != nil {
			s.manager.config.Log.V(1).Info("Could not send a rollback to the transaction's home VM.", "peer", t.home.Name, "error", err.Error())
		}
	}()
}

// advancePosition raises the log position that the session's reads must see.
func (s *Session) advancePosition(position logpos.Position) {
	s.position = logpos.Max(s.position, position)
}

// newRun returns the request to a home to run an operation.
func (s *Session) newRun(auth authorization, request statement.Request, op operation) *peer.RunRequest {
	return &peer.RunRequest{
		TransactionIdle: auth.transactionIdle,
		Workspace:       auth.workspace,
		Regions:         auth.regions,
		MaxConnections:  auth.database.MaxConnections,
		Priority:        auth.route.Priority,
		ID:              request.ID,
		Text:            op.text,
		Write:           op.write,
		Prepared:        op.prepared,
		Values:          s.values,
	}
}

// admit takes a token of the workspace's rate limit. Public routes have no limit.
func (s *SessionManager) admit(ctx context.Context, auth authorization) error {
	if auth.route.Public {
		return nil
	}
	return s.config.Limiter.AdmitWithPriority(ctx, auth.workspace, auth.route.Priority)
}

// refund returns the rate limit token of an operation that was refused before any part
// of it ran at an endpoint.
func (s *SessionManager) refund(auth authorization, refused *refusal.Error) {
	if auth.route.Public || refused.Outcome != refusal.NotRun {
		return
	}
	switch refused.Reason {
	case refusal.Overloaded, refusal.QueueTimeout, refusal.DeadlineTooShort, refusal.NoPrimary, refusal.NotPrimary, refusal.ReplicaBehind,
		refusal.DataCentreEvacuated, refusal.RegionNotAllowed:
		s.config.Limiter.Refund(auth.workspace)
	}
}

// finishServed records the latency of a successful statement, logs where it ran, and
// returns its response.
func (s *Session) finishServed(auth authorization, request *peer.RunRequest, home catalog.VM, result *peer.RunResponse, started time.Time) statement.Response {
	duration := s.manager.config.Timer.Now().Sub(started)
	s.manager.statementMetrics.recordSuccess(auth.route.Kind, duration)
	s.manager.config.Log.V(1).Info("Served a statement.", "request", request.ID, "database", auth.route.Database, "workspace", auth.workspace,
		"endpoint", request.Endpoint, "home", home.Name, "step", request.Step.String(), "after", request.After.String(),
		"configuration", auth.configurationVersion, "tookMicroseconds", duration.Microseconds())
	return s.respond(statement.Response{
		Rows:      result.Rows,
		Signature: result.Signature,
		Position:  result.Position,
	})
}

// finishRefused counts a refused statement, logs the reason, and returns its response.
func (s *Session) finishRefused(request statement.Request, auth authorization, err error, started time.Time) statement.Response {
	refused, ok := refusal.As(err)
	if !ok {
		refused = refusal.NewNotRun(refusal.Internal, err.Error())
	}
	s.manager.statementMetrics.recordRefusal(auth.route.Kind, refused.Reason)
	s.manager.countEvacuated(refused)
	s.manager.config.Log.Info("Refused a statement.", "request", request.ID, "reason", refused.Reason, "outcome", refused.Outcome.String(),
		"message", refused.Message, "endpoint", s.lastAttempt.endpoint, "home", s.lastAttempt.home, "database", auth.route.Database, "workspace", auth.workspace, "configuration", auth.configurationVersion,
		"transaction", s.transaction != nil, "took", s.manager.config.Timer.Now().Sub(started).String())
	return s.respondRefused(refused)
}

// statementTimeout returns the timeout of the statements of a route.
func statementTimeout(route catalog.Route) time.Duration {
	if route.Timeout <= 0 {
		return defaultTimeout
	}
	return route.Timeout
}
