// Package peer implements the calls between VMs over net/rpc with gob encoding. Each pair
// of VMs has one connection per direction.
//
// The names of the exported fields, the RPC method names and the values of the constants
// are part of the wire format.
package peer

import (
	"time"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/statement"
)

// Step is the role of a forwarded statement in a transaction.
type Step int

// The steps.
const (
	// StepSingle runs a statement outside of a transaction.
	StepSingle Step = iota
	// StepFirst begins the transaction and runs its first statement.
	StepFirst
	// StepNext runs a statement in the open transaction.
	StepNext
	// StepCommit commits the transaction.
	StepCommit
	// StepRollback rolls the transaction back.
	StepRollback
	// StepPosition requests a recent log position of the primary and runs no statement.
	StepPosition
)

// String returns the name of the step in camel case.
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

// TransactionKey identifies a transaction across the fleet.
type TransactionKey struct {
	// Process is the incarnation of the VM that holds the caller's connection.
	Process uint64
	// Number identifies the transaction within that process.
	Number uint64
}

// RunRequest is the request to run a statement at an endpoint. It is sent to the endpoint's
// home, the VM that holds the connections to the endpoint.
type RunRequest struct {
	// Transaction is zero for StepSingle.
	Transaction TransactionKey
	// TransactionIdle is the idle timeout of the transaction between statements.
	TransactionIdle time.Duration
	Workspace       string
	// Endpoint is the id of the endpoint. The home knows everything else about it, which
	// keeps messages between regions short.
	Endpoint string
	// MaxConnections is the maximum number of connections that the endpoint accepts from
	// the whole fleet.
	MaxConnections int
	Step           Step
	// ID is the request ID.
	ID string
	// Text is the text of the statement.
	Text  string
	Write bool
	// ReadOnly begins a read-only transaction.
	ReadOnly bool
	// Prepared is set for executions of a prepared statement; Text then holds the
	// arguments.
	Prepared *statement.Prepared
	// Values are the values that are set in the database session before the statement runs.
	Values map[string]string
	// After is the log position that the endpoint must have reached before it runs the
	// statement.
	After logpos.Position
	// Fenced makes a read verify that the endpoint is the primary while it runs.
	Fenced bool
	// Timeout is the remaining time for the statement.
	Timeout time.Duration
	// SentAt is the calling VM's reading of SinceBoot at which it sent the request.
	SentAt time.Duration
	// Priority orders the statements of one workspace in the queue of the endpoint; 0 is
	// the most urgent.
	Priority int
	// Target is the time left until the target latency of the operation; 0 if there is none, and
	// negative if it has passed.
	Target time.Duration
	// Regions are the regions in which the statement may run.
	Regions catalog.Regions
	// Alternatives means that the calling VM can run the statement at another endpoint.
	Alternatives bool
}

// RunResponse is the response to RunRequest.
type RunResponse struct {
	Rows      []string
	Signature string
	Position  logpos.Position
	// Refused is the error of a statement that was refused or failed; Rows and Signature
	// are then empty.
	Refused *refusal.Error
	// Failed means that the transaction has failed and can only be rolled back.
	Failed bool
	// ProvedPrimary means that the endpoint was verified to be the primary while the
	// statement ran, so that Position covers each commit acknowledged before the request
	// was sent.
	ProvedPrimary bool
	// Age is the age of the position in the response to StepPosition.
	Age time.Duration
	// ExpectedWait is the home's estimate of the wait for a slot at the endpoint.
	ExpectedWait time.Duration
	// Report is what the home knows about the endpoint.
	Report EndpointReport

	// release returns the memory of the response after it was sent; nil for none.
	release func()
}

// EndpointReport is what the home of an endpoint tells the VMs that send statements to it.
type EndpointReport struct {
	// Capacity is the number of statements that the endpoint runs well at the same time; 0 if
	// it is not known.
	Capacity int
	// ServiceTime is the mean time in which the endpoint runs a read of the request's priority,
	// without waits at the home; 0 if it is not known.
	ServiceTime time.Duration
	// SlotWait is the mean wait for a slot of an endpoint whose Capacity is below its slots; 0 for
	// the others.
	SlotWait time.Duration
	// Ejected means that reads which may run elsewhere should avoid the endpoint, because it
	// fails too many statements.
	Ejected bool
	// BudgetWait is how long until a cold endpoint may get another statement.
	BudgetWait time.Duration
}

// LoanRequest is the request to borrow tokens of a workspace's rate limit.
type LoanRequest struct {
	Workspace string
	// Waiting is the number of requests that wait for a token.
	Waiting int64
	// Soon is the expected number of further requests before the borrowed tokens expire.
	Soon int64
}

// LoanResponse is the response to LoanRequest.
type LoanResponse struct {
	Tokens int64
}

// GossipRequest holds the versions that the requesting VM knows, so that the response
// contains only newer data.
type GossipRequest struct {
	From catalog.VM
	// SentAt is the requesting VM's reading of SinceBoot at which it sent the request.
	SentAt time.Duration
	// FarConfig requests a newer configuration even if the responding VM is in another
	// region.
	FarConfig bool
	// Leaving means that the requesting VM is shutting down and accepts no new work.
	Leaving       bool
	ConfigVersion uint64
	Endpoints     KnownRevision
	VMs           KnownRevision
	// Deltas means that the requesting VM accepts differences in place of a whole
	// configuration or of all registrations.
	Deltas bool
	// Settled means that the requesting VM knows the whole fleet. It gets registrations only
	// from VMs that do, too.
	Settled bool
	// Claims means that the requesting VM distinguishes lapsed registrations.
	Claims bool
	// WholeFleet requests all registrations, because a difference did not apply.
	WholeFleet bool
	// EvacuationsRevision is the revision of the set of evacuated data centres that the
	// requesting VM knows.
	EvacuationsRevision uint64
	// Transfers means that the requesting VM accepts a Transfer in place of whole snapshots.
	Transfers bool
}

// KnownRevision is a known store revision and the digest of the data at that revision.
type KnownRevision struct {
	Revision uint64
	Digest   uint64
}

// GossipResponse is the response to GossipRequest and holds the data that is newer than the
// requesting VM's. If only the revision is newer and the data is the same, the data is left
// out.
type GossipResponse struct {
	From catalog.VM
	// Leaving means that the responding VM is shutting down and accepts no new work.
	Leaving bool
	// Settled means that the responding VM knows the whole fleet.
	Settled bool
	// KnowsPredecessor means that, according to recent data of the responding VM, an earlier
	// process of the requesting VM is registered.
	KnowsPredecessor bool
	// Age is the time since the store confirmed the data of the responding VM.
	Age time.Duration
	// ConfigRevision is the store revision up to which the responding VM knows the
	// configuration.
	ConfigRevision uint64
	// ConfigVersion is the version of the responding VM's configuration; 0 if it has none, or if
	// its build does not state it.
	ConfigVersion uint64
	Config        *catalog.Configuration
	// ConfigDelta is set in place of Config if the responding VM still has the requesting
	// VM's configuration.
	ConfigDelta *catalog.ConfigurationDelta
	Endpoints   *catalog.EndpointSnapshot
	// EndpointsRevision is the responding VM's revision of the endpoints if it is newer;
	// it is set even if Endpoints is nil.
	EndpointsRevision uint64
	VMs               *catalog.VMSnapshot
	// VMsDelta is set in place of VMs if the responding VM knows all changes since the
	// requesting VM's revision.
	VMsDelta *catalog.VMDelta
	// ConfigTransfer, EndpointsTransfer and VMsTransfer are set in place of Config, Endpoints and
	// VMs if the requesting VM accepts transfers, and ConfigDeltaTransfer in place of a large
	// ConfigDelta.
	ConfigTransfer, EndpointsTransfer, VMsTransfer, ConfigDeltaTransfer *Transfer
	// VMsRevision is the revision of the registrations in VMsTransfer.
	VMsRevision uint64
	// EvacuationsRevision is the revision of the set of evacuated data centres that the
	// responding VM knows; 0 if it knows none.
	EvacuationsRevision uint64
	// Evacuations is the whole set if it is newer than the requesting VM's.
	Evacuations *catalog.Evacuations
	// EvacuationAges holds for how long VMs have known of each evacuation in the set.
	EvacuationAges map[string]time.Duration
}

// PartSize is the largest number of bytes of an encoded snapshot in one message. A link of
// 10 Mbit/s takes 7 ms for it, so that statements and pings on the same connection are not held
// up, and 30 VMs that read from one VM at once each get a part within the timeout of a call.
const PartSize = 8 << 10

// Transfer offers an encoded snapshot that the requesting VM reads in parts.
type Transfer struct {
	// ID identifies the encoded bytes.
	ID uint64
	// Size is the number of encoded bytes.
	Size int
	// Data is the first part if it fits into the response, else empty.
	Data []byte
}

// PartRequest requests a part of an encoded snapshot.
type PartRequest struct {
	// ID is that of the Transfer.
	ID     uint64
	Offset int
}

// PartResponse holds a part of at most PartSize bytes; it is empty if the responding VM does not
// have the snapshot any more.
type PartResponse struct {
	Data []byte
}

// Suspicion is the argument of two calls: Suspect reports to the leader that a VM does not
// reach an endpoint, and Confirm requests another VM to probe the endpoint.
type Suspicion struct {
	// From is the calling VM.
	From   string
	Target catalog.Endpoint
	// Failing means that the endpoint responds but fails many of its statements. Confirm then
	// requests whether the called VM, its home, has seen it serve statements.
	Failing bool
}

// ConfirmResponse is the response of a VM that was requested to probe an endpoint.
type ConfirmResponse struct {
	Reached bool
}

// Empty is an empty request or response.
type Empty struct{}
