// Package endpoint runs statements at endpoints, the members of databases. Each
// endpoint has a home: the VM that holds the connections to it, queues the statements
// that all VMs send there, and keeps the open transactions.
package endpoint

import (
	"context"
	"time"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/statement"
)

// Dialer opens connections to endpoints.
type Dialer interface {
	// Dial opens a connection on behalf of a workspace. A *ReplyError means that the
	// endpoint refused the connection.
	Dial(ctx context.Context, target catalog.Endpoint, workspace string) (Connection, error)
}

// Connection is one connection to an endpoint. It is used by one goroutine at a
// time, except for Close, End and Broken.
type Connection interface {
	// Run sends the commands in one write and returns their replies in order. After an
	// error the connection cannot be used any more; the complete replies that arrived
	// before the error are returned with it.
	Run(timeout time.Duration, commands []Command) ([]Reply, error)
	// Broken reports whether the endpoint closed the connection or an error ended it.
	Broken() bool
	// Close closes the connection; the endpoint then rolls back an open transaction.
	Close()
	// End closes the connection, and reports whether the endpoint has ended it, too, within the
	// timeout.
	End(timeout time.Duration) bool
}

// Command is a request to an endpoint: Forward, Execute, Begin, Commit, Rollback, Set,
// Prepare, Discard, Status or StepDown.
type Command interface{ command() }

// Forward is a caller's read or write, with its id and text unchanged.
type Forward struct {
	ID   string
	Text string
	// After is the log position that the endpoint must have reached; zero for none.
	After logpos.Position
}

// Execute runs a prepared statement for a caller. Name is its name on this connection,
// which may differ from the one that the caller uses.
type Execute struct {
	ID        string
	Name      string
	Arguments string
	After     logpos.Position
}

// Begin opens a transaction.
type Begin struct {
	ReadOnly bool
	After    logpos.Position
}

// Commit is a caller's commit.
type Commit struct {
	ID string
}

// Rollback rolls back a transaction.
type Rollback struct{}

// Set changes a session value of the connection.
type Set struct {
	Name, Value string
}

// Prepare prepares a statement under a name on the connection.
type Prepare struct {
	Name     string
	Prepared statement.Prepared
}

// Discard removes all session values and prepared statements from the connection.
type Discard struct{}

// Status asks an endpoint for a report of its role, positions and load.
type Status struct{}

// StepDown demotes the endpoint to a replica if it is the primary of a term lower than
// Term.
type StepDown struct {
	Term uint64
}

func (Forward) command()  {}
func (Execute) command()  {}
func (Begin) command()    {}
func (Commit) command()   {}
func (Rollback) command() {}
func (Set) command()      {}
func (Prepare) command()  {}
func (Discard) command()  {}
func (Status) command()   {}
func (StepDown) command() {}

// Reply is the complete reply to one command.
type Reply struct {
	Rows      []string
	Signature string
	// Err is set instead of a signature if the endpoint refused the command.
	Err      *ReplyError
	State    statement.State
	Position logpos.Position
	// Report is set in the reply to Status and StepDown.
	Report *Report
}

// Report is the status that an endpoint reports of itself.
type Report struct {
	Role catalog.Role
	Term uint64
	// ReceivedPosition is the position up to which the endpoint has received the log.
	ReceivedPosition logpos.Position
	// FencedTerm is a term in which the endpoint was told to stop receiving; 0 for none.
	FencedTerm uint64
	// Lag is the replication lag.
	Lag               time.Duration
	RunningStatements int
	Connections       int
}

// ErrorCode is the reason for which an endpoint refused a command or a connection.
type ErrorCode int

// The codes. ExecutionFailed and ExecutionTimeout are returned after the statement ran,
// the others without running it. ReplyError.NotRun reports which ones count as proof of
// that.
const (
	UnknownCode ErrorCode = iota
	// Busy means that the endpoint has no free slot and its queue is full.
	Busy
	// ReplicaBehind means that the endpoint's log has not reached the required position.
	ReplicaBehind
	// NotPrimary means that a replica received a write or a read-write transaction.
	NotPrimary
	// UnknownPreparedName means that no statement is prepared under the name on the connection.
	UnknownPreparedName
	// WrongEndpoint means that another endpoint uses the address now.
	WrongEndpoint
	// TooManyConnections means that the endpoint is at its connection limit.
	TooManyConnections
	// Aborted means that the endpoint rolled the transaction back.
	Aborted
	// InvalidCommand means that the endpoint does not understand or allow the command.
	InvalidCommand
	// ExecutionFailed means that the statement ran and failed.
	ExecutionFailed
	// ExecutionTimeout means that the statement ran and exceeded the endpoint's time limit.
	ExecutionTimeout
)

// ReplyError is an endpoint's refusal of a command or a connection.
type ReplyError struct {
	Code ErrorCode
	Text string
}

// Error returns the endpoint's text with a prefix.
func (e *ReplyError) Error() string { return "endpoint refused: " + e.Text }

// NotRun reports whether the refusal proves that nothing was run.
func (e *ReplyError) NotRun() bool {
	switch e.Code {
	case Busy, ReplicaBehind, NotPrimary, UnknownPreparedName, WrongEndpoint, TooManyConnections:
		return true
	default:
		return false
	}
}
