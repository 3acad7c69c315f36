// Package peer carries calls between VMs over net/rpc with gob, one connection for
// each direction of a pair.
package peer

import (
	"time"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/statement"
)

// Step is how a forwarded statement relates to a transaction.
type Step int

// The steps.
const (
	// StepSingle runs outside of a transaction.
	StepSingle Step = iota
	// StepFirst opens the transaction and runs in it.
	StepFirst
	// StepNext runs in the open transaction.
	StepNext
	// StepCommit ends the transaction and keeps it.
	StepCommit
	// StepRollback ends the transaction and drops it.
	StepRollback
	// StepPosition asks for a recent position of the primary, and runs nothing.
	StepPosition
)

// String returns the step in camel case.
func (s Step) String() string {
	switch s {
	case StepSingle:
		return "single"
	case StepFirst:
		return "first"
	case StepNext:
		return "next"
	case StepCommit:
		return "commit"
	case StepRollback:
		return "rollback"
	case StepPosition:
		return "position"
	default:
		return "unspecified"
	}
}

// TransactionKey identifies a transaction in the fleet.
type TransactionKey struct {
	// Process is the incarnation of the VM that holds the caller's connection.
	Process uint64
	Number  uint64
}

// RunRequest asks the home of an endpoint to run a statement there.
type RunRequest struct {
	// Transaction is zero for Single.
	Transaction TransactionKey
	// TransactionIdle is how long the transaction may rest between statements.
	TransactionIdle time.Duration
	Workspace       string
	// Endpoint is the id; homes know the rest, and messages stay short for the link
	// between regions.
	Endpoint string
	// MaxConnections that the endpoint accepts from the whole fleet.
	MaxConnections int
	Step           Step
	ID             string
	Text           string
	Write          bool
	// ReadOnly opens the transaction for reads only.
	ReadOnly bool
	// Prepared is set for executions of a prepared statement; Text then holds the
	// arguments.
	Prepared *statement.Prepared
	Values   map[string]string
	After    logpos.Position
	// Fenced reads prove that the endpoint is the primary while they run.
	Fenced bool
	// Timeout is what is left for the statement.
	Timeout time.Duration
	// Priority in the queue of the endpoint, among the statements of the workspace; 0 is
	// the most urgent.
	Priority int
}

// RunResponse is the answer to Run.
type RunResponse struct {
	Rows      []string
	Signature string
	Position  logpos.Position
	// Refused is set in place of rows and a signature.
	Refused *refusal.Error
	// Failed tells that the transaction can only be rolled back.
	Failed bool
	// ProvedPrimary tells that the endpoint led its database while the statement
	// ran, so that Position covers each commit acknowledged before Run was sent.
	ProvedPrimary bool
	// Age of the position in the answer to the step Position.
	Age time.Duration
	// ExpectedWait for a slot at the endpoint, as its home sees it.
	ExpectedWait time.Duration
}

// LoanRequest asks for tokens of a workspace's limit.
type LoanRequest struct {
	Workspace string
	// Waiting requests spend a token each at once.
	Waiting int64
	// Soon is how many more are expected while a loan may be spent.
	Soon int64
}

// LoanResponse is the answer to Loan.
type LoanResponse struct {
	Tokens int64
}

// GossipRequest says what the asking VM knows, so that the answer holds only newer data.
type GossipRequest struct {
	From catalog.VM
	// FarConfig asks for a newer configuration also from another region.
	FarConfig bool
	// Leaving tells that the asking VM takes no new work.
	Leaving       bool
	ConfigVersion uint64
	Endpoints     KnownRevision
	VMs           KnownRevision
}

// KnownRevision is a revision with the digest of its content.
type KnownRevision struct {
	Revision uint64
	Digest   uint64
}

// GossipResponse holds what is newer than the asking VM's knowledge. A newer revision with
// the same content is told by its number alone.
type GossipResponse struct {
	From    catalog.VM
	Leaving bool
	// Age is how long ago the store confirmed what the answering VM knows.
	Age time.Duration
	// ConfigRevision is the revision of the store up to which it knows the configuration.
	ConfigRevision    uint64
	Config            *catalog.Configuration
	Endpoints         *catalog.EndpointSnapshot
	EndpointsRevision uint64
	VMs               *catalog.VMSnapshot
}

// Suspicion tells the leader that a home does not reach an endpoint, or asks another
// VM to try.
type Suspicion struct {
	// From is the VM that asks.
	From   string
	Target catalog.Endpoint
}

// ConfirmResponse is the answer of a VM that was asked to try an endpoint.
type ConfirmResponse struct {
	Reached bool
}

// Empty is an empty message.
type Empty struct{}
