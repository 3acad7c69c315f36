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

// answer is the outcome of one step: a failure if reason is set, else a result.
type answer struct {
	result
	reason    refusal.Reason
	position  logpos.Position
	term      uint64
	duplicate bool
}

// step runs one step of a connection.
func (m *Member) step(ctx context.Context, c *connection, run *endpointv1.Run) answer {
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
		return m.read(result{})
	default:
		return failed(refusal.InvalidRequest)
	}
}

func (m *Member) begin(c *connection, run *endpointv1.Run) answer {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.transaction != nil {
		return failed(refusal.InvalidRequest)
	}
	if !m.leads(run.GetTerm()) {
		return failed(refusal.NotPrimary)
	}
	c.transaction = &openTransaction{
		transaction: newTransaction(m.table),
		term:        m.log.FencedTerm(),
	}
	return m.read(result{})
}

func (m *Member) commit(c *connection, run *endpointv1.Run) answer {
	open := c.transaction
	c.transaction = nil
	m.mu.Lock()
	defer m.mu.Unlock()
	if held, ok := m.recorded(run); ok {
		return held
	}
	if open == nil {
		return failed(refusal.TransactionUnknown)
	}
	if !m.leads(run.GetTerm()) || open.term != m.log.FencedTerm() {
		return failed(refusal.NotPrimary)
	}
	if open.conflicts(m.table) {
		return failed(refusal.TransactionConflict)
	}
	m.record(run, "commit", nil)
	if len(open.order) == 0 {
		return m.read(result{})
	}
	return m.write(memberlog.Entry{
		RequestID:    run.GetRequestId(),
		Workspace:    run.GetWorkspace(),
		Command:      "commit",
		Writes:       open.logWrites(),
		RowsAffected: int64(len(open.order)),
	})
}

func (m *Member) execute(ctx context.Context, c *connection, run *endpointv1.Run) answer {
	known, err := lookUp(run.GetStatement())
	if err != nil {
		return failed(refusal.StatementFailed)
	}
	if known.write && run.GetAccess() != callerv1.Access_ACCESS_WRITE {
		return failed(refusal.AccessMismatch)
	}
	if !m.takeSlot() {
		return failed(refusal.Overloaded)
	}
	defer m.freeSlot()
	duration := m.config.StatementTime + extraTime(run.GetStatement())
	if err := timer.Sleep(ctx, m.config.Timer, duration); err != nil {
		return failed(refusal.ConnectionLost)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.transaction != nil {
		return m.executeOpen(c.transaction, known, run)
	}
	return m.executeAlone(known, run)
}

// executeAlone runs a statement as a transaction of its own.
func (m *Member) executeAlone(known command, run *endpointv1.Run) answer {
	if run.GetAccess() == callerv1.Access_ACCESS_WRITE {
		if held, ok := m.recorded(run); ok {
			return held
		}
		if !m.leads(run.GetTerm()) {
			return failed(refusal.NotPrimary)
		}
	}
	t := newTransaction(m.table)
	arguments := run.GetStatement().GetArguments()
	done, err := known.run(t, arguments)
	if err != nil {
		return failed(refusal.StatementFailed)
	}
	m.record(run, run.GetStatement().GetCommand(), arguments)
	if len(t.order) == 0 {
		return m.read(done)
	}
	return m.write(memberlog.Entry{
		RequestID:    run.GetRequestId(),
		Workspace:    run.GetWorkspace(),
		Command:      run.GetStatement().GetCommand(),
		Arguments:    arguments,
		Writes:       t.logWrites(),
		Rows:         done.rows,
		RowsAffected: done.affected,
	})
}

// executeOpen runs a statement of an open transaction, which the loss of the
// primary's role ends.
func (m *Member) executeOpen(open *openTransaction, known command, run *endpointv1.Run) answer {
	if !m.leads(run.GetTerm()) || open.term != m.log.FencedTerm() {
		return failed(refusal.NotPrimary)
	}
	open.table = m.table
	arguments := run.GetStatement().GetArguments()
	done, err := known.run(open.transaction, arguments)
	if err != nil {
		return failed(refusal.StatementFailed)
	}
	m.record(run, run.GetStatement().GetCommand(), arguments)
	return m.read(done)
}

// leads tells whether the member is the primary, of the given term unless that
// is 0. The caller holds the lock.
func (m *Member) leads(term uint64) bool {
	return m.log.Leads() && (term == 0 || term == m.log.FencedTerm())
}

// read returns the answer to a step without an entry. The caller holds the lock.
func (m *Member) read(done result) answer {
	return answer{
		result:   done,
		position: m.log.Last(),
		term:     m.log.FencedTerm(),
	}
}

// recorded returns the recorded result of a repeated request id on a primary of
// the expected term. The caller holds the lock.
func (m *Member) recorded(run *endpointv1.Run) (answer, bool) {
	if run.GetRequestId() == "" || !m.leads(run.GetTerm()) {
		return answer{}, false
	}
	held, ok := m.log.Find(run.GetRequestId())
	if !ok {
		return answer{}, false
	}
	return answer{
		result: result{
			rows:     held.Rows,
			affected: held.RowsAffected,
		},
		position:  held.Position(),
		term:      m.log.FencedTerm(),
		duplicate: true,
	}, true
}

// write commits an entry on a primary. The caller holds the lock.
func (m *Member) write(entry memberlog.Entry) answer {
	committed, changes, ok := m.log.Commit(entry)
	if !ok {
		return failed(refusal.NotPrimary)
	}
	m.keep(changes)
	return answer{
		result: result{
			rows:     committed.Rows,
			affected: committed.RowsAffected,
		},
		position: committed.Position(),
		term:     committed.Term,
	}
}

func (m *Member) freeSlot() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running--
}

func (m *Member) takeSlot() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running >= m.config.Slots {
		return false
	}
	m.running++
	return true
}

func failed(reason refusal.Reason) answer {
	return answer{reason: reason}
}

// record notes a statement that ran. The caller holds the lock.
func (m *Member) record(run *endpointv1.Run, command string, arguments []string) {
	if len(m.statements) >= maxStatements {
		m.statements = m.statements[maxStatements/2:]
	}
	m.statements = append(m.statements, ranStatement{
		Workspace: run.GetWorkspace(),
		RequestID: run.GetRequestId(),
		Command:   command,
		Arguments: arguments,
	})
}
