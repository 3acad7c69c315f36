package endpoint

import (
	"context"
	"sync"
	"time"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/engine/statement"
)

// transaction is an open transaction with the connection that is pinned to it.
type transaction struct {
	key        peer.TransactionKey
	client     *endpointClient
	connection *pooledConnection
	readOnly   bool
	hasWrites  bool
	// idleTimeout is the longest allowed time between two statements.
	idleTimeout time.Duration
	lastUsed    time.Time
	// evacuated is set once the transaction is being rolled back because of an evacuation. The
	// home's lock protects it.
	evacuated bool

	// mu is held while a step runs.
	mu    sync.Mutex
	ended bool
}

// runFirst opens the session's transaction and runs its first statement. If that
// fails, the transaction is rolled back.
func (h *Home) runFirst(ctx context.Context, request *peer.RunRequest, deadline time.Time) *peer.RunResponse {
	client, err := h.clientFor(request)
	if err != nil {
		return errorResult(err)
	}
	if refused := client.admitRead(request); refused != nil {
		return refusedResult(refused)
	}
	a := h.newAttempts(client, request, deadline)
	if err := client.pin(ctx, request, deadline); err != nil {
		return errorResult(err)
	}
	t := &transaction{
		key:         request.Transaction,
		client:      client,
		readOnly:    request.ReadOnly,
		idleTimeout: request.TransactionIdle,
		lastUsed:    h.config.Timer.Now(),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var result *peer.RunResponse
	err = client.runInSlot(ctx, request, deadline, func() bool {
		result = h.openWithRetries(ctx, t, a)
		return measuresServiceTime(result)
	})
	if err != nil {
		client.unpin()
		return errorResult(err)
	}
	result.ExpectedWait = client.expectedWait(request)
	if result.Refused != nil || t.ended {
		if t.connection != nil {
			client.putBack(t.connection, !t.ended && client.rollBackOpen(t.connection))
		}
		client.unpin()
		result.Failed = false
		return result
	}
	h.mu.Lock()
	h.transactions[request.Transaction] = t
	h.mu.Unlock()
	return result
}

// openWithRetries opens a transaction like openTransaction, and once more after a busy reply to the
// begin or the statement, which proves that the statement has not run. The transaction that the
// endpoint may have open is rolled back before.
func (h *Home) openWithRetries(ctx context.Context, t *transaction, a *attempts) *peer.RunResponse {
	for {
		result := h.openTransaction(ctx, t, a)
		busy := t.connection != nil && !t.ended && result.Refused != nil && result.Refused.Reason == refusal.Overloaded
		if !busy || !a.mayRetryBusy(ctx) {
			return result
		}
		t.client.putBack(t.connection, t.client.rollBackOpen(t.connection))
		t.connection = nil
		if !a.waitBusy(ctx, busyRetryDelay) {
			return result
		}
	}
}

// openTransaction begins a transaction at the endpoint and runs the first statement. It
// sends the statement only after a successful reply to the begin. If both were sent
// together and the endpoint refused the begin, because it is not the primary or has not
// reached the required position, the statement would run outside of a transaction.
func (h *Home) openTransaction(ctx context.Context, t *transaction, a *attempts) *peer.RunResponse {
	request := a.request
	c, name, replies, err := h.acquireSetUp(ctx, a, Begin{
		ReadOnly: request.ReadOnly,
		After:    request.After,
	})
	if err != nil {
		return errorResult(err)
	}
	t.connection = c
	if refused := replies[0].Err; refused != nil {
		return notRunResult(refused)
	}
	if request.Text == "" {
		return &peer.RunResponse{Position: replies[0].Position}
	}
	return h.runStep(t, request, statementCommand(request, name), a.deadline)
}

// runNext runs a statement, or the commit, in the session's transaction.
func (h *Home) runNext(ctx context.Context, request *peer.RunRequest, deadline time.Time) *peer.RunResponse {
	h.mu.Lock()
	t, ok := h.transactions[request.Transaction]
	h.mu.Unlock()
	if !ok {
		return refusedResult(h.closedTransactionRefusal(request))
	}
	a := h.newAttempts(t.client, request, deadline)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return refusedResult(h.closedTransactionRefusal(request))
	}
	t.lastUsed = h.config.Timer.Now()
	t.connection.request = request
	var result *peer.RunResponse
	err := t.client.runInSlot(ctx, request, deadline, func() bool {
		if request.Step == peer.StepCommit {
			result = h.commit(ctx, t, a)
			return measuresServiceTime(result)
		}
		if result = refusedStep(t.client, request); result != nil {
			return false
		}
		commands, name := t.connection.setupCommands(request.Values, request.Prepared, true)
		if len(commands) > 0 {
			if result = h.setUpConnection(t, commands, deadline); result != nil {
				return false
			}
		}
		if result = refusedStep(t.client, request); result != nil {
			return false
		}
		result = h.runStep(t, request, statementCommand(request, name), deadline)
		return measuresServiceTime(result)
	})
	if err != nil {
		result = errorResult(err)
		result.Failed = true
	}
	t.lastUsed = h.config.Timer.Now()
	switch {
	case t.ended:
		h.release(t, false)
	case request.Step == peer.StepCommit && err == nil:
		h.release(t, true)
	case request.Step == peer.StepCommit || result.Failed:
		h.release(t, t.client.rollBackOpen(t.connection))
	}
	return result
}

// setUpConnection runs the setup commands of a statement on the transaction's
// connection. It returns nil if they succeeded.
func (h *Home) setUpConnection(t *transaction, commands []Command, deadline time.Time) *peer.RunResponse {
	replies, err := t.connection.Run(deadline.Sub(h.config.Timer.Now()), commands)
	if err != nil {
		t.ended = true
		return lostTransactionResult()
	}
	for _, r := range replies {
		if r.Err != nil {
			t.ended = true
			return lostTransactionResult()
		}
	}
	return nil
}

// runStep runs one statement on the transaction's connection.
func (h *Home) runStep(t *transaction, request *peer.RunRequest, command Command, deadline time.Time) *peer.RunResponse {
	timeout := deadline.Sub(h.config.Timer.Now())
	sample := t.client.beginSample(request, timeout)
	replies, err := t.connection.Run(timeout, []Command{command})
	sample.end(replies, err)
	if err != nil {
		t.ended = true
		t.client.recordNoResponse(err)
		return lostTransactionResult()
	}
	t.client.recordResponse()
	t.hasWrites = t.hasWrites || request.Write
	result := resultFromReply(replies[0], !t.readOnly)
	if result.Refused != nil {
		result.Failed = true
		if replies[0].Err.Code == NotPrimary {
			result.Refused.Outcome = refusal.NotRun
		}
	}
	return result
}

// commit sends the caller's commit. It retries when the endpoint is busy, because the
// transaction is then still open.
func (h *Home) commit(ctx context.Context, t *transaction, a *attempts) *peer.RunResponse {
	for sent := 1; ; sent++ {
		if err := t.client.refusePlace(a.request); err != nil {
			t.ended = true
			return errorResult(err)
		}
		if a.isLate() {
			t.ended = true
			return refusedResult(refusal.NewNotRun(refusal.QueueTimeout, "the VM was suspended until the timeout of the commit was over"))
		}
		timeout := a.deadline.Sub(h.config.Timer.Now())
		sample := t.client.beginSample(a.request, timeout)
		replies, err := t.connection.Run(timeout, []Command{Commit{ID: a.request.ID}})
		sample.end(replies, err)
		if err != nil {
			t.ended = true
			t.client.recordNoResponse(err)
			return refusedResult(refusal.NewUnknown(refusal.OutcomeNotKnown, "the endpoint did not respond to the commit"))
		}
		t.client.recordResponse()
		reply := replies[0]
		if reply.Err == nil || reply.Err.Code != Busy || reply.State != statement.InTransaction || !a.mayRetryCommit(ctx, sent) {
			t.ended = reply.State != statement.Idle
			return resultFromReply(reply, t.hasWrites)
		}
	}
}

// rollBack rolls the session's transaction back if it is open.
func (h *Home) rollBack(key peer.TransactionKey) *peer.RunResponse {
	h.mu.Lock()
	t, ok := h.transactions[key]
	h.mu.Unlock()
	if ok {
		h.rollBackAndRelease(t, true)
	}
	return &peer.RunResponse{}
}

// rollBackTimeout is the timeout of a rollback. After it the connection is closed, on
// which the endpoint rolls back as well.
const rollBackTimeout = 300 * time.Millisecond

// rollBackAndRelease rolls a transaction back once its running step has ended. Its
// connection is kept for reuse if keep is set and the endpoint confirms the rollback.
func (h *Home) rollBackAndRelease(t *transaction, keep bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		h.release(t, false)
		return
	}
	h.release(t, keep && t.client.rollBackOpen(t.connection))
}

// rollBackOnConnection rolls back the transaction that is open on a connection, and
// reports whether the connection can be reused. If the budget of a cold endpoint has no room, the
// connection has to be closed instead, on which the endpoint rolls back as well.
func rollBackOnConnection(c *pooledConnection) bool {
	if !c.client.reserveAgain(c.request, 1) {
		return false
	}
	replies, err := c.Run(rollBackTimeout, []Command{Rollback{}})
	return err == nil && replies[0].State == statement.Idle
}

// release removes a transaction and returns its connection to the pool. The
// transaction's lock must be held.
func (h *Home) release(t *transaction, reusable bool) {
	h.mu.Lock()
	current, ok := h.transactions[t.key]
	owned := ok && current == t
	if owned {
		delete(h.transactions, t.key)
	}
	h.mu.Unlock()
	t.ended = true
	if !owned {
		return
	}
	t.client.putBack(t.connection, reusable)
	t.client.unpin()
}

// lostTransactionResult returns the result of a step whose transaction was lost with
// its connection.
func lostTransactionResult() *peer.RunResponse {
	result := refusedResult(refusal.NewNotRun(refusal.TransactionConflict, "the connection of the transaction was lost before its commit"))
	result.Failed = true
	return result
}
