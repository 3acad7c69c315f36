package promotion

// Decision is the action that the caller of Monitor.Step has to take. Each decision
// is returned once, and the caller reports its result to the Monitor.
type Decision interface {
	decision()
}

// ConfirmSuspicion tells the caller to ask other VMs whether they can reach an
// endpoint now, and to pass the result to Monitor.HandleConfirmation.
type ConfirmSuspicion struct {
	Endpoint string
}

// Fence tells the caller to ask all targets to accept a new term, and to pass the
// results to Monitor.HandleFenceResults.
type Fence struct {
	Term     uint64
	Claimant string
	Targets  []string
	// Cause is why the term is claimed; for the log only.
	Cause Cause
}

// DeferToOthers tells the caller that another VM can reach the suspect endpoint, so
// this VM leaves a promotion to other VMs.
type DeferToOthers struct {
	Endpoint string
}

// None means that no action is needed.
type None struct{}

// Promote tells the caller to make an endpoint the primary of a fenced term, and to
// pass the result to Monitor.HandlePromoteResult. Only one claimant promotes an
// endpoint in a term, and it never tries another endpoint in the same term.
type Promote struct {
	Endpoint string
	Term     uint64
	Claimant string
}

// Publish tells the caller to write a new primary to the store, as a hint for other
// VMs.
type Publish struct {
	Endpoint string
	Term     uint64
}

func (ConfirmSuspicion) decision() {}
func (Fence) decision()            {}
func (DeferToOthers) decision()    {}
func (None) decision()             {}
func (Promote) decision()          {}
func (Publish) decision()          {}

// Cause is why a database needs a new primary.
type Cause string

// The causes.
const (
	// CauseNone means that no new primary is needed.
	CauseNone Cause = ""
	// CauseLeaving means that the primary's endpoint is leaving.
	CauseLeaving Cause = "leaving"
	// CauseNoPrimary means that the members respond but none of them is the primary
	// of the highest term.
	CauseNoPrimary Cause = "noPrimary"
	// CausePrimaryLost means that the primary no longer sends its status.
	CausePrimaryLost Cause = "primaryLost"
	// CauseReplicasStalled means that replication from the primary has stopped at
	// every replica.
	CauseReplicasStalled Cause = "replicasStalled"
	// CauseTermWithoutPrimary means that a member has accepted a term that has no primary,
	// because the claim of that term failed.
	CauseTermWithoutPrimary Cause = "termUnled"
)
