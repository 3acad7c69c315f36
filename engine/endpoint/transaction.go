package endpoint

import (
	"context"
	"sync"
	"time"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/engine/statement"
)

// transaction is open on a connection that nothing else uses.
type transaction struct {
	key      peer.TransactionKey
	node     *node
	pooled   *pooled
	readOnly bool
	wrote    bool
	// idle is how long the transaction may rest between statements.
	idle     time.Duration
	lastUsed time.Time

	// mu is held while a step runs.
	mu    sync.Mutex
	ended bool
}

// begin opens the session's transaction and runs its first statement. If that does
// not succeed, nothing stays open.
func (h *Home) begin(ctx context.Context, request *peer.RunRequest, deadline time.Time) *peer.RunResponse {
	n, err := h.node(request)
	if err != nil {
		return refusedError(err)
	}
	if err := n.pin(ctx, deadline); err != nil {
		return refusedError(err)
	}
	t := &transaction{
		key:      request.Transaction,
		node:     n,
		readOnly: request.ReadOnly,
		idle:     request.TransactionIdle,
		lastUsed: h.config.Timer.Now(),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var result *peer.RunResponse
	err = n.inSlot(ctx, request, deadline, func() bool {
		result = h.open(ctx, t, request, deadline)
		return answeredBy(result)
	})
	if err != nil {
		n.unpin()
		return refusedError(err)
	}
	result.ExpectedWait = n.expectedWait(request.Workspace)
	if result.Refused != nil || t.ended {
		if t.pooled != nil {
			n.put(t.pooled, !t.ended && rollBackOn(t.pooled))
		}
		n.unpin()
		result.Failed = false
		return result
	}
	h.mu.Lock()
	h.transactions[request.Transaction] = t
	h.mu.Unlock()
	return result
}

// open begins a transaction at the endpoint. The statement goes out only after the
// answer to the begin, because it would run outside of a transaction that an endpoint
// without the lead, or without the position, refuses.
func (h *Home) open(ctx context.Context, t *transaction, request *peer.RunRequest, deadline time.Time) *peer.RunResponse {
	c, err := t.node.connection(ctx, request.Workspace, deadline)
	if err != nil {
		return refusedError(err)
	}
	t.pooled = c
	commands, name := c.matching(request.Values, request.Prepared, false)
	commands = append(commands, Begin{
		ReadOnly: request.ReadOnly,
		After:    request.After,
	})
	replies, err := c.Run(deadline.Sub(h.config.Timer.Now()), commands)
	if err != nil {
		t.ended = true
		t.node.unanswered()
		return refused(refusal.NewNotRun(refusal.Unreachable, "the endpoint did not answer the start of the transaction"))
	}
	t.node.answered()
	for _, r := range replies {
		if r.Err != nil {
			failed := refusedBy(r.Err)
			failed.Outcome = refusal.NotRun
			return refused(failed)
		}
	}
	if request.Text == "" {
		return &peer.RunResponse{Position: replies[len(replies)-1].Position}
	}
	return h.step(t, request, bodyOf(request, name), deadline)
}

// next runs a statement, or the commit, in the session's transaction.
func (h *Home) next(ctx context.Context, request *peer.RunRequest, deadline time.Time) *peer.RunResponse {
	h.mu.Lock()
	t, ok := h.transactions[request.Transaction]
	h.mu.Unlock()
	if !ok {
		return refused(refusal.NewNotRun(refusal.TransactionUnknown, "the transaction is not open any longer"))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return refused(refusal.NewNotRun(refusal.TransactionUnknown, "the transaction is not open any longer"))
	}
	t.lastUsed = h.config.Timer.Now()
	var result *peer.RunResponse
	err := t.node.inSlot(ctx, request, deadline, func() bool {
		if request.Step == peer.StepCommit {
			result = h.commit(t, request, deadline)
			return answeredBy(result)
		}
		commands, name := t.pooled.matching(request.Values, request.Prepared, true)
		if len(commands) > 0 {
			if result = h.prepareStep(t, commands, deadline); result != nil {
				return false
			}
		}
		result = h.step(t, request, bodyOf(request, name), deadline)
		return answeredBy(result)
	})
	if err != nil {
		result = refusedError(err)
		result.Failed = true
	}
	t.lastUsed = h.config.Timer.Now()
	switch {
	case t.ended:
		h.release(t, false)
	case request.Step == peer.StepCommit && err == nil:
		h.release(t, true)
	case request.Step == peer.StepCommit || result.Failed:
		h.release(t, rollBackOn(t.pooled))
	}
	return result
}

// prepareStep brings the transaction's connection up to date; nil if it is.
func (h *Home) prepareStep(t *transaction, commands []Command, deadline time.Time) *peer.RunResponse {
	replies, err := t.pooled.Run(deadline.Sub(h.config.Timer.Now()), commands)
	if err != nil {
		t.ended = true
		return lostInTransaction()
	}
	for _, r := range replies {
		if r.Err != nil {
			t.ended = true
			return lostInTransaction()
		}
	}
	return nil
}

// step runs one statement on the transaction's connection.
func (h *Home) step(t *transaction, request *peer.RunRequest, body Command, deadline time.Time) *peer.RunResponse {
	replies, err := t.pooled.Run(deadline.Sub(h.config.Timer.Now()), []Command{body})
	if err != nil {
		t.ended = true
		t.node.unanswered()
		return lostInTransaction()
	}
	t.node.answered()
	t.wrote = t.wrote || request.Write
	result := ranFrom(replies[0], !t.readOnly)
	if result.Refused != nil {
		result.Failed = true
		if replies[0].Err.Code == NotPrimary {
			result.Refused.Outcome = refusal.NotRun
		}
	}
	return result
}

// commit sends the caller's commit. A busy endpoint is asked again, because it has
// neither kept nor dropped the transaction.
func (h *Home) commit(t *transaction, request *peer.RunRequest, deadline time.Time) *peer.RunResponse {
	for {
		replies, err := t.pooled.Run(deadline.Sub(h.config.Timer.Now()), []Command{Commit{ID: request.ID}})
		if err != nil {
			t.ended = true
			t.node.unanswered()
			return refused(refusal.NewUnknown(refusal.OutcomeNotKnown, "the endpoint did not answer the commit"))
		}
		t.node.answered()
		reply := replies[0]
		if reply.Err == nil || reply.Err.Code != Busy || reply.State != statement.InTransaction ||
			deadline.Sub(h.config.Timer.Now()) < minRetryTime {
			t.ended = reply.State != statement.Idle
			return ranFrom(reply, t.wrote)
		}
		h.pauseBusy()
	}
}

// busyPause before another try at an endpoint without a free slot, about the time of
// a short statement.
const busyPause = 10 * time.Millisecond

func (h *Home) pauseBusy() {
	<-h.config.Timer.After(busyPause).C()
}

// rollBack ends the session's transaction, if it is open.
func (h *Home) rollBack(key peer.TransactionKey) *peer.RunResponse {
	h.mu.Lock()
	t, ok := h.transactions[key]
	h.mu.Unlock()
	if ok {
		h.finish(t, true)
	}
	return &peer.RunResponse{}
}

// rollBackTimeout for the answer to a rollback; the connection is closed after it,
// which rolls back too.
const rollBackTimeout = 300 * time.Millisecond

// finish rolls a transaction back once its running step has ended. Its connection is
// kept if the endpoint confirms.
func (h *Home) finish(t *transaction, keep bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		h.release(t, false)
		return
	}
	h.release(t, keep && rollBackOn(t.pooled))
}

// rollBackOn rolls back what is open on a connection, and tells whether the
// connection can be used again.
func rollBackOn(c *pooled) bool {
	replies, err := c.Run(rollBackTimeout, []Command{Rollback{}})
	return err == nil && replies[0].State == statement.Idle
}

// release forgets a transaction and gives its connection back. The caller holds the
// transaction's lock.
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
	t.node.put(t.pooled, reusable)
	t.node.unpin()
}

func lostInTransaction() *peer.RunResponse {
	result := refused(refusal.NewNotRun(refusal.TransactionConflict, "the connection of the transaction was lost before its commit"))
	result.Failed = true
	return result
}
