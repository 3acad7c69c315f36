// Package statement holds the statements of callers and the answers to them.
package statement

import (
	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/refusal"
)

// Statement is Begin, Commit, Rollback, Read, Write, Set, Prepare, Execute,
// Deallocate or Malformed.
type Statement interface{ statement() }

// Begin opens a transaction.
type Begin struct {
	ReadOnly bool
}

// Commit ends a transaction and keeps it.
type Commit struct{}

// Rollback ends a transaction and drops it.
type Rollback struct{}

// Read reads an item.
type Read struct{}

// Write writes an item.
type Write struct{}

// Set changes a value of the session.
type Set struct {
	Name, Value string
}

// Prepare gives a name to a shape of statements.
type Prepare struct {
	Name string
	Prepared
}

// Prepared is a shape with its access.
type Prepared struct {
	Write bool
	Shape string
}

// Execute runs a prepared statement.
type Execute struct {
	Name      string
	Arguments string
}

// Deallocate forgets a prepared statement.
type Deallocate struct {
	Name string
}

// Malformed is a text that is no statement.
type Malformed struct {
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

// Request is a statement with the text that endpoints get unchanged.
type Request struct {
	// ID is the caller's id of the operation.
	ID        string
	Text      string
	Statement Statement
}

// State of a session, as its caller sees it.
type State int

// The states.
const (
	Idle State = iota
	InTransaction
	// InFailedTransaction is a transaction that can only be rolled back.
	InFailedTransaction
)

// Response is the whole answer to a request.
type Response struct {
	Rows []string
	// Signature is the endpoint's proof that it ran the statement; empty for
	// statements that the proxy answers itself.
	Signature string
	// Refused is set in place of rows and a signature.
	Refused  *refusal.Error
	State    State
	Position logpos.Position
}
