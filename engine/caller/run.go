package caller

import (
	"context"
	"errors"
	"time"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/engine/statement"
)

// defaultTimeout of a statement whose route states none.
const defaultTimeout = 3 * time.Second

// run runs a read or write, as a single statement or in the open transaction.
func (s *Session) run(ctx context.Context, request statement.Request, w work) statement.Response {
	started := s.sessions.config.Timer.Now()
	t := s.transaction
	if t == nil {
		return s.single(ctx, request, w, started)
	}
	forward := s.forward(t.admission, request, w)
	forward.Transaction = t.key
	if !t.placed {
		if err := s.sessions.admit(ctx, t.admission); err != nil {
			return s.refused(request, t.admission, err, started)
		}
		return s.first(ctx, request, forward, started)
	}
	forward.Step = peer.StepNext
	return s.next(ctx, request, forward, started)
}

// single runs a statement outside of a transaction.
func (s *Session) single(ctx context.Context, request statement.Request, w work, started time.Time) statement.Response {
	admitted, refused := s.authorize()
	if refused != nil {
		return s.refused(request, admitted, refused, started)
	}
	if err := s.sessions.admit(ctx, admitted); err != nil {
		return s.refused(request, admitted, err, started)
	}
	forward := s.forward(admitted, request, w)
	d := s.dispatch(admitted, forward, started)
	ran := d.run(ctx)
	if ran.Refused != nil {
		s.sessions.refund(admitted, ran.Refused)
		return s.refused(request, admitted, ran.Refused, started)
	}
	// A proven primary of a newer term may have dropped what the session wrote in an
	// older one; its position stands for the rest.
	if w.write || (ran.ProvedPrimary && !s.position.IsZero() && ran.Position.Term > s.position.Term) {
		s.seen(ran.Position)
	}
	return s.served(admitted, d.request, d.home, ran, started)
}

// first opens the transaction at an endpoint with its first statement.
func (s *Session) first(ctx context.Context, request statement.Request, forward *peer.RunRequest, started time.Time) statement.Response {
	t := s.transaction
	forward.Step = peer.StepFirst
	forward.Transaction = peer.TransactionKey{
		Process: s.sessions.config.View.Self().Incarnation,
		Number:  s.sessions.lastTransaction.Add(1),
	}
	d := s.dispatch(t.admission, forward, started)
	ran := d.run(ctx)
	if ran.Refused != nil {
		s.sessions.refund(t.admission, ran.Refused)
		return s.refused(request, t.admission, ran.Refused, started)
	}
	t.placed = true
	t.key = d.request.Transaction
	t.endpoint = d.endpoint
	t.home = d.home
	t.wrote = forward.Write
	return s.served(t.admission, d.request, d.home, ran, started)
}

// next runs a further statement, or the commit, of the open transaction.
func (s *Session) next(ctx context.Context, request statement.Request, forward *peer.RunRequest, started time.Time) statement.Response {
	t := s.transaction
	forward.Endpoint = t.endpoint.Key.ID
	forward.Transaction = t.key
	forward.Timeout = timeoutOf(t.admission.route)
	s.tried = attempt{
		endpoint: t.endpoint.Key.ID,
		home:     t.home.Name,
	}
	ran, err := s.sessions.call(ctx, t.home, forward)
	if err != nil {
		ran = &peer.RunResponse{Refused: lostStep(forward, err)}
	}
	if ran.Refused != nil {
		if ran.Refused.Outcome != refusal.NotRun && forward.Step != peer.StepCommit && ran.Refused.Reason != refusal.StatementFailed {
			// Nothing of a transaction is kept whose commit was never sent.
			ran.Refused = refusal.NewNotRun(refusal.TransactionConflict, ran.Refused.Message)
		}
		return s.refused(request, t.admission, ran.Refused, started)
	}
	t.wrote = t.wrote || forward.Write
	return s.served(t.admission, forward, t.home, ran, started)
}

// lostStep answers for a step whose home was lost. The home rolls the transaction
// back unless the commit was sent.
func lostStep(forward *peer.RunRequest, err error) *refusal.Error {
	if forward.Step == peer.StepCommit && !errors.Is(err, peer.ErrUnreachable) {
		return refusal.NewUnknown(refusal.OutcomeNotKnown, "the home was lost before it answered the commit")
	}
	return refusal.NewNotRun(refusal.TransactionConflict, "the home of the transaction was lost before its commit")
}

// commit ends the open transaction and keeps it. One without statements is opened
// first, because the caller's commit has to reach an endpoint.
func (s *Session) commit(ctx context.Context, request statement.Request) statement.Response {
	t := s.transaction
	if t == nil {
		return s.refuse(refusal.NewNotRun(refusal.InvalidRequest, "no transaction is open"))
	}
	started := s.sessions.config.Timer.Now()
	if !t.placed {
		if err := s.sessions.admit(ctx, t.admission); err != nil {
			s.transaction = nil
			return s.refused(request, t.admission, err, started)
		}
		opening := s.forward(t.admission, statement.Request{}, work{})
		if answer := s.first(ctx, request, opening, started); answer.Refused != nil {
			s.transaction = nil
			return s.answer(answer)
		}
	}
	forward := s.forward(t.admission, request, work{text: request.Text})
	forward.Step = peer.StepCommit
	wrote := t.wrote
	at := s.sessions.config.View.SinceBoot()
	answer := s.next(ctx, request, forward, started)
	s.transaction = nil
	if answer.Refused == nil && wrote {
		s.seen(answer.Position)
		s.sessions.config.View.AddSample(t.admission.database.Name, at, answer.Position)
	}
	return s.answer(answer)
}

// abandon ends the transaction in the background; nothing of it is kept.
func (s *Session) abandon() {
	t := s.transaction
	s.transaction = nil
	if !t.placed {
		return
	}
	request := &peer.RunRequest{
		Step:        peer.StepRollback,
		Transaction: t.key,
		Endpoint:    t.endpoint.Key.ID,
		Timeout:     timeoutOf(t.admission.route),
	}
	go func() {
		if _, err := s.sessions.call(context.Background(), t.home, request); err != nil {
			s.sessions.config.Log.V(1).Info("The home of a rolled back transaction is lost.", "peer", t.home.Name, "error", err.Error())
		}
	}()
}

// seen raises the position of the session.
func (s *Session) seen(position logpos.Position) {
	s.position = logpos.Max(s.position, position)
}

func (s *Session) forward(a admission, request statement.Request, w work) *peer.RunRequest {
	return &peer.RunRequest{
		TransactionIdle: a.idle,
		Workspace:       a.workspace,
		MaxConnections:  a.database.MaxConnections,
		Priority:        a.route.Priority,
		ID:              request.ID,
		Text:            w.text,
		Write:           w.write,
		Prepared:        w.prepared,
		Values:          s.values,
	}
}

func (s *SessionManager) admit(ctx context.Context, a admission) error {
	if a.route.Public {
		return nil
	}
	return s.config.Limiter.Admit(ctx, a.workspace)
}

// refund gives back the token of an operation that no endpoint has run any part of.
func (s *SessionManager) refund(a admission, refused *refusal.Error) {
	if a.route.Public || refused.Outcome != refusal.NotRun {
		return
	}
	switch refused.Reason {
	case refusal.Overloaded, refusal.QueueTimeout, refusal.DeadlineTooShort, refusal.NoPrimary, refusal.NotPrimary, refusal.ReplicaBehind:
		s.config.Limiter.Refund(a.workspace)
	}
}

// served counts a success and logs where the statement ran and what decided it.
func (s *Session) served(a admission, request *peer.RunRequest, home catalog.VM, ran *peer.RunResponse, started time.Time) statement.Response {
	took := s.sessions.config.Timer.Now().Sub(started)
	s.sessions.outcomes.served(a.route.Kind, took)
	s.sessions.config.Log.V(1).Info("Served a statement.", "request", request.ID, "database", a.route.Database, "workspace", a.workspace,
		"endpoint", request.Endpoint, "home", home.Name, "step", request.Step.String(), "after", request.After.String(),
		"configuration", a.version, "tookMicroseconds", took.Microseconds())
	return s.answer(statement.Response{
		Rows:      ran.Rows,
		Signature: ran.Signature,
		Position:  ran.Position,
	})
}

// refused logs a refusal with what decided it, and answers with it.
func (s *Session) refused(request statement.Request, a admission, err error, started time.Time) statement.Response {
	refused, ok := refusal.As(err)
	if !ok {
		refused = refusal.NewNotRun(refusal.Internal, err.Error())
	}
	s.sessions.outcomes.refused(a.route.Kind, refused.Reason)
	s.sessions.config.Log.Info("Refused a statement.", "request", request.ID, "reason", refused.Reason, "outcome", refused.Outcome.String(),
		"message", refused.Message, "endpoint", s.tried.endpoint, "home", s.tried.home, "database", a.route.Database, "workspace", a.workspace, "configuration", a.version,
		"transaction", s.transaction != nil, "took", s.sessions.config.Timer.Now().Sub(started).String())
	return s.refuse(refused)
}

func timeoutOf(route catalog.Route) time.Duration {
	if route.Timeout <= 0 {
		return defaultTimeout
	}
	return route.Timeout
}
