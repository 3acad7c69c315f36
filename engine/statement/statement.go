// Package statement defines the statements that callers send and the responses to them.
package statement

import (
	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/refusal"
)

// Statement is a parsed statement: Begin, Commit, Rollback, Read, Write, Set, Prepare,
// Execute, Deallocate or Malformed.
type Statement interface{ statement() }

// Begin opens a transaction.
type Begin struct {
	ReadOnly bool
}

// Commit commits the open transaction.
type Commit struct{}

// Rollback rolls the open transaction back.
type Rollback struct{}

// Read reads data. The endpoint gets its text from the request.
type Read struct{}

// Write changes data. The endpoint gets its text from the request.
type Write struct{}

// Set sets a session value.
type Set struct {
	Name, Value string
}

// Prepare prepares a statement under a name.
type Prepare struct {
	Name string
	Prepared
}

// Prepared is a prepared statement.
type Prepared struct {
	// Write is set for statements that change data.
	Write bool
	// Shape is the text of the statement without its arguments.
	Shape string
}

// Execute runs a prepared statement with arguments.
type Execute struct {
	Name      string
	Arguments string
}

// Deallocate removes a prepared statement.
type Deallocate struct {
	Name string
}

// Malformed is a text that could not be parsed.
type Malformed struct {
	// Problem is the reason, as a message for the caller.
	Problem string
}

func (Begin) statement()      {}
func (Commit) statement()     {}
func (Rollback) statement()   {}
func (Read) statement()       {}
func (Write) statement()      {}
func (Set) statement()        {}
func (Prepare) statement()    {}
func (Execute) statement()    {}
func (Deallocate) statement() {}
func (Malformed) statement()  {}

// Request is a caller's request to run a statement.
type Request struct {
	// ID is the caller's id of the operation.
	ID string
	// Text is the original text, which is forwarded to an endpoint unchanged.
	Text      string
	Statement Statement
}

// State is the transaction state of a session.
type State int

// The states.
const (
	Idle State = iota
	InTransaction
	// InFailedTransaction means that the open transaction can only be rolled back.
	InFailedTransaction
)

// Response is the complete response to a request.
type Response struct {
	Rows []string
	// Signature is the endpoint's proof that it ran the statement. It is empty for
	// statements that the proxy handles itself.
	Signature string
	// Refused is set instead of rows and a signature if the statement was refused.
	Refused *refusal.Error
	// State is the session's state after the statement.
	State State
	// Position is the log position after the statement; zero if it is not known.
	Position logpos.Position
}
