package endpoint

import (
	"context"
	"time"

	"github.com/google/uuid"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/proxy/peer"
)

// transaction is open on a connection that no other step uses.
type transaction struct {
	connection *connection
	database   string
	endpoint   string
	id         string
	leave      func()
	node       *node
	term       uint64
	// turn holds one entry while a step of the transaction waits or runs.
	turn      chan struct{}
	workspace string

	// ended and lastUsed belong to the holder of the turn.
	ended    bool
	lastUsed time.Time
}

// begin opens a transaction at the primary.
func (h *Home) begin(ctx context.Context, s *step) (*peerv1.ForwardResult, []*callerv1.Row, error) {
	if _, err := h.writableTerm(s); err != nil {
		return nil, nil, err
	}
	if err := s.node.pool.pin(ctx); err != nil {
		return nil, nil, err
	}
	opened := &transaction{
		database:  s.GetDatabase(),
		endpoint:  s.GetEndpoint(),
		id:        uuid.NewString(),
		node:      s.node,
		turn:      make(chan struct{}, 1),
		workspace: s.GetWorkspace(),
	}
	err := s.node.submit(ctx, h.item(s), h.checkWrite(s), func() error {
		var err error
		if opened.term, err = h.writableTerm(s); err != nil {
			return err
		}
		opened.connection, _, err = s.node.pool.runKeep(ctx, s.run(opened.term))
		return err
	})
	if err != nil {
		s.node.pool.unpin()
		return nil, nil, err
	}
	h.register(opened)
	return &peerv1.ForwardResult{
		Outcome:       callerv1.Outcome_OUTCOME_DONE,
		TransactionId: opened.id,
	}, nil, nil
}

func (h *Home) register(opened *transaction) {
	endStep, endNode := h.inFlight.Begin(), opened.node.inFlight.Begin()
	opened.leave = func() {
		endNode()
		endStep()
	}
	opened.lastUsed = h.config.Timer.Now()
	opened.node.pool.setPinned(1)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.transactions[opened.id] = opened
}

// continueTransaction runs a step of an open transaction, after the earlier ones.
func (h *Home) continueTransaction(ctx context.Context, s *step) (*peerv1.ForwardResult, []*callerv1.Row, error) {
	t, err := h.takeTurn(ctx, s)
	if err != nil {
		return nil, nil, err
	}
	defer func() {
		t.lastUsed = h.config.Timer.Now()
		<-t.turn
	}()
	s.node = t.node
	s.Endpoint = t.endpoint
	switch s.GetVerb() {
	case endpointv1.Verb_VERB_EXECUTE:
		return h.executeIn(ctx, s, t)
	case endpointv1.Verb_VERB_COMMIT:
		return h.commit(ctx, s, t)
	case endpointv1.Verb_VERB_ROLLBACK:
		return h.rollBack(ctx, s, t)
	default:
		return nil, nil, refusal.NewNotRun(refusal.InvalidRequest, "the step has no place in a transaction")
	}
}

// takeTurn waits until the transaction is free for the step.
func (h *Home) takeTurn(ctx context.Context, s *step) (*transaction, error) {
	h.mu.Lock()
	t, ok := h.transactions[s.GetTransactionId()]
	h.mu.Unlock()
	if !ok || t.workspace != s.GetWorkspace() || t.database != s.GetDatabase() {
		return nil, unknownTransaction(s)
	}
	select {
	case t.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, refusal.NewNotRun(refusal.QueueTimeout, "an earlier step of the transaction is still running")
	}
	if t.ended {
		<-t.turn
		return nil, unknownTransaction(s)
	}
	return t, nil
}

// unknownTransaction leaves the outcome of a commit open: an earlier commit of the
// same transaction, whose answer was lost, may have taken effect.
func unknownTransaction(s *step) error {
	if s.GetVerb() == endpointv1.Verb_VERB_COMMIT {
		return refusal.NewUnknown(refusal.TransactionUnknown, "the transaction is not open; an earlier commit may have ended it")
	}
	return refusal.NewNotRun(refusal.TransactionUnknown, "the transaction is not open")
}

func (h *Home) executeIn(ctx context.Context, s *step, t *transaction) (*peerv1.ForwardResult, []*callerv1.Row, error) {
	term := uint64(0)
	if s.GetAccess() == callerv1.Access_ACCESS_WRITE {
		term = t.term
	}
	got, err := h.runIn(ctx, s, t, term)
	if err != nil {
		return nil, nil, err
	}
	return &peerv1.ForwardResult{
		Outcome:       callerv1.Outcome_OUTCOME_DONE,
		RowsAffected:  got.rowsAffected,
		TransactionId: t.id,
	}, got.rows, nil
}

// commit ends the transaction unless it is refused before it was sent.
func (h *Home) commit(ctx context.Context, s *step, t *transaction) (*peerv1.ForwardResult, []*callerv1.Row, error) {
	if !h.config.Observer.WritesHealthy(t.database) {
		return nil, nil, &refusal.Error{
			Outcome:    refusal.NotRun,
			Reason:     refusal.ReplicationStalled,
			Message:    "no replica confirms writes",
			RetryAfter: stalledRetryAfter,
		}
	}
	sent := false
	var got answer
	err := t.node.submit(ctx, h.item(s), nil, func() error {
		sent = true
		var err error
		got, err = t.connection.run(ctx, s.run(t.term))
		return err
	})
	if err != nil {
		if sent {
			h.end(t, false)
		}
		return h.settle(ctx, s, t.term, lostInTransaction(err))
	}
	h.end(t, true)
	if err := h.waitDurable(ctx, s, got.position); err != nil {
		return h.settle(ctx, s, got.position.Term, err)
	}
	return &peerv1.ForwardResult{
		Outcome:      callerv1.Outcome_OUTCOME_DONE,
		RowsAffected: got.rowsAffected,
		Position:     peer.EncodePosition(got.position),
	}, nil, nil
}

// rollBack always ends the transaction: if the step fails, the connection is
// closed, on which the member rolls back.
func (h *Home) rollBack(ctx context.Context, s *step, t *transaction) (*peerv1.ForwardResult, []*callerv1.Row, error) {
	_, err := h.runIn(ctx, s, t, 0)
	if !t.ended {
		h.end(t, err == nil)
	}
	return &peerv1.ForwardResult{Outcome: callerv1.Outcome_OUTCOME_DONE}, nil, nil
}

// runIn runs a step on the transaction's connection; a lost connection ends the
// transaction.
func (h *Home) runIn(ctx context.Context, s *step, t *transaction, term uint64) (answer, error) {
	var got answer
	err := t.node.submit(ctx, h.item(s), nil, func() error {
		var err error
		got, err = t.node.pool.runOn(ctx, t.connection, s.run(term))
		return err
	})
	if err != nil && t.connection.isBroken() {
		h.end(t, false)
	}
	return got, lostInTransaction(err)
}

// lostInTransaction turns the proof that a step was not sent into a refusal.
func lostInTransaction(err error) error {
	if err == errNotSent {
		return refusal.NewNotRun(refusal.TransactionUnknown, "the connection of the transaction was lost before the step")
	}
	return err
}

// end forgets a transaction. The caller holds its turn.
func (h *Home) end(t *transaction, reuse bool) {
	t.ended = true
	h.mu.Lock()
	delete(h.transactions, t.id)
	h.mu.Unlock()
	if !reuse {
		t.connection.close()
	}
	t.node.pool.setPinned(-1)
	t.node.pool.put(t.connection)
	t.node.pool.unpin()
	t.leave()
}

// rollBackIdle ends the transactions without a step for the idle timeout, and
// those whose connection was lost.
func (h *Home) rollBackIdle() {
	h.mu.Lock()
	open := make([]*transaction, 0, len(h.transactions))
	for _, t := range h.transactions {
		open = append(open, t)
	}
	h.mu.Unlock()
	for _, t := range open {
		select {
		case t.turn <- struct{}{}:
		default:
			continue
		}
		idle := h.config.Timer.Now().Sub(t.lastUsed)
		if !t.ended && (idle >= h.config.IdleTimeout || t.connection.isBroken()) {
			h.config.Log.Info("endpoint: transaction rolled back", "endpoint", t.endpoint, "workspace", t.workspace, "idle", idle.String())
			h.end(t, false)
		}
		<-t.turn
	}
}
