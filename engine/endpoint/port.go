// Package endpoint runs statements at the endpoints of databases. A VM that is the
// home of an endpoint holds all connections to it, queues the statements of all
// VMs, and keeps the transactions that are open there.
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
	// Dial opens a connection on behalf of a workspace. A *ReplyError tells that the
	// endpoint turned the connection away.
	Dial(ctx context.Context, target catalog.Endpoint, workspace string) (Connection, error)
}

// Connection is one connection to an endpoint. It is used by one goroutine at a
// time, except for Close and Broken.
type Connection interface {
	// Run sends the commands in one write and returns their replies in order. An
	// error means that the connection is of no more use; the replies that arrived
	// whole before it are returned too.
	Run(timeout time.Duration, commands []Command) ([]Reply, error)
	// Broken tells whether the far end closed the connection or an error ended it.
	Broken() bool
	// Close ends the connection; the endpoint rolls back an open transaction.
	Close()
}

// Command is Forward, Execute, Begin, Commit, Rollback, Set, Prepare, Discard, Status
// or StepDown.
type Command interface{ command() }

// Forward is a caller's read or write, with its id and text unchanged.
type Forward struct {
	ID   string
	Text string
	// After is the position that the endpoint's log must hold; zero for none.
	After logpos.Position
}

// Execute is a caller's execution of a prepared statement, under the name that it
// has on this connection.
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

// Rollback ends a transaction.
type Rollback struct{}

// Set changes a session value of the connection.
type Set struct {
	Name, Value string
}

// Prepare gives a name to a shape on the connection.
type Prepare struct {
	Name     string
	Prepared statement.Prepared
}

// Discard drops the session values and prepared names of the connection.
type Discard struct{}

// Status asks an endpoint for its role and positions.
type Status struct{}

// StepDown makes a primary of a lower term a replica.
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

// Reply is the whole answer to one command.
type Reply struct {
	Rows      []string
	Signature string
	// Err is set in place of a signature if the endpoint refused the command.
	Err      *ReplyError
	State    statement.State
	Position logpos.Position
	// Report is set in the reply to Status and StepDown.
	Report *Report
}

// Report is what an endpoint says of itself.
type Report struct {
	Role             catalog.Role
	Term             uint64
	ReceivedPosition logpos.Position
	// FencedTerm is a term in which the endpoint was told to stop receiving; 0 for none.
	FencedTerm        uint64
	Lag               time.Duration
	RunningStatements int
	Connections       int
}

// ErrorCode is why an endpoint refused a command or a connection.
type ErrorCode int

// The codes. Failed and TimedOut follow a run; after the others nothing ran.
const (
	UnknownCode ErrorCode = iota
	// Busy is an endpoint without a free slot and with a full queue.
	Busy
	// ReplicaBehind is a log that lacks the required position.
	ReplicaBehind
	// NotPrimary is a write or a plain transaction at a replica.
	NotPrimary
	// UnknownPreparedName is a prepared name that the connection does not have.
	UnknownPreparedName
	// WrongEndpoint is another endpoint at the address.
	WrongEndpoint
	// TooManyConnections is an endpoint at its limit of connections.
	TooManyConnections
	// Aborted is a transaction that the endpoint rolled back.
	Aborted
	// InvalidCommand is a command that the endpoint does not understand or allow.
	InvalidCommand
	// ExecutionFailed is a statement that ran and failed.
	ExecutionFailed
	// ExecutionTimeout is a statement that ran into the endpoint's time limit.
	ExecutionTimeout
)

// ReplyError is an endpoint's refusal.
type ReplyError struct {
	Code ErrorCode
	Text string
}

// Error returns the endpoint's text.
func (e *ReplyError) Error() string { return "endpoint refused: " + e.Text }

// NotRun tells whether the refusal proves that nothing ran.
func (e *ReplyError) NotRun() bool {
	switch e.Code {
	case Busy, ReplicaBehind, NotPrimary, UnknownPreparedName, WrongEndpoint, TooManyConnections:
		return true
	default:
		return false
	}
}
