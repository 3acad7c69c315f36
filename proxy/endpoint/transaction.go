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

// transaction is an open transaction with its own connection.
type transaction struct {
	connection *connection
	database   string
	endpoint   string
	id         string
	release    func()
	client     *endpointClient
	term       uint64
	// stepLock is a channel used as a lock: it contains an element while a step of
	// the transaction is queued or running.
	stepLock  chan struct{}
	workspace string

	// ended and lastUsed are protected by stepLock.
	ended    bool
	lastUsed time.Time
}

// begin opens a transaction at the primary.
func (h *Home) begin(ctx context.Context, s *step) (*peerv1.ForwardResult, []*callerv1.Row, error) {
	if _, err := h.writableTerm(s); err != nil {
		return nil, nil, err
	}
	if err := s.client.pool.pin(ctx); err != nil {
		return nil, nil, err
	}
	t := &transaction{
		database:  s.GetDatabase(),
		endpoint:  s.GetEndpoint(),
		id:        uuid.NewString(),
		client:    s.client,
		stepLock:  make(chan struct{}, 1),
		workspace: s.GetWorkspace(),
	}
	err := s.client.submit(ctx, h.queueItem(s), h.writeCheck(s), func() error {
		var err error
		if t.term, err = h.writableTerm(s); err != nil {
			return err
		}
		t.connection, _, err = s.client.pool.runAndKeep(ctx, s.runMessage(t.term))
		return err
	})
	if err != nil {
		s.client.pool.unpin()
		return nil, nil, err
	}
	h.addTransaction(t)
	return &peerv1.ForwardResult{
		Outcome:       callerv1.Outcome_OUTCOME_DONE,
		TransactionId: t.id,
	}, nil, nil
}

// addTransaction adds an open transaction and counts it as in flight until it ends.
func (h *Home) addTransaction(t *transaction) {
	endStep, endClientStep := h.inFlight.Begin(), t.client.inFlight.Begin()
	t.release = func() {
		endClientStep()
		endStep()
	}
	t.lastUsed = h.config.Timer.Now()
	t.client.pool.addPinned(1)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.transactions[t.id] = t
}

// continueTransaction runs a step of an open transaction after its earlier steps have
// ended.
func (h *Home) continueTransaction(ctx context.Context, s *step) (*peerv1.ForwardResult, []*callerv1.Row, error) {
	t, err := h.lockTransaction(ctx, s)
	if err != nil {
		return nil, nil, err
	}
	defer func() {
		t.lastUsed = h.config.Timer.Now()
		<-t.stepLock
	}()
	s.client = t.client
	s.Endpoint = t.endpoint
	switch s.GetVerb() {
	case endpointv1.Verb_VERB_EXECUTE:
		return h.executeInTransaction(ctx, s, t)
	case endpointv1.Verb_VERB_COMMIT:
		return h.commit(ctx, s, t)
	case endpointv1.Verb_VERB_ROLLBACK:
		return h.rollBack(ctx, s, t)
	default:
		return nil, nil, refusal.NewNotRun(refusal.InvalidRequest, "the step is not allowed in a transaction")
	}
}

// lockTransaction returns the transaction of a step and locks it once no other step
// holds the lock.
func (h *Home) lockTransaction(ctx context.Context, s *step) (*transaction, error) {
	h.mu.Lock()
	t, ok := h.transactions[s.GetTransactionId()]
	h.mu.Unlock()
	if !ok || t.workspace != s.GetWorkspace() || t.database != s.GetDatabase() {
		return nil, unknownTransaction(s)
	}
	select {
	case t.stepLock <- struct{}{}:
	case <-ctx.Done():
		return nil, refusal.NewNotRun(refusal.QueueTimeout, "an earlier step of the transaction is still running")
	}
	if t.ended {
		<-t.stepLock
		return nil, unknownTransaction(s)
	}
	return t, nil
}

// unknownTransaction returns the error for a transaction that is not open. The outcome
// of a commit is unknown: an earlier commit of the same transaction, whose response
// was lost, may have taken effect.
func unknownTransaction(s *step) error {
	if s.GetVerb() == endpointv1.Verb_VERB_COMMIT {
		return refusal.NewUnknown(refusal.TransactionUnknown, "the transaction is not open; an earlier commit may have ended it")
	}
	return refusal.NewNotRun(refusal.TransactionUnknown, "the transaction is not open")
}

func (h *Home) executeInTransaction(ctx context.Context, s *step, t *transaction) (*peerv1.ForwardResult, []*callerv1.Row, error) {
	term := uint64(0)
	if s.GetAccess() == callerv1.Access_ACCESS_WRITE {
		term = t.term
	}
	resp, err := h.runInTransaction(ctx, s, t, term)
	if err != nil {
		return nil, nil, err
	}
	return &peerv1.ForwardResult{
		Outcome:       callerv1.Outcome_OUTCOME_DONE,
		RowsAffected:  resp.rowsAffected,
		TransactionId: t.id,
	}, resp.rows, nil
}

// commit commits the transaction and waits until it is durable. The transaction stays
// open if the commit is refused before it is sent.
func (h *Home) commit(ctx context.Context, s *step, t *transaction) (*peerv1.ForwardResult, []*callerv1.Row, error) {
	if !h.config.Observer.WritesHealthy(t.database) {
		return nil, nil, &refusal.Error{
			Outcome:    refusal.NotRun,
			Reason:     refusal.ReplicationStalled,
			Message:    "no replica acknowledges writes",
			RetryAfter: stalledRetryAfter,
		}
	}
	sent := false
	var resp response
	err := t.client.submit(ctx, h.queueItem(s), nil, func() error {
		sent = true
		var err error
		resp, err = t.connection.run(ctx, s.runMessage(t.term))
		return err
	})
	if err != nil {
		if sent {
			h.endTransaction(t, false)
		}
		return h.resolveOutcome(ctx, s, t.term, refuseNotSent(err))
	}
	h.endTransaction(t, true)
	if err := h.waitDurable(ctx, s, resp.position); err != nil {
		return h.resolveOutcome(ctx, s, resp.position.Term, err)
	}
	return &peerv1.ForwardResult{
		Outcome:      callerv1.Outcome_OUTCOME_DONE,
		RowsAffected: resp.rowsAffected,
		Position:     peer.EncodePosition(resp.position),
	}, nil, nil
}

// rollBack rolls the transaction back. The transaction ends in any case: if the step
// fails, the connection is closed, and the endpoint then rolls back.
func (h *Home) rollBack(ctx context.Context, s *step, t *transaction) (*peerv1.ForwardResult, []*callerv1.Row, error) {
	_, err := h.runInTransaction(ctx, s, t, 0)
	if !t.ended {
		h.endTransaction(t, err == nil)
	}
	return &peerv1.ForwardResult{Outcome: callerv1.Outcome_OUTCOME_DONE}, nil, nil
}

// runInTransaction runs a step on the transaction's connection. It ends the
// transaction if the connection is lost.
func (h *Home) runInTransaction(ctx context.Context, s *step, t *transaction, term uint64) (response, error) {
	var resp response
	err := t.client.submit(ctx, h.queueItem(s), nil, func() error {
		var err error
		resp, err = t.client.pool.runRetryingBusy(ctx, t.connection, s.runMessage(term))
		return err
	})
	if err != nil && t.connection.isBroken() {
		h.endTransaction(t, false)
	}
	return resp, refuseNotSent(err)
}

// refuseNotSent replaces errNotSent by a refusal with the outcome NotRun.
func refuseNotSent(err error) error {
	if err == errNotSent {
		return refusal.NewNotRun(refusal.TransactionUnknown, "the connection of the transaction was lost before the step was sent")
	}
	return err
}

// endTransaction removes a transaction and releases its connection and permits. Unless
// reuse is set, the connection is closed. The caller holds t.stepLock.
func (h *Home) endTransaction(t *transaction, reuse bool) {
	t.ended = true
	h.mu.Lock()
	delete(h.transactions, t.id)
	h.mu.Unlock()
	if !reuse {
		t.connection.close()
	}
	t.client.pool.addPinned(-1)
	t.client.pool.put(t.connection)
	t.client.pool.unpin()
	t.release()
}

// rollBackIdleTransactions ends the transactions that had no step for the idle
// timeout and those whose connection was lost.
func (h *Home) rollBackIdleTransactions() {
	h.mu.Lock()
	open := make([]*transaction, 0, len(h.transactions))
	for _, t := range h.transactions {
		open = append(open, t)
	}
	h.mu.Unlock()
	for _, t := range open {
		select {
		case t.stepLock <- struct{}{}:
		default:
			continue
		}
		idle := h.config.Timer.Now().Sub(t.lastUsed)
		if !t.ended && (idle >= h.config.IdleTimeout || t.connection.isBroken()) {
			h.config.Log.Info("endpoint: rolled back a transaction that was idle or lost its connection", "endpoint", t.endpoint, "workspace", t.workspace, "idle", idle.String())
			h.endTransaction(t, false)
		}
		<-t.stepLock
	}
}
