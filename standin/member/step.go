package member

import (
	"context"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/standin/memberlog"
	"amaranthdock.dev/timer"
)

// stepResponse is the response to one step: a failure if reason is set, else a result.
type stepResponse struct {
	result
	reason    refusal.Reason
	position  logpos.Position
	term      uint64
	duplicate bool
}

// runStep runs one step of a connection.
func (m *Member) runStep(ctx context.Context, c *connection, run *endpointv1.Run) stepResponse {
	switch run.GetVerb() {
	case endpointv1.Verb_VERB_EXECUTE:
		return m.execute(ctx, c, run)
	case endpointv1.Verb_VERB_BEGIN:
		return m.begin(c, run)
	case endpointv1.Verb_VERB_COMMIT:
		return m.commit(c, run)
	case endpointv1.Verb_VERB_ROLLBACK:
		c.transaction = nil
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.responseWithoutEntry(result{})
	default:
		return failedStep(refusal.InvalidRequest)
	}
}

func (m *Member) begin(c *connection, run *endpointv1.Run) stepResponse {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.transaction != nil {
		return failedStep(refusal.InvalidRequest)
	}
	if !m.isPrimary(run.GetTerm()) {
		return failedStep(refusal.NotPrimary)
	}
	c.transaction = &openTransaction{
		transaction: newTransaction(m.table),
		term:        m.log.FencedTerm(),
	}
	return m.responseWithoutEntry(result{})
}

func (m *Member) commit(c *connection, run *endpointv1.Run) stepResponse {
	tx := c.transaction
	c.transaction = nil
	m.mu.Lock()
	defer m.mu.Unlock()
	if response, ok := m.findRecordedResult(run); ok {
		return response
	}
	if tx == nil {
		return failedStep(refusal.TransactionUnknown)
	}
	if !m.isPrimary(run.GetTerm()) || tx.term != m.log.FencedTerm() {
		return failedStep(refusal.NotPrimary)
	}
	if tx.hasConflict(m.table) {
		return failedStep(refusal.TransactionConflict)
	}
	m.recordStatement(run, "commit", nil)
	if len(tx.writeOrder) == 0 {
		return m.responseWithoutEntry(result{})
	}
	return m.commitEntry(memberlog.Entry{
		RequestID:    run.GetRequestId(),
		Workspace:    run.GetWorkspace(),
		Command:      "commit",
		Writes:       tx.orderedWrites(),
		RowsAffected: int64(len(tx.writeOrder)),
	})
}

func (m *Member) execute(ctx context.Context, c *connection, run *endpointv1.Run) stepResponse {
	statementCommand, err := findCommand(run.GetStatement())
	if err != nil {
		return failedStep(refusal.StatementFailed)
	}
	if statementCommand.write && run.GetAccess() != callerv1.Access_ACCESS_WRITE {
		return failedStep(refusal.AccessMismatch)
	}
	if !m.acquireSlot() {
		return failedStep(refusal.Overloaded)
	}
	defer m.releaseSlot()
	duration := m.config.StatementTime + sleepTime(run.GetStatement())
	if err := timer.Sleep(ctx, m.config.Timer, duration); err != nil {
		return failedStep(refusal.ConnectionLost)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.transaction != nil {
		return m.executeInTransaction(c.transaction, statementCommand, run)
	}
	return m.executeAutocommit(statementCommand, run)
}

// executeAutocommit runs a statement in a transaction of its own.
func (m *Member) executeAutocommit(statementCommand command, run *endpointv1.Run) stepResponse {
	if run.GetAccess() == callerv1.Access_ACCESS_WRITE {
		if response, ok := m.findRecordedResult(run); ok {
			return response
		}
		if !m.isPrimary(run.GetTerm()) {
			return failedStep(refusal.NotPrimary)
		}
	}
	tx := newTransaction(m.table)
	arguments := run.GetStatement().GetArguments()
	output, err := statementCommand.run(tx, arguments)
	if err != nil {
		return failedStep(refusal.StatementFailed)
	}
	m.recordStatement(run, run.GetStatement().GetCommand(), arguments)
	if len(tx.writeOrder) == 0 {
		return m.responseWithoutEntry(output)
	}
	return m.commitEntry(memberlog.Entry{
		RequestID:    run.GetRequestId(),
		Workspace:    run.GetWorkspace(),
		Command:      run.GetStatement().GetCommand(),
		Arguments:    arguments,
		Writes:       tx.orderedWrites(),
		Rows:         output.rows,
		RowsAffected: output.affected,
	})
}

// executeInTransaction runs a statement of an open transaction. It fails if the member
// is no longer the primary of the term in which the transaction began.
func (m *Member) executeInTransaction(tx *openTransaction, statementCommand command, run *endpointv1.Run) stepResponse {
	if !m.isPrimary(run.GetTerm()) || tx.term != m.log.FencedTerm() {
		return failedStep(refusal.NotPrimary)
	}
	tx.table = m.table
	arguments := run.GetStatement().GetArguments()
	output, err := statementCommand.run(tx.transaction, arguments)
	if err != nil {
		return failedStep(refusal.StatementFailed)
	}
	m.recordStatement(run, run.GetStatement().GetCommand(), arguments)
	return m.responseWithoutEntry(output)
}

// isPrimary reports whether the member is the primary of a term, or of any term if the
// term is 0. The caller holds the lock.
func (m *Member) isPrimary(term uint64) bool {
	return m.log.IsPrimary() && (term == 0 || term == m.log.FencedTerm())
}

// responseWithoutEntry returns the response to a step that appended no entry. The
// caller holds the lock.
func (m *Member) responseWithoutEntry(output result) stepResponse {
	return stepResponse{
		result:   output,
		position: m.log.Last(),
		term:     m.log.FencedTerm(),
	}
}

// findRecordedResult returns, on a primary of the expected term, the recorded result
// of a request whose ID is repeated. The caller holds the lock.
func (m *Member) findRecordedResult(run *endpointv1.Run) (stepResponse, bool) {
	if run.GetRequestId() == "" || !m.isPrimary(run.GetTerm()) {
		return stepResponse{}, false
	}
	entry, ok := m.log.Find(run.GetRequestId())
	if !ok {
		return stepResponse{}, false
	}
	return stepResponse{
		result: result{
			rows:     entry.Rows,
			affected: entry.RowsAffected,
		},
		position:  entry.Position(),
		term:      m.log.FencedTerm(),
		duplicate: true,
	}, true
}

// commitEntry commits an entry on a primary. The caller holds the lock.
func (m *Member) commitEntry(entry memberlog.Entry) stepResponse {
	committed, changes, ok := m.log.Commit(entry)
	if !ok {
		return failedStep(refusal.NotPrimary)
	}
	m.persistAndApply(changes)
	return stepResponse{
		result: result{
			rows:     committed.Rows,
			affected: committed.RowsAffected,
		},
		position: committed.Position(),
		term:     committed.Term,
	}
}

func (m *Member) releaseSlot() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runningStatements--
}

func (m *Member) acquireSlot() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runningStatements >= m.config.Slots {
		return false
	}
	m.runningStatements++
	return true
}

func failedStep(reason refusal.Reason) stepResponse {
	return stepResponse{reason: reason}
}

// recordStatement adds an executed statement to the list for the test hook. The caller
// holds the lock.
func (m *Member) recordStatement(run *endpointv1.Run, command string, arguments []string) {
	if len(m.executedStatements) >= maxExecutedStatements {
		m.executedStatements = m.executedStatements[maxExecutedStatements/2:]
	}
	m.executedStatements = append(m.executedStatements, executedStatement{
		Workspace: run.GetWorkspace(),
		RequestID: run.GetRequestId(),
		Command:   command,
		Arguments: arguments,
	})
}
