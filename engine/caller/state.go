package caller

import (
	"strings"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/budget"
	"amaranthdock.dev/engine/statement"
)

// nameBytes is the memory of an entry of a map besides its texts.
const nameBytes = 128

// HoldIn makes the session take its memory from an account, and counts the account for the
// session's workspace. It returns a refusal if the texts of the session's start do not fit.
func (s *Session) HoldIn(account *budget.Account) *refusal.Error {
	s.account = account
	if auth, refused := s.authorize(); refused == nil {
		account.SetGroup(budget.Group(auth.workspace))
	}
	// The texts are parts of a line that would otherwise stay in memory.
	s.host, s.key = strings.Clone(s.host), strings.Clone(s.key)
	return s.holdState(0, int64(len(s.host)+len(s.key)), 0)
}

// set sets a session value.
func (s *Session) set(set statement.Set) statement.Response {
	old, replaces := s.values[set.Name]
	if refused := s.holdState(entryBytes(replaces, set.Name, old), entryBytes(true, set.Name, set.Value), len(s.values)+len(s.prepared)); refused != nil {
		return s.respondRefused(refused)
	}
	if s.values == nil {
		s.values = map[string]string{}
	}
	s.values[strings.Clone(set.Name)] = strings.Clone(set.Value)
	return s.respond(statement.Response{})
}

// prepare prepares a statement.
func (s *Session) prepare(prepare statement.Prepare) statement.Response {
	old, replaces := s.prepared[prepare.Name]
	if refused := s.holdState(entryBytes(replaces, prepare.Name, old.Shape), entryBytes(true, prepare.Name, prepare.Shape), len(s.values)+len(s.prepared)); refused != nil {
		return s.respondRefused(refused)
	}
	if s.prepared == nil {
		s.prepared = map[string]statement.Prepared{}
	}
	prepare.Shape = strings.Clone(prepare.Shape)
	s.prepared[strings.Clone(prepare.Name)] = prepare.Prepared
	return s.respond(statement.Response{})
}

// deallocate removes a prepared statement.
func (s *Session) deallocate(name string) statement.Response {
	if old, ok := s.prepared[name]; ok {
		released := entryBytes(true, name, old.Shape)
		s.stateBytes -= released
		s.account.Release(released)
		delete(s.prepared, name)
	}
	return s.respond(statement.Response{})
}

// entryBytes returns the memory of a value or a prepared statement, or 0 if there is none.
func entryBytes(exists bool, name, text string) int64 {
	if !exists {
		return 0
	}
	return int64(len(name)+len(text)) + nameBytes
}

// holdState replaces an entry's memory by that of another one. The names are those that the session
// has. It returns a refusal if the session or the process would hold too much.
func (s *Session) holdState(before, after int64, names int) *refusal.Error {
	limits := s.account.Limits()
	switch {
	case before == 0 && names >= limits.SessionNames:
		s.account.Count("sessionNames")
		return refusal.NewNotRun(refusal.InvalidRequest, "the session has too many values and prepared statements")
	case s.stateBytes-before+after > limits.SessionBytes:
		s.account.Count("sessionBytes")
		return refusal.NewNotRun(refusal.InvalidRequest, "the values and prepared statements of the session are too long")
	case !s.account.TryTake(after - before):
		s.account.Count("noMemory")
		return refusal.NewNotRun(refusal.Overloaded, "this VM has no memory left for the session")
	}
	s.account.Release(before - after)
	s.stateBytes += after - before
	return nil
}

// HoldAnswer takes the memory of an answer until it has been sent, and returns the answer and the
// memory. If it is not free, it returns a refusal instead of the rows.
func (s *Session) HoldAnswer(response statement.Response) (statement.Response, int64) {
	bytes := int64(0)
	for _, row := range response.Rows {
		bytes += int64(len(row))
	}
	if bytes <= budget.FreeBytes {
		return response, 0
	}
	if !s.account.TryTake(bytes) {
		s.account.Count("noMemory")
		return s.respondRefused(refusal.NewUnknown(refusal.Overloaded, "this VM has no memory left for the answer")), 0
	}
	return response, bytes
}
